//! Detection of connections that no longer carry anything: a decision without I/O. (Whether the endpoint itself is healthy
//! is decided by the router.)
//!
//! A machine that loses power, or a network device that drops a flow's state, leaves a connection that accepts data and
//! delivers none for as long as the kernel retransmits. Where a response is pending a ping detects that within seconds;
//! on an idle connection it takes longer, but the next request does not have to find out. Any frame of the peer counts as
//! the reply to a ping.
use pointspindle::Micros;

/// When to send pings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeepAliveRule {
    /// Silence after which a ping is sent while a response is pending.
    pub ping_when_awaiting: Micros,
    /// Silence after which a ping is sent on an idle connection; 0: never.
    pub ping_when_idle: Micros,
    /// Silence after a ping after which the connection is dead.
    pub ping_timeout: Micros,
}

/// What to do with a connection now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepAliveVerdict {
    /// Nothing.
    Healthy,
    /// Send a ping.
    SendPing,
    /// Close it: it carries nothing any more.
    Close,
}

/// State of one connection. It lives as long as the connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeepAlive {
    /// When the ping was sent that has no reply yet.
    ping_sent_at: Option<Micros>,
}

impl KeepAlive {
    /// `last_seen`: when the last frame arrived; `is_response_pending`: streams are open.
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
