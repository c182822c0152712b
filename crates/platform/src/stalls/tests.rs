use super::*;

/// Beats at these milliseconds; how long something may have waited that is read at `now` on a connection empty at `empty`.
fn waited(beats: &[u64], now: u64, empty: u64) -> u64 {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let stalls = Stalls::new(start);
    for ms in beats {
        stalls.beat(at(*ms));
    }
    stalls.waited(at(now), at(empty)).as_millis() as u64
}

#[test]
fn only_what_waited_through_a_stall_is_charged() {
    let stopped = [50, 100, 1_150, 1_200];
    assert_eq!(waited(&[50, 100], 120, 90), 0, "it runs");
    assert_eq!(waited(&stopped, 1_160, 30), 1_060, "since the last beat before it");
    assert_eq!(waited(&stopped, 1_160, 110), 1_050, "not longer than since the connection was empty");
    assert_eq!(waited(&stopped, 1_210, 1_155), 0, "read to its end since");
    assert_eq!(waited(&[50, 100], 1_150, 60), 1_050, "the beat is still to come");
    assert_eq!(waited(&[50, 140, 230], 235, 60), 0, "a little late is no stall");
}

#[test]
fn a_stall_that_follows_another_counts_from_the_first_for_who_waited_through_both() {
    // The newest is kept: what waited through both is charged for it at least.
    assert!(waited(&[50, 1_100, 2_200], 2_210, 20) >= 1_100);
}

#[test]
fn once_what_waited_is_read_nothing_is_charged() {
    let start = Instant::now();
    let stalls = Stalls::new(start);
    assert!(stalls.beat(start + Duration::from_secs(1)));
    stalls.over();
    assert_eq!(stalls.waited(start + Duration::from_millis(1_010), start), Duration::ZERO);
}
