//! Log of recent purges for the state file: copies from before them may still exist. The router applies purges to requests.
use pointspindle::Micros;
use pointspindle_protocol::PurgeHead;
use std::collections::{BTreeMap, VecDeque};

/// Number of purges that are recorded individually. Beyond it, purges are merged by group, which may purge more copies but
/// never fewer.
const MAX_PURGES: usize = 16 * 1024;
/// Added to the purge horizon, to allow for clock differences and restarts.
const RETENTION_MARGIN_US: Micros = 1_000_000;

#[derive(Debug)]
struct Purge {
    at: Micros,
    /// The purged object; `None` for all objects of the group.
    object: Option<String>,
    group: u64,
}

/// Recent purges. Bound: [`MAX_PURGES`], or one for each group if there are more groups. A purge is removed when no copy from
/// before it can be left.
#[derive(Debug)]
pub(super) struct PurgeLog {
    retention: Micros,
    purges: VecDeque<Purge>,
}

impl PurgeLog {
    /// Creates an empty log. `purge_horizon` is the time after which no copy from before a purge can be left.
    pub fn new(purge_horizon: Micros) -> Self {
        Self {
            retention: purge_horizon + RETENTION_MARGIN_US,
            purges: VecDeque::new(),
        }
    }

    pub fn add(&mut self, now: Micros, head: &PurgeHead) {
        self.remove_expired(now);
        self.purges.push_back(Purge {
            at: now.saturating_sub(head.age_us),
            object: head.object.clone(),
            group: head.group,
        });
        if self.purges.len() > MAX_PURGES {
            self.merge_by_group();
        }
    }

    /// Replaces the purges of each group with one purge of the whole group, as of the newest of them.
    fn merge_by_group(&mut self) {
        let mut groups: BTreeMap<u64, Micros> = BTreeMap::new();
        for purge in &self.purges {
            let newest = groups.entry(purge.group).or_default();
            *newest = purge.at.max(*newest);
        }
        let of_group = |(group, at)| Purge {
            at,
            object: None,
            group,
        };
        self.purges = groups.into_iter().map(of_group).collect();
    }

    fn remove_expired(&mut self, now: Micros) {
        let retention = self.retention;
        self.purges.retain(|purge| now < purge.at + retention);
    }

    /// Returns the purges that have not expired, with their ages.
    pub fn recent(&mut self, now: Micros) -> Vec<PurgeHead> {
        self.remove_expired(now);
        let head = |purge: &Purge| PurgeHead {
            object: purge.object.clone(),
            group: purge.group,
            age_us: now.saturating_sub(purge.at),
            seq: 0,
        };
        self.purges.iter().map(head).collect()
    }
}
