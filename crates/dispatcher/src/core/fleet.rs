//! Fleet counts (how many dispatchers there are, and this one's index) as the router was last notified of them.
use super::timers::{Timer, Timers};
use crate::dispatcher_registry::{DispatcherRegistry, FleetCounts, Roster};
use pointspindle::Micros;
use pointspindle_config::DispatcherSettings;

/// The dispatcher registry, and the moment at which its counts change next.
///
/// Invariant: after [`Fleet::refresh`] exactly one [`Timer::FleetCounts`] is set if `refresh_at` is set, and none otherwise.
#[derive(Debug)]
pub(super) struct Fleet {
    registry: DispatcherRegistry,
    /// Counts that the router has.
    counts: Option<FleetCounts>,
    refresh_at: Option<Micros>,
}

impl Fleet {
    /// No roster yet: the router uses the settings' counts.
    pub fn new(settings: &DispatcherSettings) -> Self {
        let router = &settings.router;
        let longest_window = router
            .cache_slow_start
            .overload_window
            .max(router.parent_slow_start.overload_window);
        Self {
            registry: DispatcherRegistry::new(
                &settings.name,
                &settings.zones[router.zone],
                longest_window,
            ),
            counts: None,
            refresh_at: None,
        }
    }

    /// Number of registered dispatchers.
    pub fn dispatcher_count(&self) -> usize {
        self.registry.len()
    }

    /// Sets the registered dispatchers.
    pub fn set_roster(&mut self, now: Micros, roster: Roster) {
        self.registry.set_roster(now, roster);
    }

    /// This dispatcher's registration was renewed.
    pub fn registration_renewed(&mut self, renewed_at: Micros, duration: Micros) {
        self.registry.registration_renewed(renewed_at, duration);
    }

    /// Whether the control source's view is current.
    pub fn set_view_current(&mut self, is_current: bool) {
        self.registry.set_view_current(is_current);
    }

    /// Whether the counts have to be refreshed.
    pub fn is_due(&self, now: Micros) -> bool {
        self.refresh_at.is_some_and(|at| now >= at)
    }

    /// Sets the timer for the next change; the counts, where they differ from the router's.
    pub fn refresh(&mut self, now: Micros, timers: &mut Timers) -> Option<FleetCounts> {
        let counts = self.registry.counts(now);
        let changed = counts.filter(|_| counts != self.counts);
        if changed.is_some() {
            self.counts = changed;
        }
        if let Some(at) = self.refresh_at.take() {
            timers.cancel(at, Timer::FleetCounts);
        }
        self.refresh_at = self.registry.next_change(now);
        if let Some(at) = self.refresh_at {
            timers.set(at, Timer::FleetCounts);
        }
        changed
    }
}
