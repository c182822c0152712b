//! The warm-up of a member that has just started, and the budget after which it falls over.
use pointspindle::Micros;
use std::collections::VecDeque;

/// Of one kind of member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpSpec {
    /// Share of its link at the start.
    pub initial_share: f64,
    /// Full after this, rising in a line.
    pub duration: Micros,
    /// Falls over when sent more than this multiple of what it can do ...
    pub overload_factor: f64,
    /// ... within this window.
    pub overload_window: Micros,
}

impl WarmUpSpec {
    /// Share of its link that a member gives `since` its start.
    pub fn share_after(&self, since: Micros) -> f64 {
        let warm = since as f64 / self.duration.max(1) as f64;
        (self.initial_share + (1.0 - self.initial_share) * warm.min(1.0)).min(1.0)
    }

    /// The last moment, since its start, at which the rule still counts.
    pub fn total_duration(&self) -> Micros {
        self.duration + self.overload_window
    }
}

/// The whole budget: sums of many small parts differ in their last digits.
pub const ROUNDING_TOLERANCE: f64 = 1.0 + 1e-9;

/// What a member was sent lately. Holds one window's entries.
#[derive(Debug, Default)]
pub struct WarmUpLoad {
    sent: VecDeque<(Micros, f64)>,
    sum: f64,
}

impl WarmUpLoad {
    /// Counts work, in seconds of a transfer at full pace, and tells what part of the budget of the window that
    /// ends now is used: over 1 the member falls over.
    pub fn send(
        &mut self,
        now: Micros,
        started: Micros,
        weight: f64,
        spec: &WarmUpSpec,
        work: f64,
    ) -> f64 {
        self.sent.push_back((now, work));
        self.sum += work;
        let from = now.saturating_sub(spec.overload_window);
        while let Some((_, old)) = self.sent.front().copied().filter(|(at, _)| *at <= from) {
            self.sent.pop_front();
            self.sum -= old;
        }
        let share = spec.share_after(from.saturating_sub(started));
        let budget = spec.overload_factor * share * weight * spec.overload_window as f64 / 1e6;
        self.sum / budget.max(1e-9)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SPEC: WarmUpSpec = WarmUpSpec {
        initial_share: 0.25,
        duration: 10_000_000,
        overload_factor: 2.0,
        overload_window: 1_000_000,
    };

    /// The budget of the first window: 2 x 0.25 x 4 transfers x 1 s = 2 s of work.
    #[test]
    fn exactly_too_much_falls_over_and_just_less_does_not() {
        let mut spent = WarmUpLoad::default();
        let mut used = 0.0;
        for n in 0..20 {
            used = spent.send(5_000_000 + n, 5_000_000, 4.0, &SPEC, 0.1);
        }
        assert!(used <= 1.0 + 1e-9, "{used}");
        assert!(spent.send(5_000_021, 5_000_000, 4.0, &SPEC, 0.001) > 1.0);
    }

    #[test]
    fn what_left_the_window_counts_no_more_and_a_warmer_member_takes_more() {
        let mut spent = WarmUpLoad::default();
        for n in 0..20 {
            spent.send(n, 0, 4.0, &SPEC, 0.1);
        }
        let later = spent.send(1_100_000, 0, 4.0, &SPEC, 1.9);
        assert!(later < 1.0, "{later}");
        assert!(SPEC.share_after(5_000_000) > 0.6 && SPEC.share_after(20_000_000) == 1.0);
    }
}
