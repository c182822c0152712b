//! Purges that may have been missed during a gap in the control source's updates.
use pointspindle::Micros;
use std::collections::BTreeSet;

/// The end of the latest gap in which an unknown set of purges may have been missed, and the groups purged because of it.
///
/// A group is purged, as of the end of the gap, at its first request afterwards, so only requested groups cost anything.
/// Bound: the groups requested within one purge horizon. The gap is removed at the first request after the horizon, when no
/// older copy can be left.
#[derive(Debug)]
pub(super) struct MissedUpdates {
    purge_horizon: Micros,
    gap: Option<Gap>,
}

#[derive(Debug)]
struct Gap {
    ended_at: Micros,
    purged_groups: BTreeSet<u64>,
}

impl MissedUpdates {
    /// Creates a state without a gap. `purge_horizon` is the time after which no copy from before a purge can be left.
    pub fn new(purge_horizon: Micros) -> Self {
        Self {
            purge_horizon,
            gap: None,
        }
    }

    /// Records that any purge from before `now` may have been missed.
    pub fn record(&mut self, now: Micros) {
        self.gap = Some(Gap {
            ended_at: now,
            purged_groups: BTreeSet::new(),
        });
    }

    /// Returns the age of the purge that a group needs because of the gap, and records the group as purged. Returns `None` if
    /// the group has been purged already or there is no gap within the purge horizon.
    pub fn take_pending_purge(&mut self, now: Micros, group: u64) -> Option<Micros> {
        let gap = self.gap.as_mut()?;
        let age = now.saturating_sub(gap.ended_at);
        if age > self.purge_horizon {
            self.gap = None;
            return None;
        }
        gap.purged_groups.insert(group).then_some(age)
    }
}

#[cfg(test)]
mod tests;
