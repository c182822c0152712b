//! State machine of one call, from its first attempt to its outcome, without I/O and for both transports.
//!
//! The driver reports events with their time and executes the resulting actions in order. [`Action::Finish`] is the last
//! action and occurs exactly once. Between events the driver calls [`CallState::wake`] at the time of the last
//! [`Action::WakeAt`].
//!
//! **At most one live attempt.** An attempt has certainly ended if its dispatcher reports its end or rejects it, or if it
//! was not sent. If its connection is lost, its work may continue until the dispatcher detects the loss and cancels it,
//! which takes at most the client lease that the dispatcher announced. Until then the next attempt is made only at the same
//! dispatcher, with the same call id, and that dispatcher ends the old attempt before it starts the new one. Other
//! dispatchers are tried after the lease has expired.
use crate::request::Idempotency;
use crate::retry::{Micros, RetryState};
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Factor by which leases are extended and key windows shortened, because the clocks of client and dispatcher may run at
/// different rates and messages are delayed.
const CLOCK_MARGIN_FACTOR: f64 = 1.5;
/// Least time left before the deadline with which an attempt is started, in microseconds; a retry with less is not worth
/// its cost.
const MIN_TIME_LEFT: Micros = 5_000;

/// Outcome of a call. Every call has exactly one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response is complete, and every byte of it was passed to the caller.
    Served,
    /// No work was done that a repeat would do again.
    Rejected {
        /// Delay before a retry, if the last dispatcher requested one and it does not fit within this call.
        retry_after: Option<Duration>,
    },
    /// The response is not complete.
    Failed {
        /// Whether the work may have been done.
        may_have_run: bool,
    },
}

/// Result of an attempt, as reported by its transport.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The response was received completely.
    Complete,
    /// The dispatcher rejected the attempt, and no work was done.
    Rejected {
        /// Delay before a retry that the dispatcher requests.
        retry_after: Option<Micros>,
    },
    /// The dispatcher reported a failure.
    Failed {
        /// Whether the work may have been done.
        may_have_run: bool,
    },
    /// The request was not sent: there was no connection, or it had no capacity.
    NotSent,
    /// The connection was lost before the response was complete.
    Lost {
        /// Time within which the dispatcher cancels the attempt, if known.
        lease: Option<Micros>,
    },
}

/// An action for the driver to execute.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start an attempt. An earlier attempt has ended, or must be cancelled first.
    Start {
        /// Number of the attempt within its call, from 0.
        attempt: u32,
        /// Index of the dispatcher.
        dispatcher: usize,
        /// Time left until the call's deadline.
        time_left: Micros,
    },
    /// Cancel the attempt, and report no further event of it.
    Cancel {
        /// Number of the attempt.
        attempt: u32,
    },
    /// Call [`CallState::wake`] at this time, which replaces any earlier wake-up time.
    WakeAt(Micros),
    /// The call has ended.
    Finish(Outcome),
}

/// The attempt in progress.
#[derive(Clone, Copy, Debug)]
struct LiveAttempt {
    number: u32,
    dispatcher: usize,
    /// Whether the head of its response was passed to the caller.
    has_response: bool,
}

/// An attempt whose connection was lost and that may still be running.
#[derive(Clone, Copy, Debug)]
struct LostAttempt {
    dispatcher: usize,
    may_run_until: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// An attempt is in progress.
    Attempting,
    /// No attempt is in progress; the next one starts at this time.
    Waiting(Micros),
    Finished,
}

/// The state of one call.
#[derive(Debug)]
pub struct CallState {
    idempotency: Idempotency,
    deadline: Micros,
    phase: Phase,
    attempts: u32,
    live: Option<LiveAttempt>,
    lost: Option<LostAttempt>,
    /// Start of the first attempt that may have done work.
    first_run_at: Option<Micros>,
    /// Start of the latest attempt.
    started_at: Micros,
    /// Retry delay that the dispatcher of the latest attempt requested.
    retry_after: Option<Micros>,
}

impl CallState {
    /// Creates a call that has not started. `deadline` is a time on the client's clock.
    pub fn new(idempotency: Idempotency, deadline: Micros) -> Self {
        Self {
            idempotency,
            deadline,
            phase: Phase::Waiting(0),
            attempts: 0,
            live: None,
            lost: None,
            first_run_at: None,
            started_at: 0,
            retry_after: None,
        }
    }

    /// Number of attempts made so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Starts the call.
    pub fn start(&mut self, now: Micros, retries: &mut RetryState, actions: &mut Vec<Action>) {
        retries.record_call();
        self.next_attempt(now, retries, actions);
    }

    /// Reports that the time of [`Action::WakeAt`] was reached.
    pub fn wake(&mut self, now: Micros, retries: &mut RetryState, actions: &mut Vec<Action>) {
        match self.phase {
            Phase::Finished => {}
            _ if now >= self.deadline => self.on_deadline(now, retries, actions),
            Phase::Waiting(until) if now >= until => self.next_attempt(now, retries, actions),
            Phase::Waiting(until) => actions.push(Action::WakeAt(until.min(self.deadline))),
            Phase::Attempting => actions.push(Action::WakeAt(self.deadline)),
        }
    }

    /// Reports that the head of an attempt's response was received. From then on no other attempt is started. Returns
    /// whether the response is to be passed to the caller.
    pub fn response_started(
        &mut self,
        now: Micros,
        attempt: u32,
        retries: &mut RetryState,
    ) -> bool {
        let Some(live) = self.live.as_mut().filter(|l| l.number == attempt) else {
            return false;
        };
        // A head received at or after the deadline is not passed on. If the end of the attempt and the deadline coincide,
        // the one reported first decides the outcome.
        if now >= self.deadline {
            return false;
        }
        live.has_response = true;
        retries.record_response(live.dispatcher);
        true
    }

    /// Reports the end of an attempt.
    pub fn attempt_ended(
        &mut self,
        now: Micros,
        attempt: u32,
        end: AttemptEnd,
        retries: &mut RetryState,
        actions: &mut Vec<Action>,
    ) {
        let Some(live) = self.live.filter(|l| l.number == attempt) else {
            return;
        };
        self.live = None;
        update_breaker(now, live, end, retries);
        if end.may_have_run() {
            self.first_run_at.get_or_insert(self.started_at);
        }
        if end == AttemptEnd::Complete {
            return self.finish(Outcome::Served, actions);
        }
        // The caller has received part of this response, which the response of another attempt cannot continue.
        if live.has_response {
            return self.finish(Outcome::Failed { may_have_run: true }, actions);
        }
        self.record_lost(now, live.dispatcher, end);
        self.retry_after = match end {
            AttemptEnd::Rejected { retry_after } => retry_after,
            _ => None,
        };
        self.retry(now, live.dispatcher, end, retries, actions);
    }

    /// Records a lost attempt, or discards an earlier one that must have ended by now.
    fn record_lost(&mut self, now: Micros, dispatcher: usize, end: AttemptEnd) {
        let AttemptEnd::Lost { lease } = end else {
            return self.discard_ended_attempt(now);
        };
        // Without a lease the attempt may run until the call's deadline.
        let may_run_until = lease.map_or(self.deadline, |lease| {
            now + (lease as f64 * CLOCK_MARGIN_FACTOR) as Micros
        });
        self.lost = Some(LostAttempt {
            dispatcher,
            may_run_until,
        });
    }

    fn discard_ended_attempt(&mut self, now: Micros) {
        self.lost = self.lost.filter(|lost| lost.may_run_until > now);
    }

    /// After an attempt without a response, retries at another dispatcher at once, waits for a backoff, or ends the call.
    fn retry(
        &mut self,
        now: Micros,
        dispatcher: usize,
        end: AttemptEnd,
        retries: &mut RetryState,
        actions: &mut Vec<Action>,
    ) {
        let not_sent = end == AttemptEnd::NotSent;
        if !self.may_repeat(now) || self.attempts >= retries.policy().max_attempts {
            return self.give_up(actions);
        }
        // An attempt that was not sent caused no load, so trying another dispatcher takes no retry from the budget.
        if not_sent && self.lost.is_none() {
            if let Some(other) = retries.choose(now, &[dispatcher]) {
                return self.start_attempt(now, other, actions);
            }
        }
        if !not_sent && !retries.take_retry() {
            return self.give_up(actions);
        }
        let mut until = now + retries.backoff(self.attempts, self.retry_after);
        // The dispatcher of a lost attempt is unreachable: other dispatchers are tried once that attempt must have ended.
        let unreachable = self
            .lost
            .filter(|lost| not_sent && lost.dispatcher == dispatcher);
        if let Some(lost) = unreachable {
            until = until.max(lost.may_run_until);
        }
        self.wait(now, until, actions);
    }

    fn wait(&mut self, now: Micros, until: Micros, actions: &mut Vec<Action>) {
        if until + MIN_TIME_LEFT >= self.deadline || now >= self.deadline {
            return self.give_up(actions);
        }
        self.phase = Phase::Waiting(until);
        actions.push(Action::WakeAt(until));
    }

    /// Whether another attempt is safe.
    fn may_repeat(&self, now: Micros) -> bool {
        let Some(first_run_at) = self.first_run_at else {
            return true;
        };
        match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => false,
            Idempotency::WithKey { window } => {
                let safe_window = (window.as_micros() as f64 / CLOCK_MARGIN_FACTOR) as Micros;
                now + MIN_TIME_LEFT < first_run_at + safe_window
            }
        }
    }

    fn next_attempt(&mut self, now: Micros, retries: &mut RetryState, actions: &mut Vec<Action>) {
        if !self.may_repeat(now) {
            return self.give_up(actions);
        }
        self.discard_ended_attempt(now);
        let chosen = match self.lost {
            Some(lost) => retries
                .try_admit(now, lost.dispatcher)
                .then_some(lost.dispatcher),
            None => retries.choose(now, &[]),
        };
        match (chosen, self.lost) {
            (Some(dispatcher), _) => self.start_attempt(now, dispatcher, actions),
            (None, Some(lost)) => self.wait(now, lost.may_run_until, actions),
            (None, None) => {
                let next = retries.next_attempt_at().unwrap_or(now);
                self.wait(now, next.max(now + MIN_TIME_LEFT), actions);
            }
        }
    }

    fn start_attempt(&mut self, now: Micros, dispatcher: usize, actions: &mut Vec<Action>) {
        if now + MIN_TIME_LEFT >= self.deadline {
            return self.give_up(actions);
        }
        let number = self.attempts;
        self.attempts += 1;
        self.phase = Phase::Attempting;
        self.started_at = now;
        self.live = Some(LiveAttempt {
            number,
            dispatcher,
            has_response: false,
        });
        actions.push(Action::Start {
            attempt: number,
            dispatcher,
            time_left: self.deadline - now,
        });
        actions.push(Action::WakeAt(self.deadline));
    }

    fn on_deadline(&mut self, now: Micros, retries: &mut RetryState, actions: &mut Vec<Action>) {
        let Some(live) = self.live.take() else {
            return self.give_up(actions);
        };
        if !live.has_response {
            retries.record_no_response(now, live.dispatcher);
        }
        self.first_run_at.get_or_insert(self.started_at);
        actions.push(Action::Cancel {
            attempt: live.number,
        });
        self.finish(Outcome::Failed { may_have_run: true }, actions);
    }

    /// Ends the call without a further attempt: as rejected if the caller may safely repeat it, otherwise as failed.
    fn give_up(&mut self, actions: &mut Vec<Action>) {
        let safe_to_repeat =
            self.first_run_at.is_none() || self.idempotency == Idempotency::Idempotent;
        let outcome = if safe_to_repeat {
            Outcome::Rejected {
                retry_after: self.retry_after.map(Duration::from_micros),
            }
        } else {
            Outcome::Failed { may_have_run: true }
        };
        self.finish(outcome, actions);
    }

    fn finish(&mut self, outcome: Outcome, actions: &mut Vec<Action>) {
        if self.phase != Phase::Finished {
            self.phase = Phase::Finished;
            actions.push(Action::Finish(outcome));
        }
    }
}

impl AttemptEnd {
    /// Whether the attempt's work may have been done.
    fn may_have_run(self) -> bool {
        match self {
            Self::NotSent | Self::Rejected { .. } => false,
            Self::Failed { may_have_run } => may_have_run,
            Self::Complete | Self::Lost { .. } => true,
        }
    }
}

/// Reports to the dispatcher's circuit breaker whether it responded to an attempt.
fn update_breaker(now: Micros, live: LiveAttempt, end: AttemptEnd, retries: &mut RetryState) {
    let no_response = matches!(end, AttemptEnd::NotSent | AttemptEnd::Lost { .. });
    if no_response && !live.has_response {
        retries.record_no_response(now, live.dispatcher);
    } else {
        retries.record_response(live.dispatcher);
    }
}
