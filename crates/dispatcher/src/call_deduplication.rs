//! Clients' calls by their idempotency key, so that a retried call never has two live attempts here: a decision without I/O.
//!
//! A client that lost its connection does not know whether its dispatcher has noticed. It retries under the same key. The
//! previous attempt is ended first, and the new one begins when that end is known. A call whose response was complete, small
//! and of a request that must not be executed twice is answered from the remembered response.
use pointspindle::Micros;
use std::collections::{HashMap, VecDeque};

/// Bounds of a [`CallRegistry`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRegistryLimits {
    /// Calls at once, running or remembered.
    pub max_calls: usize,
    /// How long a call is remembered after its end.
    pub retention: Micros,
    /// Size of all remembered responses.
    pub max_response_bytes: usize,
}

/// Number of a client's attempt at a call, chosen by the caller and never used twice.
pub type CallAttemptId = u64;

/// What happens to a new attempt at a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallDecision<R> {
    /// It runs now.
    Run,
    /// The caller ends these attempts; the new one runs when [`CallRegistry::end`] returns it.
    RunAfter(Vec<CallAttemptId>),
    /// The call was answered with this response.
    Answered(R),
    /// Too many calls are running or remembered.
    Full,
}

/// A remembered response, with its size in bytes.
#[derive(Debug)]
pub struct SizedResponse<R> {
    /// The response.
    pub response: R,
    /// Its size, counted against [`CallRegistryLimits::max_response_bytes`].
    pub bytes: usize,
}

#[derive(Debug)]
enum Call<R> {
    Running {
        attempt: CallAttemptId,
        /// The latest retry, which runs after `attempt` has ended.
        next: Option<CallAttemptId>,
    },
    Ended {
        at: Micros,
        response: Option<SizedResponse<R>>,
    },
}

#[derive(Debug)]
struct EndedCall {
    at: Micros,
    key: String,
}

/// Running and remembered calls.
///
/// Invariant: each ended call has an entry of its end's moment in `ended`; `response_bytes` is the size of all remembered
/// responses. Bound: [`CallRegistryLimits`]; with too many calls a new one is refused, and no running call is forgotten for
/// it. A call is forgotten after [`CallRegistryLimits::retention`]. For each attempt that may run, now or later, its
/// end is owed once.
#[derive(Debug)]
pub struct CallRegistry<R> {
    limits: CallRegistryLimits,
    calls: HashMap<String, Call<R>>,
    /// In the order of their ends.
    ended: VecDeque<EndedCall>,
    response_bytes: usize,
}

impl<R: Clone> CallRegistry<R> {
    /// No calls yet.
    pub fn new(limits: CallRegistryLimits) -> Self {
        Self {
            limits,
            calls: HashMap::new(),
            ended: VecDeque::new(),
            response_bytes: 0,
        }
    }

    /// Number of running and remembered calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call is running or remembered.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Decides about a new attempt at a call.
    pub fn begin(&mut self, now: Micros, key: &str, attempt: CallAttemptId) -> CallDecision<R> {
        self.forget_expired(now);
        let is_full = self.calls.len() >= self.limits.max_calls;
        match self.calls.get_mut(key) {
            Some(Call::Running {
                attempt: running,
                next,
            }) => {
                let superseded = next.replace(attempt);
                return CallDecision::RunAfter(superseded.into_iter().chain([*running]).collect());
            }
            Some(Call::Ended {
                response: Some(remembered),
                ..
            }) => return CallDecision::Answered(remembered.response.clone()),
            Some(Call::Ended { response: None, .. }) => {}
            None if is_full => return CallDecision::Full,
            None => {}
        }
        let call = Call::Running {
            attempt,
            next: None,
        };
        self.calls.insert(key.to_owned(), call);
        CallDecision::Run
    }

    /// An attempt has ended, with the response to be remembered, if any. Returns the attempt that runs next.
    pub fn end(
        &mut self,
        now: Micros,
        key: &str,
        attempt: CallAttemptId,
        response: Option<SizedResponse<R>>,
    ) -> Option<CallAttemptId> {
        let Some(Call::Running {
            attempt: running,
            next,
        }) = self.calls.get_mut(key)
        else {
            return None;
        };
        if *running != attempt {
            // It was still waiting for the running one's end.
            next.take_if(|waiting| *waiting == attempt);
            return None;
        }
        let free_bytes = self.limits.max_response_bytes - self.response_bytes;
        let response = response.filter(|response| response.bytes <= free_bytes);
        let waiting = next.take();
        if let (Some(next), None) = (waiting, &response) {
            *running = next;
            return Some(next);
        }
        // A retry that arrived at the moment of the response finds it when it runs.
        self.response_bytes += response_size(&response);
        let call = Call::Ended { at: now, response };
        self.calls.insert(key.to_owned(), call);
        let ended = EndedCall {
            at: now,
            key: key.to_owned(),
        };
        self.ended.push_back(ended);
        waiting
    }

    /// The remembered response of a call.
    pub fn remembered_response(&self, key: &str) -> Option<R> {
        match self.calls.get(key) {
            Some(Call::Ended {
                response: Some(remembered),
                ..
            }) => Some(remembered.response.clone()),
            _ => None,
        }
    }

    fn forget_expired(&mut self, now: Micros) {
        let retention = self.limits.retention;
        let is_expired = |ended: &&EndedCall| ended.at + retention <= now;
        while self.ended.front().filter(is_expired).is_some() {
            if let Some(ended) = self.ended.pop_front() {
                self.forget(&ended);
            }
        }
    }

    /// Forgets a call, unless it was retried since that end.
    fn forget(&mut self, ended: &EndedCall) {
        let Some(Call::Ended { at, response }) = self.calls.get(&ended.key) else {
            return;
        };
        if *at == ended.at {
            self.response_bytes -= response_size(response);
            self.calls.remove(&ended.key);
        }
    }
}

fn response_size<R>(response: &Option<SizedResponse<R>>) -> usize {
    response.as_ref().map_or(0, |response| response.bytes)
}

#[cfg(test)]
mod tests;
