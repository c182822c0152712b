//! Injects violations into the observations of a valid run, at least one for each guarantee. The check must find
//! them.
use super::guarantees::{excludes_copies_older_than, Guarantee};
use super::observations::*;
use super::plan::{Plan, SubmitRepeat};
use std::collections::BTreeSet;
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Time before an attempt at which a purge is injected: within the purge horizon, after any outage of discovery.
const INJECTED_PURGE_AGE: Duration = ms(5_000);
/// Time before an attempt at which a drain is injected: after any outage of discovery.
const INJECTED_DRAIN_AGE: Duration = ms(9_000);

/// Observations with one violation, and the guarantee that it violates.
pub struct InjectedViolation {
    pub guarantee: Guarantee,
    pub observations: Observations,
}

/// Returns all violations that can be injected into these observations; none if no page or no write was served.
pub fn inject_violations(plan: &Plan, observations: &Observations) -> Vec<InjectedViolation> {
    let Some(injector) = ViolationInjector::new(plan, observations) else {
        return Vec::new();
    };
    let changed = [
        (Guarantee::Answered, injector.never_answered()),
        (Guarantee::Answered, injector.closed()),
        (Guarantee::AnsweredInTime, injector.answered_late()),
        (Guarantee::AnsweredOnce, injector.answered_twice()),
        (
            Guarantee::NoAttemptAfterAbandonment,
            injector.abandoned_before(),
        ),
        (Guarantee::TimeLeft, injector.too_much_time_left()),
        (Guarantee::OneAttemptAtOnce, injector.overlapping_attempts()),
        (Guarantee::NoRepeatedEffect, injector.repeated_effect()),
        (
            Guarantee::RejectionAllowsRetry,
            injector.rejected_after_a_run(),
        ),
        (Guarantee::NoRequestToDraining, injector.drained_before()),
        (Guarantee::NoPurgedCopy, injector.purged_before()),
        (Guarantee::NoCrash, injector.crash()),
    ];
    changed
        .into_iter()
        .filter_map(|(guarantee, observations)| {
            let observations = observations?;
            Some(InjectedViolation {
                guarantee,
                observations,
            })
        })
        .collect()
}

/// Injects violations into copies of the observations; its methods return `None` where that is not possible.
struct ViolationInjector<'a> {
    plan: &'a Plan,
    observations: &'a Observations,
    /// Requests with status 200 and at least one attempt.
    served: Vec<String>,
    /// A served request for a page.
    page: String,
    /// A served write request.
    submit: String,
}

impl<'a> ViolationInjector<'a> {
    fn new(plan: &'a Plan, observations: &'a Observations) -> Option<Self> {
        let attempted: BTreeSet<&str> = observations
            .attempts
            .iter()
            .map(|attempt| attempt.transaction.as_str())
            .collect();
        let served: Vec<String> = observations
            .requests
            .iter()
            .filter(|(_, request)| request.is_served())
            .map(|(transaction, _)| transaction)
            .filter(|transaction| attempted.contains(transaction.as_str()))
            .cloned()
            .collect();
        let first_of = |class| {
            let mut served_of_class = served
                .iter()
                .filter(|transaction| observations.requests[*transaction].class == class);
            served_of_class.next().cloned()
        };
        let page = first_of(Class::Page)?;
        let submit = first_of(Class::Submit)?;
        Some(Self {
            plan,
            observations,
            served,
            page,
            submit,
        })
    }

    /// Returns the observations with one request changed.
    fn with_request(
        &self,
        transaction: &str,
        change: impl FnOnce(&mut RequestRecord),
    ) -> Option<Observations> {
        let mut observations = self.observations.clone();
        change(observations.requests.get_mut(transaction)?);
        Some(observations)
    }

    /// Returns the index of the first attempt of a request.
    fn first_attempt(&self, transaction: &str) -> Option<usize> {
        let attempts = &self.observations.attempts;
        attempts
            .iter()
            .position(|attempt| attempt.transaction == transaction)
    }

    /// Adds an attempt that is received `after` the first one.
    fn add_attempt(observations: &mut Observations, first: usize, after: Duration) {
        let first = observations.attempts[first].clone();
        let received_at = first.received_at + after;
        let end = AttemptEnd {
            at: received_at,
            outcome: AttemptOutcome::Served,
        };
        observations.attempts.push(Attempt {
            received_at,
            time_left_ms: 0,
            end: Some(end),
            ..first
        });
    }

    fn never_answered(&self) -> Option<Observations> {
        self.with_request(&self.page, |request| request.outcome = RequestOutcome::Open)
    }

    fn closed(&self) -> Option<Observations> {
        self.with_request(&self.page, |request| {
            request.outcome = RequestOutcome::Closed {
                at: request.sent_at + ms(500),
                unused: false,
            }
        })
    }

    fn answered_late(&self) -> Option<Observations> {
        self.with_request(&self.page, |request| {
            request.outcome = RequestOutcome::Answered {
                at: request.sent_at + request.time_left + ms(700),
                status: 200,
            }
        })
    }

    fn answered_twice(&self) -> Option<Observations> {
        self.with_request(&self.page, |request| request.responses += 1)
    }

    fn abandoned_before(&self) -> Option<Observations> {
        self.with_request(&self.page, |request| {
            request.abandoned_at = Some(request.sent_at - ms(300));
        })
    }

    fn too_much_time_left(&self) -> Option<Observations> {
        let first = self.first_attempt(&self.page)?;
        let mut observations = self.observations.clone();
        observations.attempts[first].time_left_ms += 60_000;
        Some(observations)
    }

    fn overlapping_attempts(&self) -> Option<Observations> {
        let first = self.first_attempt(&self.page)?;
        let mut observations = self.observations.clone();
        observations.attempts[first].end = None;
        Self::add_attempt(&mut observations, first, ms(1));
        Some(observations)
    }

    fn repeated_effect(&self) -> Option<Observations> {
        if self.plan.submit_repeat == SubmitRepeat::Idempotent {
            return None;
        }
        let first = self.first_attempt(&self.submit)?;
        let mut observations = self.observations.clone();
        let after = self.plan.key_lifetime + ms(200);
        Self::add_attempt(&mut observations, first, after);
        Some(observations)
    }

    fn rejected_after_a_run(&self) -> Option<Observations> {
        if self.plan.submit_repeat != SubmitRepeat::AtMostOnce {
            return None;
        }
        self.with_request(&self.submit, |request| {
            request.outcome = RequestOutcome::Answered {
                at: request.sent_at + ms(1),
                status: 503,
            }
        })
    }

    fn drained_before(&self) -> Option<Observations> {
        let first = self.first_attempt(&self.page)?;
        let mut observations = self.observations.clone();
        let attempt = &observations.attempts[first];
        let announcement = Announcement {
            at: attempt.received_at - INJECTED_DRAIN_AGE,
            change: Change::Drained { host: attempt.host },
        };
        observations.announcements.push(announcement);
        Some(observations)
    }

    /// Injects a purge before an attempt whose age limit exceeds the age of the purge. A lower age limit excludes
    /// all purged copies, so that the purge would not be a violation.
    fn purged_before(&self) -> Option<Observations> {
        let is_served_page = |attempt: &&Attempt| {
            self.served.contains(&attempt.transaction)
                && self.observations.requests[&attempt.transaction].class == Class::Page
        };
        let attempt = self
            .observations
            .attempts
            .iter()
            .filter(is_served_page)
            .find(|attempt| !excludes_copies_older_than(attempt, INJECTED_PURGE_AGE))?;
        let object = self.observations.requests[&attempt.transaction].object;
        let at = attempt.received_at - INJECTED_PURGE_AGE;
        let mut observations = self.observations.clone();
        observations.announcements.push(Announcement {
            at,
            change: Change::Purged { object, at },
        });
        Some(observations)
    }

    fn crash(&self) -> Option<Observations> {
        let mut observations = self.observations.clone();
        observations.crashes.push("injected crash".into());
        Some(observations)
    }
}
