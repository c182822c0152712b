//! The cached copies of a host, limited in bytes; the lowest retention rank is evicted first, then the least recently
//! used copy.
use super::CachedCopy;
use pointspindle::Micros;
use std::collections::{BTreeSet, HashMap};

#[cfg(test)]
mod tests;

/// A part of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ObjectKey {
    /// The object's id.
    pub(crate) object: u64,
    /// The part.
    pub(crate) part: u64,
}

/// Position of a copy in the order of eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionKey {
    rank: u8,
    /// Value of the store's use counter at the latest use of the copy.
    last_use: u64,
    key: ObjectKey,
}

#[derive(Debug)]
struct Entry {
    copy: CachedCopy,
    group: u64,
    rank: u8,
    last_use: u64,
}

impl Entry {
    fn eviction_key(&self, key: ObjectKey) -> EvictionKey {
        EvictionKey {
            rank: self.rank,
            last_use: self.last_use,
            key,
        }
    }
}

/// The cached copies of a host.
#[derive(Debug)]
pub(crate) struct Store {
    capacity_bytes: u64,
    used_bytes: u64,
    entries: HashMap<ObjectKey, Entry>,
    eviction_order: BTreeSet<EvictionKey>,
    uses: u64,
}

impl Store {
    pub(crate) fn new(capacity_bytes: u64) -> Self {
        Self {
            capacity_bytes,
            used_bytes: 0,
            entries: HashMap::new(),
            eviction_order: BTreeSet::new(),
            uses: 0,
        }
    }

    pub(crate) fn get(&self, key: ObjectKey) -> Option<CachedCopy> {
        self.entries.get(&key).map(|entry| entry.copy)
    }

    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    #[cfg(test)]
    pub(crate) fn used_bytes(&self) -> u64 {
        self.used_bytes
    }

    fn next_use(&mut self) -> u64 {
        self.uses += 1;
        self.uses
    }

    /// Marks a copy as the most recently used, and sets its rank unless `rank` is 0.
    pub(crate) fn touch(&mut self, key: ObjectKey, rank: u8) {
        let last_use = self.next_use();
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        self.eviction_order.remove(&entry.eviction_key(key));
        entry.last_use = last_use;
        if rank > 0 {
            entry.rank = rank;
        }
        self.eviction_order.insert(entry.eviction_key(key));
    }

    /// Records that the origin has confirmed a copy.
    pub(crate) fn revalidate(&mut self, key: ObjectKey, validated_at: Micros) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.copy.validated_at = entry.copy.validated_at.max(validated_at);
        }
    }

    /// Stores a copy at a rank, evicting copies of the same or a lower rank. Returns whether the copy was stored.
    pub(crate) fn put(&mut self, key: ObjectKey, group: u64, copy: CachedCopy, rank: u8) -> bool {
        if rank == 0 || copy.size > self.capacity_bytes {
            return false;
        }
        self.remove(key);
        while self.used_bytes + copy.size > self.capacity_bytes {
            match self.eviction_order.first().copied() {
                Some(lowest) if lowest.rank <= rank => self.remove(lowest.key),
                _ => return false,
            }
        }
        let entry = Entry {
            copy,
            group,
            rank,
            last_use: self.next_use(),
        };
        self.used_bytes += copy.size;
        self.eviction_order.insert(entry.eviction_key(key));
        self.entries.insert(key, entry);
        true
    }

    fn remove(&mut self, key: ObjectKey) {
        if let Some(entry) = self.entries.remove(&key) {
            self.eviction_order.remove(&entry.eviction_key(key));
            self.used_bytes -= entry.copy.size;
        }
    }

    /// Removes the copies of an object, or of the whole group if no object is given, that were validated before a
    /// purge.
    pub(crate) fn purge(&mut self, object: Option<u64>, group: u64, purged_at: Micros) {
        let is_purged = |key: &ObjectKey, entry: &Entry| {
            let matches = match object {
                Some(object) => key.object == object,
                None => entry.group == group,
            };
            matches && entry.copy.validated_at < purged_at
        };
        let purged: Vec<ObjectKey> = self
            .entries
            .iter()
            .filter(|(key, entry)| is_purged(key, entry))
            .map(|(key, _)| *key)
            .collect();
        for key in purged {
            self.remove(key);
        }
    }
}
