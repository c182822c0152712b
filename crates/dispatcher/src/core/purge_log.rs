//! Purges that copies may still be older than, for the state file. The router applies purges to requests.
use pointspindle::Micros;
use pointspindle_protocol::PurgeHead;
use std::collections::{BTreeMap, VecDeque};

/// Purges that are recorded one by one. Beyond this they are merged by group, which purges more but never less.
const MAX_PURGES: usize = 16 * 1024;
/// Added to the purge horizon, for clocks and restarts.
const RETENTION_MARGIN_US: Micros = 1_000_000;

#[derive(Debug)]
struct Purge {
    at: Micros,
    /// None: all objects of the group.
    object: Option<String>,
    group: u64,
}

/// Recent purges. Bound: [`MAX_PURGES`], or one for each group if there are more groups. A purge is forgotten when no copy
/// from before it can be left.
#[derive(Debug)]
pub(super) struct PurgeLog {
    retention: Micros,
    purges: VecDeque<Purge>,
}

impl PurgeLog {
    /// No purges. `purge_horizon`: when no copy from before a purge can be left.
    pub fn new(purge_horizon: Micros) -> Self {
        Self {
            retention: purge_horizon + RETENTION_MARGIN_US,
            purges: VecDeque::new(),
        }
    }

    /// Records a purge.
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

    /// Replaces the purges of each group by one of the whole group, as of the newest.
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

    /// The purges that still matter, with their age.
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
