//! Purges and tombstones: selection of the copies that they invalidate, and durable writes of their records.
use super::*;

/// Scope of a purge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PurgeScope {
    /// All parts and variants of the object with this name.
    Object(String),
    /// All objects of a purge group.
    Group(u64),
    /// All objects.
    All,
}

impl Store {
    /// Removes the copies in scope from the index and returns their number. On success the purge is durable: no copy committed before
    /// it is served again, even after a crash. On an error the copies are removed from the index as well, but may be recovered after a
    /// crash.
    pub fn purge(&self, scope: &PurgeScope) -> Result<usize, StoreError> {
        let mut inner = self.inner();
        let (purge, keys) = select_for_purge(&inner, scope);
        for key in &keys {
            inner.index.remove(key);
        }
        if let Some(recovery) = &mut inner.recovery {
            recovery.invalidations.add_purge(&purge);
        }
        retain_for_open_fills(&mut inner, purge);
        inner.stats.purged += keys.len() as u64;
        let written = self.write_purge_twice(&mut inner, purge);
        drop(inner);
        let last = written?;
        let end = last.offset + last.len + RECORD_HEADER_BYTES as u32;
        self.sync_up_to(last.segment, end)?;
        Ok(keys.len())
    }

    /// Writes the purge record twice, so that a flipped bit cannot undo it, and returns the location of the second record. If the first
    /// write fails with a disk error, such as a full disk, the oldest segment is evicted before the second write. If the second write
    /// fails, the record is deferred, see [`Inner::deferred_records`].
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

    /// Writes a tombstone for a copy that was removed from the index. If the write fails, the tombstone is deferred.
    pub(super) fn write_tombstone(&self, inner: &mut Inner, key: Key, seq: u64) {
        inner
            .deferred_records
            .push(Record::Tombstone(Tombstone::new(key, seq)));
        let _ = self.write_deferred_records(inner);
    }

    /// Writes the deferred purges and tombstones, latest first, up to the first failure.
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

/// Returns the purge record for a scope and the keys of the copies in it.
fn select_for_purge(inner: &Inner, scope: &PurgeScope) -> (Purge, Vec<Key>) {
    let mut purge = Purge {
        up_to_seq: inner.seq,
        ..Purge::default()
    };
    let keys = match scope {
        PurgeScope::Object(name) => {
            let object = record::object_hash(name);
            purge.object_low = object as u64;
            purge.object_high = (object >> 64) as u64;
            purge.of_object = true;
            inner.index.keys_of_object(object)
        }
        PurgeScope::Group(group) => {
            purge.group = *group;
            purge.of_group = true;
            inner.index.keys_of_group(*group)
        }
        PurgeScope::All => inner.index.keys(),
    };
    (purge, keys)
}

/// Adds the purge to those that open fills check at their commit, and drops purges older than every open fill.
fn retain_for_open_fills(inner: &mut Inner, purge: Purge) {
    let seq = inner.seq;
    inner.recent_purges.push((seq, purge));
    let oldest = inner.open_fills.first().copied();
    inner
        .recent_purges
        .retain(|(seq, _)| oldest.is_some_and(|oldest| *seq >= oldest));
}
