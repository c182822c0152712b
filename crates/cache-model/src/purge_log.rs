//! The newest purges that a host has received.
use pointspindle::Micros;
use std::collections::HashMap;

/// Number of purges of objects, and of groups, above which a host discards old ones.
const MAX_REMEMBERED: usize = 4096;

/// Age above which purges are discarded once there are more than [`MAX_REMEMBERED`], microseconds.
const RETENTION_US: Micros = 60_000_000;

/// The newest purge of each object and group. Copies that were validated before it are not stored.
#[derive(Debug, Default)]
pub(crate) struct PurgeLog {
    objects: HashMap<u64, Micros>,
    groups: HashMap<u64, Micros>,
}

impl PurgeLog {
    /// Records a purge, made at `purged_at`, of an object, or of the whole group if no object is given.
    pub(crate) fn record(
        &mut self,
        now: Micros,
        object: Option<u64>,
        group: u64,
        purged_at: Micros,
    ) {
        for purges in [&mut self.objects, &mut self.groups] {
            if purges.len() > MAX_REMEMBERED {
                purges.retain(|_, at| *at + RETENTION_US > now);
            }
        }
        let newest = match object {
            Some(object) => self.objects.entry(object).or_default(),
            None => self.groups.entry(group).or_default(),
        };
        *newest = purged_at.max(*newest);
    }

    /// Returns the time of the newest purge of an object or of its group, microseconds.
    pub(crate) fn newest(&self, object: u64, group: u64) -> Option<Micros> {
        let of_object = self.objects.get(&object);
        let of_group = self.groups.get(&group);
        of_object.max(of_group).copied()
    }

    /// Whether a copy that the origin validated at `validated_at` is older than a purge.
    pub(crate) fn invalidates(&self, object: u64, group: u64, validated_at: Micros) -> bool {
        self.newest(object, group)
            .is_some_and(|purged_at| validated_at < purged_at)
    }
}
