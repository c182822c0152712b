//! Writing, under the lock: records into the active segment, its end, syncs and what is not trusted after a failed one.
use super::*;

impl Store {
    pub(super) fn append(&self, inner: &mut Inner, word: &Word) -> Result<Place, StoreError> {
        let (kind, payload) = (word.kind(), word.payload());
        let place = self.write(inner, kind, &payload)?;
        if let Word::Purge(_) | Word::Gone(_) = word {
            if let Some(segment) = inner.segments.get_mut(&place.segment) {
                segment.strikes.push((place.offset, word.clone()));
            }
        }
        Ok(place)
    }

    pub(super) fn write(
        &self,
        inner: &mut Inner,
        kind: Kind,
        payload: &[u8],
    ) -> Result<Place, StoreError> {
        self.cut_ends(inner)?;
        let need = (HEAD + payload.len()) as u32;
        let full =
            |s: &Segment| s.len + need > self.0.options.segment && s.len > SEGMENT_HEAD as u32;
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

    pub(super) fn put(
        &self,
        inner: &mut Inner,
        number: u32,
        kind: Kind,
        payload: &[u8],
    ) -> Result<Place, StoreError> {
        inner.seq += 1;
        let bytes = record::encode(number, kind, inner.seq, payload);
        let Some(segment) = inner.segments.get_mut(&number) else {
            return Err(StoreError::NoRoom);
        };
        let offset = segment.len;
        if let Err(e) = segment.file.write_at(u64::from(offset), &bytes) {
            // What was written of it must not stand before what comes next.
            if let Err(again) = segment.file.truncate(u64::from(offset)) {
                tracing::error!(segment = number, error = %again, "store: a failed write cannot be taken back yet");
                inner.uncut.push(Uncut {
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
        Ok(Place {
            segment: number,
            offset,
            len: payload.len() as u32,
            crc: crc32fast::hash(payload),
        })
    }

    pub(super) fn create(&self, inner: &mut Inner) -> Result<u32, StoreError> {
        let number = inner.next_segment;
        let name = segments::segment_name(number);
        let file = self.0.disk.create(&name)?;
        let begun = file
            .write_at(0, &segments::segment_head(number))
            .and_then(|()| self.0.disk.sync_names());
        if let Err(e) = begun {
            let _ = self.0.disk.remove(&name);
            return Err(e.into());
        }
        inner.next_segment += 1;
        let len = SEGMENT_HEAD as u32;
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
                strikes: Vec::new(),
            },
        );
        (inner.active, inner.records, inner.record_ends) = (Some(number), Vec::new(), Vec::new());
        let roster = Word::Roster(Roster { segments: needed });
        self.put(inner, number, Kind::Roster, &roster.payload())?;
        Ok(number)
    }

    /// Nothing more is written to the active segment.
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
                self.distrust(inner, number);
                return Err(e.into());
            }
        }
        let records = std::mem::take(&mut inner.records);
        inner.active = None;
        self.sum_up(number, len, &records);
        Ok(())
    }

    /// A sync failed: nothing written since the last good one is trusted. The segment ends there.
    pub(super) fn distrust(&self, inner: &mut Inner, number: u32) {
        let Some(segment) = inner.segments.get_mut(&number) else {
            return;
        };
        let good = segment.synced.max(SEGMENT_HEAD as u32);
        if segment.len <= good {
            return;
        }
        segment.len = good;
        let (kept, lost) = segment
            .strikes
            .drain(..)
            .partition(|(offset, _)| *offset < good);
        segment.strikes = kept;
        let lost: Vec<(u32, Word)> = lost;
        inner.owed.extend(lost.into_iter().map(|(_, word)| word));
        let Some(segment) = inner.segments.get_mut(&number) else {
            return;
        };
        let truncated = segment.file.truncate(u64::from(good)).is_ok();
        tracing::error!(
            segment = number,
            from = good,
            "store: a sync failed; what was written since is not trusted"
        );
        let lost: Vec<Key> = inner.index.share(number).keys.into_iter().collect();
        for key in lost {
            let beyond = |segment: u32, offset: u32| segment == number && offset >= good;
            let wrong = inner.index.get(&key).is_some_and(|e| {
                beyond(e.commit.0, e.commit.1)
                    || e.places.iter().any(|p| beyond(p.segment, p.offset))
            });
            if wrong {
                // Not written here: the segment that would take it may be the one that fails.
                let seq = inner.index.remove(&key).map_or(0, |e| e.seq);
                inner.owed.push(Word::Gone(Gone::new(key, seq)));
                inner.stats.lost += 1;
            }
        }
        if inner.active == Some(number) {
            let kept = inner
                .record_ends
                .iter()
                .rev()
                .find(|(end, _)| *end <= good)
                .map_or(0, |(_, at)| *at);
            let records = inner.records[..kept].to_vec();
            inner.active = None;
            if truncated {
                return self.sum_up(number, good, &records);
            }
            inner.uncut.push(Uncut {
                segment: number,
                at: good,
                records: Some(records),
            });
        } else if !truncated {
            inner.uncut.push(Uncut {
                segment: number,
                at: good,
                records: None,
            });
        }
    }

    /// Takes back what could not be taken back so far: what was written of it must not stand before what comes next.
    fn cut_ends(&self, inner: &mut Inner) -> Result<(), StoreError> {
        while let Some(Uncut {
            segment: number,
            at,
            records,
        }) = inner.uncut.pop()
        {
            // Cleaned meanwhile: its file is gone with its end.
            let Some(segment) = inner.segments.get(&number) else {
                continue;
            };
            if let Err(e) = segment.file.truncate(u64::from(at)) {
                inner.uncut.push(Uncut {
                    segment: number,
                    at,
                    records,
                });
                return Err(StoreError::Closed(format!(
                    "a failed write cannot be taken back yet: {e}"
                )));
            }
            if let Some(records) = records {
                self.sum_up(number, at, &records);
            }
        }
        Ok(())
    }

    pub(super) fn sync_upto(&self, number: u32, upto: u32) -> Result<(), StoreError> {
        let _one = lock(&self.0.syncing);
        let (file, len) = {
            let inner = self.inner();
            match inner.segments.get(&number) {
                // Somebody else's sync, or its sealing, has covered it.
                Some(segment) if segment.synced >= upto => return Ok(()),
                Some(segment) if segment.len >= upto => (segment.file.clone(), segment.len),
                Some(_) => {
                    return Err(StoreError::Disk(std::io::Error::other(
                        "a sync before it has failed",
                    )))
                }
                // Cleaned meanwhile: what mattered of it was synced elsewhere before it was removed.
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
                self.distrust(&mut inner, number);
                Err(e.into())
            }
        }
    }

    pub(super) fn commit(
        &self,
        inner: &mut Inner,
        meta: Meta,
        places: Vec<Place>,
    ) -> Result<(), StoreError> {
        let commit = Commit {
            meta: Some(meta),
            places,
        };
        let at = self.write(inner, Kind::Commit, &commit.encode_to_vec())?;
        let (Some(meta), places) = (commit.meta, commit.places) else {
            return Ok(());
        };
        let key = meta.key();
        let record = (at.segment, at.offset, at.len + HEAD as u32);
        let (born, fresh, rank) = (meta.born_ms, meta.fresh_until_ms, meta.rank);
        let entry = Entry::new(
            meta.group, meta.size, born, fresh, rank, inner.seq, record, places,
        );
        inner.index.insert(key, entry, false);
        Ok(())
    }
}
