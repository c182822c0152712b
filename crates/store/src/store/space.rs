//! Capacity: eviction and segment cleaning, under the lock.
use super::*;

impl Store {
    /// Bytes of all segments, those not recovered yet included.
    pub(super) fn disk_bytes(&self, inner: &Inner) -> u64 {
        let pending = inner.recovery.as_ref().map_or(0, Recovery::pending_bytes);
        inner
            .segments
            .values()
            .map(|s| u64::from(s.len))
            .sum::<u64>()
            + pending
    }

    /// Evicts and cleans until `need` more bytes of a copy of this rank fit.
    pub(super) fn ensure_capacity(
        &self,
        inner: &mut Inner,
        need: u64,
        rank: u32,
    ) -> Result<(), StoreError> {
        let segment = u64::from(self.0.options.segment);
        // One segment is being written, one is needed to clean into.
        let space = self.0.options.capacity - 2 * segment;
        let most = (space as f64 * MAX_LIVE_FRACTION) as u64;
        while inner.index.live() + need > most {
            let key = inner
                .index
                .eviction_candidate(Some(rank))
                .ok_or(StoreError::NoRoom)?;
            let seq = inner.index.remove(&key).map_or(0, |e| e.seq);
            inner.stats.evicted += 1;
            self.write_tombstone(inner, key, seq);
        }
        // Cleaning starts early and in small steps, so that no write waits for a whole segment.
        if self.disk_bytes(inner) + need + segment > space {
            self.clean(inner, MAX_CLEANED_BYTES_PER_WRITTEN_BYTE * need)?;
        }
        let mut moved = 0;
        while self.disk_bytes(inner) + need > space {
            let more = self.clean(inner, segment)?;
            moved += more;
            // A whole pass freed nothing: the log cannot be made smaller.
            if more == 0 || moved > 2 * self.0.options.capacity {
                return Err(StoreError::NoRoom);
            }
        }
        Ok(())
    }

    /// Cleans segments until `most` bytes were moved or freed, or no segment is worth it. Returns the bytes moved or freed.
    pub(super) fn clean(&self, inner: &mut Inner, most: u64) -> Result<u64, StoreError> {
        let mut moved = 0;
        while moved < most && inner.recovery.is_none() {
            let Some(victim) = inner.victim.or_else(|| self.choose_victim(inner)) else {
                break;
            };
            inner.victim = Some(victim);
            match inner.index.any_key_in(victim) {
                Some(key) => moved += self.move_out(inner, key, victim)?,
                None => {
                    // The freed file counts as progress, so that a caller in need of capacity continues.
                    moved += inner.segments.get(&victim).map_or(0, |s| u64::from(s.len));
                    inner.victim = None;
                    self.finish(inner, victim)?;
                }
            }
        }
        Ok(moved)
    }

    /// The segment with the lowest fraction of live bytes that is neither active nor pinned; the oldest of equals.
    pub(super) fn choose_victim(&self, inner: &Inner) -> Option<u32> {
        let fit = inner
            .segments
            .iter()
            .filter(|(n, s)| inner.active != Some(**n) && s.pins == 0);
        let dense = |n: u32, s: &Segment| inner.index.live_in(n) as f64 / f64::from(s.len.max(1));
        // Purges and tombstones are rewritten until no older segment is left. If there are too many, the oldest segment is rewritten
        // first, since they end with it.
        let invalidation_records: usize = inner
            .segments
            .values()
            .map(|s| s.invalidation_records.len())
            .sum();
        if invalidation_records > MIN_INVALIDATIONS_FOR_REWRITE.max(2 * inner.index.len()) {
            return fit.map(|(n, _)| *n).min();
        }
        let all = fit
            .map(|(n, s)| (dense(*n, s), *n))
            .filter(|(dense, _)| *dense < MAX_CLEANABLE_LIVE_FRACTION);
        all.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
            .map(|(_, n)| n)
    }

    /// Rewrites the blocks that a copy has in the segment, and its commit. Returns the bytes moved.
    pub(super) fn move_out(
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
        // Never 0, so that the caller's loop ends.
        Ok(moved.bytes + u64::from(entry.commit.len))
    }

    /// Rewrites those of the blocks that are in the segment, up to the first that cannot be read.
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

    /// Removes a segment without live copies. Its purges and tombstones are written anew if older segments remain, and
    /// everything moved is synced first.
    pub(super) fn finish(&self, inner: &mut Inner, victim: u32) -> Result<(), StoreError> {
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
        let needed = inner
            .segments
            .keys()
            .copied()
            .filter(|n| *n != victim)
            .collect();
        let at = self.append(inner, &Record::Manifest(Manifest { segments: needed }))?;
        // The moved records must be durable before the segment is removed.
        let Some(segment) = inner.segments.get_mut(&at.segment) else {
            return Ok(());
        };
        if let Err(e) = segment.file.sync() {
            self.discard_unsynced(inner, at.segment);
            return Err(e.into());
        }
        segment.synced = segment.len;
        self.remove_segment(inner, victim);
        Ok(())
    }

    /// Evicts all copies of the oldest segment and removes it, to free disk space for a purge. False: not possible.
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

    /// Removes a segment's files. False: the file could not be removed and the segment stays.
    pub(super) fn remove_segment(&self, inner: &mut Inner, number: u32) -> bool {
        if self.0.disk.remove(&segments::segment_name(number)).is_err() {
            return false;
        }
        let _ = self.0.disk.remove(&segments::summary_name(number));
        inner.segments.remove(&number);
        inner.index.forget_segment(number);
        true
    }

    /// Cleans segments, moving or freeing about `bytes`. Returns the bytes moved or freed; 0: no segment is worth it.
    pub fn maintain(&self, bytes: u64) -> Result<u64, StoreError> {
        let mut inner = self.inner();
        self.clean(&mut inner, bytes)
    }
}

/// Result of moving a copy's blocks out of a segment.
struct MovedBlocks {
    /// All blocks of the copy, at their new locations.
    locations: Vec<BlockLocation>,
    /// Bytes of the records that were moved.
    bytes: u64,
    /// False: a block could not be read, so the copy is lost.
    complete: bool,
}

fn read_from_segment(inner: &Inner, location: RecordLocation) -> Option<Vec<u8>> {
    let file = inner.segments.get(&location.segment)?.file.clone();
    read_record(&*file, location)
}
