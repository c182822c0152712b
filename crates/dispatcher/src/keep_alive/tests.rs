//! The times at which a ping is sent and a connection is closed.
use super::*;

const RULE: KeepAliveRule = KeepAliveRule {
    ping_when_awaiting: 2_000,
    ping_when_idle: 15_000,
    ping_timeout: 1_000,
};

#[test]
fn silent_connection_is_pinged_once_and_closed_without_reply() {
    let mut keep_alive = KeepAlive::default();
    assert_eq!(
        keep_alive.check(&RULE, 1_999, 0, true),
        KeepAliveVerdict::Healthy
    );
    assert_eq!(
        keep_alive.check(&RULE, 2_000, 0, true),
        KeepAliveVerdict::SendPing
    );
    assert_eq!(
        keep_alive.check(&RULE, 2_999, 0, true),
        KeepAliveVerdict::Healthy,
        "a ping was sent, and its time-out has not passed"
    );
    let mut replied = keep_alive;
    assert_eq!(
        replied.check(&RULE, 3_000, 2_900, true),
        KeepAliveVerdict::Healthy,
        "a frame of any kind arrived"
    );
    assert_eq!(
        replied.check(&RULE, 4_900, 2_900, true),
        KeepAliveVerdict::SendPing,
        "no frame since then"
    );
    assert_eq!(
        keep_alive.check(&RULE, 3_000, 0, true),
        KeepAliveVerdict::Close
    );
}

#[test]
fn idle_connection_is_pinged_rarely_or_never() {
    let mut keep_alive = KeepAlive::default();
    assert_eq!(
        keep_alive.check(&RULE, 14_999, 0, false),
        KeepAliveVerdict::Healthy
    );
    assert_eq!(
        keep_alive.check(&RULE, 15_000, 0, false),
        KeepAliveVerdict::SendPing
    );
    let mut never = KeepAlive::default();
    assert_eq!(
        never.check(
            &KeepAliveRule {
                ping_when_idle: 0,
                ..RULE
            },
            10_000_000,
            0,
            false
        ),
        KeepAliveVerdict::Healthy
    );
}

/// A check can be late, after a suspension of the process or a jump of the clock. The connection must not be closed before a
/// ping was sent and had time for a reply.
#[test]
fn late_check_sends_ping_before_close() {
    let mut keep_alive = KeepAlive::default();
    assert_eq!(
        keep_alive.check(&RULE, 60_000_000, 0, true),
        KeepAliveVerdict::SendPing
    );
}
