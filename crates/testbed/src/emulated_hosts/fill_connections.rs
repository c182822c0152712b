//! Connections from hosts to the sources of their fills.
use super::hosts::{EmulatedHosts, FillRoute};
use pointspindle_cache_model::HostId;
use pointspindle_protocol::streams::Side;
use pointspindle_transport::{ConnectionOptions, FramedConnection, Socket};
use std::net::SocketAddr;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

impl EmulatedHosts {
    /// Returns a host's connection to a source; opens one if none is usable.
    pub(super) async fn fill_connection(
        &self,
        host: HostId,
        source: &str,
    ) -> std::io::Result<FramedConnection> {
        let route = FillRoute {
            host,
            source: source.to_owned(),
        };
        let mut connections = self.shared().fill_connections.lock().await;
        if let Some(open) = connections.get(&route).filter(|open| open.accepts_calls()) {
            return Ok(open.clone());
        }
        let socket = self.connect_to_source(&route).await?;
        let (connection, mut incoming) =
            FramedConnection::start(socket, Side::Caller, ConnectionOptions::default());
        tokio::spawn(async move { while incoming.next().await.is_some() {} });
        connections.retain(|_, connection| !connection.is_closed());
        connections.insert(route, connection.clone());
        Ok(connection)
    }

    async fn connect_to_source(&self, route: &FillRoute) -> std::io::Result<Socket> {
        let options = &self.shared().options;
        let source: SocketAddr = route.source.parse().map_err(std::io::Error::other)?;
        let connect = options.network.connect(options.fill_source, source);
        let socket = tokio::time::timeout(CONNECT_TIMEOUT, connect)
            .await
            .map_err(std::io::Error::other)??;
        let Some(plan) = &options.zone_partitions else {
            return Ok(socket);
        };
        let source_zone = self.with_model(|model| {
            let source = model.host_by_address(&route.source)?;
            Some(model.host_spec(source).zone)
        });
        let Some(source_zone) = source_zone else {
            return Ok(socket);
        };
        let host_zone = self.with_model(|model| model.host_spec(route.host).zone);
        plan.partitions
            .apply_to(socket, source_zone, host_zone)
            .await
    }
}
