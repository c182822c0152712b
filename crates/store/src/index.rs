//! The in-memory index of stored copies, and their order of eviction. No I/O.
//!
//! It holds an entry for each copy, by key and ordered by rank and use, by group and by segment: some 300 bytes for a copy of one block,
//! 16 more for each further one. The store's capacity bounds the number of copies; an entry is dropped when its copy is evicted, purged
//! or lost.
use crate::record::{BlockLocation, Key, Meta};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// Position of a record of any kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordLocation {
    /// Number of the segment.
    pub segment: u32,
    /// Offset in the segment.
    pub offset: u32,
    /// Length with the header.
    pub len: u32,
}

/// A stored copy.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Purge group.
    pub group: u64,
    /// Body length in bytes.
    pub size: u64,
    /// When the origin served or confirmed it.
    pub born_ms: u64,
    /// End of freshness; 0: unlimited.
    pub fresh_until_ms: u64,
    /// Eviction rank; lower ranks are evicted first.
    pub rank: u32,
    /// Sequence number of its commit record.
    pub seq: u64,
    /// Position of its commit record.
    pub commit: RecordLocation,
    /// Blocks of the body, in order.
    pub locations: Box<[BlockLocation]>,
    /// Tick of the last use; 0 if unused since recovery.
    used: u64,
}

/// Live contents of a segment.
#[derive(Clone, Debug, Default)]
pub struct SegmentUsage {
    /// Bytes of records that the index refers to.
    pub live: u64,
    /// Copies with a record in the segment.
    pub keys: HashSet<Key>,
}

/// Copies by key, in the order of eviction, by group and by segment. All of its maps describe the same set of entries.
#[derive(Debug, Default)]
pub struct Index {
    entries: HashMap<Key, Entry>,
    /// Order of eviction: rank, then last use.
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
        commit: RecordLocation,
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
        blocks.chain([(self.commit.segment, u64::from(self.commit.len))])
    }
}

impl Index {
    /// Number of copies.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no copies.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Live bytes of all segments.
    pub fn live(&self) -> u64 {
        self.live
    }

    /// Looks a copy up without counting it as a use.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Looks a copy up and counts this as a use.
    pub fn touch(&mut self, key: &Key) -> Option<&Entry> {
        self.ticks += 1;
        let entry = self.entries.get_mut(key)?;
        self.order.remove(&(entry.rank, entry.used, *key));
        entry.used = self.ticks;
        self.order.insert((entry.rank, entry.used, *key));
        Some(entry)
    }

    /// Replaces the copy of this key, whose last use is inherited. `old`: the copy was found by recovery and counts as unused.
    pub fn insert(&mut self, key: Key, mut entry: Entry, old: bool) {
        let before = self.remove(&key);
        // Moving or renewing a copy is not a use.
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

    /// Removes a copy.
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

    /// The next copy to evict; with `rank`, only if its own is not higher.
    pub fn eviction_candidate(&self, rank: Option<u32>) -> Option<Key> {
        self.order
            .first()
            .filter(|(r, ..)| rank.is_none_or(|rank| *r <= rank))
            .map(|(.., key)| *key)
    }

    /// All parts and variants of an object.
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

    /// All copies of a purge group.
    pub fn of_group(&self, group: u64) -> Vec<Key> {
        self.groups
            .get(&group)
            .map_or(Vec::new(), |g| g.iter().copied().collect())
    }

    /// All keys, ascending.
    pub fn keys(&self) -> Vec<Key> {
        self.objects.iter().copied().collect()
    }

    /// Live contents of a segment.
    pub fn usage(&self, segment: u32) -> SegmentUsage {
        self.segment_usage
            .get(&segment)
            .cloned()
            .unwrap_or_default()
    }

    /// Live bytes of a segment.
    pub fn live_in(&self, segment: u32) -> u64 {
        self.segment_usage.get(&segment).map_or(0, |s| s.live)
    }

    /// Any copy with a record in the segment.
    pub fn any_key_in(&self, segment: u32) -> Option<Key> {
        self.segment_usage
            .get(&segment)?
            .keys
            .iter()
            .next()
            .copied()
    }

    /// Drops the accounting of a segment that was removed.
    pub fn forget_segment(&mut self, segment: u32) {
        self.segment_usage.remove(&segment);
    }
}
