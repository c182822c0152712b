//! How many dispatchers there are, and which of them this one is, while they come and go: a decision without I/O.
//!
//! Cold budgets are divided by these counts, and every dispatcher learns them at a moment of its own. The parts that are taken add
//! up to no more than the whole all the same, because whoever may be wrong takes less:
//!
//! * a count goes up at once and down after [`HOLD`] and a budget's window, when everybody has heard and what was sent under the
//!   old count has left the window;
//! * who has just appeared takes nothing of cold budgets for as long: others may not have heard of it;
//! * numbers (which cold parents are whose) shift with every change, so for as long nobody uses its own;
//! * who is not registered, whose lease is two thirds over without word, or whose view is stale takes nothing either. Others
//!   count a lost one until its lease has ended, so it stops before they begin to share its part.
//!
//! Members' own leases of their warm-up are not touched by any of it: they know whom they give work to.
//!
//! Kept: one roster, and the largest counts of the last moments, one for each change.
use pointspindle::Micros;
use std::collections::{BTreeMap, VecDeque};

/// Longest time between two dispatchers' learning of the same change while both hold their view for current.
pub const HOLD: Micros = 1_000_000;

/// All registered dispatchers by name, each with its zone.
pub type Roster = BTreeMap<String, String>;

/// What holds for this dispatcher now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetCounts {
    /// In its own zone, and in all.
    pub in_zone: u32,
    pub total: u32,
    /// Its place among all; none: not agreed on now.
    pub index: Option<u32>,
    /// It takes its part of cold budgets.
    pub takes_warm_up_budget: bool,
}

#[derive(Debug)]
pub struct DispatcherRegistry {
    name: String,
    zone: String,
    /// What changes takes effect after this.
    hold: Micros,
    roster: Option<Roster>,
    /// Counts that were larger, and until when they are used.
    larger: VecDeque<(Micros, u32, u32)>,
    changed: Micros,
    /// Since when the roster holds this dispatcher.
    joined: Option<Micros>,
    /// The lease is believed until then.
    kept: Micros,
    current: bool,
}

impl DispatcherRegistry {
    /// `window`: the longest window of a cold budget.
    pub fn new(name: &str, zone: &str, window: Micros) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            hold: HOLD + window,
            roster: None,
            larger: VecDeque::new(),
            changed: 0,
            joined: None,
            kept: 0,
            current: false,
        }
    }

    fn sizes(&self, roster: &Roster) -> (u32, u32) {
        let here = roster.values().filter(|zone| **zone == self.zone).count();
        (here as u32, roster.len() as u32)
    }

    /// Who is registered, as the source tells it.
    pub fn roster(&mut self, now: Micros, roster: Roster) {
        if self.roster.as_ref() == Some(&roster) {
            return;
        }
        if let Some((here, all)) = self.roster.as_ref().map(|old| self.sizes(old)) {
            self.larger.push_back((now + self.hold, here, all));
        }
        self.larger.retain(|(until, ..)| now < *until);
        self.joined = match (roster.contains_key(&self.name), self.joined) {
            (true, joined) => joined.or(Some(now)),
            (false, _) => None,
        };
        (self.roster, self.changed) = (Some(roster), now);
    }

    /// The lease was kept, from `asked` on for so long.
    pub fn kept(&mut self, asked: Micros, lasts: Micros) {
        self.kept = self.kept.max(asked + lasts / 3 * 2);
    }

    /// Whether the source's view is current.
    /// Dispatchers that are registered.
    pub fn len(&self) -> usize {
        self.roster.as_ref().map_or(0, |r| r.len())
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub fn view(&mut self, current: bool) {
        self.current = current;
    }

    /// None: no roster has ever been told, and the settings' counts hold.
    pub fn counts(&self, now: Micros) -> Option<FleetCounts> {
        let roster = self.roster.as_ref()?;
        let (mut here, mut all) = self.sizes(roster);
        for (_, h, a) in self.larger.iter().filter(|(until, ..)| now < *until) {
            (here, all) = (here.max(*h), all.max(*a));
        }
        let settled = now >= self.changed + self.hold;
        let joined = self.joined.is_some_and(|at| now >= at + self.hold);
        let cold = joined && self.current && now < self.kept;
        let place = roster
            .keys()
            .position(|name| *name == self.name)
            .map(|n| n as u32);
        Some(FleetCounts {
            in_zone: here.max(1),
            total: all.max(1),
            index: place.filter(|_| cold && settled),
            takes_warm_up_budget: cold,
        })
    }

    /// When [`Peers::counts`] changes next if nothing is told.
    pub fn next(&self, now: Micros) -> Option<Micros> {
        let held = self.larger.iter().map(|(until, ..)| *until);
        let joined = self.joined.map(|at| at + self.hold);
        let all = held
            .chain(joined)
            .chain([self.changed + self.hold, self.kept]);
        all.filter(|at| *at > now)
            .min()
            .filter(|_| self.roster.is_some())
    }
}

#[cfg(test)]
mod tests;
