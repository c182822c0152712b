//! The smallest complete platform: one cache host, the origin, a discovery server and the dispatcher.
use super::{endpoint_entry, DiscoveryServer, DispatcherProcess, ScriptedCacheHost};

pub struct TwoEndpointPlatform {
    pub discovery: DiscoveryServer,
    pub cache: ScriptedCacheHost,
    pub origin: ScriptedCacheHost,
    pub dispatcher: DispatcherProcess,
}

impl TwoEndpointPlatform {
    /// Starts the platform; the cache host and the origin reply according to the same script.
    pub async fn start<F>(script: F) -> Self
    where
        F: Fn(&str, &str) -> Vec<u8> + Clone + Send + Sync + 'static,
    {
        let discovery = DiscoveryServer::start().await;
        let cache = ScriptedCacheHost::start(script.clone()).await;
        let origin = ScriptedCacheHost::start(script).await;
        let endpoints = [
            endpoint_entry("s-1", cache.address, "box", "Ready"),
            endpoint_entry("o-1", origin.address, "origin", "Ready"),
        ];
        let dispatcher = DispatcherProcess::start(discovery.address, &endpoints).await;
        Self {
            discovery,
            cache,
            origin,
            dispatcher,
        }
    }
}
