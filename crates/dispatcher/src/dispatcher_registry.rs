//! How many dispatchers there are, and which of them this one is, while they come and go: a decision without I/O.
//!
//! Warm-up budgets are divided by these counts, and every dispatcher learns of a change at a moment of its own. The parts
//! that are taken still add up to no more than the whole, because a dispatcher that may be wrong takes less:
//!
//! * a count rises at once, and falls after [`PROPAGATION_DELAY_US`] and a budget's window, when every dispatcher has learned
//!   of the change and whatever was sent under the old count has left the window;
//! * a new dispatcher takes no warm-up budget for as long, since others may not know of it;
//! * indices (which parent in slow start belongs to which dispatcher) shift with every change, so for as long none is used;
//! * a dispatcher that is not registered, whose lease is two thirds over without renewal, or whose view is stale takes
//!   nothing either. Others count a lost one until its lease has ended, so it stops before they begin to divide its part.
//!
//! The endpoints' own leases of their warm-up are not affected: an endpoint knows whom it grants work to.
use pointspindle::Micros;
use std::collections::{BTreeMap, VecDeque};

/// Longest time between two dispatchers' learning of the same change while both consider their view current.
pub const PROPAGATION_DELAY_US: Micros = 1_000_000;

/// All registered dispatchers by name, each with its zone.
pub type Roster = BTreeMap<String, String>;

/// What holds for this dispatcher now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetCounts {
    /// Dispatchers in its own zone.
    pub in_zone: u32,
    /// All dispatchers.
    pub total: u32,
    /// Its index among all; none: not agreed on now.
    pub index: Option<u32>,
    /// It takes its part of warm-up budgets.
    pub takes_warm_up_budget: bool,
}

/// Numbers of registered dispatchers.
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

/// A size from before a change, which still counts until a moment.
#[derive(Debug)]
struct FormerSize {
    until: Micros,
    size: FleetSize,
}

/// The registered dispatchers, and the sizes that still count from before recent changes.
///
/// Bound: one roster, and one former size for each change within the settling time; expired sizes are forgotten at the next
/// change.
#[derive(Debug)]
pub struct DispatcherRegistry {
    name: String,
    zone: String,
    /// A change takes full effect after this.
    settling_time: Micros,
    roster: Option<Roster>,
    former_sizes: VecDeque<FormerSize>,
    changed_at: Micros,
    /// Since when the roster contains this dispatcher.
    joined_at: Option<Micros>,
    /// Until when this dispatcher relies on its lease.
    lease_until: Micros,
    is_view_current: bool,
}

impl DispatcherRegistry {
    /// `longest_window`: the longest window of a warm-up budget.
    pub fn new(name: &str, zone: &str, longest_window: Micros) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            settling_time: PROPAGATION_DELAY_US + longest_window,
            roster: None,
            former_sizes: VecDeque::new(),
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
            self.former_sizes.push_back(FormerSize { until, size });
        }
        self.former_sizes.retain(|former| now < former.until);
        self.joined_at = if roster.contains_key(&self.name) {
            self.joined_at.or(Some(now))
        } else {
            None
        };
        self.roster = Some(roster);
        self.changed_at = now;
    }

    /// The registration's lease was renewed, for `duration` from the moment of the renewal's request on.
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

    /// Whether the control source's view is current.
    pub fn set_view_current(&mut self, is_current: bool) {
        self.is_view_current = is_current;
    }

    /// None: no roster has arrived yet, and the settings' counts hold.
    pub fn counts(&self, now: Micros) -> Option<FleetCounts> {
        let roster = self.roster.as_ref()?;
        let size = self
            .former_sizes
            .iter()
            .filter(|former| now < former.until)
            .fold(self.size(roster), |size, former| size.max(former.size));
        let is_settled = now >= self.changed_at + self.settling_time;
        let has_joined = self
            .joined_at
            .is_some_and(|at| now >= at + self.settling_time);
        let takes_warm_up_budget = has_joined && self.is_view_current && now < self.lease_until;
        let index = roster
            .keys()
            .position(|name| *name == self.name)
            .map(|index| index as u32);
        Some(FleetCounts {
            in_zone: size.in_zone.max(1),
            total: size.total.max(1),
            index: index.filter(|_| takes_warm_up_budget && is_settled),
            takes_warm_up_budget,
        })
    }

    /// When [`DispatcherRegistry::counts`] changes next without further input.
    pub fn next_change(&self, now: Micros) -> Option<Micros> {
        self.roster.as_ref()?;
        let former_sizes = self.former_sizes.iter().map(|former| former.until);
        let joined = self.joined_at.map(|at| at + self.settling_time);
        let settled = self.changed_at + self.settling_time;
        former_sizes
            .chain(joined)
            .chain([settled, self.lease_until])
            .filter(|at| *at > now)
            .min()
    }
}

#[cfg(test)]
mod tests;
