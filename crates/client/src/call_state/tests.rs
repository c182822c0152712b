use super::*;
use crate::retry::RetryPolicy;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SECOND: Micros = 1_000_000;
const DEADLINE: Micros = 2 * SECOND;

fn retry_state(dispatchers: usize) -> RetryState {
    RetryState::new(RetryPolicy::default(), dispatchers, 1)
}

fn start_call(idempotency: Idempotency, retries: &mut RetryState) -> (CallState, Vec<Action>) {
    let mut call = CallState::new(idempotency, DEADLINE);
    let mut actions = vec![];
    call.start(0, retries, &mut actions);
    (call, actions)
}

/// Returns the number of the attempt that is started, and its dispatcher.
fn started_attempt(actions: &[Action]) -> Option<(u32, usize)> {
    actions.iter().find_map(|action| match action {
        Action::Start {
            attempt,
            dispatcher,
            ..
        } => Some((*attempt, *dispatcher)),
        _ => None,
    })
}

fn outcomes(actions: &[Action]) -> Vec<Outcome> {
    let outcome = |action: &Action| match action {
        Action::Finish(outcome) => Some(*outcome),
        _ => None,
    };
    actions.iter().filter_map(outcome).collect()
}

fn wake_time(actions: &[Action]) -> Option<Micros> {
    actions.iter().rev().find_map(|action| match action {
        Action::WakeAt(at) => Some(*at),
        _ => None,
    })
}

/// A response and the deadline at the same time, in either order, end the call once.
#[test]
fn deadline_and_response_at_the_same_time_give_one_outcome() {
    for response_first in [true, false] {
        let mut retries = retry_state(1);
        let (mut call, _) = start_call(Idempotency::NotIdempotent, &mut retries);
        let mut actions = vec![];
        let complete = AttemptEnd::Complete;
        if response_first {
            call.attempt_ended(DEADLINE, 0, complete, &mut retries, &mut actions);
            call.wake(DEADLINE, &mut retries, &mut actions);
            assert_eq!(outcomes(&actions), [Outcome::Served]);
        } else {
            call.wake(DEADLINE, &mut retries, &mut actions);
            call.attempt_ended(DEADLINE, 0, complete, &mut retries, &mut actions);
            assert_eq!(outcomes(&actions), [Outcome::Failed { may_have_run: true }]);
            assert!(actions.contains(&Action::Cancel { attempt: 0 }));
        }
    }
}

#[test]
fn lost_attempt_is_retried_at_the_same_dispatcher_and_at_others_only_after_its_lease() {
    let mut retries = retry_state(2);
    let (mut call, actions) = start_call(Idempotency::Idempotent, &mut retries);
    assert_eq!(started_attempt(&actions), Some((0, 0)));
    let lost = AttemptEnd::Lost {
        lease: Some(200_000),
    };
    let mut actions = vec![];
    call.attempt_ended(SECOND / 10, 0, lost, &mut retries, &mut actions);
    let retry_at = wake_time(&actions).unwrap();
    let mut actions = vec![];
    call.wake(retry_at, &mut retries, &mut actions);
    assert_eq!(
        started_attempt(&actions),
        Some((1, 0)),
        "the retry must go to the same dispatcher, which ends the old attempt first"
    );
    let mut actions = vec![];
    let not_sent = AttemptEnd::NotSent;
    call.attempt_ended(retry_at + 1_000, 1, not_sent, &mut retries, &mut actions);
    let lease_over = wake_time(&actions).unwrap();
    assert!(
        lease_over >= SECOND / 10 + 300_000,
        "the other dispatcher must not be tried before the lease and its margin are over ({lease_over} us)"
    );
    let mut actions = vec![];
    call.wake(lease_over, &mut retries, &mut actions);
    assert_eq!(started_attempt(&actions).map(|(_, at)| at), Some(1));
}

#[test]
fn attempt_that_may_have_run_is_retried_only_as_its_idempotency_allows() {
    let lost = AttemptEnd::Lost { lease: Some(1_000) };
    let window = Duration::from_millis(600);
    for (idempotency, at, retried) in [
        (Idempotency::Idempotent, SECOND, true),
        (Idempotency::NotIdempotent, 1_000, false),
        (Idempotency::WithKey { window }, 100_000, true),
        (Idempotency::WithKey { window }, 500_000, false),
    ] {
        let mut retries = retry_state(2);
        let (mut call, _) = start_call(idempotency, &mut retries);
        let mut actions = vec![];
        call.attempt_ended(at, 0, lost, &mut retries, &mut actions);
        assert_eq!(
            outcomes(&actions).is_empty(),
            retried,
            "{idempotency:?} at {at}: {actions:?}"
        );
        if !retried {
            assert_eq!(outcomes(&actions), [Outcome::Failed { may_have_run: true }]);
        }
    }
    let mut retries = retry_state(2);
    let (mut call, _) = start_call(Idempotency::NotIdempotent, &mut retries);
    let mut actions = vec![];
    call.attempt_ended(1_000, 0, AttemptEnd::NotSent, &mut retries, &mut actions);
    assert_eq!(
        started_attempt(&actions).map(|(_, at)| at),
        Some(1),
        "an attempt that was not sent must be retried at the other dispatcher at once"
    );
}

#[test]
fn retry_after_beyond_the_deadline_is_returned_to_the_caller() {
    let mut retries = retry_state(1);
    let (mut call, _) = start_call(Idempotency::Idempotent, &mut retries);
    let rejected = AttemptEnd::Rejected {
        retry_after: Some(5 * SECOND),
    };
    let mut actions = vec![];
    call.attempt_ended(SECOND, 0, rejected, &mut retries, &mut actions);
    assert_eq!(
        outcomes(&actions),
        [Outcome::Rejected {
            retry_after: Some(Duration::from_secs(5))
        }]
    );
}

/// Driver of a call with random attempt results, which checks the guarantees of each action.
struct CheckingDriver {
    seed: u64,
    idempotency: Idempotency,
    now: Micros,
    live: Option<StartedAttempt>,
    wake_at: Option<Micros>,
    outcomes: u32,
    /// Dispatcher of the last lost attempt, and the time until which it may run the attempt.
    lost: Option<(usize, Micros)>,
    first_run_at: Option<Micros>,
    attempts: u32,
}

#[derive(Clone, Copy)]
struct StartedAttempt {
    number: u32,
    dispatcher: usize,
    started_at: Micros,
}

impl CheckingDriver {
    fn new(seed: u64, idempotency: Idempotency) -> Self {
        Self {
            seed,
            idempotency,
            now: 0,
            live: None,
            wake_at: None,
            outcomes: 0,
            lost: None,
            first_run_at: None,
            attempts: 0,
        }
    }

    /// Executes an action and checks its guarantees.
    fn perform(&mut self, action: Action) {
        let seed = self.seed;
        assert_eq!(
            self.outcomes, 0,
            "seed {seed}: {action:?} after the outcome"
        );
        match action {
            Action::Start {
                attempt,
                dispatcher,
                time_left,
            } => self.start(attempt, dispatcher, time_left),
            Action::Cancel { attempt } => {
                assert_eq!(self.live.map(|live| live.number), Some(attempt));
                self.live = None;
            }
            Action::WakeAt(at) => self.wake_at = Some(at),
            Action::Finish(_) => self.outcomes += 1,
        }
    }

    fn start(&mut self, number: u32, dispatcher: usize, time_left: Micros) {
        let seed = self.seed;
        let now = self.now;
        assert!(self.live.is_none(), "seed {seed}: two live attempts");
        assert!(now < DEADLINE && time_left == DEADLINE - now);
        if let Some((at, until)) = self.lost.filter(|(_, until)| now < *until) {
            assert_eq!(
                at,
                dispatcher,
                "seed {seed}: attempt at another dispatcher {} us before the lease ended",
                until - now
            );
        }
        match (self.idempotency, self.first_run_at) {
            (Idempotency::NotIdempotent, Some(_)) => {
                panic!("seed {seed}: work that is not idempotent may be done twice")
            }
            (Idempotency::WithKey { .. }, Some(at)) => {
                assert!(
                    now < at + 500_000,
                    "seed {seed}: repeated after the key window"
                );
            }
            _ => {}
        }
        self.attempts += 1;
        self.live = Some(StartedAttempt {
            number,
            dispatcher,
            started_at: now,
        });
    }

    fn record_end(&mut self, attempt: StartedAttempt, end: AttemptEnd) {
        self.live = None;
        if let AttemptEnd::Lost { lease } = end {
            let until = lease.map_or(DEADLINE, |lease| self.now + lease);
            self.lost = Some((attempt.dispatcher, until));
        }
        if matches!(
            end,
            AttemptEnd::Lost { .. } | AttemptEnd::Failed { may_have_run: true }
        ) {
            self.first_run_at.get_or_insert(attempt.started_at);
        }
    }
}

fn random_attempt_end(random: &mut StdRng) -> AttemptEnd {
    let lease = [None, Some(100_000), Some(400_000)][random.gen_range(0..3)];
    match random.gen_range(0..6) {
        0 => AttemptEnd::Complete,
        1 => AttemptEnd::Rejected {
            retry_after: random.gen::<bool>().then_some(300_000),
        },
        2 => AttemptEnd::Failed {
            may_have_run: random.gen(),
        },
        3 => AttemptEnd::NotSent,
        _ => AttemptEnd::Lost { lease },
    }
}

fn run_random_call(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut retries = RetryState::new(RetryPolicy::default(), random.gen_range(1..4), seed);
    let window = Duration::from_millis(500);
    let idempotency = [
        Idempotency::Idempotent,
        Idempotency::WithKey { window },
        Idempotency::NotIdempotent,
    ][random.gen_range(0..3)];
    let mut call = CallState::new(idempotency, DEADLINE);
    let mut driver = CheckingDriver::new(seed, idempotency);
    let mut actions = vec![];
    call.start(driver.now, &mut retries, &mut actions);
    for _ in 0..200 {
        for action in std::mem::take(&mut actions) {
            driver.perform(action);
        }
        if driver.outcomes > 0 && driver.live.is_none() {
            break;
        }
        let Some(live) = driver.live.filter(|_| random.gen::<f64>() < 0.9) else {
            driver.now = driver.wake_at.unwrap_or(driver.now).max(driver.now);
            call.wake(driver.now, &mut retries, &mut actions);
            continue;
        };
        driver.now += random.gen_range(0..400_000);
        let now = driver.now;
        if now >= DEADLINE {
            call.wake(now, &mut retries, &mut actions);
            continue;
        }
        let end = random_attempt_end(&mut random);
        if random.gen::<f64>() < 0.2 {
            call.response_started(now, live.number, &mut retries);
        }
        driver.record_end(live, end);
        call.attempt_ended(now, live.number, end, &mut retries, &mut actions);
        // A second end of the same attempt has no effect.
        let complete = AttemptEnd::Complete;
        call.attempt_ended(now, live.number, complete, &mut retries, &mut actions);
    }
    assert_eq!(driver.outcomes, 1, "seed {seed}: number of outcomes");
    assert!(
        driver.attempts <= 4,
        "seed {seed}: {} attempts",
        driver.attempts
    );
}

/// For random attempt results at random times and every idempotency, a call has exactly one outcome, and no attempt starts
/// while another is live, at another dispatcher within a lease, after the deadline, or if it could do work twice.
#[test]
fn every_call_has_one_outcome_and_at_most_one_live_attempt() {
    for seed in 0..20_000_u64 {
        run_random_call(seed);
    }
}
