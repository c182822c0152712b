//! Purges that copies may still be older than, for the state file. What they do to requests is the router's.
use pointspindle::Micros;
use pointspindle_protocol::PurgeHead;
use std::collections::{BTreeMap, VecDeque};

/// Purges kept one by one; beyond this they are kept by group, which purges more but never less.
const MOST: usize = 16 * 1024;
/// Kept this much longer than told, for clocks and restarts.
const MARGIN: Micros = 1_000_000;

#[derive(Debug)]
struct Purge {
    at: Micros,
    object: Option<String>,
    group: u64,
}

#[derive(Debug)]
pub struct PurgeLog {
    keep: Micros,
    purges: VecDeque<Purge>,
}

impl PurgeLog {
    pub fn new(purge_done: Micros) -> Self {
        Self {
            keep: purge_done + MARGIN,
            purges: VecDeque::new(),
        }
    }

    pub fn add(&mut self, now: Micros, head: &PurgeHead) {
        self.forget(now);
        let at = now.saturating_sub(head.age_us);
        self.purges.push_back(Purge {
            at,
            object: head.object.clone(),
            group: head.group,
        });
        if self.purges.len() > MOST {
            let mut groups: BTreeMap<u64, Micros> = BTreeMap::new();
            for purge in &self.purges {
                let newest = groups.entry(purge.group).or_default();
                *newest = purge.at.max(*newest);
            }
            self.purges = groups
                .into_iter()
                .map(|(group, at)| Purge {
                    at,
                    object: None,
                    group,
                })
                .collect();
        }
    }

    fn forget(&mut self, now: Micros) {
        let keep = self.keep;
        self.purges.retain(|p| now < p.at + keep);
    }

    /// Those that still matter, with their age.
    pub fn recent(&mut self, now: Micros) -> Vec<PurgeHead> {
        self.forget(now);
        let head = |p: &Purge| PurgeHead {
            object: p.object.clone(),
            group: p.group,
            age_us: now.saturating_sub(p.at),
            seq: 0,
        };
        self.purges.iter().map(head).collect()
    }
}
