//! What is held, where, and who has to go when room is wanted: without I/O.
//!
//! Kept: an entry for each held copy, in one map by key and in three orders (rank and use, group, segment). Some 300 bytes a copy of one
//! block, 16 more for each further one.
use crate::record::{BlockLocation, Key, Meta};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// A held copy.
#[derive(Clone, Debug)]
pub struct Entry {
    pub group: u64,
    pub size: u64,
    pub born_ms: u64,
    pub fresh_until_ms: u64,
    pub rank: u32,
    /// Of its commit.
    pub seq: u64,
    /// Where its commit stands, and how long that record is.
    pub commit: (u32, u32, u32),
    pub locations: Box<[BlockLocation]>,
    used: u64,
}

/// What segments hold.
#[derive(Clone, Debug, Default)]
pub struct SegmentUsage {
    /// Bytes of records that still matter.
    pub live: u64,
    pub keys: HashSet<Key>,
}

#[derive(Debug, Default)]
pub struct Index {
    entries: HashMap<Key, Entry>,
    /// Who goes first: rank, then use.
    order: BTreeSet<(u32, u64, Key)>,
    groups: HashMap<u64, HashSet<Key>>,
    /// All parts and variants of an object.
    objects: BTreeSet<Key>,
    segment_usage: BTreeMap<u32, SegmentUsage>,
    ticks: u64,
    live: u64,
}

impl Entry {
    /// An entry for a commit record with the sequence number `seq`, not used yet.
    pub fn new(
        meta: &Meta,
        seq: u64,
        commit: (u32, u32, u32),
        locations: Vec<BlockLocation>,
    ) -> Self {
        Self {
            group: meta.group,
            size: meta.size,
            born_ms: meta.born_ms,
            fresh_until_ms: meta.fresh_until_ms,
            rank: meta.rank,
            seq,
            commit,
            locations: locations.into_boxed_slice(),
            used: 0,
        }
    }

    /// Bytes on disk by segment.
    fn bytes(&self) -> impl Iterator<Item = (u32, u64)> + '_ {
        let blocks = self.locations.iter().map(|p| {
            (
                p.segment,
                u64::from(p.len) + crate::record::RECORD_HEADER_BYTES as u64,
            )
        });
        blocks.chain([(self.commit.0, u64::from(self.commit.2))])
    }
}

impl Index {
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub fn live(&self) -> u64 {
        self.live
    }

    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// ... and it was used.
    pub fn touch(&mut self, key: &Key) -> Option<&Entry> {
        self.ticks += 1;
        let entry = self.entries.get_mut(key)?;
        self.order.remove(&(entry.rank, entry.used, *key));
        entry.used = self.ticks;
        self.order.insert((entry.rank, entry.used, *key));
        Some(entry)
    }

    /// In place of what was held under the key. `old`: as if it had never been used, found when records are read backwards.
    pub fn insert(&mut self, key: Key, mut entry: Entry, old: bool) {
        let before = self.remove(&key);
        // Moved or renewed is not used.
        entry.used = match before {
            Some(before) => before.used,
            None if old => 0,
            None => {
                self.ticks += 1;
                self.ticks
            }
        };
        for (segment, bytes) in entry.bytes() {
            let usage = self.segment_usage.entry(segment).or_default();
            usage.live += bytes;
            usage.keys.insert(key);
            self.live += bytes;
        }
        self.order.insert((entry.rank, entry.used, key));
        self.groups.entry(entry.group).or_default().insert(key);
        self.objects.insert(key);
        self.entries.insert(key, entry);
    }

    pub fn remove(&mut self, key: &Key) -> Option<Entry> {
        let entry = self.entries.remove(key)?;
        self.order.remove(&(entry.rank, entry.used, *key));
        self.objects.remove(key);
        if let Some(group) = self.groups.get_mut(&entry.group) {
            group.remove(key);
            if group.is_empty() {
                self.groups.remove(&entry.group);
            }
        }
        for (segment, bytes) in entry.bytes() {
            if let Some(usage) = self.segment_usage.get_mut(&segment) {
                usage.live -= bytes;
                usage.keys.remove(key);
            }
            self.live -= bytes;
        }
        Some(entry)
    }

    /// Who goes first; where room is wanted for a copy of `rank`, nobody above it.
    pub fn eviction_candidate(&self, rank: Option<u32>) -> Option<Key> {
        self.order
            .first()
            .filter(|(r, ..)| rank.is_none_or(|rank| *r <= rank))
            .map(|(.., key)| *key)
    }

    pub fn of_object(&self, object: u128) -> Vec<Key> {
        let from = Key {
            object,
            part: 0,
            variant: 0,
        };
        let to = Key {
            object,
            part: u64::MAX,
            variant: u64::MAX,
        };
        self.objects.range(from..=to).copied().collect()
    }

    pub fn of_group(&self, group: u64) -> Vec<Key> {
        self.groups
            .get(&group)
            .map_or(Vec::new(), |g| g.iter().copied().collect())
    }

    pub fn keys(&self) -> Vec<Key> {
        self.objects.iter().copied().collect()
    }

    pub fn usage(&self, segment: u32) -> SegmentUsage {
        self.segment_usage
            .get(&segment)
            .cloned()
            .unwrap_or_default()
    }

    pub fn live_in(&self, segment: u32) -> u64 {
        self.segment_usage.get(&segment).map_or(0, |s| s.live)
    }

    /// One of those who have something in a segment.
    pub fn any_key_in(&self, segment: u32) -> Option<Key> {
        self.segment_usage
            .get(&segment)?
            .keys
            .iter()
            .next()
            .copied()
    }

    pub fn forget_segment(&mut self, segment: u32) {
        self.segment_usage.remove(&segment);
    }
}
