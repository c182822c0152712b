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
    pub ping_when_awaiting: Micros,
    /// Time without a received frame after which a ping is sent on an idle connection; 0 stands for never.
    pub ping_when_idle: Micros,
    /// Time after a ping without a received frame after which the connection is considered dead.
    pub ping_timeout: Micros,
}

/// The action that a connection requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepAliveVerdict {
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
    ) -> KeepAliveVerdict {
        if let Some(sent_at) = self.ping_sent_at {
            if last_seen >= sent_at {
                self.ping_sent_at = None;
            } else if now >= sent_at + rule.ping_timeout {
                return KeepAliveVerdict::Close;
            } else {
                return KeepAliveVerdict::Healthy;
            }
        }
        let max_silence = if is_response_pending {
            rule.ping_when_awaiting
        } else {
            rule.ping_when_idle
        };
        if max_silence == 0 || now < last_seen + max_silence {
            return KeepAliveVerdict::Healthy;
        }
        self.ping_sent_at = Some(now);
        KeepAliveVerdict::SendPing
    }
}

#[cfg(test)]
mod tests;
