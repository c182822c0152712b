//! Log of recent purges, which limit the age of acceptable copies.
use super::MS;
use crate::event::Request;
use crate::ids::{Micros, ObjectId};
use std::collections::BTreeMap;

/// Time for which a purge is retained beyond the purge horizon, after which no older copy should exist.
const RETENTION_MARGIN: Micros = 1_000 * MS;
/// Smallest number of logged purges above which the log is compacted.
const MIN_COMPACTION_SIZE: usize = 1024;

/// Times of the latest purge of each object and of each purge group.
///
/// A purge is ignored once no older copy can exist any more, which is after the purge horizon and a margin. The next
/// compaction then removes it; a compaction runs when the log holds more than `compaction_size` purges.
#[derive(Debug)]
pub(super) struct PurgeLog {
    horizon: Micros,
    objects: BTreeMap<ObjectId, Micros>,
    groups: BTreeMap<u64, Micros>,
    compaction_size: usize,
}

impl PurgeLog {
    pub(super) fn new(horizon: Micros) -> Self {
        Self {
            horizon,
            objects: BTreeMap::new(),
            groups: BTreeMap::new(),
            compaction_size: MIN_COMPACTION_SIZE,
        }
    }

    pub(super) fn record(
        &mut self,
        now: Micros,
        object: Option<ObjectId>,
        group: u64,
        age: Micros,
    ) {
        self.compact(now);
        let purged_at = now.saturating_sub(age);
        let newest = match object {
            Some(object) => self.objects.entry(object).or_default(),
            None => self.groups.entry(group).or_default(),
        };
        *newest = purged_at.max(*newest);
    }

    /// Returns the maximum age of a copy under the latest purge, or `None` if no copy from before a purge can exist.
    pub(super) fn max_age(&self, now: Micros, request: &Request) -> Option<Micros> {
        let purged_at = self
            .objects
            .get(&request.object)
            .max(self.groups.get(&request.group))?;
        let relevant = now < purged_at + self.horizon + RETENTION_MARGIN;
        relevant.then_some(now.saturating_sub(*purged_at))
    }

    fn compact(&mut self, now: Micros) {
        if self.len() <= self.compaction_size {
            return;
        }
        let retention = self.horizon + RETENTION_MARGIN;
        self.objects.retain(|_, at| *at + retention > now);
        self.groups.retain(|_, at| *at + retention > now);
        self.compaction_size = MIN_COMPACTION_SIZE.max(2 * self.len());
    }

    fn len(&self) -> usize {
        self.objects.len() + self.groups.len()
    }
}
