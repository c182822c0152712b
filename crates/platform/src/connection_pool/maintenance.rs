//! Periodic maintenance of the pool: closes connections that are idle, unusable or lead to endpoints that are gone,
//! checks their keep-alive, and forgets endpoints that are gone.
use super::{ConnectionPool, PlatformCore};
use crate::connection::Connection;
use pointspindle::Micros;
use pointspindle_dispatcher::keep_alive::{KeepAliveRule, KeepAliveVerdict};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);
/// The rest of a request that was cancelled in the middle of its bytes is sent by then, or its connection is closed.
const UNSENT_REST_TIMEOUT: Duration = Duration::from_millis(100);
/// Idle connections beyond an endpoint's first are closed after this.
const SPARE_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Maintains the pool for as long as the dispatcher runs.
pub async fn run_maintenance(core: Arc<PlatformCore>) {
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        core.transport.maintain();
    }
}

/// The limits of one pass, and its time.
struct MaintenancePass {
    now: Instant,
    now_us: Micros,
    keep_alive: KeepAliveRule,
    idle_timeout: Duration,
    unawaited_response_timeout: Duration,
}

impl ConnectionPool {
    /// One pass over all connections.
    pub(super) fn maintain(&self) {
        let pass = self.maintenance_pass();
        let mut state = self.lock();
        for (id, endpoint) in &state.endpoints {
            let mut idle_connections = 0;
            for connection in &endpoint.connections {
                if connection
                    .close_if_unusable(pass.unawaited_response_timeout, UNSENT_REST_TIMEOUT)
                {
                    tracing::info!(
                        endpoint = id,
                        "endpoint connection closed: unawaited response or unsent request"
                    );
                } else if let Some(since) = connection.idle_since() {
                    idle_connections += 1;
                    let idle = pass.now.saturating_duration_since(since);
                    let is_spare = idle_connections > 1;
                    if endpoint.is_gone
                        || idle > pass.idle_timeout
                        || (is_spare && idle > SPARE_IDLE_TIMEOUT)
                    {
                        connection.close_if_idle();
                    }
                } else {
                    self.check_keep_alive(id, connection, &pass);
                }
            }
        }
        state
            .endpoints
            .retain(|_, endpoint| !endpoint.is_gone || endpoint.total_connections() > 0);
    }

    fn maintenance_pass(&self) -> MaintenancePass {
        let settings = &self.settings;
        let now = Instant::now();
        MaintenancePass {
            now,
            now_us: self.micros(now),
            keep_alive: KeepAliveRule {
                ping_when_awaiting: settings.ping_when_awaiting_us,
                ping_when_idle: settings.ping_when_idle_us,
                ping_timeout: settings.ping_timeout_us,
            },
            idle_timeout: Duration::from_micros(settings.idle_timeout_us),
            unawaited_response_timeout: Duration::from_micros(settings.ping_timeout_us),
        }
    }

    fn check_keep_alive(&self, id: &str, connection: &Connection, pass: &MaintenancePass) {
        let verdict =
            connection.check_keep_alive(&pass.keep_alive, pass.now_us, |at| self.micros(at));
        match verdict {
            KeepAliveVerdict::Healthy => {}
            KeepAliveVerdict::SendPing => connection.send_health_check(),
            KeepAliveVerdict::Close => {
                tracing::info!(
                    endpoint = id,
                    "endpoint connection closed: no keep-alive reply"
                );
                connection.close();
            }
        }
    }
}
