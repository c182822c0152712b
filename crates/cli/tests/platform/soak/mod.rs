//! A soak test: many dispatchers under random faults, checked request by request from what both ends observe.
//!
//! CI runs a few fixed seeds. To run other seeds by hand, one after the other for a number of seconds each:
//! `SOAK_SEEDS=1..51 SOAK_SECONDS=12 cargo test -p pointspindle-cli --test platform soak:: -- --nocapture`.
mod client;
mod dispatcher_schedule;
mod fault_schedule;
mod guarantees;
mod misbehaving_cache_host;
mod observations;
mod plan;
mod planted_violations;
mod replicated_discovery;
mod run;
mod trace;

use guarantees::{find_violations, Guarantee, Violation};
use observations::Observations;
use plan::Plan;
use planted_violations::inject_violations;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::Duration;
use tokio::time::Instant;

const CI_SEEDS: Range<u64> = 1..5;
const CI_SECONDS: u64 = 8;
/// Maximum number of violations of a run that are shown with their traces.
const MAX_SHOWN_VIOLATIONS: usize = 5;

/// Prints the first violations of a run and the command that repeats it.
fn report(plan: &Plan, observations: &Observations, violations: &[Violation]) {
    if violations.is_empty() {
        return;
    }
    let first_request = observations.requests.values().map(|record| record.sent_at);
    let start = first_request.min().unwrap_or_else(Instant::now);
    for violation in violations.iter().take(MAX_SHOWN_VIOLATIONS) {
        println!(
            "seed {}: {:?}: {}\n    {}",
            plan.seed,
            violation.guarantee,
            violation.reason,
            trace::trace(observations, &violation.transaction, start)
        );
    }
    println!(
        "repeat with: SOAK_SEEDS={}..{} SOAK_SECONDS={} cargo test -p pointspindle-cli --test platform soak:: -- --nocapture",
        plan.seed,
        plan.seed + 1,
        plan.duration.as_secs()
    );
}

/// Returns the seeds and the duration of the environment variables, or those of CI.
fn seeds_and_duration() -> (Range<u64>, Duration) {
    let number = |text: &str| {
        text.parse::<u64>()
            .expect("SOAK_SEEDS and SOAK_SECONDS must be numbers")
    };
    let seeds = std::env::var("SOAK_SEEDS").map_or(CI_SEEDS, |text| {
        let (from, to) = text
            .split_once("..")
            .expect("SOAK_SEEDS must be a range such as 1..51");
        number(from)..number(to)
    });
    let seconds = std::env::var("SOAK_SECONDS").map_or(CI_SECONDS, |text| number(&text));
    (seeds, Duration::from_secs(seconds))
}

/// Returns the guarantees whose injected violations the check does not find. It guards against a check that never
/// fails.
fn missed_violations(plan: &Plan, observations: &Observations) -> BTreeSet<Guarantee> {
    inject_violations(plan, observations)
        .into_iter()
        .filter(|injection| {
            let violations = find_violations(plan, &injection.observations);
            !violations
                .iter()
                .any(|violation| violation.guarantee == injection.guarantee)
        })
        .map(|injection| injection.guarantee)
        .collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_guarantee_is_violated_under_random_faults() {
    let (seeds, duration) = seeds_and_duration();
    let mut requests = 0;
    let mut attempts = 0;
    let mut violated = BTreeMap::<Guarantee, usize>::new();
    let mut missed = BTreeSet::new();
    for seed in seeds {
        let plan = Plan::draw(seed, duration);
        let observations = run::execute(plan.clone()).await;
        let violations = find_violations(&plan, &observations);
        let records = observations.requests.values();
        let served = records.filter(|record| record.is_served()).count();
        println!(
            "{plan:?}: {} requests, {served} served, {} attempts, {} violations",
            observations.requests.len(),
            observations.attempts.len(),
            violations.len()
        );
        report(&plan, &observations, &violations);
        requests += observations.requests.len();
        attempts += observations.attempts.len();
        for violation in &violations {
            *violated.entry(violation.guarantee).or_default() += 1;
        }
        missed.extend(missed_violations(&plan, &observations));
    }
    println!("{requests} requests, {attempts} attempts, violations by guarantee: {violated:?}");
    assert!(
        missed.is_empty(),
        "injected violations that were not found: {missed:?}"
    );
    assert!(violated.is_empty(), "{violated:?}");
    assert!(requests > 0 && attempts > 0);
}
