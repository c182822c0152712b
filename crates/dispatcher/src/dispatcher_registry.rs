//! The number of dispatchers, and the index of this one among them, while dispatchers start and stop. This module performs no
//! I/O.
//!
//! Warm-up budgets are divided by these counts, and dispatchers learn of the same change at different times. The used parts
//! nevertheless never exceed the whole budget, because a dispatcher whose counts may be wrong uses less:
//!
//! * A count rises at once. It falls after [`PROPAGATION_DELAY_US`] and the window of a budget, when every dispatcher has
//!   learned of the change and all work that was sent under the old count has left the window.
//! * A new dispatcher uses no warm-up budget for the same time, since others may not know of it.
//! * Indices (which assign parents in slow start to dispatchers) shift with every change, so none is used for the same time.
//! * A dispatcher uses no warm-up budget while it is not registered, while its view is stale, or when two thirds of its lease
//!   have passed without a renewal. The others count a lost dispatcher until its lease has expired, so it stops before they
//!   begin to divide its part.
//!
//! The work leases that endpoints grant are not affected, since an endpoint knows which dispatchers it grants work to.
use pointspindle::Micros;
use std::collections::{BTreeMap, VecDeque};

/// Longest time between the arrival of the same change at two dispatchers while both consider their view current.
pub const PROPAGATION_DELAY_US: Micros = 1_000_000;

/// All registered dispatchers by name, each with its zone.
pub type Roster = BTreeMap<String, String>;

/// The counts that apply to this dispatcher at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetCounts {
    /// Number of dispatchers in its own zone.
    pub in_zone: u32,
    /// Number of all dispatchers.
    pub total: u32,
    /// Its index among all dispatchers; `None` while they may disagree about it.
    pub index: Option<u32>,
    /// Whether it uses its part of warm-up budgets.
    pub uses_warm_up_budget: bool,
}

/// Numbers of registered dispatchers at one time.
#[derive(Clone, Copy, Debug)]
struct FleetSize {
    in_zone: u32,
    total: u32,
}

impl FleetSize {
    fn max(self, other: Self) -> Self {
        Self {
            in_zone: self.in_zone.max(other.in_zone),
            total: self.total.max(other.total),
        }
    }
}

/// The size of the fleet before a change, which counts until the change takes full effect.
#[derive(Debug)]
struct PreviousSize {
    until: Micros,
    size: FleetSize,
}

/// The registered dispatchers, and the sizes from before recent changes that still count.
///
/// Bound: one roster, and one previous size for each change within the settling time; expired sizes are removed at the next
/// change.
#[derive(Debug)]
pub struct DispatcherRegistry {
    name: String,
    zone: String,
    /// Time after which a change takes full effect.
    settling_time: Micros,
    roster: Option<Roster>,
    previous_sizes: VecDeque<PreviousSize>,
    changed_at: Micros,
    /// When this dispatcher entered the roster; `None` while the roster does not contain it.
    joined_at: Option<Micros>,
    /// Time until which this dispatcher relies on its lease.
    lease_until: Micros,
    is_view_current: bool,
}

impl DispatcherRegistry {
    /// Creates a registry without a roster. `longest_window` is the longest window of a warm-up budget.
    pub fn new(name: &str, zone: &str, longest_window: Micros) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            settling_time: PROPAGATION_DELAY_US + longest_window,
            roster: None,
            previous_sizes: VecDeque::new(),
            changed_at: 0,
            joined_at: None,
            lease_until: 0,
            is_view_current: false,
        }
    }

    fn size(&self, roster: &Roster) -> FleetSize {
        let in_zone = roster.values().filter(|zone| **zone == self.zone).count();
        FleetSize {
            in_zone: in_zone as u32,
            total: roster.len() as u32,
        }
    }

    /// Sets the registered dispatchers.
    pub fn set_roster(&mut self, now: Micros, roster: Roster) {
        if self.roster.as_ref() == Some(&roster) {
            return;
        }
        if let Some(size) = self.roster.as_ref().map(|old| self.size(old)) {
            let until = now + self.settling_time;
            self.previous_sizes.push_back(PreviousSize { until, size });
        }
        self.previous_sizes.retain(|previous| now < previous.until);
        self.joined_at = if roster.contains_key(&self.name) {
            self.joined_at.or(Some(now))
        } else {
            None
        };
        self.roster = Some(roster);
        self.changed_at = now;
    }

    /// Records that the registration's lease was renewed for `duration`, counted from the time at which the renewal was
    /// requested.
    pub fn registration_renewed(&mut self, requested_at: Micros, duration: Micros) {
        self.lease_until = self.lease_until.max(requested_at + duration / 3 * 2);
    }

    /// Number of registered dispatchers.
    pub fn len(&self) -> usize {
        self.roster.as_ref().map_or(0, |roster| roster.len())
    }

    /// Whether no dispatcher is registered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Sets whether the control source's view is current.
    pub fn set_view_current(&mut self, is_current: bool) {
        self.is_view_current = is_current;
    }

    /// Returns the counts at `now`; `None` before the first roster, while the counts of the settings apply.
    pub fn counts(&self, now: Micros) -> Option<FleetCounts> {
        let roster = self.roster.as_ref()?;
        let size = self
            .previous_sizes
            .iter()
            .filter(|previous| now < previous.until)
            .fold(self.size(roster), |size, previous| size.max(previous.size));
        let is_settled = now >= self.changed_at + self.settling_time;
        let has_joined = self
            .joined_at
            .is_some_and(|at| now >= at + self.settling_time);
        let uses_warm_up_budget = has_joined && self.is_view_current && now < self.lease_until;
        let index = roster
            .keys()
            .position(|name| *name == self.name)
            .map(|index| index as u32);
        Some(FleetCounts {
            in_zone: size.in_zone.max(1),
            total: size.total.max(1),
            index: index.filter(|_| uses_warm_up_budget && is_settled),
            uses_warm_up_budget,
        })
    }

    /// Returns the time at which [`DispatcherRegistry::counts`] changes next without further input.
    pub fn next_change(&self, now: Micros) -> Option<Micros> {
        self.roster.as_ref()?;
        let previous_sizes = self.previous_sizes.iter().map(|previous| previous.until);
        let joined = self.joined_at.map(|at| at + self.settling_time);
        let settled = self.changed_at + self.settling_time;
        previous_sizes
            .chain(joined)
            .chain([settled, self.lease_until])
            .filter(|at| *at > now)
            .min()
    }
}

#[cfg(test)]
mod tests;
