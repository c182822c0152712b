use super::*;

/// Beats at these milliseconds; how long something may have waited that is read at `now`.
fn waited(beats: &[u64], now: u64) -> u64 {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let stalls = Stalls::new(start);
    for ms in beats {
        stalls.beat(at(*ms));
    }
    stalls.waited(at(now)).as_millis() as u64
}

#[test]
fn what_is_read_after_a_stall_may_have_waited_since_the_last_beat_before_it() {
    assert_eq!(waited(&[50, 100], 120), 0, "it runs");
    assert_eq!(waited(&[50, 100, 1_150], 1_160), 1_060);
    assert_eq!(
        waited(&[50, 100], 1_150),
        1_050,
        "the beat is still to come"
    );
    assert_eq!(waited(&[50, 140, 230], 235), 0, "a little late is no stall");
}

#[test]
fn a_stall_right_after_another_counts_from_its_own_begin_at_least() {
    assert!(waited(&[50, 1_100, 2_200], 2_210) >= 1_100);
}

#[test]
fn once_what_waited_is_read_nothing_is_charged() {
    let start = Instant::now();
    let stalls = Stalls::new(start);
    assert!(stalls.beat(start + Duration::from_secs(1)));
    stalls.over();
    assert_eq!(
        stalls.waited(start + Duration::from_millis(1_010)),
        Duration::ZERO
    );
}
