//! Registry of clients' calls by idempotency key, which ensures that a retried call never has two live attempts in this
//! dispatcher. This module performs no I/O.
//!
//! A client that lost its connection does not know whether its dispatcher has detected that, and retries under the same key.
//! The previous attempt is ended first, and the new one begins when that end has been reported. If the request must not be
//! executed twice, and its response was complete and small, a retry is answered from the stored response.
use pointspindle::Micros;
use std::collections::{HashMap, VecDeque};

/// Bounds of a [`CallRegistry`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRegistryLimits {
    /// Largest number of calls, running or ended.
    pub max_calls: usize,
    /// How long a call is retained after its end.
    pub retention: Micros,
    /// Largest size of all stored responses together, in bytes.
    pub max_response_bytes: usize,
}

/// Number of a client's attempt at a call, chosen by the caller and never reused.
pub type CallAttemptId = u64;

/// The decision about a new attempt at a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallDecision<R> {
    /// The attempt runs now.
    Run,
    /// The caller must end these attempts; the new one runs when [`CallRegistry::end`] returns its number.
    RunAfter(Vec<CallAttemptId>),
    /// An earlier attempt at the call was answered with this response.
    Answered(R),
    /// The attempt is rejected, since too many calls are running or retained.
    Full,
}

/// A stored response, with its size in bytes.
#[derive(Debug)]
pub struct SizedResponse<R> {
    /// The response.
    pub response: R,
    /// Size of the response, which counts towards [`CallRegistryLimits::max_response_bytes`].
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

/// Running and recently ended calls.
///
/// Invariant: each ended call has an entry with the time of its end in `ended`; `response_bytes` is the size of all stored
/// responses. Bound: [`CallRegistryLimits`]; when the registry is full, a new call is rejected and no running call is removed.
/// An ended call is removed after [`CallRegistryLimits::retention`]. The caller must call [`CallRegistry::end`] once for each
/// attempt that may run, now or later.
#[derive(Debug)]
pub struct CallRegistry<R> {
    limits: CallRegistryLimits,
    calls: HashMap<String, Call<R>>,
    /// Ended calls in the order of their ends.
    ended: VecDeque<EndedCall>,
    response_bytes: usize,
}

impl<R: Clone> CallRegistry<R> {
    /// Creates a registry without calls.
    pub fn new(limits: CallRegistryLimits) -> Self {
        Self {
            limits,
            calls: HashMap::new(),
            ended: VecDeque::new(),
            response_bytes: 0,
        }
    }

    /// Number of running and retained calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call is running or retained.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Decides about a new attempt at a call.
    pub fn begin(&mut self, now: Micros, key: &str, attempt: CallAttemptId) -> CallDecision<R> {
        self.remove_expired(now);
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
                response: Some(stored),
                ..
            }) => return CallDecision::Answered(stored.response.clone()),
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

    /// Records the end of an attempt, with the response to be stored, if any. Returns the attempt that runs next.
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
            // The attempt was still waiting for the end of the running one.
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
        // A retry that has been waiting for this end finds the stored response when it runs.
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

    /// Returns the stored response of a call.
    pub fn stored_response(&self, key: &str) -> Option<R> {
        match self.calls.get(key) {
            Some(Call::Ended {
                response: Some(stored),
                ..
            }) => Some(stored.response.clone()),
            _ => None,
        }
    }

    fn remove_expired(&mut self, now: Micros) {
        let retention = self.limits.retention;
        let is_expired = |ended: &&EndedCall| ended.at + retention <= now;
        while self.ended.front().filter(is_expired).is_some() {
            if let Some(ended) = self.ended.pop_front() {
                self.remove_call(&ended);
            }
        }
    }

    /// Removes a call, unless it was retried after that end.
    fn remove_call(&mut self, ended: &EndedCall) {
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
