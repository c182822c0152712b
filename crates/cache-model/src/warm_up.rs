//! The warm-up of a host that has just started, and the overload that crashes it.
use pointspindle::Micros;
use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// Settings of the warm-up of hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpSpec {
    /// Share of its link's capacity that a host provides at its start.
    pub initial_share: f64,
    /// Time until the host provides the full capacity, microseconds; the share rises linearly.
    pub duration: Micros,
    /// Multiple of its capacity above which work received within `overload_window` crashes the host.
    pub overload_factor: f64,
    /// Length of the window over which the received work is measured, microseconds.
    pub overload_window: Micros,
}

impl WarmUpSpec {
    /// Returns the share of its link's capacity that a host provides `since_start` microseconds after its start.
    pub fn share_after(&self, since_start: Micros) -> f64 {
        let progress = since_start as f64 / self.duration.max(1) as f64;
        (self.initial_share + (1.0 - self.initial_share) * progress.min(1.0)).min(1.0)
    }

    /// Returns the time after its start during which a host can be overloaded, microseconds.
    pub fn total_duration(&self) -> Micros {
        self.duration + self.overload_window
    }
}

/// Used share of the budget above which a host is overloaded: 1 plus an allowance for rounding in sums of many small
/// numbers.
pub const OVERLOAD_THRESHOLD: f64 = 1.0 + 1e-9;

/// Work that a host received with one attempt.
#[derive(Clone, Copy, Debug)]
struct ReceivedWork {
    at: Micros,
    /// Duration of the transfer at full speed, seconds.
    seconds: f64,
}

/// Work that a host received within the latest overload window.
#[derive(Debug, Default)]
pub(crate) struct WarmUpLoad {
    received: VecDeque<ReceivedWork>,
    sum_s: f64,
}

impl WarmUpLoad {
    /// Records work, in seconds of a transfer at full speed, and returns the used share of the budget of the window
    /// that ends at `now`. Above [`OVERLOAD_THRESHOLD`] the host is overloaded.
    pub(crate) fn record(
        &mut self,
        now: Micros,
        started: Micros,
        weight: f64,
        spec: &WarmUpSpec,
        work_s: f64,
    ) -> f64 {
        self.received.push_back(ReceivedWork {
            at: now,
            seconds: work_s,
        });
        self.sum_s += work_s;
        let window_start = now.saturating_sub(spec.overload_window);
        while let Some(oldest) = self.received.front().filter(|work| work.at <= window_start) {
            self.sum_s -= oldest.seconds;
            self.received.pop_front();
        }
        let share = spec.share_after(window_start.saturating_sub(started));
        let budget_s = spec.overload_factor * share * weight * spec.overload_window as f64 / 1e6;
        self.sum_s / budget_s.max(1e-9)
    }
}
