//! Traffic that is not steady: waves, bursts, parts one after another.
use pointspindle_scenario::{load_with, Scenario, SettingOverride, Traffic};
use std::collections::HashMap;
use std::path::Path;

fn scenario(sets: &[&str]) -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/evening-rush.ini");
    let sets: Vec<SettingOverride> = sets.iter().map(|s| s.parse().unwrap()).collect();
    load_with(&file, Some(5), &sets).unwrap_or_else(|e| panic!("{e}"))
}

/// Calls in each second.
fn by_second(s: &Scenario) -> Vec<usize> {
    let mut out = vec![0; s.duration_s as usize + 1];
    for call in Traffic::generate(s).calls {
        out[(call.at / 1_000_000) as usize] += 1;
    }
    out
}

fn mean(of: &[usize]) -> f64 {
    of.iter().sum::<usize>() as f64 / of.len() as f64
}

#[test]
fn waves_swell_and_ebb_and_a_burst_is_as_hard_as_it_says() {
    let waves = by_second(&scenario(&["day.seconds=60", "trouble bell.hard=1"]));
    // Periods of 12 s: the first half of each is above the mean, the second below.
    let half = |first: bool| -> Vec<usize> {
        (0..60)
            .filter(|n| (n % 12 < 6) == first)
            .map(|n| waves[n])
            .collect()
    };
    let ratio = mean(&half(true)) / mean(&half(false));
    // The mean of a half wave of depth 0.4 is 1 ± 0.4 * 2 / π.
    assert!((ratio - 1.255 / 0.745).abs() < 0.2, "{ratio:.2}");

    let burst = by_second(&scenario(&["day.wave_depth=0"]));
    let (inside, outside) = (mean(&burst[14..18]), mean(&burst[20..34]));
    assert!(
        (inside / outside - 3.0).abs() < 0.4,
        "{:.2}",
        inside / outside
    );
}

/// What is steady is drawn as it always was: a key for waves in the file, left at 0, moves nothing.
#[test]
fn a_steady_day_is_what_it_was() {
    let draw = |sets: &[&str]| {
        let calls = Traffic::generate(&scenario(sets)).calls;
        calls
            .into_iter()
            .map(|c| (c.at, c.object, c.part))
            .collect::<Vec<_>>()
    };
    let steady = [
        "day.wave_depth=0",
        "trouble bell.kind=late_lists",
        "class lesson-video.part_every_ms=0",
    ];
    let other = [&steady[..], &["day.wave_s=3"]].concat();
    assert_eq!(draw(&steady), draw(&other));
}

#[test]
fn parts_are_asked_for_one_after_another_by_who_began_at_the_first() {
    let s = scenario(&[
        "day.wave_depth=0",
        "class lesson-video.once=0",
        "class lesson-video.local=0",
    ]);
    let mut next: HashMap<(usize, String), Vec<(u64, u64)>> = HashMap::new();
    let (mut firsts, mut later) = (0, 0);
    for call in Traffic::generate(&s)
        .calls
        .into_iter()
        .filter(|c| c.class == 0)
    {
        let open = next.entry((call.branch, call.object.clone())).or_default();
        if call.part == 0 {
            firsts += 1;
        } else {
            later += 1;
            let due = open
                .iter()
                .position(|(part, due)| *part == call.part && *due <= call.at);
            open.swap_remove(due.expect("the part before it was asked for, and long enough ago"));
        }
        if call.part + 1 < 4 {
            open.push((call.part + 1, call.at + 1_500_000));
        }
    }
    assert!(
        firsts > 100 && later > 2 * firsts,
        "{firsts} began, {later} went on"
    );
}
