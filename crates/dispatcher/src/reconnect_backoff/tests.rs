//! Delay of reconnects after losses and failures.
use super::*;

#[test]
fn repeated_failures_double_backoff_up_to_limit() {
    let mut backoff = ReconnectBackoff::default();
    assert_eq!(backoff.decide(0), ConnectDecision::Now);
    let mut waits = vec![];
    for _ in 0..40 {
        backoff.connect_failed(1_000, 0.5);
        let ConnectDecision::RejectFor(wait) = backoff.decide(1_000) else {
            panic!("{:?}", backoff.decide(1_000))
        };
        assert_eq!(backoff.decide(1_000 + wait), ConnectDecision::Now);
        waits.push(wait);
    }
    assert_eq!(
        waits[..4],
        [
            INITIAL_BACKOFF_US,
            2 * INITIAL_BACKOFF_US,
            4 * INITIAL_BACKOFF_US,
            8 * INITIAL_BACKOFF_US
        ]
    );
    assert_eq!(*waits.last().unwrap(), MAX_BACKOFF_US);
}

/// A thousand dispatchers that lose an endpoint at the same time must not reconnect at the same time.
#[test]
fn connections_lost_together_reconnect_spread_over_time() {
    let at = |random: f64| {
        let mut backoff = ReconnectBackoff::default();
        backoff.connection_lost(0, random);
        match backoff.decide(0) {
            ConnectDecision::After(wait) => wait,
            ConnectDecision::Now => 0,
            other => panic!("{other:?}: a lost connection does not count as a failure"),
        }
    };
    let times: Vec<Micros> = (0..1_000).map(|n| at(n as f64 / 1_000.0)).collect();
    let most = (0..10)
        .map(|ms| times.iter().filter(|t| **t / 1_000 == ms).count())
        .max();
    assert_eq!(most, Some(100), "reconnects in any one millisecond");
}

#[test]
fn connection_lost_after_failures_resets_backoff() {
    let mut backoff = ReconnectBackoff::default();
    (0..5).for_each(|_| backoff.connect_failed(0, 1.0));
    backoff.connection_lost(10, 0.0);
    assert_eq!(backoff.decide(10), ConnectDecision::Now);
    backoff.connect_failed(20, 0.5);
    assert_eq!(
        backoff.decide(20),
        ConnectDecision::RejectFor(INITIAL_BACKOFF_US)
    );
    assert!(!backoff.is_expired(20 + RETENTION_US - 1) && backoff.is_expired(20 + RETENTION_US));
}
