//! Helpers for the unit tests of the frontends.
use super::connection_registry::{ConnectionPermit, ConnectionRegistry};
use super::frontend_context::FrontendContext;
use super::FramedCore;
use crate::admission::ConnectionLimits;
use pointspindle_transport::{Network, Socket};
use std::sync::Arc;
use tokio::sync::watch;

/// Arguments of a frontend's task for one accepted connection.
pub(crate) struct AcceptedConnection {
    pub context: FrontendContext,
    pub socket: Socket,
    pub permit: ConnectionPermit,
    /// Sender of the stop signal; [`FrontendContext::stopped`] returns once it is dropped.
    pub _stop: watch::Sender<bool>,
}

/// Returns an accepted connection at the listener whose setting is named `listener`.
pub(crate) async fn accepted_connection(listener: &str) -> AcceptedConnection {
    let text = format!(
        "[dispatcher]\nzone = b\n[listen]\n{listener} = 127.0.0.1:0\n[class page]\npath_prefix = /\n"
    );
    let settings = pointspindle_config::parse("test", &text).unwrap_or_else(|e| panic!("{e}"));
    let (stop, stopping) = watch::channel(false);
    let registry = ConnectionRegistry::new(ConnectionLimits {
        hard: 1,
        soft: 1,
        per_address: 1,
        networks: Vec::new(),
    });
    let listener = Network::Tcp
        .listen(([127, 0, 0, 1], 0).into())
        .await
        .unwrap();
    let socket = Network::Tcp
        .connect(None, listener.local_addr().unwrap())
        .await
        .unwrap();
    let permit = registry
        .admit([127, 0, 0, 1].into())
        .unwrap_or_else(|_| panic!("a free connection permit"));
    let (core, _endpoint_commands) = FramedCore::framed(Arc::new(settings), 1, Network::Tcp);
    AcceptedConnection {
        context: FrontendContext {
            core: Arc::new(core),
            registry,
            stopping,
            identity: None,
        },
        socket,
        permit,
        _stop: stop,
    }
}
