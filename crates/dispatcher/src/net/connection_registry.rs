//! Client connections of the process: [`crate::admission`] behind a lock, and the notification of each connection's task.
use super::connection_rejection::ConnectionRejection;
use crate::admission::{Admission, AdmissionDecision, ConnectionId, ConnectionLimits};
use pointspindle::Micros;
use pointspindle_transport::{AcceptFailure, Socket};
use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::{Notify, Semaphore};
use tokio::time::Instant;

/// Maximum number of rejections sent concurrently; further connections are closed without a reply.
const MAX_CONCURRENT_REJECTIONS: usize = 64;
/// Number of idle connections that are closed when the process has run out of file descriptors.
const CLOSED_ON_DESCRIPTOR_SHORTAGE: usize = 16;
/// Pause in accepting after a resource shortage, during which the notified connections close.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum number of expired connections notified under one lock; other tasks can take the lock between batches.
const EXPIRY_BATCH: usize = 256;
/// Minimum time between two expiry checks, each of which takes the lock.
const MIN_EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct AdmissionState {
    admission: Admission,
    /// Notifications to close, one entry per permit; removed when the permit is dropped.
    closing: HashMap<ConnectionId, Arc<Notify>>,
}

impl AdmissionState {
    fn notify_closing(&self, ids: &[ConnectionId]) {
        for closing in ids.iter().filter_map(|id| self.closing.get(id)) {
            closing.notify_one();
        }
    }
}

/// Admits and counts connections. Listeners with a common limit share one registry.
#[derive(Debug)]
pub struct ConnectionRegistry {
    state: Mutex<AdmissionState>,
    started_at: Instant,
    rejections: Semaphore,
}

/// Permission to hold a connection; released when it is dropped.
#[derive(Debug)]
pub struct ConnectionPermit {
    registry: Arc<ConnectionRegistry>,
    id: ConnectionId,
    closing: Arc<Notify>,
}

impl ConnectionRegistry {
    /// Creates a registry without connections.
    pub fn new(limits: ConnectionLimits) -> Arc<Self> {
        let state = AdmissionState {
            admission: Admission::new(limits),
            closing: HashMap::new(),
        };
        Arc::new(Self {
            state: Mutex::new(state),
            started_at: Instant::now(),
            rejections: Semaphore::new(MAX_CONCURRENT_REJECTIONS),
        })
    }

    fn lock(&self) -> MutexGuard<'_, AdmissionState> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    /// Returns a permit for a new connection, or the time after which its client may reconnect.
    pub fn admit(self: &Arc<Self>, address: IpAddr) -> Result<ConnectionPermit, Micros> {
        let mut state = self.lock();
        let outcome = state.admission.admit(self.now(), address);
        state.notify_closing(&outcome.close);
        match outcome.decision {
            AdmissionDecision::Admit(id) => {
                let closing = Arc::new(Notify::new());
                state.closing.insert(id, closing.clone());
                Ok(ConnectionPermit {
                    registry: self.clone(),
                    id,
                    closing,
                })
            }
            AdmissionDecision::Reject { retry_after } => Err(retry_after),
        }
    }

    /// Handles a failed accept, and returns when the next one may be tried. Idle connections are closed only if this
    /// process has run out of file descriptors; closing them would not help against a shortage of the whole machine or a
    /// connection that failed in the accept queue.
    pub async fn accept_failed(&self, error: std::io::Error) {
        let closed_connections = match AcceptFailure::of(&error) {
            AcceptFailure::Connection => {
                tracing::debug!(%error, "accept error limited to one connection or call; accepting continues without delay");
                return tokio::task::yield_now().await;
            }
            AcceptFailure::ResourceShortage => 0,
            AcceptFailure::DescriptorLimit => self.close_idle(CLOSED_ON_DESCRIPTOR_SHORTAGE),
        };
        tracing::warn!(%error, closed_connections, "accept failed");
        tokio::time::sleep(ACCEPT_BACKOFF).await;
    }

    /// Notifies up to `count` idle connections to close, and returns their number.
    fn close_idle(&self, count: usize) -> usize {
        let mut state = self.lock();
        let close = state.admission.close_idle(count);
        state.notify_closing(&close);
        close.len()
    }

    /// Sends a rejection and closes the connection. Closes without a reply if too many rejections are being sent.
    pub(super) async fn reject(&self, socket: Socket, rejection: ConnectionRejection) {
        let Ok(_sending) = self.rejections.try_acquire() else {
            return;
        };
        rejection.send(socket).await;
    }
}

/// Closes connections that have been idle for too long.
pub async fn close_idle_connections(registry: Arc<ConnectionRegistry>, idle_us: Micros) {
    loop {
        let (now, next) = {
            let mut state = registry.lock();
            let now = registry.now();
            let close = state.admission.expire(now, idle_us, EXPIRY_BATCH);
            state.notify_closing(&close);
            (now, state.admission.next_expiry(idle_us))
        };
        match next {
            Some(at) if at <= now => tokio::task::yield_now().await,
            // A connection that becomes idle after this check expires later than this time.
            at => {
                let wait = Duration::from_micros(at.unwrap_or(now + idle_us).saturating_sub(now));
                tokio::time::sleep(wait.max(MIN_EXPIRY_INTERVAL)).await;
            }
        }
    }
}

impl ConnectionPermit {
    /// Marks the connection as busy: while a request is in progress, it is not closed to admit another connection.
    pub fn mark_busy(&self) {
        self.registry.lock().admission.mark_busy(self.id);
    }

    /// Marks the connection as idle: no request is in progress.
    pub fn mark_idle(&self) {
        let now = self.registry.now();
        self.registry.lock().admission.mark_idle(now, self.id);
    }

    /// Waits until this idle connection is to close. The future may be dropped at any time.
    pub async fn close_requested(&self) {
        self.closing.notified().await;
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let mut state = self.registry.lock();
        state.admission.remove(self.id);
        state.closing.remove(&self.id);
    }
}
