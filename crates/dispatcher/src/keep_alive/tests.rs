//! The times at which a ping is sent and a connection is closed.
use super::*;

const RULE: KeepAliveRule = KeepAliveRule {
    pending_ping_interval: 2_000,
    idle_ping_interval: 15_000,
    ping_timeout: 1_000,
};

#[test]
fn silent_connection_is_pinged_once_and_closed_without_reply() {
    let mut keep_alive = KeepAlive::default();
    assert_eq!(
        keep_alive.check(&RULE, 1_999, 0, true),
        KeepAliveAction::Healthy
    );
    assert_eq!(
        keep_alive.check(&RULE, 2_000, 0, true),
        KeepAliveAction::SendPing
    );
    assert_eq!(
        keep_alive.check(&RULE, 2_999, 0, true),
        KeepAliveAction::Healthy,
        "a ping was sent, and its time-out has not passed"
    );
    let mut replied = keep_alive;
    assert_eq!(
        replied.check(&RULE, 3_000, 2_900, true),
        KeepAliveAction::Healthy,
        "a frame of any kind arrived"
    );
    assert_eq!(
        replied.check(&RULE, 4_900, 2_900, true),
        KeepAliveAction::SendPing,
        "no frame since then"
    );
    assert_eq!(
        keep_alive.check(&RULE, 3_000, 0, true),
        KeepAliveAction::Close
    );
}

#[test]
fn idle_connection_is_pinged_rarely_or_never() {
    let mut keep_alive = KeepAlive::default();
    assert_eq!(
        keep_alive.check(&RULE, 14_999, 0, false),
        KeepAliveAction::Healthy
    );
    assert_eq!(
        keep_alive.check(&RULE, 15_000, 0, false),
        KeepAliveAction::SendPing
    );
    let mut never = KeepAlive::default();
    assert_eq!(
        never.check(
            &KeepAliveRule {
                idle_ping_interval: 0,
                ..RULE
            },
            10_000_000,
            0,
            false
        ),
        KeepAliveAction::Healthy
    );
}

/// A check can be late, after a suspension of the process or a jump of the clock. The connection must not be closed before a
/// ping was sent and had time for a reply.
#[test]
fn late_check_sends_ping_before_close() {
    let mut keep_alive = KeepAlive::default();
    assert_eq!(
        keep_alive.check(&RULE, 60_000_000, 0, true),
        KeepAliveAction::SendPing
    );
}
