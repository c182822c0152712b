//! The client connections of a process: [`crate::admission`] behind a lock, and the notification of each connection's task.
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

/// Connections whose rejection is being sent at once; more are dropped without a reply.
const MAX_CONCURRENT_REJECTIONS: usize = 64;
/// Idle connections that are closed when descriptors have run out.
const CLOSED_ON_DESCRIPTOR_SHORTAGE: usize = 16;
/// Pause in accepting after a shortage, in which the connections that were notified close.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Expired connections notified under one lock; requests under way have their turn before the next batch.
const EXPIRY_BATCH: usize = 256;
/// Least time between two expiry checks, each of which takes the lock.
const MIN_EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct AdmissionState {
    admission: Admission,
    /// One entry for each permit, removed when it is dropped.
    closing: HashMap<ConnectionId, Arc<Notify>>,
}

impl AdmissionState {
    fn notify_closing(&self, ids: &[ConnectionId]) {
        for closing in ids.iter().filter_map(|id| self.closing.get(id)) {
            closing.notify_one();
        }
    }
}

/// Admits connections and keeps count of them. One is shared by all listeners with a common limit.
#[derive(Debug)]
pub struct ConnectionRegistry {
    state: Mutex<AdmissionState>,
    started_at: Instant,
    rejections: Semaphore,
}

/// The right to hold a connection; given back when it is dropped.
#[derive(Debug)]
pub struct ConnectionPermit {
    registry: Arc<ConnectionRegistry>,
    id: ConnectionId,
    closing: Arc<Notify>,
}

impl ConnectionRegistry {
    /// A registry without connections.
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

    /// A permit for a new connection, or the time after which its client may reconnect.
    pub fn admit(self: &Arc<Self>, address: IpAddr) -> Result<ConnectionPermit, Micros> {
        let mut state = self.lock();
        let arrival = state.admission.arrive(self.now(), address);
        state.notify_closing(&arrival.close);
        match arrival.decision {
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

    /// A connection could not be accepted. Where this process has no descriptor left, idle connections are closed; what the
    /// machine is short of, or one connection that died in the queue, is no reason for that. Returns when to accept again.
    pub async fn accept_failed(&self, error: std::io::Error) {
        let closing = match AcceptFailure::of(&error) {
            AcceptFailure::Connection => {
                tracing::debug!(%error, "a connection died before it was accepted");
                return tokio::task::yield_now().await;
            }
            AcceptFailure::Shortage => 0,
            AcceptFailure::Descriptors => self.close_idle(CLOSED_ON_DESCRIPTOR_SHORTAGE),
        };
        tracing::warn!(%error, closing, "accept failed");
        tokio::time::sleep(ACCEPT_BACKOFF).await;
    }

    /// Notifies up to `count` idle connections to close; returns how many.
    fn close_idle(&self, count: usize) -> usize {
        let mut state = self.lock();
        let close = state.admission.close_idle(count);
        state.notify_closing(&close);
        close.len()
    }

    /// Sends a rejection and closes the connection; only closes where many are being rejected.
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
            // A connection that becomes idle later expires later than this.
            at => {
                let wait = Duration::from_micros(at.unwrap_or(now + idle_us).saturating_sub(now));
                tokio::time::sleep(wait.max(MIN_EXPIRY_INTERVAL)).await;
            }
        }
    }
}

impl ConnectionPermit {
    /// A request is under way on the connection: it is not closed for another.
    pub fn busy(&self) {
        self.registry.lock().admission.mark_busy(self.id);
    }

    /// No request is under way on the connection.
    pub fn idle(&self) {
        let now = self.registry.now();
        self.registry.lock().admission.mark_idle(now, self.id);
    }

    /// Returns when this connection, being idle, is to close. Safe to drop while waiting.
    pub async fn close_requested(&self) {
        self.closing.notified().await;
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let mut state = self.registry.lock();
        state.admission.closed(self.id);
        state.closing.remove(&self.id);
    }
}
