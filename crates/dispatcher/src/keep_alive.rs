//! Whether a connection to a member still carries anything: a decision without I/O. (Whether the member does is the
//! decision module's.)
//!
//! A machine that loses power, or a box on the way that forgets a flow, leaves a connection that takes everything and
//! brings nothing, for as long as the kernel tries again. Where something is awaited a probe finds that out within
//! seconds; where nothing is, within a longer time, so that the next request does not have to. Any frame of the peer is an
//! answer to a probe: the connection is what is asked about.
use pointspindle::Micros;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeepAliveRule {
    /// Nothing has come for so long though something is awaited: probe.
    pub quiet: Micros,
    /// ... though nothing is awaited; 0: never.
    pub idle: Micros,
    /// Nothing has come for so long after a probe: it carries nothing any more.
    pub answer: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepAliveVerdict {
    Fine,
    Probe,
    Dead,
}

/// What is kept of a connection: when it was last asked.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeepAlive {
    asked: Option<Micros>,
}

impl KeepAlive {
    /// `heard`: when the last frame came; `awaited`: streams are open.
    pub fn check(
        &mut self,
        rule: &KeepAliveRule,
        now: Micros,
        heard: Micros,
        awaited: bool,
    ) -> KeepAliveVerdict {
        if let Some(asked) = self.asked {
            if heard >= asked {
                self.asked = None;
            } else if now >= asked + rule.answer {
                return KeepAliveVerdict::Dead;
            } else {
                return KeepAliveVerdict::Fine;
            }
        }
        let after = if awaited { rule.quiet } else { rule.idle };
        if after == 0 || now < heard + after {
            return KeepAliveVerdict::Fine;
        }
        self.asked = Some(now);
        KeepAliveVerdict::Probe
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const RULE: KeepAliveRule = KeepAliveRule {
        quiet: 2_000,
        idle: 15_000,
        answer: 1_000,
    };

    #[test]
    fn a_quiet_connection_is_asked_once_and_dead_only_without_any_answer() {
        let mut h = KeepAlive::default();
        assert_eq!(h.check(&RULE, 1_999, 0, true), KeepAliveVerdict::Fine);
        assert_eq!(h.check(&RULE, 2_000, 0, true), KeepAliveVerdict::Probe);
        assert_eq!(
            h.check(&RULE, 2_999, 0, true),
            KeepAliveVerdict::Fine,
            "asked, and still in time"
        );
        let mut answered = h;
        assert_eq!(
            answered.check(&RULE, 3_000, 2_900, true),
            KeepAliveVerdict::Fine,
            "a frame of any kind came"
        );
        assert_eq!(
            answered.check(&RULE, 4_900, 2_900, true),
            KeepAliveVerdict::Probe,
            "quiet again"
        );
        assert_eq!(h.check(&RULE, 3_000, 0, true), KeepAliveVerdict::Dead);
    }

    #[test]
    fn where_nothing_is_awaited_it_is_asked_rarely_or_never() {
        let mut h = KeepAlive::default();
        assert_eq!(h.check(&RULE, 14_999, 0, false), KeepAliveVerdict::Fine);
        assert_eq!(h.check(&RULE, 15_000, 0, false), KeepAliveVerdict::Probe);
        let mut never = KeepAlive::default();
        assert_eq!(
            never.check(&KeepAliveRule { idle: 0, ..RULE }, 10_000_000, 0, false),
            KeepAliveVerdict::Fine
        );
    }

    /// Looks may come late (a stopped process, a jump of the clock): that is no silence of the peer after a probe.
    #[test]
    fn a_late_look_asks_before_it_judges() {
        let mut h = KeepAlive::default();
        assert_eq!(h.check(&RULE, 60_000_000, 0, true), KeepAliveVerdict::Probe);
    }
}
