//! Purges that may have been missed during a gap in the control source's updates.
use pointspindle::Micros;
use std::collections::BTreeSet;

/// The latest moment up to which an unknown set of purges may have been missed, and the groups purged because of it.
///
/// A group is purged as of that moment at its first request afterwards, so the cost follows demand. Bound: the groups
/// requested within one purge horizon. All of it is forgotten at the first request after the horizon, when no older copy
/// can be left.
#[derive(Debug)]
pub(super) struct MissedUpdates {
    purge_horizon: Micros,
    gap: Option<Gap>,
}

#[derive(Debug)]
struct Gap {
    until: Micros,
    purged_groups: BTreeSet<u64>,
}

impl MissedUpdates {
    /// No gap. `purge_horizon`: when no copy from before a purge can be left.
    pub fn new(purge_horizon: Micros) -> Self {
        Self {
            purge_horizon,
            gap: None,
        }
    }

    /// Any purge from before now may have been missed.
    pub fn record(&mut self, now: Micros) {
        self.gap = Some(Gap {
            until: now,
            purged_groups: BTreeSet::new(),
        });
    }

    /// The age of the purge that a group still needs because of the gap; none if it had it, or needs none.
    pub fn claim_purge(&mut self, now: Micros, group: u64) -> Option<Micros> {
        let gap = self.gap.as_mut()?;
        let age = now.saturating_sub(gap.until);
        if age > self.purge_horizon {
            self.gap = None;
            return None;
        }
        gap.purged_groups.insert(group).then_some(age)
    }
}

#[cfg(test)]
mod tests;
