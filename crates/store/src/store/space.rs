//! Room: who goes, and which segments are cleaned. Under the lock.
use super::*;

impl Store {
    pub(super) fn disk_bytes(&self, inner: &Inner) -> u64 {
        let pending = inner.recovery.as_ref().map_or(0, Recovery::pending_bytes);
        inner
            .segments
            .values()
            .map(|s| u64::from(s.len))
            .sum::<u64>()
            + pending
    }

    /// Makes room for so many bytes more of a copy of this rank.
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
        // Early, and in small parts: nobody waits for a whole segment.
        if self.disk_bytes(inner) + need + segment > space {
            self.clean(inner, MAX_CLEANED_BYTES_PER_WRITTEN_BYTE * need)?;
        }
        let mut moved = 0;
        while self.disk_bytes(inner) + need > space {
            let more = self.clean(inner, segment)?;
            moved += more;
            // A whole turn without room: what is there cannot be made smaller.
            if more == 0 || moved > 2 * self.0.options.capacity {
                return Err(StoreError::NoRoom);
            }
        }
        Ok(())
    }

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
                    // The file itself counts, so that a caller who needs room goes on.
                    moved += inner.segments.get(&victim).map_or(0, |s| u64::from(s.len));
                    inner.victim = None;
                    self.finish(inner, victim)?;
                }
            }
        }
        Ok(moved)
    }

    /// The emptiest segment that nobody writes to; of equals the oldest.
    pub(super) fn choose_victim(&self, inner: &Inner) -> Option<u32> {
        let fit = inner
            .segments
            .iter()
            .filter(|(n, s)| inner.active != Some(**n) && s.pins == 0);
        let dense = |n: u32, s: &Segment| inner.index.live_in(n) as f64 / f64::from(s.len.max(1));
        // Purges and evictions are carried on until nothing older is left that they could strike: too many of them, and the log is
        // turned over from its oldest end.
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

    /// Writes anew what a copy has in a segment. Bytes moved.
    pub(super) fn move_out(
        &self,
        inner: &mut Inner,
        key: Key,
        victim: u32,
    ) -> Result<u64, StoreError> {
        let Some(entry) = inner.index.get(&key).cloned() else {
            return Ok(0);
        };
        let read = |inner: &Inner, segment: u32, offset: u32, len: u32| {
            let file = inner.segments.get(&segment)?.file.clone();
            read_record(&*file, segment, offset, len)
        };
        let (segment, offset, len) = entry.commit;
        let commit =
            read(inner, segment, offset, len).and_then(|bytes| Commit::decode(&bytes[..]).ok());
        let (mut locations, mut moved, mut right) = (entry.locations.to_vec(), 0, true);
        for location in locations.iter_mut().filter(|p| p.segment == victim) {
            let Some(block) = read(
                inner,
                victim,
                location.offset,
                location.len + RECORD_HEADER_BYTES as u32,
            ) else {
                right = false;
                break;
            };
            *location = self.write(inner, Kind::Block, &block)?;
            moved += u64::from(location.len) + RECORD_HEADER_BYTES as u64;
        }
        match commit.and_then(|c| c.meta).filter(|_| right) {
            Some(meta) => self.commit(inner, meta, locations)?,
            None => {
                inner.index.remove(&key);
                inner.stats.lost += 1;
                self.write_tombstone(inner, key, entry.seq);
            }
        }
        // At least something, so that a caller's loop ends.
        Ok(moved + u64::from(len))
    }

    /// A segment in which nothing lives any more: what older ones need of it goes on, then it is removed.
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
            for (_, log_record) in invalidation_records {
                self.append(inner, &log_record)?;
            }
        }
        let needed = inner
            .segments
            .keys()
            .copied()
            .filter(|n| *n != victim)
            .collect();
        let at = self.append(inner, &Record::Manifest(Manifest { segments: needed }))?;
        // What was moved must be there before its old place goes.
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

    /// The oldest segment goes, with all that is in it: room for what must be written.
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

    pub(super) fn remove_segment(&self, inner: &mut Inner, number: u32) -> bool {
        if self.0.disk.remove(&segments::segment_name(number)).is_err() {
            return false;
        }
        let _ = self.0.disk.remove(&segments::summary_name(number));
        inner.segments.remove(&number);
        inner.index.forget_segment(number);
        true
    }

    /// Moves up to so many bytes out of segments that are mostly dead. What was moved; 0: nothing is worth it.
    pub fn maintain(&self, bytes: u64) -> Result<u64, StoreError> {
        let mut inner = self.inner();
        self.clean(&mut inner, bytes)
    }
}
