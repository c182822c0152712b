//! Attempts of client calls: [`crate::call_deduplication`] behind a lock, and the notification of each attempt's task.
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

/// Time for which a call is remembered after its end, for a client that lost its response.
const CALL_RETENTION_US: Micros = 2_000_000;
/// Maximum total size of all cached responses.
const MAX_CACHED_BYTES: usize = 8 * 1024 * 1024;
/// Maximum size of a cached response body.
pub(super) const MAX_CACHED_RESPONSE_BYTES: usize = 16 * 1024;
/// Memory accounted for a cached response in addition to its body.
const CACHED_RESPONSE_OVERHEAD_BYTES: usize = 256;

/// A complete response that can be sent again.
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

/// Channels that notify the task of an attempt.
#[derive(Debug)]
struct AttemptSignals {
    superseded: Arc<Notify>,
    /// Present while the attempt waits for earlier attempts of the call to end.
    turn: Option<oneshot::Sender<()>>,
}

#[derive(Debug)]
struct CallTable {
    calls: CallRegistry<CachedResponse>,
    last_attempt_id: CallAttemptId,
    /// Signals of the attempts that run or wait; removed when the attempt ends.
    signals: HashMap<CallAttemptId, AttemptSignals>,
}

/// The calls of all clients, shared by their connections.
#[derive(Debug)]
pub(super) struct CallAttempts {
    table: Mutex<CallTable>,
    started_at: Instant,
}

/// One attempt of a call. Dropping it ends the attempt: the next attempt of the call may begin, and a response passed to
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
    /// The attempt may begin once [`CallAttempt::wait_for_turn`] returns.
    Admitted(CallAttempt),
    /// An earlier attempt has completed the call with this response.
    Answered(CachedResponse),
    /// The table of calls is full.
    Full,
}

/// The client has made a later attempt of the call, and this one has not begun.
#[derive(Debug, thiserror::Error)]
#[error("superseded by a later attempt of the call")]
pub(super) struct Superseded;

impl CallAttempts {
    /// Creates a table for at most `max_calls` calls.
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

    /// Number of calls that are running or remembered.
    pub fn known_calls(&self) -> usize {
        self.lock().calls.len()
    }

    /// Registers an attempt of a call. Earlier attempts of the same call are notified that they are superseded.
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
    /// Waits until the earlier attempts of the call have ended. Returns the cached response if one of them completed the
    /// call.
    pub async fn wait_for_turn(&mut self) -> Result<Option<CachedResponse>, Superseded> {
        let Some(turn) = self.turn.take() else {
            return Ok(None);
        };
        tokio::select! {
            turn = turn => turn.map_err(|_| Superseded)?,
            _ = self.superseded.notified() => return Err(Superseded),
        }
        Ok(self.attempts.lock().calls.stored_response(&self.call))
    }

    /// Stores a complete response, which is remembered for a client that lost it.
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
