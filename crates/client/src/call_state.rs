//! One call, from its first attempt to its one outcome: a state machine without I/O, for both transports.
//!
//! The driver reports what happened, with the time, and carries the actions out in order. [`Action::Finish`] comes
//! exactly once and last. Between events the driver calls [`CallState::wake`] at the time of the last [`Action::WakeAt`].
//!
//! **At most one live attempt.** An attempt has ended for certain when its dispatcher says so, or rejects it, or when
//! nothing was sent. When its connection is lost instead, what it began may still run, until the dispatcher notices the
//! loss and cancels it: at most for the client lease that the dispatcher announced. Until then the next attempt goes to
//! the same dispatcher only, under the same call id, and that dispatcher ends the old attempt before it begins the new
//! one. Other dispatchers are tried afterwards.
use crate::request::Idempotency;
use crate::retry::{Micros, RetryState};
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Leases and windows are counted with this factor: the two machines' clocks may run at different rates, and messages
/// are delayed on their way.
const CLOCK_MARGIN: f64 = 1.5;
/// A retry with less time left than this is not worth its cost, microseconds.
const MIN_TIME_LEFT: Micros = 5_000;

/// How a call ended. There is one for each call, and no other end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Complete; every byte has been handed on.
    Served,
    /// Nothing was done that a retry would do twice.
    Rejected {
        /// When to retry, if a dispatcher said so and there is no time left for it in this call.
        retry_after: Option<Duration>,
    },
    /// The response is not complete.
    Failed {
        /// Whether the work may have been done.
        may_have_run: bool,
    },
}

/// How an attempt ended, as its transport saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The response is complete.
    Complete,
    /// The dispatcher rejected it, and nothing ran.
    Rejected {
        /// The delay that the dispatcher asks for before a retry.
        retry_after: Option<Micros>,
    },
    /// The dispatcher reported a failure.
    Failed {
        /// Whether the work may have been done.
        may_have_run: bool,
    },
    /// No connection, or no capacity on it: nothing was sent.
    NotSent,
    /// The connection was lost before the end.
    Lost {
        /// Within this time the dispatcher cancels the attempt, if it announced one.
        lease: Option<Micros>,
    },
}

/// What the driver has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Begin an attempt. An earlier one has ended, or is to be cancelled first.
    Start {
        /// The attempt's number in its call, from 0.
        attempt: u32,
        /// The dispatcher's index.
        dispatcher: usize,
        /// What is left of the call's deadline.
        time_left: Micros,
    },
    /// Cancel the attempt; nothing of it is reported any more.
    Cancel {
        /// The attempt's number.
        attempt: u32,
    },
    /// Call [`CallState::wake`] at this time, in place of any time named earlier.
    WakeAt(Micros),
    /// The call has ended.
    Finish(Outcome),
}

/// The attempt under way.
#[derive(Clone, Copy, Debug)]
struct LiveAttempt {
    number: u32,
    dispatcher: usize,
    /// Its response's head has been handed on.
    has_response: bool,
}

/// An attempt whose connection was lost, and whose end is not known.
#[derive(Clone, Copy, Debug)]
struct LostAttempt {
    dispatcher: usize,
    may_run_until: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// An attempt is under way.
    Attempting,
    /// None is, until this time.
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
    /// When the first attempt began that may have done work.
    first_run_at: Option<Micros>,
    /// When the latest attempt began.
    started_at: Micros,
    /// The delay that the latest attempt's dispatcher asked for.
    retry_after: Option<Micros>,
}

impl CallState {
    /// A call that has not begun; `deadline` on the client's clock.
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

    /// How many attempts were made so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Begins the call.
    pub fn start(&mut self, now: Micros, retries: &mut RetryState, actions: &mut Vec<Action>) {
        retries.record_call();
        self.next_attempt(now, retries, actions);
    }

    /// The time of [`Action::WakeAt`] has come.
    pub fn wake(&mut self, now: Micros, retries: &mut RetryState, actions: &mut Vec<Action>) {
        match self.phase {
            Phase::Finished => {}
            _ if now >= self.deadline => self.deadline_passed(now, retries, actions),
            Phase::Waiting(until) if now >= until => self.next_attempt(now, retries, actions),
            Phase::Waiting(until) => actions.push(Action::WakeAt(until.min(self.deadline))),
            Phase::Attempting => actions.push(Action::WakeAt(self.deadline)),
        }
    }

    /// The head of an attempt's response has come: from here on the call is this attempt's. True if it is to be handed
    /// on.
    pub fn response_started(
        &mut self,
        now: Micros,
        attempt: u32,
        retries: &mut RetryState,
    ) -> bool {
        let Some(live) = self.live.as_mut().filter(|l| l.number == attempt) else {
            return false;
        };
        // In the same instant as the deadline, whichever was reported first counts.
        if now >= self.deadline {
            return false;
        }
        live.has_response = true;
        retries.record_response(live.dispatcher);
        true
    }

    /// An attempt has ended.
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
        record_at_breaker(now, live, end, retries);
        if end.may_have_run() {
            self.first_run_at.get_or_insert(self.started_at);
        }
        if end == AttemptEnd::Complete {
            return self.finish(Outcome::Served, actions);
        }
        // Bytes have been handed on: no other attempt's response can take their place.
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

    /// Remembers a lost attempt, and forgets one that must have ended by now.
    fn record_lost(&mut self, now: Micros, dispatcher: usize, end: AttemptEnd) {
        let AttemptEnd::Lost { lease } = end else {
            return self.forget_ended(now);
        };
        // Without a lease it may run as long as its client would have waited.
        let may_run_until = lease.map_or(self.deadline, |lease| {
            now + (lease as f64 * CLOCK_MARGIN) as Micros
        });
        self.lost = Some(LostAttempt {
            dispatcher,
            may_run_until,
        });
    }

    fn forget_ended(&mut self, now: Micros) {
        self.lost = self.lost.filter(|lost| lost.may_run_until > now);
    }

    /// Goes on after an attempt without a response: at another dispatcher at once, or after a backoff, or not at all.
    fn retry(
        &mut self,
        now: Micros,
        dispatcher: usize,
        end: AttemptEnd,
        retries: &mut RetryState,
        actions: &mut Vec<Action>,
    ) {
        let nothing_sent = end == AttemptEnd::NotSent;
        if !self.may_repeat(now) || self.attempts >= retries.rules().max_attempts {
            return self.give_up(actions);
        }
        // Where nothing was sent, an attempt elsewhere is no additional load and costs no budget.
        if nothing_sent && self.lost.is_none() {
            if let Some(other) = retries.choose(now, &[dispatcher]) {
                return self.start_attempt(now, other, actions);
            }
        }
        if !nothing_sent && !retries.take_retry() {
            return self.give_up(actions);
        }
        let mut until = now + retries.backoff(self.attempts, self.retry_after);
        // A lost attempt's dispatcher that cannot be reached: the others are tried when its attempt must have ended.
        let unreachable = self
            .lost
            .filter(|lost| nothing_sent && lost.dispatcher == dispatcher);
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

    /// Whether another attempt does no harm.
    fn may_repeat(&self, now: Micros) -> bool {
        let Some(first_run_at) = self.first_run_at else {
            return true;
        };
        match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => false,
            Idempotency::WithKey { window } => {
                let safe_window = (window.as_micros() as f64 / CLOCK_MARGIN) as Micros;
                now + MIN_TIME_LEFT < first_run_at + safe_window
            }
        }
    }

    fn next_attempt(&mut self, now: Micros, retries: &mut RetryState, actions: &mut Vec<Action>) {
        if !self.may_repeat(now) {
            return self.give_up(actions);
        }
        self.forget_ended(now);
        let chosen = match self.lost {
            Some(lost) => retries
                .choose_same(now, lost.dispatcher)
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

    fn deadline_passed(
        &mut self,
        now: Micros,
        retries: &mut RetryState,
        actions: &mut Vec<Action>,
    ) {
        let Some(live) = self.live.take() else {
            return self.give_up(actions);
        };
        if !live.has_response {
            retries.record_silence(now, live.dispatcher);
        }
        self.first_run_at.get_or_insert(self.started_at);
        actions.push(Action::Cancel {
            attempt: live.number,
        });
        self.finish(Outcome::Failed { may_have_run: true }, actions);
    }

    /// No further attempt: refused where a retry by somebody else does no harm, else failed.
    fn give_up(&mut self, actions: &mut Vec<Action>) {
        let harmless = self.first_run_at.is_none() || self.idempotency == Idempotency::Idempotent;
        let outcome = if harmless {
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

/// Tells the dispatcher's circuit breaker whether it has responded.
fn record_at_breaker(now: Micros, live: LiveAttempt, end: AttemptEnd, retries: &mut RetryState) {
    let silent = matches!(end, AttemptEnd::NotSent | AttemptEnd::Lost { .. });
    if silent && !live.has_response {
        retries.record_silence(now, live.dispatcher);
    } else {
        retries.record_response(live.dispatcher);
    }
}
