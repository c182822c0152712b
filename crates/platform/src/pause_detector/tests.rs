use super::*;

/// Returns the unread time at `now` after ticks at these times, all in milliseconds.
fn unread_ms(ticks: &[u64], now: u64) -> u64 {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let detector = PauseDetector::new(start);
    for ms in ticks {
        detector.tick(at(*ms));
    }
    detector.unread_time(at(now)).as_millis() as u64
}

#[test]
fn unread_time_after_pause_counts_from_last_tick() {
    assert_eq!(unread_ms(&[50, 100], 120), 0, "the process was not paused");
    assert_eq!(unread_ms(&[50, 100, 1_150], 1_160), 1_060);
    assert_eq!(
        unread_ms(&[50, 100], 1_150),
        1_050,
        "the tick after the pause has not run yet"
    );
    assert_eq!(
        unread_ms(&[50, 140, 230], 235),
        0,
        "a tick within the tolerance is not a pause"
    );
}

#[test]
fn unread_time_after_second_pause_counts_from_its_start() {
    assert!(unread_ms(&[50, 1_100, 2_200], 2_210) >= 1_100);
}

#[test]
fn unread_time_after_catch_up_is_zero() {
    let start = Instant::now();
    let detector = PauseDetector::new(start);
    assert!(detector.tick(start + Duration::from_secs(1)));
    detector.finish_catch_up();
    assert_eq!(
        detector.unread_time(start + Duration::from_millis(1_010)),
        Duration::ZERO
    );
}
