//! Periodic maintenance of the pool: closes connections that are idle, unusable or to removed endpoints, performs the
//! keep-alive checks, and drops removed endpoints.
use super::{ConnectionPool, PlatformCore};
use crate::connection::{Connection, CANCELLATION_TIMEOUT};
use pointspindle::Micros;
use pointspindle_dispatcher::keep_alive::{KeepAliveAction, KeepAliveRule};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which idle connections beyond the first of an endpoint are closed.
const SPARE_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Maintains the pool periodically; never returns.
pub async fn run_maintenance(core: Arc<PlatformCore>) {
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        core.transport.maintain();
    }
}

/// Time and limits of one maintenance pass.
struct MaintenancePass {
    now: Instant,
    now_us: Micros,
    keep_alive: KeepAliveRule,
    idle_timeout: Duration,
    orphaned_response_timeout: Duration,
}

impl ConnectionPool {
    /// Performs one maintenance pass over all connections.
    pub(super) fn maintain(&self) {
        let pass = self.maintenance_pass();
        let mut state = self.lock();
        for (id, endpoint) in &state.endpoints {
            let mut idle_connections = 0;
            for connection in &endpoint.connections {
                if connection
                    .close_if_unusable(pass.orphaned_response_timeout, CANCELLATION_TIMEOUT)
                {
                    tracing::info!(
                        endpoint = id,
                        "endpoint connection closed: blocked by an orphaned response or an unsent cancellation"
                    );
                } else if let Some(since) = connection.idle_since() {
                    idle_connections += 1;
                    let idle = pass.now.saturating_duration_since(since);
                    let is_spare = idle_connections > 1;
                    if endpoint.is_removed
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
            .retain(|_, endpoint| !endpoint.is_removed || endpoint.total_connections() > 0);
    }

    fn maintenance_pass(&self) -> MaintenancePass {
        let settings = &self.settings;
        let now = Instant::now();
        MaintenancePass {
            now,
            now_us: self.micros(now),
            keep_alive: KeepAliveRule {
                pending_ping_interval: settings.ping_when_awaiting_us,
                idle_ping_interval: settings.ping_when_idle_us,
                ping_timeout: settings.ping_timeout_us,
            },
            idle_timeout: Duration::from_micros(settings.idle_timeout_us),
            orphaned_response_timeout: Duration::from_micros(settings.ping_timeout_us),
        }
    }

    fn check_keep_alive(&self, id: &str, connection: &Connection, pass: &MaintenancePass) {
        let verdict =
            connection.check_keep_alive(&pass.keep_alive, pass.now_us, |at| self.micros(at));
        match verdict {
            KeepAliveAction::Healthy => {}
            KeepAliveAction::SendPing => connection.send_health_check(),
            KeepAliveAction::Close => {
                tracing::info!(
                    endpoint = id,
                    "endpoint connection closed: no keep-alive reply"
                );
                connection.close();
            }
        }
    }
}
