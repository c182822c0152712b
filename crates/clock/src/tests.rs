//! Ages while the wall clock is stepped, and durations between two points of the boot clock.
use super::*;

const HOUR_S: u64 = 3_600;
const START_UNIX_S: u64 = 1_764_576_000;

fn clock() -> WallClock {
    WallClock {
        at_start: Duration::from_secs(START_UNIX_S),
        started: Instant::now(),
    }
}

/// Returns a clock reading `elapsed` seconds after the start, with the wall clock stepped by `step` seconds.
fn reading(elapsed: u64, step: i64) -> ClockReading {
    let wall = (START_UNIX_S + elapsed).saturating_add_signed(step);
    ClockReading {
        wall: Duration::from_secs(wall),
        elapsed: Duration::from_secs(elapsed),
    }
}

/// Returns the age, in seconds, of an event `at` seconds after the start.
fn age(at: i64, now: ClockReading) -> u64 {
    clock()
        .age_at(now, (START_UNIX_S.saturating_add_signed(at) * 1_000) as f64)
        .as_secs()
}

#[test]
fn age_after_wall_clock_step_is_never_longer() {
    for step in [1, 5, HOUR_S as i64] {
        assert_eq!(age(10, reading(12, step)), 2, "{step} s forward");
    }
    // After a backward step the age may be too short, which is the safe direction.
    for step in [-1, -5, -(HOUR_S as i64)] {
        assert!(age(10, reading(12, step)) <= 2, "{step} s backward");
    }
    assert_eq!(age(10, reading(12, 0)), 2);
    assert_eq!(age(-30, reading(12, 0)), 42, "an event before the start");
    assert_eq!(
        age(20, reading(12, 0)),
        0,
        "another machine's clock runs ahead"
    );
}

#[test]
fn age_after_clock_correction_is_never_longer() {
    // The wall clock was an hour ahead at the start and was corrected; later events have correct timestamps.
    let ahead = WallClock {
        at_start: Duration::from_secs(START_UNIX_S + HOUR_S),
        started: Instant::now(),
    };
    let now = reading(12, 0);
    assert_eq!(
        ahead
            .age_at(now, ((START_UNIX_S + 10) * 1_000) as f64)
            .as_secs(),
        2
    );
}

#[test]
fn steady_time_ignores_steps_and_step_is_reported() {
    assert_eq!(
        clock().steady_at(reading(7, 5_000)).as_secs(),
        START_UNIX_S + 7
    );
    assert_eq!(clock().step_at(reading(7, 0)), None);
    assert_eq!(clock().step_at(reading(7, -3)), Some(-3_000));
}

#[test]
fn age_of_invalid_timestamp_is_longest_and_of_future_one_zero() {
    for invalid in [f64::NAN, -1.0, f64::NEG_INFINITY] {
        assert!(clock().age_at(reading(1, 0), invalid).as_secs() >= START_UNIX_S);
    }
    assert_eq!(clock().age_at(reading(1, 0), 9e15), Duration::ZERO);
}

#[test]
fn duration_between_boot_moments_requires_same_boot() {
    let first = BootMoment::now().expect("a Linux kernel exposes its boot identifier");
    let second = BootMoment::now().unwrap();
    assert!(first
        .duration_until(&second)
        .is_some_and(|duration| duration < Duration::from_secs(60)));
    let other = BootMoment {
        boot_id: "another".into(),
        ..second
    };
    assert_eq!(first.duration_until(&other), None);
}
