//! Bounds the memory that clients occupy with requests that are not complete, over all connections.
//!
//! Each session reports after every record what it occupies. If the limit is exceeded, requests are rejected at once,
//! the largest of the connection that occupies most first ([`super::input_ledger`]), before more input is read.
use super::input_ledger::{AccountId, InputLedger};
use super::response_writer::{Outgoing, ResponseSender};
use super::session_requests::SessionRequests;
use crate::connection_pool::PlatformCore;
use pointspindle::Micros;
use pointspindle_dispatcher::request_budget::rejection_retry_after;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// Shortest time between two log messages about an exceeded limit.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A session as the budget sees it.
struct Holder {
    peer: SocketAddr,
    requests: Arc<SessionRequests>,
    responses: ResponseSender,
}

struct BudgetState {
    ledger: InputLedger,
    holders: HashMap<AccountId, Holder>,
    last_logged: Option<Instant>,
    /// Number of requests rejected since the last log message.
    unlogged_rejections: u64,
}

/// Budget of all client connections of the process.
pub(super) struct InputBudget {
    core: Arc<PlatformCore>,
    max_bytes: usize,
    state: Mutex<BudgetState>,
}

impl InputBudget {
    /// Creates the budget of a process without connections.
    pub fn new(core: Arc<PlatformCore>, max_bytes: usize) -> Arc<Self> {
        let state = BudgetState {
            ledger: InputLedger::new(max_bytes),
            holders: HashMap::new(),
            last_logged: None,
            unlogged_rejections: 0,
        };
        Arc::new(Self {
            core,
            max_bytes,
            state: Mutex::new(state),
        })
    }

    /// Adds a session.
    pub fn open(
        self: &Arc<Self>,
        peer: SocketAddr,
        requests: Arc<SessionRequests>,
        responses: ResponseSender,
    ) -> InputAccount {
        let mut state = self.lock();
        let id = state.ledger.open();
        let holder = Holder {
            peer,
            requests,
            responses,
        };
        state.holders.insert(id, holder);
        InputAccount {
            budget: self.clone(),
            id,
        }
    }

    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Returns the Retry-After of a request that is rejected for lack of memory, if the settings provide one.
    fn retry_after(&self) -> Option<Micros> {
        retry_after_lack_of_memory(&self.core)
    }

    /// Rejects incomplete requests until no limit is exceeded and the memory of the process is not exhausted by them.
    fn enforce(&self, state: &mut BudgetState) {
        loop {
            let memory = &self.core.transport.memory;
            let is_exhausted = memory.set_incomplete_requests(state.ledger.total_bytes());
            let Some((id, bytes)) = state.ledger.over_limit(is_exhausted) else {
                return;
            };
            let Some(holder) = state.holders.get(&id) else {
                return state.ledger.close(id);
            };
            let Some((request, remaining_bytes)) = holder.requests.drop_largest_incomplete() else {
                state.ledger.set_bytes(id, 0);
                continue;
            };
            let rejection = Outgoing::rejection(request, self.retry_after());
            holder.responses.send(rejection);
            let peer = holder.peer;
            state.ledger.set_bytes(id, remaining_bytes);
            self.core.record_incomplete_rejection();
            self.log_rejection(state, peer, bytes);
        }
    }

    fn log_rejection(&self, state: &mut BudgetState, peer: SocketAddr, bytes: usize) {
        state.unlogged_rejections += 1;
        let is_recent = |at: Instant| at.elapsed() < LOG_INTERVAL;
        if state.last_logged.is_some_and(is_recent) {
            return;
        }
        state.last_logged = Some(Instant::now());
        let rejected = std::mem::take(&mut state.unlogged_rejections);
        tracing::warn!(
            %peer,
            peer_bytes = bytes,
            total_bytes = state.ledger.total_bytes(),
            max_bytes = self.max_bytes,
            rejected,
            "memory for incomplete requests is exhausted; the largest of the connection that occupies most are rejected"
        );
    }
}

/// Returns the Retry-After of a request that is rejected for lack of memory, if the settings provide one.
pub(super) fn retry_after_lack_of_memory(core: &PlatformCore) -> Option<Micros> {
    let router = &core.settings.router;
    let retry_after = rejection_retry_after(|| core.transport.random_fraction());
    router
        .retry_after
        .then_some(retry_after.min(router.max_retry_after))
}

/// The part of the budget that one session occupies; released when it is dropped.
pub(super) struct InputAccount {
    budget: Arc<InputBudget>,
    id: AccountId,
}

impl InputAccount {
    /// Reports the memory that the session's incomplete requests occupy. It may have to give up some of it at once.
    pub fn report(&self, bytes: usize) {
        let mut state = self.budget.lock();
        state.ledger.set_bytes(self.id, bytes);
        self.budget.enforce(&mut state);
    }

    /// Records that a request of the session has been accepted.
    pub fn mark_established(&self) {
        self.budget.lock().ledger.mark_established(self.id);
    }
}

impl Drop for InputAccount {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        state.ledger.close(self.id);
        let memory = &self.budget.core.transport.memory;
        memory.set_incomplete_requests(state.ledger.total_bytes());
        state.holders.remove(&self.id);
    }
}
