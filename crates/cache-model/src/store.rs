//! Copies of one member: by rank, within a rank by use; bounded in bytes.
use super::CachedCopy;
use pointspindle::Micros;
use std::collections::{BTreeSet, HashMap};

/// An object's number and its part.
pub type Key = (u64, u64);

#[derive(Debug)]
struct Held {
    copy: CachedCopy,
    group: u64,
    rank: u8,
    used: u64,
}

#[derive(Debug)]
pub struct Store {
    most: u64,
    bytes: u64,
    held: HashMap<Key, Held>,
    /// Lowest rank first, in a rank what was used longest ago.
    order: BTreeSet<(u8, u64, Key)>,
    clock: u64,
}

impl Store {
    pub fn new(most: u64) -> Self {
        Self {
            most,
            bytes: 0,
            held: HashMap::new(),
            order: BTreeSet::new(),
            clock: 0,
        }
    }

    pub fn get(&self, key: Key) -> Option<CachedCopy> {
        self.held.get(&key).map(|h| h.copy)
    }

    pub fn len(&self) -> usize {
        self.held.len()
    }

    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    fn next(&mut self) -> u64 {
        self.clock += 1;
        self.clock
    }

    /// A copy was used: it moves to the end of its rank, or of the rank given (0 leaves it).
    pub fn touch(&mut self, key: Key, rank: u8) {
        let used = self.next();
        let Some(held) = self.held.get_mut(&key) else {
            return;
        };
        self.order.remove(&(held.rank, held.used, key));
        held.used = used;
        if rank > 0 {
            held.rank = rank;
        }
        self.order.insert((held.rank, held.used, key));
    }

    /// The origin has confirmed a copy.
    pub fn renew(&mut self, key: Key, birth: Micros) {
        if let Some(held) = self.held.get_mut(&key) {
            held.copy.validated_at = held.copy.validated_at.max(birth);
        }
    }

    /// Keeps a copy at a rank; it pushes out its own rank or lower, else it is not kept.
    pub fn put(&mut self, key: Key, group: u64, copy: CachedCopy, rank: u8) -> bool {
        if rank == 0 || copy.size > self.most {
            return false;
        }
        self.remove(key);
        while self.bytes + copy.size > self.most {
            match self.order.first().copied() {
                Some((lowest, _, victim)) if lowest <= rank => self.remove(victim),
                _ => return false,
            }
        }
        let used = self.next();
        self.bytes += copy.size;
        self.order.insert((rank, used, key));
        self.held.insert(
            key,
            Held {
                copy,
                group,
                rank,
                used,
            },
        );
        true
    }

    fn remove(&mut self, key: Key) {
        if let Some(held) = self.held.remove(&key) {
            self.order.remove(&(held.rank, held.used, key));
            self.bytes -= held.copy.size;
        }
    }

    /// Drops copies of an object, or of a group, from before a purge.
    pub fn purge(&mut self, object: Option<u64>, group: u64, at: Micros) {
        let struck = |key: &Key, held: &Held| {
            held.copy.validated_at < at && object.map_or(held.group == group, |o| key.0 == o)
        };
        let keys: Vec<Key> = self
            .held
            .iter()
            .filter(|(k, h)| struck(k, h))
            .map(|(k, _)| *k)
            .collect();
        for key in keys {
            self.remove(key);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn copy(size: u64, birth: Micros) -> CachedCopy {
        CachedCopy {
            version: 0,
            size,
            validated_at: birth,
        }
    }

    #[test]
    fn the_lowest_rank_goes_first_and_nothing_for_a_lower_one() {
        let mut store = Store::new(30);
        assert!(store.put((1, 0), 0, copy(10, 0), 2));
        assert!(store.put((2, 0), 0, copy(10, 0), 1));
        assert!(store.put((3, 0), 0, copy(10, 0), 2));
        assert!(
            store.put((4, 0), 0, copy(10, 0), 1),
            "pushes out its own rank"
        );
        assert!(store.get((2, 0)).is_none() && store.get((1, 0)).is_some());
        store.touch((1, 0), 0);
        assert!(store.put((5, 0), 0, copy(20, 0), 2));
        assert!(
            store.get((4, 0)).is_none() && store.get((3, 0)).is_none(),
            "rank 1, then the longest unused"
        );
        assert!(
            !store.put((6, 0), 0, copy(10, 0), 1),
            "nothing of a higher rank for it"
        );
        assert!(
            !store.put((7, 0), 0, copy(31, 0), 3),
            "larger than the store"
        );
        assert_eq!((store.bytes(), store.len()), (30, 2));
    }

    #[test]
    fn a_purge_drops_what_is_older_and_keeps_what_came_after() {
        let mut store = Store::new(100);
        store.put((1, 0), 7, copy(10, 100), 1);
        store.put((1, 1), 7, copy(10, 300), 1);
        store.put((2, 0), 8, copy(10, 100), 1);
        store.purge(None, 7, 200);
        assert!(
            store.get((1, 0)).is_none()
                && store.get((1, 1)).is_some()
                && store.get((2, 0)).is_some()
        );
        store.purge(Some(2), 0, 200);
        assert!(store.get((2, 0)).is_none());
    }
}
