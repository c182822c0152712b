use super::*;

const HOUR: u64 = 3_600;
const START: u64 = 1_764_576_000;

fn clock() -> WallClock {
    WallClock {
        at_start: Duration::from_secs(START),
        started: Instant::now(),
    }
}

/// `elapsed` seconds after the start, with a wall clock that is off by `step` seconds.
fn reading(elapsed: u64, step: i64) -> Reading {
    let wall = (START + elapsed).saturating_add_signed(step);
    Reading {
        wall: Duration::from_secs(wall),
        elapsed: Duration::from_secs(elapsed),
    }
}

/// The age, in seconds, of something that happened `at` seconds after the start.
fn age(at: i64, now: Reading) -> u64 {
    clock()
        .age_at(now, (START.saturating_add_signed(at) * 1_000) as f64)
        .as_secs()
}

#[test]
fn a_step_makes_nothing_older() {
    for step in [1, 5, HOUR as i64] {
        assert_eq!(age(10, reading(12, step)), 2, "{step} s forward");
    }
    // Backward it may count as younger, which is the safe side.
    for step in [-1, -5, -(HOUR as i64)] {
        assert!(age(10, reading(12, step)) <= 2, "{step} s backward");
    }
    assert_eq!(age(10, reading(12, 0)), 2);
    assert_eq!(age(-30, reading(12, 0)), 42, "before the start");
    assert_eq!(
        age(20, reading(12, 0)),
        0,
        "another machine's clock runs ahead"
    );
}

#[test]
fn a_clock_that_is_set_right_after_the_start_makes_nothing_older() {
    // It was an hour ahead at the start; what happens now is stamped with the right time.
    let ahead = WallClock {
        at_start: Duration::from_secs(START + HOUR),
        started: Instant::now(),
    };
    let now = reading(12, 0);
    assert_eq!(
        ahead.age_at(now, ((START + 10) * 1_000) as f64).as_secs(),
        2
    );
}

#[test]
fn steady_time_and_steps_are_told_apart() {
    assert_eq!(clock().steady_at(reading(7, 5_000)).as_secs(), START + 7);
    assert_eq!(clock().step_at(reading(7, 0)), None);
    assert_eq!(clock().step_at(reading(7, -3)), Some(-3_000));
}

#[test]
fn what_is_no_moment_is_long_ago_and_the_far_future_is_now() {
    for odd in [f64::NAN, -1.0, f64::NEG_INFINITY] {
        assert!(clock().age_at(reading(1, 0), odd).as_secs() >= START);
    }
    assert_eq!(clock().age_at(reading(1, 0), 9e15), Duration::ZERO);
}

#[test]
fn spans_between_processes_are_known_within_one_boot() {
    let first = BootMoment::now().expect("a Linux machine");
    let second = BootMoment::now().unwrap();
    assert!(first
        .until(&second)
        .is_some_and(|span| span < Duration::from_secs(60)));
    let other = BootMoment {
        boot: "another".into(),
        ..second
    };
    assert_eq!(first.until(&other), None);
}
