//! Fleet counts (the number of dispatchers, and the index of this dispatcher) as they were last passed to the router.
use super::timers::{Timer, Timers};
use crate::dispatcher_registry::{DispatcherRegistry, FleetCounts, Roster};
use pointspindle::Micros;
use pointspindle_config::DispatcherSettings;

/// The dispatcher registry, and the time at which its counts change next.
///
/// Invariant: after [`Fleet::refresh`] exactly one [`Timer::FleetCounts`] is set if `refresh_at` is set, and none otherwise.
#[derive(Debug)]
pub(super) struct Fleet {
    registry: DispatcherRegistry,
    /// Counts that were last passed to the router.
    counts: Option<FleetCounts>,
    refresh_at: Option<Micros>,
}

impl Fleet {
    /// Creates an empty registry. Until the first roster arrives, the router uses the counts of the settings.
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

    /// Records that this dispatcher's registration was renewed.
    pub fn registration_renewed(&mut self, renewed_at: Micros, duration: Micros) {
        self.registry.registration_renewed(renewed_at, duration);
    }

    /// Sets whether the control source's view is current.
    pub fn set_view_current(&mut self, is_current: bool) {
        self.registry.set_view_current(is_current);
    }

    /// Whether the counts must be refreshed.
    pub fn is_due(&self, now: Micros) -> bool {
        self.refresh_at.is_some_and(|at| now >= at)
    }

    /// Sets the timer for the next change. Returns the counts if they differ from those last passed to the router.
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
