//! In-memory index of the stored copies and their order of eviction. It does no I/O.
//!
//! The index finds copies by key, by object, by purge group, by segment and in the order of eviction. An entry takes about 300 bytes for
//! a copy of one block and 16 bytes for each further block. The store's capacity bounds the number of copies; an entry is removed when
//! its copy is evicted, purged or lost.
use crate::record::{BlockLocation, Key, Meta};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// Position of a record of any kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordLocation {
    /// Number of the segment.
    pub segment: u32,
    /// Offset in the segment, in bytes.
    pub offset: u32,
    /// Length including the header, in bytes.
    pub len: u32,
}

/// Index entry of a stored copy.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Purge group.
    pub group: u64,
    /// Body length in bytes.
    pub size: u64,
    /// Time at which the origin served or confirmed the response, in milliseconds since 1970.
    pub born_ms: u64,
    /// Time up to which the copy is fresh, in milliseconds since 1970; 0 if unlimited.
    pub fresh_until_ms: u64,
    /// Eviction rank; lower ranks are evicted first.
    pub rank: u32,
    /// Sequence number of the commit record.
    pub seq: u64,
    /// Position of the commit record.
    pub commit: RecordLocation,
    /// Locations of the body's blocks, in the order of the body.
    pub locations: Box<[BlockLocation]>,
    /// Tick of the last use; 0 if the copy has not been used since it was recovered.
    last_used: u64,
}

/// Live contents of a segment.
#[derive(Clone, Debug, Default)]
pub struct SegmentUsage {
    /// Bytes of the records that the index refers to.
    pub live_bytes: u64,
    /// Keys of the copies with a record in the segment.
    pub keys: HashSet<Key>,
}

/// Index of the stored copies. All of its maps describe the same set of entries.
#[derive(Debug, Default)]
pub struct Index {
    entries: HashMap<Key, Entry>,
    /// Rank, last use and key of each copy; the first one is evicted next.
    eviction_order: BTreeSet<(u32, u64, Key)>,
    groups: HashMap<u64, HashSet<Key>>,
    /// Keys of all copies; the parts and variants of an object are adjacent.
    sorted_keys: BTreeSet<Key>,
    segment_usage: BTreeMap<u32, SegmentUsage>,
    use_ticks: u64,
    live_bytes: u64,
}

impl Entry {
    /// Returns an unused entry for the commit record with the sequence number `seq`.
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
            last_used: 0,
        }
    }

    /// Returns the segment and the length of each record of the copy.
    fn bytes_by_segment(&self) -> impl Iterator<Item = (u32, u64)> + '_ {
        let blocks = self.locations.iter().map(|location| {
            (
                location.segment,
                u64::from(location.len) + crate::record::RECORD_HEADER_BYTES as u64,
            )
        });
        blocks.chain([(self.commit.segment, u64::from(self.commit.len))])
    }
}

impl Index {
    /// Returns the number of copies.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the index has no copies.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the live bytes of all segments.
    pub fn live_bytes(&self) -> u64 {
        self.live_bytes
    }

    /// Looks up a copy; the lookup does not count as a use.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Looks up a copy; the lookup counts as a use.
    pub fn touch(&mut self, key: &Key) -> Option<&Entry> {
        self.use_ticks += 1;
        let entry = self.entries.get_mut(key)?;
        self.eviction_order
            .remove(&(entry.rank, entry.last_used, *key));
        entry.last_used = self.use_ticks;
        self.eviction_order
            .insert((entry.rank, entry.last_used, *key));
        Some(entry)
    }

    /// Inserts a copy. If it replaces one of the same key, it inherits the last use. Otherwise it counts as used now, or as unused if it
    /// was `recovered`.
    pub fn insert(&mut self, key: Key, mut entry: Entry, recovered: bool) {
        let replaced = self.remove(&key);
        // A move or renewal of a copy does not count as a use.
        entry.last_used = match replaced {
            Some(replaced) => replaced.last_used,
            None if recovered => 0,
            None => {
                self.use_ticks += 1;
                self.use_ticks
            }
        };
        for (segment, bytes) in entry.bytes_by_segment() {
            let usage = self.segment_usage.entry(segment).or_default();
            usage.live_bytes += bytes;
            usage.keys.insert(key);
            self.live_bytes += bytes;
        }
        self.eviction_order
            .insert((entry.rank, entry.last_used, key));
        self.groups.entry(entry.group).or_default().insert(key);
        self.sorted_keys.insert(key);
        self.entries.insert(key, entry);
    }

    /// Removes a copy.
    pub fn remove(&mut self, key: &Key) -> Option<Entry> {
        let entry = self.entries.remove(key)?;
        self.eviction_order
            .remove(&(entry.rank, entry.last_used, *key));
        self.sorted_keys.remove(key);
        if let Some(group) = self.groups.get_mut(&entry.group) {
            group.remove(key);
            if group.is_empty() {
                self.groups.remove(&entry.group);
            }
        }
        for (segment, bytes) in entry.bytes_by_segment() {
            if let Some(usage) = self.segment_usage.get_mut(&segment) {
                usage.live_bytes -= bytes;
                usage.keys.remove(key);
            }
            self.live_bytes -= bytes;
        }
        Some(entry)
    }

    /// Returns the key of the next copy to evict; `None` if its rank is higher than `max_rank`.
    pub fn eviction_candidate(&self, max_rank: Option<u32>) -> Option<Key> {
        self.eviction_order
            .first()
            .filter(|(rank, ..)| max_rank.is_none_or(|max_rank| *rank <= max_rank))
            .map(|(.., key)| *key)
    }

    /// Returns the keys of all parts and variants of an object.
    pub fn keys_of_object(&self, object: u128) -> Vec<Key> {
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
        self.sorted_keys.range(from..=to).copied().collect()
    }

    /// Returns the keys of all copies in a purge group.
    pub fn keys_of_group(&self, group: u64) -> Vec<Key> {
        self.groups
            .get(&group)
            .map_or(Vec::new(), |keys| keys.iter().copied().collect())
    }

    /// Returns all keys in ascending order.
    pub fn keys(&self) -> Vec<Key> {
        self.sorted_keys.iter().copied().collect()
    }

    /// Returns the live contents of a segment.
    pub fn usage(&self, segment: u32) -> SegmentUsage {
        self.segment_usage
            .get(&segment)
            .cloned()
            .unwrap_or_default()
    }

    /// Returns the live bytes of a segment.
    pub fn live_bytes_in(&self, segment: u32) -> u64 {
        self.segment_usage
            .get(&segment)
            .map_or(0, |usage| usage.live_bytes)
    }

    /// Returns the key of any copy with a record in the segment.
    pub fn any_key_in(&self, segment: u32) -> Option<Key> {
        self.segment_usage
            .get(&segment)?
            .keys
            .iter()
            .next()
            .copied()
    }

    /// Removes the usage entry of a segment that was removed.
    pub fn remove_segment(&mut self, segment: u32) {
        self.segment_usage.remove(&segment);
    }
}
