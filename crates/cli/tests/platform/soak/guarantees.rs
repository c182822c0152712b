//! The guarantees of the dispatchers, checked request by request on the observations of both ends.
use super::observations::*;
use super::plan::{Plan, SubmitRepeat};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Tolerance of every time limit.
pub const TOLERANCE: Duration = ms(50);
/// Time after its deadline beyond which a response is a violation.
const MAX_LATENESS: Duration = ms(500);
/// Maximum age at the close of its connection up to which a request may be lost: clients send it again.
const MAX_CLOSE_CROSSING: Duration = ms(50);
/// Time after which attempts end once their client has abandoned the request.
const AFTER_ABANDONMENT: Duration = ms(100);
/// Time by which the time given to a cache host may exceed the remaining time.
const TIME_LEFT_TOLERANCE: Duration = ms(150);
/// Maximum time after a kill until the process's connections are closed.
const CLOSE_AFTER_KILL: Duration = ms(500);
const DRAIN_GRACE: Duration = ms(1_000);
const PURGE_GRACE: Duration = ms(500);
/// Time after a purge by which copies from before it have expired everywhere.
const PURGE_HORIZON: Duration = ms(6_000);
/// Time after the start of an outage at which changes announced during it count as announced.
const MAX_ANNOUNCEMENT_DELAY: Duration = ms(4_000);

/// A guarantee of the dispatchers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Guarantee {
    /// Each request gets a response.
    Answered,
    /// Responses arrive in time.
    AnsweredInTime,
    /// No request gets two responses.
    AnsweredOnce,
    /// No attempt is made after the client has abandoned the request.
    NoAttemptAfterAbandonment,
    /// Cache hosts are given no more than the remaining time.
    TimeLeft,
    /// No two attempts of a request are open at once.
    OneAttemptAtOnce,
    /// A request that is not idempotent runs once, or is repeated only while its key is remembered.
    NoRepeatedEffect,
    /// A rejection means that a retry is harmless.
    RejectionAllowsRetry,
    /// Draining endpoints receive no request.
    NoRequestToDraining,
    /// Copies from before a purge are not requested.
    NoPurgedCopy,
    /// No process exits unexpectedly or with an error.
    NoCrash,
}

/// A violation of a guarantee.
#[derive(Clone, Debug)]
pub struct Violation {
    pub guarantee: Guarantee,
    /// Transaction id of the request; empty if the violation concerns no request.
    pub transaction: String,
    pub reason: String,
}

/// A request and its attempts, in the order in which they were received.
struct ObservedRequest<'a> {
    transaction: &'a str,
    record: &'a RequestRecord,
    attempts: &'a [&'a Attempt],
}

/// Returns all violations in the observations of a run.
pub fn find_violations(plan: &Plan, observations: &Observations) -> Vec<Violation> {
    let mut check = Check {
        plan,
        observations,
        violations: Vec::new(),
    };
    let mut attempts: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
    for attempt in &observations.attempts {
        let of_request = attempts.entry(&attempt.transaction).or_default();
        of_request.push(attempt);
    }
    for (transaction, record) in &observations.requests {
        let attempts = attempts.get(transaction.as_str());
        let request = ObservedRequest {
            transaction,
            record,
            attempts: attempts.map(Vec::as_slice).unwrap_or_default(),
        };
        check.outcome(&request);
        check.each_attempt(&request);
        check.attempts_do_not_overlap(&request);
        check.effect_is_not_repeated(&request);
    }
    for crash in &observations.crashes {
        check.violated(Guarantee::NoCrash, "", crash.clone());
    }
    check.violations
}

/// The check of one run.
struct Check<'a> {
    plan: &'a Plan,
    observations: &'a Observations,
    violations: Vec<Violation>,
}

impl Check<'_> {
    fn violated(&mut self, guarantee: Guarantee, transaction: &str, reason: impl Into<String>) {
        self.violations.push(Violation {
            guarantee,
            transaction: transaction.to_owned(),
            reason: reason.into(),
        });
    }

    fn outcome(&mut self, request: &ObservedRequest) {
        let record = request.record;
        if record.responses > 1 {
            let reason = format!("{} responses", record.responses);
            self.violated(Guarantee::AnsweredOnce, request.transaction, reason);
        }
        match record.outcome {
            RequestOutcome::Answered { at, status } => {
                let limit = record.time_left + TOLERANCE + MAX_LATENESS;
                if record.abandoned_at.is_none() && at > record.sent_at + limit {
                    let reason = format!("answered after {:?}", at - record.sent_at);
                    self.violated(Guarantee::AnsweredInTime, request.transaction, reason);
                }
                self.rejection(request, status);
            }
            RequestOutcome::Abandoned => {}
            RequestOutcome::Closed { at, unused } => self.closed(request, at, unused),
            RequestOutcome::Open => {
                self.violated(Guarantee::Answered, request.transaction, "never answered");
            }
        }
    }

    /// Checks a request whose connection was closed while it was open.
    fn closed(&mut self, request: &ObservedRequest, at: Instant, unused: bool) {
        let record = request.record;
        let crossed = at <= record.sent_at + MAX_CLOSE_CROSSING;
        // New connections may be closed unread while idle clients take all descriptors.
        let unread = self.plan.idle_clients && unused && request.attempts.is_empty();
        if crossed || unread {
            return;
        }
        let killed = self.observations.process_ends.iter().any(|end| {
            end.dispatcher == record.dispatcher
                && at + TOLERANCE >= end.killed_at
                && at <= end.killed_at + CLOSE_AFTER_KILL
        });
        let reason = match killed {
            true => "killed before its response",
            false => "closed without a response",
        };
        self.violated(Guarantee::Answered, request.transaction, reason);
    }

    fn rejection(&mut self, request: &ObservedRequest, status: u16) {
        // Nothing tells another dispatcher when the window of a key began.
        let has_effect = request.record.class == Class::Submit
            && self.plan.submit_repeat != SubmitRepeat::Idempotent;
        let may_have_run = request
            .attempts
            .iter()
            .any(|attempt| attempt.may_have_run());
        if status == 503 && has_effect && may_have_run {
            let reason = "rejected, and an attempt may have run";
            self.violated(Guarantee::RejectionAllowsRetry, request.transaction, reason);
        }
    }

    fn each_attempt(&mut self, request: &ObservedRequest) {
        let record = request.record;
        for attempt in request.attempts {
            let abandoned = record.abandoned_at.is_some_and(|abandoned_at| {
                attempt.received_at > abandoned_at + AFTER_ABANDONMENT + TOLERANCE
            });
            if abandoned {
                let reason = "attempt made after the client had abandoned the request";
                self.violated(
                    Guarantee::NoAttemptAfterAbandonment,
                    request.transaction,
                    reason,
                );
            }
            let deadline = record.sent_at + record.time_left;
            let left = deadline.saturating_duration_since(attempt.received_at);
            if ms(attempt.time_left_ms) > left + TIME_LEFT_TOLERANCE {
                let reason = format!("ms={} given, {left:?} left", attempt.time_left_ms);
                self.violated(Guarantee::TimeLeft, request.transaction, reason);
            }
            self.announced_changes(request, attempt);
        }
    }

    fn attempts_do_not_overlap(&mut self, request: &ObservedRequest) {
        for pair in request.attempts.windows(2) {
            let first_end = pair[0].end.map(|end| end.at);
            let second_start = pair[1].received_at;
            if first_end.is_none_or(|end| end > second_start + TOLERANCE) {
                let reason = "second attempt made while the first was open";
                self.violated(Guarantee::OneAttemptAtOnce, request.transaction, reason);
            }
        }
    }

    fn effect_is_not_repeated(&mut self, request: &ObservedRequest) {
        let first_run = request
            .attempts
            .iter()
            .find(|attempt| attempt.may_have_run());
        let Some(first_run) = first_run.filter(|_| request.record.class == Class::Submit) else {
            return;
        };
        let repeats_until = match self.plan.submit_repeat {
            SubmitRepeat::Idempotent => return,
            SubmitRepeat::Deduplicated => {
                Some(first_run.received_at + self.plan.key_lifetime + TOLERANCE)
            }
            SubmitRepeat::AtMostOnce => None,
        };
        for attempt in request.attempts {
            let is_later = attempt.received_at > first_run.received_at;
            let is_repeated = repeats_until.is_none_or(|until| attempt.received_at > until);
            if is_later && is_repeated {
                let after = attempt.received_at - first_run.received_at;
                let reason = format!("run again after {after:?}");
                self.violated(Guarantee::NoRepeatedEffect, request.transaction, reason);
            }
        }
    }

    /// Returns the time at which a change counts as known to all dispatchers.
    fn known_at(&self, announced_at: Instant, grace: Duration) -> Instant {
        let concerned = self.observations.discovery_outages.iter().filter(|outage| {
            outage.from <= announced_at + TOLERANCE && announced_at <= outage.to + TOLERANCE
        });
        concerned
            .map(|outage| outage.from + MAX_ANNOUNCEMENT_DELAY)
            .fold(announced_at, Instant::max)
            + grace
            + TOLERANCE
    }

    fn announced_changes(&mut self, request: &ObservedRequest, attempt: &Attempt) {
        for announcement in &self.observations.announcements {
            let is_known = |grace| attempt.received_at > self.known_at(announcement.at, grace);
            match announcement.change {
                Change::Drained { host } if host == attempt.host && is_known(DRAIN_GRACE) => {
                    let reason = format!("forwarded to draining host {host}");
                    self.violated(Guarantee::NoRequestToDraining, request.transaction, reason);
                }
                Change::Purged { object, at }
                    if object == request.record.object && is_known(PURGE_GRACE) =>
                {
                    self.purge(request, attempt, at);
                }
                _ => {}
            }
        }
    }

    /// Checks an attempt that was received when a purge of its object was known.
    fn purge(&mut self, request: &ObservedRequest, attempt: &Attempt, purged_at: Instant) {
        let received_at = attempt.received_at;
        let copies_remain =
            request.record.class == Class::Page && received_at < purged_at + PURGE_HORIZON;
        let since_purge = received_at.saturating_duration_since(purged_at);
        if copies_remain && !excludes_copies_older_than(attempt, since_purge) {
            let max_age_ms = attempt.max_age_ms;
            let reason =
                format!("copies of up to {max_age_ms} ms requested, purged {since_purge:?} ago");
            self.violated(Guarantee::NoPurgedCopy, request.transaction, reason);
        }
    }
}

/// Returns whether the age limit of an attempt excludes all copies older than `age`.
pub fn excludes_copies_older_than(attempt: &Attempt, age: Duration) -> bool {
    attempt.max_age_ms > 0 && ms(attempt.max_age_ms) <= age + TOLERANCE
}
