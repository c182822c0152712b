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
    pub(super) fn room(&self, inner: &mut Inner, need: u64, rank: u32) -> Result<(), StoreError> {
        let segment = u64::from(self.0.options.segment);
        // One segment is being written, one is needed to clean into.
        let space = self.0.options.capacity - 2 * segment;
        let most = (space as f64 * FULL) as u64;
        while inner.index.live() + need > most {
            let key = inner
                .index
                .first_to_go(Some(rank))
                .ok_or(StoreError::NoRoom)?;
            let seq = inner.index.remove(&key).map_or(0, |e| e.seq);
            inner.stats.evicted += 1;
            self.gone(inner, key, seq);
        }
        // Early, and in small parts: nobody waits for a whole segment.
        if self.disk_bytes(inner) + need + segment > space {
            self.clean(inner, PAY * need)?;
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
            let Some(victim) = inner.victim.or_else(|| self.choose(inner)) else {
                break;
            };
            inner.victim = Some(victim);
            match inner.index.one_in(victim) {
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
    pub(super) fn choose(&self, inner: &Inner) -> Option<u32> {
        let fit = inner
            .segments
            .iter()
            .filter(|(n, s)| inner.active != Some(**n) && s.pins == 0);
        let dense = |n: u32, s: &Segment| inner.index.live_in(n) as f64 / f64::from(s.len.max(1));
        // Purges and evictions are carried on until nothing older is left that they could strike: too many of them, and the log is
        // turned over from its oldest end.
        let strikes: usize = inner.segments.values().map(|s| s.strikes.len()).sum();
        if strikes > STRIKES_LEAST.max(2 * inner.index.len()) {
            return fit.map(|(n, _)| *n).min();
        }
        let all = fit
            .map(|(n, s)| (dense(*n, s), *n))
            .filter(|(dense, _)| *dense < DENSE);
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
        let (mut places, mut moved, mut right) = (entry.places.to_vec(), 0, true);
        for place in places.iter_mut().filter(|p| p.segment == victim) {
            let Some(block) = read(inner, victim, place.offset, place.len + HEAD as u32) else {
                right = false;
                break;
            };
            *place = self.write(inner, Kind::Block, &block)?;
            moved += u64::from(place.len) + HEAD as u64;
        }
        match commit.and_then(|c| c.meta).filter(|_| right) {
            Some(meta) => self.commit(inner, meta, places)?,
            None => {
                inner.index.remove(&key);
                inner.stats.lost += 1;
                self.gone(inner, key, entry.seq);
            }
        }
        // At least something, so that a caller's loop ends.
        Ok(moved + u64::from(len))
    }

    /// A segment in which nothing lives any more: what older ones need of it goes on, then it is removed.
    pub(super) fn finish(&self, inner: &mut Inner, victim: u32) -> Result<(), StoreError> {
        self.pay_owed(inner)?;
        let oldest = inner
            .segments
            .keys()
            .next()
            .is_none_or(|first| *first >= victim);
        if !oldest {
            let strikes = inner
                .segments
                .get(&victim)
                .map_or(Vec::new(), |s| s.strikes.clone());
            for (_, word) in strikes {
                self.append(inner, &word)?;
            }
        }
        let needed = inner
            .segments
            .keys()
            .copied()
            .filter(|n| *n != victim)
            .collect();
        let at = self.append(inner, &Word::Roster(Roster { segments: needed }))?;
        // What was moved must be there before its old place goes.
        let Some(segment) = inner.segments.get_mut(&at.segment) else {
            return Ok(());
        };
        if let Err(e) = segment.file.sync() {
            self.distrust(inner, at.segment);
            return Err(e.into());
        }
        segment.synced = segment.len;
        self.remove_segment(inner, victim);
        Ok(())
    }
}
