//! Tries of clients' calls: [`crate::call_deduplication`] behind a lock, and the way of its word to each try's task.
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

/// A call is remembered for so long after its end, for a client that lost its answer.
const KEEP: Micros = 2_000_000;
/// All answers kept together.
const ANSWERS: usize = 8 * 1024 * 1024;
/// Largest answer that is kept.
pub(crate) const KEPT_ANSWER: usize = 16 * 1024;

/// A whole answer, to be given again.
#[derive(Clone, Debug)]
pub(crate) struct Kept {
    pub head: ResponseHead,
    pub body: Vec<Bytes>,
}

#[derive(Debug)]
struct Locked {
    keys: CallRegistry<Kept>,
    next: CallAttemptId,
    /// Of tries that run or wait: how they are told to end, and that it is their turn.
    told: HashMap<CallAttemptId, (Arc<Notify>, Option<oneshot::Sender<()>>)>,
}

#[derive(Debug)]
pub(crate) struct Tries {
    locked: Mutex<Locked>,
    born: Instant,
}

/// A try's place; given back with its end.
pub(crate) struct Try {
    tries: Arc<Tries>,
    call: String,
    ticket: CallAttemptId,
    /// Told that the call has been tried again.
    pub superseded: Arc<Notify>,
    turn: Option<oneshot::Receiver<()>>,
    answer: Option<Kept>,
}

pub(crate) enum Begun {
    Run(Try),
    Answered(Kept),
    Full,
}

impl Tries {
    pub fn new(most: usize) -> Arc<Self> {
        let keys = CallRegistry::new(CallRegistryLimits {
            max_calls: most,
            retention: KEEP,
            max_response_bytes: ANSWERS,
        });
        let locked = Locked {
            keys,
            next: 0,
            told: HashMap::new(),
        };
        Arc::new(Self {
            locked: Mutex::new(locked),
            born: Instant::now(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Locked> {
        self.locked
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn now(&self) -> Micros {
        self.born.elapsed().as_micros() as Micros
    }

    pub fn known(&self) -> usize {
        self.lock().keys.len()
    }

    pub fn begin(self: &Arc<Self>, call: &str) -> Begun {
        let mut locked = self.lock();
        locked.next += 1;
        let ticket = locked.next;
        let turn = match locked.keys.begin(self.now(), call, ticket) {
            CallDecision::Answered(kept) => return Begun::Answered(kept),
            CallDecision::Full => return Begun::Full,
            CallDecision::Run => None,
            CallDecision::RunAfter(end) => {
                for (told, _) in end.iter().filter_map(|t| locked.told.get(t)) {
                    told.notify_one();
                }
                Some(oneshot::channel())
            }
        };
        let superseded = Arc::new(Notify::new());
        let (sender, turn) = turn.unzip();
        locked.told.insert(ticket, (superseded.clone(), sender));
        let (tries, call) = (self.clone(), call.to_owned());
        Begun::Run(Try {
            tries,
            call,
            ticket,
            superseded,
            turn,
            answer: None,
        })
    }
}

impl Try {
    /// Returns when the tries before it are over: what was kept of the call, if it was answered meanwhile. An error: it
    /// was tried again itself.
    pub async fn turn(&mut self) -> Result<Option<Kept>, ()> {
        let Some(turn) = self.turn.take() else {
            return Ok(None);
        };
        tokio::select! {
            turn = turn => turn.map_err(|_| ())?,
            _ = self.superseded.notified() => return Err(()),
        }
        Ok(self.tries.lock().keys.remembered_response(&self.call))
    }

    /// The answer was whole: kept for a client that lost it.
    pub fn keep(&mut self, answer: Kept) {
        self.answer = Some(answer);
    }
}

impl Drop for Try {
    fn drop(&mut self) {
        let mut locked = self.tries.lock();
        locked.told.remove(&self.ticket);
        let answer = self.answer.take().map(|kept| SizedResponse {
            bytes: kept.body.iter().map(Bytes::len).sum::<usize>() + 256,
            response: kept,
        });
        let next = locked
            .keys
            .end(self.tries.now(), &self.call, self.ticket, answer);
        if let Some((_, turn)) = next.and_then(|next| locked.told.get_mut(&next)) {
            if let Some(turn) = turn.take() {
                let _ = turn.send(());
            }
        }
    }
}
