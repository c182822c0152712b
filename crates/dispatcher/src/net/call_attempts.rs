//! Attempts of clients' calls: [`crate::call_deduplication`] behind a lock, and the notification of each attempt's task.
use crate::call_deduplication::{
    CallAttemptId, CallDecision, CallRegistry, CallRegistryLimits, SizedResponse,
};
use bytes::Bytes;
use pointspindle::Micros;
use pointspindle_protocol::ResponseHead;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::{oneshot, Notify};
use tokio::time::Instant;

/// A call is remembered for so long after its end, for a client that lost its response.
const CALL_RETENTION_US: Micros = 2_000_000;
/// All cached responses together.
const MAX_CACHED_BYTES: usize = 8 * 1024 * 1024;
/// Largest response that is cached.
pub(super) const MAX_CACHED_RESPONSE_BYTES: usize = 16 * 1024;
/// What a cached response costs beside its body.
const CACHED_RESPONSE_OVERHEAD_BYTES: usize = 256;

/// A complete response, to be given again.
#[derive(Clone, Debug)]
pub(super) struct CachedResponse {
    pub head: ResponseHead,
    pub body: Vec<Bytes>,
}

impl CachedResponse {
    fn size_bytes(&self) -> usize {
        let body: usize = self.body.iter().map(Bytes::len).sum();
        body + CACHED_RESPONSE_OVERHEAD_BYTES
    }
}

/// How an attempt's task is notified.
#[derive(Debug)]
struct AttemptSignals {
    superseded: Arc<Notify>,
    /// Of an attempt that waits for the ones before it.
    turn: Option<oneshot::Sender<()>>,
}

#[derive(Debug)]
struct CallTable {
    calls: CallRegistry<CachedResponse>,
    last_attempt_id: CallAttemptId,
    /// Of attempts that run or wait; removed with their end.
    signals: HashMap<CallAttemptId, AttemptSignals>,
}

/// The calls of all clients, shared by their connections.
#[derive(Debug)]
pub(super) struct CallAttempts {
    table: Mutex<CallTable>,
    started_at: Instant,
}

/// One attempt of a call. Dropped, it has ended: the next attempt of the call begins, and a response given to
/// [`CallAttempt::cache`] is remembered.
pub(super) struct CallAttempt {
    attempts: Arc<CallAttempts>,
    call: String,
    id: CallAttemptId,
    /// Notified when the client has made another attempt of the call.
    pub superseded: Arc<Notify>,
    turn: Option<oneshot::Receiver<()>>,
    response: Option<CachedResponse>,
}

/// Whether an attempt of a call may begin.
pub(super) enum AttemptAdmission {
    /// It may, once [`CallAttempt::wait_for_turn`] returns.
    Admitted(CallAttempt),
    /// The call has been answered with this response.
    Answered(CachedResponse),
    /// Too many calls are known.
    Full,
}

/// The client has made another attempt of the call; nothing of this one was begun.
#[derive(Debug, thiserror::Error)]
#[error("superseded by a later attempt of the call")]
pub(super) struct Superseded;

impl CallAttempts {
    /// A table of at most so many calls.
    pub fn new(max_calls: usize) -> Arc<Self> {
        let calls = CallRegistry::new(CallRegistryLimits {
            max_calls,
            retention: CALL_RETENTION_US,
            max_response_bytes: MAX_CACHED_BYTES,
        });
        let table = CallTable {
            calls,
            last_attempt_id: 0,
            signals: HashMap::new(),
        };
        Arc::new(Self {
            table: Mutex::new(table),
            started_at: Instant::now(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, CallTable> {
        self.table
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    /// Calls that run or are remembered.
    pub fn known_calls(&self) -> usize {
        self.lock().calls.len()
    }

    /// An attempt of a call has arrived; the attempts of the same call before it are notified to end.
    pub fn begin(self: &Arc<Self>, call: &str) -> AttemptAdmission {
        let mut table = self.lock();
        table.last_attempt_id += 1;
        let id = table.last_attempt_id;
        let turn = match table.calls.begin(self.now(), call, id) {
            CallDecision::Answered(response) => return AttemptAdmission::Answered(response),
            CallDecision::Full => return AttemptAdmission::Full,
            CallDecision::Run => None,
            CallDecision::RunAfter(earlier) => {
                for signals in earlier.iter().filter_map(|id| table.signals.get(id)) {
                    signals.superseded.notify_one();
                }
                Some(oneshot::channel())
            }
        };
        let superseded = Arc::new(Notify::new());
        let (turn_sender, turn) = turn.unzip();
        let signals = AttemptSignals {
            superseded: superseded.clone(),
            turn: turn_sender,
        };
        table.signals.insert(id, signals);
        AttemptAdmission::Admitted(CallAttempt {
            attempts: self.clone(),
            call: call.to_owned(),
            id,
            superseded,
            turn,
            response: None,
        })
    }
}

impl CallAttempt {
    /// Returns when the attempts before it have ended: the cached response, if the call was answered meanwhile.
    pub async fn wait_for_turn(&mut self) -> Result<Option<CachedResponse>, Superseded> {
        let Some(turn) = self.turn.take() else {
            return Ok(None);
        };
        tokio::select! {
            turn = turn => turn.map_err(|_| Superseded)?,
            _ = self.superseded.notified() => return Err(Superseded),
        }
        Ok(self.attempts.lock().calls.remembered_response(&self.call))
    }

    /// The response was complete: it is remembered for a client that lost it.
    pub fn cache(&mut self, response: CachedResponse) {
        self.response = Some(response);
    }
}

impl Drop for CallAttempt {
    fn drop(&mut self) {
        let mut table = self.attempts.lock();
        table.signals.remove(&self.id);
        let response = self.response.take().map(|response| SizedResponse {
            bytes: response.size_bytes(),
            response,
        });
        let now = self.attempts.now();
        let next = table.calls.end(now, &self.call, self.id, response);
        let next_signals = next.and_then(|next| table.signals.get_mut(&next));
        if let Some(turn) = next_signals.and_then(|signals| signals.turn.take()) {
            let _ = turn.send(());
        }
    }
}
