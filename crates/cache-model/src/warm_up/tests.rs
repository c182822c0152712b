use super::*;

const SPEC: WarmUpSpec = WarmUpSpec {
    initial_share: 0.25,
    duration: 10_000_000,
    overload_factor: 2.0,
    overload_window: 1_000_000,
};

/// The budget of the first window is 2 x 0.25 x 4 transfers x 1 s = 2 s of work.
#[test]
fn load_at_the_budget_is_allowed_and_above_it_overloads() {
    let mut load = WarmUpLoad::default();
    let mut used = 0.0;
    for n in 0..20 {
        used = load.record(5_000_000 + n, 5_000_000, 4.0, &SPEC, 0.1);
    }
    assert!(used <= 1.0 + 1e-9, "{used}");
    assert!(load.record(5_000_021, 5_000_000, 4.0, &SPEC, 0.001) > 1.0);
}

#[test]
fn load_outside_the_window_is_dropped_and_budget_grows_with_warm_up() {
    let mut load = WarmUpLoad::default();
    for n in 0..20 {
        load.record(n, 0, 4.0, &SPEC, 0.1);
    }
    let used = load.record(1_100_000, 0, 4.0, &SPEC, 1.9);
    assert!(used < 1.0, "{used}");
    assert!(SPEC.share_after(5_000_000) > 0.6 && SPEC.share_after(20_000_000) == 1.0);
}
