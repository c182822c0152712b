//! Write path, under the lock: writes of records to the active segment, sealing, fsync, and the discard of data that a failed fsync may
//! have lost.
use super::*;

impl Store {
    /// Writes a record. Purges and tombstones also stay in memory, to be written again when the segment is cleaned.
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
        let record_bytes = (RECORD_HEADER_BYTES + payload.len()) as u32;
        let is_full = |s: &Segment| {
            s.len + record_bytes > self.0.options.segment && s.len > SEGMENT_HEADER_BYTES as u32
        };
        if inner
            .active
            .and_then(|n| inner.segments.get(&n))
            .is_some_and(is_full)
        {
            self.seal(inner)?;
        }
        let number = match inner.active {
            Some(number) => number,
            None => self.create_segment(inner)?,
        };
        self.write_to_segment(inner, number, kind, payload)
    }

    /// Writes a record at the end of a segment. After an error the length of the segment is unchanged.
    pub(super) fn write_to_segment(
        &self,
        inner: &mut Inner,
        number: u32,
        kind: Kind,
        payload: &[u8],
    ) -> Result<BlockLocation, StoreError> {
        inner.seq += 1;
        let bytes = record::encode(number, kind, inner.seq, payload);
        let Some(segment) = inner.segments.get_mut(&number) else {
            return Err(StoreError::Full);
        };
        let offset = segment.len;
        if let Err(e) = segment.file.write_at(u64::from(offset), &bytes) {
            // The next record must not follow a partial one.
            if let Err(truncate_error) = segment.file.truncate(u64::from(offset)) {
                tracing::error!(segment = number, error = %truncate_error, "store: truncation after a failed write failed; writes are refused until it succeeds");
                inner.pending_truncations.push(PendingTruncation {
                    segment: number,
                    offset,
                    records: None,
                });
            }
            return Err(e.into());
        }
        segment.len += bytes.len() as u32;
        inner.stats.written_bytes += bytes.len() as u64;
        if kind != Kind::Block {
            inner
                .active_records
                .extend_from_slice(&offset.to_le_bytes());
            inner.active_records.extend_from_slice(&bytes);
            inner
                .active_record_ends
                .push((segment.len, inner.active_records.len()));
        }
        Ok(BlockLocation {
            segment: number,
            offset,
            len: payload.len() as u32,
            crc: crc32fast::hash(payload),
        })
    }

    /// Creates a segment, makes it active and writes a manifest of the older segments as its first record.
    pub(super) fn create_segment(&self, inner: &mut Inner) -> Result<u32, StoreError> {
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
        let older_segments = inner
            .segments
            .keys()
            .copied()
            .chain(pending_segments(inner))
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
        inner.active_records = Vec::new();
        inner.active_record_ends = Vec::new();
        let manifest = Record::Manifest(Manifest {
            segments: older_segments,
        });
        self.write_to_segment(inner, number, Kind::Manifest, &manifest.payload())?;
        Ok(number)
    }

    /// Syncs the active segment, writes its summary and closes it: the next record goes into a new segment.
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
        let records = std::mem::take(&mut inner.active_records);
        inner.active = None;
        self.write_summary(number, len, &records);
        Ok(())
    }

    /// Discards what was written since the last successful fsync. After a failed fsync that data may be lost, since the kernel may have
    /// dropped the dirty pages. The segment is truncated to its durable length, and copies with data beyond it are removed from the index.
    /// Purges and tombstones among the discarded records, and a tombstone for each removed copy, are deferred to the next write.
    pub(super) fn discard_unsynced(&self, inner: &mut Inner, number: u32) {
        let Some(segment) = inner.segments.get_mut(&number) else {
            return;
        };
        let durable_len = segment.synced.max(SEGMENT_HEADER_BYTES as u32);
        if segment.len <= durable_len {
            return;
        }
        segment.len = durable_len;
        let records = std::mem::take(&mut segment.invalidation_records);
        let (durable, lost): (Vec<_>, Vec<_>) = records
            .into_iter()
            .partition(|(offset, _)| *offset < durable_len);
        segment.invalidation_records = durable;
        let lost_records = lost.into_iter().map(|(_, record)| record);
        inner.deferred_records.extend(lost_records);
        let truncated = segment.file.truncate(u64::from(durable_len)).is_ok();
        tracing::error!(
            segment = number,
            offset = durable_len,
            "store: fsync failed; discarding the records written since the last successful fsync"
        );
        drop_copies_beyond(inner, number, durable_len);
        let records = (inner.active == Some(number)).then(|| {
            inner.active = None;
            active_records_up_to(inner, durable_len)
        });
        if !truncated {
            inner.pending_truncations.push(PendingTruncation {
                segment: number,
                offset: durable_len,
                records,
            });
        } else if let Some(records) = records {
            self.write_summary(number, durable_len, &records);
        }
    }

    /// Retries the failed truncations. Writes are refused until all have succeeded, since the next record must not follow a partial one.
    fn retry_truncations(&self, inner: &mut Inner) -> Result<(), StoreError> {
        while let Some(PendingTruncation {
            segment: number,
            offset,
            records,
        }) = inner.pending_truncations.pop()
        {
            // The segment has been cleaned in the meantime and its file removed.
            let Some(segment) = inner.segments.get(&number) else {
                continue;
            };
            if let Err(e) = segment.file.truncate(u64::from(offset)) {
                inner.pending_truncations.push(PendingTruncation {
                    segment: number,
                    offset,
                    records,
                });
                return Err(StoreError::ReadOnly(format!(
                    "truncation of segment {number} to {offset} bytes failed: {e}"
                )));
            }
            if let Some(records) = records {
                self.write_summary(number, offset, &records);
            }
        }
        Ok(())
    }

    /// Makes the segment durable up to the offset `up_to`; concurrent callers share an fsync.
    pub(super) fn sync_up_to(&self, number: u32, up_to: u32) -> Result<(), StoreError> {
        let _guard = lock(&self.0.syncing);
        let (file, len) = {
            let inner = self.inner();
            match inner.segments.get(&number) {
                // Another caller's fsync, or sealing, has covered this range.
                Some(segment) if segment.synced >= up_to => return Ok(()),
                Some(segment) if segment.len >= up_to => (segment.file.clone(), segment.len),
                Some(_) => {
                    return Err(StoreError::Disk(std::io::Error::other(
                        "data was discarded after an earlier failed fsync",
                    )))
                }
                // The segment has been cleaned in the meantime: its live records were moved and synced before it was removed.
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
                        "data was discarded after a concurrent failed fsync",
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
        let location = self.write(inner, Kind::Commit, &commit.encode_to_vec())?;
        let (Some(meta), locations) = (commit.meta, commit.locations) else {
            return Ok(());
        };
        let key = meta.key();
        let record = RecordLocation {
            segment: location.segment,
            offset: location.offset,
            len: location.len + RECORD_HEADER_BYTES as u32,
        };
        let entry = Entry::new(&meta, inner.seq, record, locations);
        inner.index.insert(key, entry, false);
        Ok(())
    }
}

/// Removes the copies from the index that have a record in the segment at or beyond the offset `durable_len`.
fn drop_copies_beyond(inner: &mut Inner, number: u32, durable_len: u32) {
    let is_discarded = |segment: u32, offset: u32| segment == number && offset >= durable_len;
    let candidates = inner.index.usage(number).keys;
    for key in candidates {
        let is_lost = inner.index.get(&key).is_some_and(|entry| {
            let mut locations = entry.locations.iter();
            is_discarded(entry.commit.segment, entry.commit.offset)
                || locations.any(|l| is_discarded(l.segment, l.offset))
        });
        if is_lost {
            // The tombstone is deferred: the segment that it would be written to may be the one whose fsync failed.
            let seq = inner.index.remove(&key).map_or(0, |entry| entry.seq);
            let tombstone = Tombstone::new(key, seq);
            inner.deferred_records.push(Record::Tombstone(tombstone));
            inner.stats.lost += 1;
        }
    }
}

/// Returns the records of the active segment that end at or before `durable_len`, encoded as in its summary.
fn active_records_up_to(inner: &Inner, durable_len: u32) -> Vec<u8> {
    let len = inner
        .active_record_ends
        .iter()
        .rev()
        .find(|(end, _)| *end <= durable_len)
        .map_or(0, |(_, len)| *len);
    inner.active_records[..len].to_vec()
}
