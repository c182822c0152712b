//! Purges and tombstones: what they invalidate, and when they are durable.
use super::*;

/// Scope of a purge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum What {
    /// All parts and variants of an object, by its name.
    Object(String),
    /// All objects of a purge group.
    Group(u64),
    /// Every object.
    All,
}

impl Store {
    /// Removes the copies in scope from the index and returns their number. On success the purge is durable: no copy committed before
    /// it is served again, after any crash. After an error the copies are out of the index all the same, but may be recovered after
    /// a crash.
    pub fn purge(&self, what: &What) -> Result<usize, StoreError> {
        let mut inner = self.inner();
        let (purge, keys) = select_for_purge(&inner, what);
        for key in &keys {
            inner.index.remove(key);
        }
        if let Some(recovery) = &mut inner.recovery {
            recovery.invalidations.add_purge(&purge);
        }
        remember_for_open_fills(&mut inner, purge);
        inner.stats.purged += keys.len() as u64;
        let written = self.write_purge_twice(&mut inner, purge);
        drop(inner);
        let last = written?;
        let end = last.offset + last.len + RECORD_HEADER_BYTES as u32;
        self.sync_upto(last.segment, end)?;
        Ok(keys.len())
    }

    /// Writes the purge record twice, so that one flipped bit cannot undo it; returns the second one's location. A full disk is given
    /// one chance: the oldest segment is evicted. A record that cannot be written stays owed, see [`Inner::deferred_records`].
    fn write_purge_twice(
        &self,
        inner: &mut Inner,
        purge: Purge,
    ) -> Result<BlockLocation, StoreError> {
        let record = Record::Purge(purge);
        let first = self.append(inner, &record);
        if matches!(first, Err(StoreError::Disk(_))) {
            self.evict_oldest_segment(inner);
        }
        let second = self.append(inner, &record);
        if second.is_err() {
            inner.deferred_records.push(record);
        }
        second
    }

    /// Records that a copy was removed from the index. If the disk does not accept the tombstone now, it stays owed and is written
    /// later.
    pub(super) fn write_tombstone(&self, inner: &mut Inner, key: Key, seq: u64) {
        inner
            .deferred_records
            .push(Record::Tombstone(Tombstone::new(key, seq)));
        let _ = self.write_deferred_records(inner);
    }

    /// Writes the owed purges and tombstones, the latest first, up to the first failure.
    pub(super) fn write_deferred_records(&self, inner: &mut Inner) -> Result<(), StoreError> {
        while let Some(record) = inner.deferred_records.pop() {
            if let Err(e) = self.append(inner, &record) {
                inner.deferred_records.push(record);
                return Err(e);
            }
        }
        Ok(())
    }
}

/// The purge record for a scope, and the live copies in that scope.
fn select_for_purge(inner: &Inner, what: &What) -> (Purge, Vec<Key>) {
    let mut purge = Purge {
        up_to_seq: inner.seq,
        ..Purge::default()
    };
    let keys = match what {
        What::Object(name) => {
            let object = record::object_number(name);
            purge.object_low = object as u64;
            purge.object_high = (object >> 64) as u64;
            purge.of_object = true;
            inner.index.of_object(object)
        }
        What::Group(group) => {
            purge.group = *group;
            purge.of_group = true;
            inner.index.of_group(*group)
        }
        What::All => inner.index.keys(),
    };
    (purge, keys)
}

/// Keeps the purge until every fill that began before it has ended; purges older than all open fills are forgotten.
fn remember_for_open_fills(inner: &mut Inner, purge: Purge) {
    let seq = inner.seq;
    inner.purges.push((seq, purge));
    let oldest = inner.fills.first().copied();
    inner
        .purges
        .retain(|(seq, _)| oldest.is_some_and(|oldest| *seq >= oldest));
}
