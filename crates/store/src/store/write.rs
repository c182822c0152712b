//! The write path, under the lock: records into the active segment, sealing it, fsync, and discarding what a failed fsync may have lost.
use super::*;

impl Store {
    /// Writes a record and keeps purges and tombstones in memory, for when the segment is cleaned.
    pub(super) fn append(
        &self,
        inner: &mut Inner,
        record: &Record,
    ) -> Result<BlockLocation, StoreError> {
        let location = self.write(inner, record.kind(), &record.payload())?;
        if let Record::Purge(_) | Record::Tombstone(_) = record {
            if let Some(segment) = inner.segments.get_mut(&location.segment) {
                segment
                    .invalidation_records
                    .push((location.offset, record.clone()));
            }
        }
        Ok(location)
    }

    /// Writes a record to the active segment, or to a new one if it is full.
    pub(super) fn write(
        &self,
        inner: &mut Inner,
        kind: Kind,
        payload: &[u8],
    ) -> Result<BlockLocation, StoreError> {
        self.retry_truncations(inner)?;
        let need = (RECORD_HEADER_BYTES + payload.len()) as u32;
        let full = |s: &Segment| {
            s.len + need > self.0.options.segment && s.len > SEGMENT_HEADER_BYTES as u32
        };
        if inner
            .active
            .and_then(|n| inner.segments.get(&n))
            .is_some_and(full)
        {
            self.seal(inner)?;
        }
        let number = match inner.active {
            Some(number) => number,
            None => self.create(inner)?,
        };
        self.put(inner, number, kind, payload)
    }

    /// Writes a record at the end of a segment. After an error the segment ends where it did before.
    pub(super) fn put(
        &self,
        inner: &mut Inner,
        number: u32,
        kind: Kind,
        payload: &[u8],
    ) -> Result<BlockLocation, StoreError> {
        inner.seq += 1;
        let bytes = record::encode(number, kind, inner.seq, payload);
        let Some(segment) = inner.segments.get_mut(&number) else {
            return Err(StoreError::NoRoom);
        };
        let offset = segment.len;
        if let Err(e) = segment.file.write_at(u64::from(offset), &bytes) {
            // A partial record must not precede the next one.
            if let Err(again) = segment.file.truncate(u64::from(offset)) {
                tracing::error!(segment = number, error = %again, "store: truncation after a failed write failed; retried at the next write");
                inner.pending_truncations.push(PendingTruncation {
                    segment: number,
                    at: offset,
                    records: None,
                });
            }
            return Err(e.into());
        }
        segment.len += bytes.len() as u32;
        inner.stats.written_bytes += bytes.len() as u64;
        if kind != Kind::Block {
            inner.records.extend_from_slice(&offset.to_le_bytes());
            inner.records.extend_from_slice(&bytes);
            inner.record_ends.push((segment.len, inner.records.len()));
        }
        Ok(BlockLocation {
            segment: number,
            offset,
            len: payload.len() as u32,
            crc: crc32fast::hash(payload),
        })
    }

    /// Creates a segment, makes it the active one and begins it with a manifest of the older segments.
    pub(super) fn create(&self, inner: &mut Inner) -> Result<u32, StoreError> {
        let number = inner.next_segment;
        let name = segments::segment_name(number);
        let file = self.0.disk.create(&name)?;
        let initialized = file
            .write_at(0, &segments::segment_header(number))
            .and_then(|()| self.0.disk.sync_names());
        if let Err(e) = initialized {
            let _ = self.0.disk.remove(&name);
            return Err(e.into());
        }
        inner.next_segment += 1;
        let len = SEGMENT_HEADER_BYTES as u32;
        let needed = inner
            .segments
            .keys()
            .copied()
            .chain(pending(inner))
            .collect();
        inner.segments.insert(
            number,
            Segment {
                file,
                len,
                synced: 0,
                pins: 0,
                invalidation_records: Vec::new(),
            },
        );
        inner.active = Some(number);
        inner.records = Vec::new();
        inner.record_ends = Vec::new();
        let manifest = Record::Manifest(Manifest { segments: needed });
        self.put(inner, number, Kind::Manifest, &manifest.payload())?;
        Ok(number)
    }

    /// Syncs the active segment, writes its summary and ends it: the next record goes into a new segment.
    pub(super) fn seal(&self, inner: &mut Inner) -> Result<(), StoreError> {
        let Some(number) = inner.active else {
            return Ok(());
        };
        let Some(segment) = inner.segments.get_mut(&number) else {
            return Ok(());
        };
        let synced = segment.file.sync();
        let len = segment.len;
        match synced {
            Ok(()) => segment.synced = len,
            Err(e) => {
                self.discard_unsynced(inner, number);
                return Err(e.into());
            }
        }
        let records = std::mem::take(&mut inner.records);
        inner.active = None;
        self.write_summary(number, len, &records);
        Ok(())
    }

    /// After a failed fsync nothing written since the last good one can be relied on, since the kernel may have dropped the dirty
    /// pages: the segment is truncated there, and copies with data beyond are dropped from the index. Purges and tombstones among
    /// the discarded records, and a tombstone for each dropped copy, are owed: they are deferred to the next write.
    pub(super) fn discard_unsynced(&self, inner: &mut Inner, number: u32) {
        let Some(segment) = inner.segments.get_mut(&number) else {
            return;
        };
        let good = segment.synced.max(SEGMENT_HEADER_BYTES as u32);
        if segment.len <= good {
            return;
        }
        segment.len = good;
        let records = std::mem::take(&mut segment.invalidation_records);
        let (durable, lost): (Vec<_>, Vec<_>) =
            records.into_iter().partition(|(offset, _)| *offset < good);
        segment.invalidation_records = durable;
        let lost_records = lost.into_iter().map(|(_, record)| record);
        inner.deferred_records.extend(lost_records);
        let truncated = segment.file.truncate(u64::from(good)).is_ok();
        tracing::error!(
            segment = number,
            from = good,
            "store: fsync failed; records written since the last fsync are discarded"
        );
        drop_copies_beyond(inner, number, good);
        let records = (inner.active == Some(number)).then(|| {
            inner.active = None;
            active_records_up_to(inner, good)
        });
        if !truncated {
            inner.pending_truncations.push(PendingTruncation {
                segment: number,
                at: good,
                records,
            });
        } else if let Some(records) = records {
            self.write_summary(number, good, &records);
        }
    }

    /// Retries the truncations that failed. Until all have succeeded nothing is written, since a partial record must not precede the
    /// next one.
    fn retry_truncations(&self, inner: &mut Inner) -> Result<(), StoreError> {
        while let Some(PendingTruncation {
            segment: number,
            at,
            records,
        }) = inner.pending_truncations.pop()
        {
            // Cleaned meanwhile: the file was removed.
            let Some(segment) = inner.segments.get(&number) else {
                continue;
            };
            if let Err(e) = segment.file.truncate(u64::from(at)) {
                inner.pending_truncations.push(PendingTruncation {
                    segment: number,
                    at,
                    records,
                });
                return Err(StoreError::Closed(format!(
                    "a failed write cannot be taken back yet: {e}"
                )));
            }
            if let Some(records) = records {
                self.write_summary(number, at, &records);
            }
        }
        Ok(())
    }

    /// Returns once the segment is durable up to the offset `upto`; concurrent callers share an fsync.
    pub(super) fn sync_upto(&self, number: u32, upto: u32) -> Result<(), StoreError> {
        let _one = lock(&self.0.syncing);
        let (file, len) = {
            let inner = self.inner();
            match inner.segments.get(&number) {
                // Covered by another caller's fsync, or by sealing.
                Some(segment) if segment.synced >= upto => return Ok(()),
                Some(segment) if segment.len >= upto => (segment.file.clone(), segment.len),
                Some(_) => {
                    return Err(StoreError::Disk(std::io::Error::other(
                        "a sync before it has failed",
                    )))
                }
                // Cleaned meanwhile: its live records were synced elsewhere before it was removed.
                None => return Ok(()),
            }
        };
        let synced = file.sync();
        let mut inner = self.inner();
        match synced {
            Ok(()) => {
                let segment = inner.segments.get_mut(&number).filter(|s| s.len >= len);
                let Some(segment) = segment else {
                    return Err(StoreError::Disk(std::io::Error::other(
                        "a sync beside it has failed",
                    )));
                };
                segment.synced = segment.synced.max(len);
                Ok(())
            }
            Err(e) => {
                self.discard_unsynced(&mut inner, number);
                Err(e.into())
            }
        }
    }

    /// Writes a commit record and replaces the copy in the index.
    pub(super) fn commit(
        &self,
        inner: &mut Inner,
        meta: Meta,
        locations: Vec<BlockLocation>,
    ) -> Result<(), StoreError> {
        let commit = Commit {
            meta: Some(meta),
            locations,
        };
        let at = self.write(inner, Kind::Commit, &commit.encode_to_vec())?;
        let (Some(meta), locations) = (commit.meta, commit.locations) else {
            return Ok(());
        };
        let key = meta.key();
        let record = RecordLocation {
            segment: at.segment,
            offset: at.offset,
            len: at.len + RECORD_HEADER_BYTES as u32,
        };
        let entry = Entry::new(&meta, inner.seq, record, locations);
        inner.index.insert(key, entry, false);
        Ok(())
    }
}

/// Removes copies from the index that have a record in the segment at or beyond `good`.
fn drop_copies_beyond(inner: &mut Inner, number: u32, good: u32) {
    let beyond = |segment: u32, offset: u32| segment == number && offset >= good;
    let candidates = inner.index.usage(number).keys;
    for key in candidates {
        let is_lost = inner.index.get(&key).is_some_and(|entry| {
            let mut locations = entry.locations.iter();
            beyond(entry.commit.segment, entry.commit.offset)
                || locations.any(|l| beyond(l.segment, l.offset))
        });
        if is_lost {
            // Deferred: the segment that would take the tombstone may be the one that fails.
            let seq = inner.index.remove(&key).map_or(0, |entry| entry.seq);
            let tombstone = Tombstone::new(key, seq);
            inner.deferred_records.push(Record::Tombstone(tombstone));
            inner.stats.lost += 1;
        }
    }
}

/// Records of the active segment that end at or before `good`, as its summary has them.
fn active_records_up_to(inner: &Inner, good: u32) -> Vec<u8> {
    let len = inner
        .record_ends
        .iter()
        .rev()
        .find(|(end, _)| *end <= good)
        .map_or(0, |(_, len)| *len);
    inner.records[..len].to_vec()
}
