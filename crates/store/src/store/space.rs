//! Capacity management, under the lock: eviction and segment cleaning.
use super::*;

impl Store {
    /// Returns the bytes of all segments, including those not recovered yet.
    pub(super) fn disk_bytes(&self, inner: &Inner) -> u64 {
        let pending = inner.recovery.as_ref().map_or(0, Recovery::pending_bytes);
        inner
            .segments
            .values()
            .map(|s| u64::from(s.len))
            .sum::<u64>()
            + pending
    }

    /// Evicts and cleans until `needed_bytes` more bytes of a copy of this rank fit.
    pub(super) fn ensure_capacity(
        &self,
        inner: &mut Inner,
        needed_bytes: u64,
        rank: u32,
    ) -> Result<(), StoreError> {
        let segment = u64::from(self.0.options.segment);
        // One segment is reserved for writes and one as the target of cleaning.
        let space = self.0.options.capacity - 2 * segment;
        let max_live_bytes = (space as f64 * MAX_LIVE_FRACTION) as u64;
        while inner.index.live_bytes() + needed_bytes > max_live_bytes {
            let key = inner
                .index
                .eviction_candidate(Some(rank))
                .ok_or(StoreError::Full)?;
            let seq = inner.index.remove(&key).map_or(0, |e| e.seq);
            inner.stats.evicted += 1;
            self.write_tombstone(inner, key, seq);
        }
        // Cleaning starts early and in small steps, so that no write waits for a whole segment.
        if self.disk_bytes(inner) + needed_bytes + segment > space {
            self.clean(inner, MAX_CLEANED_BYTES_PER_WRITTEN_BYTE * needed_bytes)?;
        }
        let mut moved = 0;
        while self.disk_bytes(inner) + needed_bytes > space {
            let step_bytes = self.clean(inner, segment)?;
            moved += step_bytes;
            // No segment was worth cleaning, or a full pass has not freed enough: the log cannot shrink further.
            if step_bytes == 0 || moved > 2 * self.0.options.capacity {
                return Err(StoreError::Full);
            }
        }
        Ok(())
    }

    /// Cleans segments until `max_bytes` bytes were moved or freed, or no segment is worth cleaning. Returns the bytes moved or freed.
    pub(super) fn clean(&self, inner: &mut Inner, max_bytes: u64) -> Result<u64, StoreError> {
        let mut moved = 0;
        while moved < max_bytes && inner.recovery.is_none() {
            let Some(victim) = inner.victim.or_else(|| self.choose_victim(inner)) else {
                break;
            };
            inner.victim = Some(victim);
            match inner.index.any_key_in(victim) {
                Some(key) => moved += self.move_copy(inner, key, victim)?,
                None => {
                    // The freed file counts as progress, so that a caller that needs capacity continues.
                    moved += inner.segments.get(&victim).map_or(0, |s| u64::from(s.len));
                    inner.victim = None;
                    self.remove_cleaned_segment(inner, victim)?;
                }
            }
        }
        Ok(moved)
    }

    /// Returns the segment with the lowest fraction of live bytes that is neither active nor pinned; of equal ones the oldest.
    pub(super) fn choose_victim(&self, inner: &Inner) -> Option<u32> {
        let candidates = inner
            .segments
            .iter()
            .filter(|(n, s)| inner.active != Some(**n) && s.pins == 0);
        let live_fraction =
            |n: u32, s: &Segment| inner.index.live_bytes_in(n) as f64 / f64::from(s.len.max(1));
        // Cleaning rewrites the purges and tombstones of a segment unless it is the oldest. If there are too many of them, the oldest
        // segment is cleaned first, since its own are then dropped.
        let invalidation_records: usize = inner
            .segments
            .values()
            .map(|s| s.invalidation_records.len())
            .sum();
        if invalidation_records > MIN_INVALIDATIONS_FOR_REWRITE.max(2 * inner.index.len()) {
            return candidates.map(|(n, _)| *n).min();
        }
        let cleanable = candidates
            .map(|(n, s)| (live_fraction(*n, s), *n))
            .filter(|(live_fraction, _)| *live_fraction < MAX_CLEANABLE_LIVE_FRACTION);
        cleanable
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
            .map(|(_, n)| n)
    }

    /// Rewrites the blocks that a copy has in the segment, and its commit record. Returns the bytes moved.
    pub(super) fn move_copy(
        &self,
        inner: &mut Inner,
        key: Key,
        victim: u32,
    ) -> Result<u64, StoreError> {
        let Some(entry) = inner.index.get(&key).cloned() else {
            return Ok(0);
        };
        let commit = read_from_segment(inner, entry.commit)
            .and_then(|bytes| Commit::decode(&bytes[..]).ok())
            .and_then(|commit| commit.meta);
        let moved = self.move_blocks(inner, &entry.locations, victim)?;
        match commit.filter(|_| moved.complete) {
            Some(meta) => self.commit(inner, meta, moved.locations)?,
            None => {
                inner.index.remove(&key);
                inner.stats.lost += 1;
                self.write_tombstone(inner, key, entry.seq);
            }
        }
        // The result is never 0: `clean` loops until it has moved enough bytes.
        Ok(moved.bytes + u64::from(entry.commit.len))
    }

    /// Rewrites the blocks at `locations` that are in the segment, up to the first one that cannot be read.
    fn move_blocks(
        &self,
        inner: &mut Inner,
        locations: &[BlockLocation],
        victim: u32,
    ) -> Result<MovedBlocks, StoreError> {
        let mut moved = MovedBlocks {
            locations: locations.to_vec(),
            bytes: 0,
            complete: true,
        };
        let in_victim = moved.locations.iter_mut().filter(|l| l.segment == victim);
        for location in in_victim {
            let record = RecordLocation {
                segment: victim,
                offset: location.offset,
                len: location.len + RECORD_HEADER_BYTES as u32,
            };
            let Some(block) = read_from_segment(inner, record) else {
                moved.complete = false;
                break;
            };
            *location = self.write(inner, Kind::Block, &block)?;
            moved.bytes += u64::from(record.len);
        }
        Ok(moved)
    }

    /// Removes a segment without live copies. If older segments remain, its purges and tombstones are written again first. All records
    /// moved out of the segment are synced before it is removed.
    pub(super) fn remove_cleaned_segment(
        &self,
        inner: &mut Inner,
        victim: u32,
    ) -> Result<(), StoreError> {
        self.write_deferred_records(inner)?;
        let oldest = inner
            .segments
            .keys()
            .next()
            .is_none_or(|first| *first >= victim);
        if !oldest {
            let invalidation_records = inner
                .segments
                .get(&victim)
                .map_or(Vec::new(), |s| s.invalidation_records.clone());
            for (_, record) in invalidation_records {
                self.append(inner, &record)?;
            }
        }
        let remaining_segments = inner
            .segments
            .keys()
            .copied()
            .filter(|n| *n != victim)
            .collect();
        let location = self.append(
            inner,
            &Record::Manifest(Manifest {
                segments: remaining_segments,
            }),
        )?;
        // The moved records must be durable before the segment is removed.
        let Some(segment) = inner.segments.get_mut(&location.segment) else {
            return Ok(());
        };
        if let Err(e) = segment.file.sync() {
            self.discard_unsynced(inner, location.segment);
            return Err(e.into());
        }
        segment.synced = segment.len;
        self.remove_segment(inner, victim);
        Ok(())
    }

    /// Evicts all copies of the oldest segment and removes it, to free disk space for a purge. Returns false if the segment is active or
    /// pinned, recovery is not complete, or the file cannot be removed.
    pub(super) fn evict_oldest_segment(&self, inner: &mut Inner) -> bool {
        let oldest = inner
            .segments
            .iter()
            .find(|(n, s)| s.pins == 0 && inner.active != Some(**n));
        let Some(number) = oldest
            .map(|(n, _)| *n)
            .filter(|n| inner.segments.keys().next() == Some(n))
        else {
            return false;
        };
        if inner.recovery.is_some() {
            return false;
        }
        while let Some(key) = inner.index.any_key_in(number) {
            inner.index.remove(&key);
            inner.stats.evicted += 1;
        }
        self.remove_segment(inner, number)
    }

    /// Removes the files of a segment. Returns false if the segment file could not be removed; the segment then stays.
    pub(super) fn remove_segment(&self, inner: &mut Inner, number: u32) -> bool {
        if self.0.disk.remove(&segments::segment_name(number)).is_err() {
            return false;
        }
        let _ = self.0.disk.remove(&segments::summary_name(number));
        inner.segments.remove(&number);
        inner.index.remove_segment(number);
        true
    }

    /// Cleans segments, moving or freeing about `bytes` bytes. Returns the bytes moved or freed; 0 if no segment is worth cleaning.
    pub fn maintain(&self, bytes: u64) -> Result<u64, StoreError> {
        let mut inner = self.inner();
        self.clean(&mut inner, bytes)
    }
}

/// Result of moving a copy's blocks out of a segment.
struct MovedBlocks {
    /// Locations of all blocks of the copy after the move.
    locations: Vec<BlockLocation>,
    /// Total bytes of the records that were moved.
    bytes: u64,
    /// Whether all blocks could be read; otherwise the copy is lost.
    complete: bool,
}

fn read_from_segment(inner: &Inner, location: RecordLocation) -> Option<Vec<u8>> {
    let file = inner.segments.get(&location.segment)?.file.clone();
    read_record(&*file, location)
}
