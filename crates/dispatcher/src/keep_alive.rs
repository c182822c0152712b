//! Detection of dead connections. This module performs no I/O. (The router decides whether the endpoint itself is healthy.)
//!
//! After a machine loses power, or a network device drops the state of a flow, a connection accepts data but delivers none
//! for as long as the kernel retransmits. While a response is pending, a ping detects that within seconds. On an idle
//! connection the detection takes longer, but happens before the next request needs the connection. Any frame of the peer
//! counts as the reply to a ping.
use pointspindle::Micros;

/// Intervals and time-out of pings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeepAliveRule {
    /// Time without a received frame after which a ping is sent while a response is pending; 0 stands for never.
    pub pending_ping_interval: Micros,
    /// Time without a received frame after which a ping is sent on an idle connection; 0 stands for never.
    pub idle_ping_interval: Micros,
    /// Time after a ping without a received frame after which the connection is considered dead.
    pub ping_timeout: Micros,
}

/// The action that a connection requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepAliveAction {
    /// No action is required.
    Healthy,
    /// Send a ping.
    SendPing,
    /// Close the connection, which is dead.
    Close,
}

/// Keep-alive state of one connection. It exists as long as the connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeepAlive {
    /// When the outstanding ping was sent; `None` if there is none.
    ping_sent_at: Option<Micros>,
}

impl KeepAlive {
    /// Returns the action that is required at `now`. `last_seen` is the time at which the last frame arrived, and
    /// `is_response_pending` states whether streams are open.
    pub fn check(
        &mut self,
        rule: &KeepAliveRule,
        now: Micros,
        last_seen: Micros,
        is_response_pending: bool,
    ) -> KeepAliveAction {
        if let Some(sent_at) = self.ping_sent_at {
            if last_seen >= sent_at {
                self.ping_sent_at = None;
            } else if now >= sent_at + rule.ping_timeout {
                return KeepAliveAction::Close;
            } else {
                return KeepAliveAction::Healthy;
            }
        }
        let max_silence = if is_response_pending {
            rule.pending_ping_interval
        } else {
            rule.idle_ping_interval
        };
        if max_silence == 0 || now < last_seen + max_silence {
            return KeepAliveAction::Healthy;
        }
        self.ping_sent_at = Some(now);
        KeepAliveAction::SendPing
    }
}

#[cfg(test)]
mod tests;
