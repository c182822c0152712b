//! Generated traffic: waves, bursts and sequences of parts.
use pointspindle_scenario::{load_with, Scenario, SettingOverride, Traffic};
use std::collections::HashMap;
use std::path::Path;

fn scenario(overrides: &[&str]) -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/evening-rush.ini");
    let overrides: Vec<SettingOverride> =
        overrides.iter().map(|text| text.parse().unwrap()).collect();
    load_with(&file, Some(5), &overrides).unwrap_or_else(|error| panic!("{error}"))
}

/// Number of parts of a lesson video in the scenario, and the interval at which they are requested.
const PARTS: u64 = 4;
const PART_INTERVAL_US: u64 = 1_500_000;

/// A part that must be requested next in a sequence that has begun.
struct PendingPart {
    part: u64,
    due: u64,
}

/// Returns the number of calls in each second of the run.
fn calls_by_second(scenario: &Scenario) -> Vec<usize> {
    let mut counts = vec![0; scenario.duration_s as usize + 1];
    for call in Traffic::generate(scenario).calls {
        counts[(call.at / 1_000_000) as usize] += 1;
    }
    counts
}

fn mean(counts: &[usize]) -> f64 {
    counts.iter().sum::<usize>() as f64 / counts.len() as f64
}

#[test]
fn traffic_with_waves_and_burst_follows_configured_rates() {
    let waves = calls_by_second(&scenario(&["day.seconds=60", "trouble bell.hard=1"]));
    // The period is 12 s. The rate is above the mean in the first half of each period and below it in the second.
    let half_periods = |first: bool| -> Vec<usize> {
        (0..60)
            .filter(|second| (second % 12 < 6) == first)
            .map(|second| waves[second])
            .collect()
    };
    let ratio = mean(&half_periods(true)) / mean(&half_periods(false));
    // At a depth of 0.4 the mean rate in a half period is 1 ± 0.4 * 2 / π.
    assert!((ratio - 1.255 / 0.745).abs() < 0.2, "{ratio:.2}");

    let burst = calls_by_second(&scenario(&["day.wave_depth=0"]));
    let factor = mean(&burst[14..18]) / mean(&burst[20..34]);
    assert!((factor - 3.0).abs() < 0.4, "{factor:.2}");
}

/// A rate with waves of depth 0 must be constant, whatever the period.
#[test]
fn traffic_with_zero_wave_depth_ignores_wave_period() {
    let requested_parts = |overrides: &[&str]| {
        let calls = Traffic::generate(&scenario(overrides)).calls;
        calls
            .into_iter()
            .map(|call| (call.at, call.object, call.part))
            .collect::<Vec<_>>()
    };
    let steady = [
        "day.wave_depth=0",
        "trouble bell.kind=late_lists",
        "class lesson-video.part_every_ms=0",
    ];
    let other_period = [&steady[..], &["day.wave_s=3"]].concat();
    assert_eq!(requested_parts(&steady), requested_parts(&other_period));
}

#[test]
fn traffic_with_part_interval_requests_parts_in_sequence() {
    let scenario = scenario(&[
        "day.wave_depth=0",
        "class lesson-video.once=0",
        "class lesson-video.local=0",
    ]);
    let calls = Traffic::generate(&scenario).calls;
    let mut pending: HashMap<(usize, String), Vec<PendingPart>> = HashMap::new();
    let mut first_parts = 0;
    let mut later_parts = 0;
    for call in calls.into_iter().filter(|call| call.class == 0) {
        let pending = pending
            .entry((call.branch, call.object.clone()))
            .or_default();
        if call.part == 0 {
            first_parts += 1;
        } else {
            later_parts += 1;
            let due = pending
                .iter()
                .position(|next| next.part == call.part && next.due <= call.at);
            pending.swap_remove(due.expect("the previous part was requested an interval before"));
        }
        if call.part + 1 < PARTS {
            pending.push(PendingPart {
                part: call.part + 1,
                due: call.at + PART_INTERVAL_US,
            });
        }
    }
    assert!(
        first_parts > 100 && later_parts > 2 * first_parts,
        "{first_parts} first parts, {later_parts} later parts"
    );
}
