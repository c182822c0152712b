//! Purges and tombstones: what they invalidate, and when they are durable.
use super::*;

/// What a purge strikes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum What {
    Object(String),
    Group(u64),
    All,
}

impl Store {
    /// Takes away what it strikes, durably when this returns well. After an error it is gone from the index all the same, and may
    /// be back after a crash.
    pub fn purge(&self, what: &What) -> Result<usize, StoreError> {
        let (count, upto) = {
            let mut inner = self.inner();
            let mut purge = Purge {
                up_to_seq: inner.seq,
                ..Purge::default()
            };
            let keys = match what {
                What::Object(object) => {
                    let object = record::object_number(object);
                    (purge.object_low, purge.object_high) = (object as u64, (object >> 64) as u64);
                    purge.of_object = true;
                    inner.index.of_object(object)
                }
                What::Group(group) => {
                    (purge.group, purge.of_group) = (*group, true);
                    inner.index.of_group(*group)
                }
                What::All => inner.index.keys(),
            };
            for key in &keys {
                inner.index.remove(key);
            }
            if let Some(recovery) = &mut inner.recovery {
                recovery.invalidations.add_purge(&purge);
            }
            let seq = inner.seq;
            inner.purges.push((seq, purge));
            let oldest = inner.fills.first().copied();
            inner
                .purges
                .retain(|(seq, _)| oldest.is_some_and(|oldest| *seq >= oldest));
            inner.stats.purged += keys.len() as u64;
            // Twice: a bit that flips in one of them must not undo it.
            let log_record = Record::Purge(purge);
            if matches!(
                self.append(&mut inner, &log_record),
                Err(StoreError::Disk(_))
            ) {
                self.evict_oldest_segment(&mut inner);
            }
            let upto = match self.append(&mut inner, &log_record) {
                Ok(upto) => upto,
                Err(e) => {
                    inner.deferred_records.push(log_record);
                    return Err(e);
                }
            };
            (keys.len(), upto)
        };
        self.sync_upto(
            upto.segment,
            upto.offset + upto.len + RECORD_HEADER_BYTES as u32,
        )?;
        Ok(count)
    }

    /// Has been taken out of the index: recorded now, or when the disk takes it.
    pub(super) fn write_tombstone(&self, inner: &mut Inner, key: Key, seq: u64) {
        inner
            .deferred_records
            .push(Record::Tombstone(Tombstone::new(key, seq)));
        let _ = self.write_deferred_records(inner);
    }

    pub(super) fn write_deferred_records(&self, inner: &mut Inner) -> Result<(), StoreError> {
        while let Some(log_record) = inner.deferred_records.pop() {
            if let Err(e) = self.append(inner, &log_record) {
                inner.deferred_records.push(log_record);
                return Err(e);
            }
        }
        Ok(())
    }
}
