//! Detection of clients that read too slowly.
use super::*;

const RULE: PaceRule = PaceRule {
    min_bytes_per_s: 1_000,
    window: 2_000_000,
};

#[test]
fn slow_client_is_tolerated_and_trickling_one_is_not() {
    let mut slow_reader = ClientPace::new(RULE);
    let mut trickling_reader = ClientPace::new(RULE);
    let mut rejected_at = None;
    for n in 0..100 {
        assert!(
            slow_reader.record_read(150, 100_000),
            "1,500 bytes per second"
        );
        if rejected_at.is_none() && !trickling_reader.record_read(10, 100_000) {
            rejected_at = Some(n);
        }
    }
    assert_eq!(rejected_at, Some(19), "at the end of the first window");
}

/// A pause within a window is compensated by the bytes read before and after it; a pause of an entire window is not.
#[test]
fn short_pause_is_tolerated_and_window_long_one_is_not() {
    let mut pace = ClientPace::new(RULE);
    assert!(
        pace.record_read(10_000, 10_000)
            && pace.record_read(0, 1_900_000)
            && pace.record_read(500, 100_000)
    );
    assert!(!pace.record_read(0, 2_000_000));
}

/// A slow endpoint must not make its client appear slow: only time spent waiting for the client counts.
#[test]
fn time_without_waiting_for_client_does_not_count() {
    let mut pace = ClientPace::new(RULE);
    assert!((0..10_000).all(|_| pace.record_read(1, 0)));
    assert_eq!(pace.max_wait(), Some(2_000_000));
    assert_eq!(
        ClientPace::new(PaceRule {
            min_bytes_per_s: 0,
            ..RULE
        })
        .max_wait(),
        None
    );
}
