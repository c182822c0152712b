//! Opening a store, and its recovery one segment at a time.
use super::*;

impl Store {
    /// Opens a folder; nothing is held before [`Store::recover`] has found it. `wall_ms`: milliseconds since 1970.
    pub fn open(disk: Arc<dyn Disk>, options: Options, wall_ms: u64) -> Result<Self, StoreError> {
        let (capacity, segment) = (options.capacity, options.segment);
        let too_small =
            capacity < 6 * u64::from(segment) || options.block == 0 || options.block > segment / 4;
        if too_small || options.block as usize > record::MAX_PAYLOAD_BYTES {
            return Err(StoreError::Options { capacity, segment });
        }
        for name in disk.list()?.iter().filter(|n| n.ends_with(".new")) {
            disk.remove(name)?;
        }
        let recovery = Recovery::new(&*disk)?;
        let inner = Inner {
            index: Index::default(),
            segments: BTreeMap::new(),
            active: None,
            next_segment: recovery.newest() + 1,
            records: Vec::new(),
            record_ends: Vec::new(),
            seq: 0,
            recovery: Some(recovery),
            purges: Vec::new(),
            fills: BTreeSet::new(),
            deferred_records: Vec::new(),
            victim: None,
            pending_truncations: Vec::new(),
            clock: Clock::default(),
            stats: Stats::default(),
        };
        let memory = Cache::with_weighter(
            (options.memory / 32_768).max(64) as usize,
            options.memory.max(1),
            BlockWeight,
        );
        let store = Self(Arc::new(Shared {
            disk,
            options,
            inner: Mutex::new(inner),
            syncing: Mutex::new(()),
            memory,
        }));
        // The newest records tell which numbers have been used: nothing is written before one is read.
        while store.inner().seq == 0 && store.recover(wall_ms)? {}
        Ok(store)
    }

    /// Reads one more segment of what was left by the last run; false: everything is known.
    pub fn recover(&self, wall_ms: u64) -> Result<bool, StoreError> {
        let mut inner = self.inner();
        let inner = &mut *inner;
        let Some(recovery) = &mut inner.recovery else {
            return Ok(false);
        };
        match recovery.step(&*self.0.disk, &mut inner.index)? {
            None => inner.recovery = None,
            Some(Step::Empty(_)) => {}
            Some(Step::RecoveredSegment(RecoveredSegment {
                number,
                file,
                len,
                invalidation_records,
                unsummarized_records,
                last_seq,
            })) => {
                inner.seq = inner.seq.max(last_seq);
                inner.clock.advance_to(recovery.newest_ms, wall_ms);
                // Its torn end stays: the summary says where it begins, and what had to be heeded of it.
                if let Some(records) = unsummarized_records {
                    self.write_summary(number, len, &records);
                }
                inner.segments.insert(
                    number,
                    Segment {
                        file,
                        len,
                        synced: len,
                        pins: 0,
                        invalidation_records,
                    },
                );
            }
        }
        let unrecoverable_up_to = inner
            .recovery
            .as_mut()
            .and_then(Recovery::take_unrecoverable_up_to);
        if let Some(up_to_seq) = unrecoverable_up_to {
            inner.seq = inner.seq.max(up_to_seq);
            let at = self.append(
                inner,
                &Record::Purge(Purge {
                    up_to_seq,
                    ..Purge::default()
                }),
            )?;
            if let Some(segment) = inner.segments.get_mut(&at.segment) {
                segment.file.sync()?;
                segment.synced = segment.len;
            }
        }
        if inner.recovery.as_ref().is_some_and(Recovery::is_done) {
            inner.recovery = None;
        }
        Ok(inner.recovery.is_some())
    }

    /// Reads everything that was left.
    pub fn recover_all(&self, wall_ms: u64) -> Result<(), StoreError> {
        while self.recover(wall_ms)? {}
        Ok(())
    }

    /// A summary that cannot be written costs time at the next start, and nothing else.
    pub(super) fn write_summary(&self, number: u32, len: u32, records: &[u8]) {
        let (name, beside) = (
            segments::summary_name(number),
            format!("{}.new", segments::summary_name(number)),
        );
        let disk = &self.0.disk;
        let _ = disk.remove(&beside);
        let write = || {
            let file = disk.create(&beside)?;
            file.write_at(0, &segments::summary(number, len, records))?;
            file.sync()?;
            disk.rename(&beside, &name)?;
            disk.sync_names()
        };
        if let Err(e) = write() {
            tracing::warn!(segment = number, error = %e, "store: no summary");
            let _ = disk.remove(&beside);
        }
    }

    /// Why things were given up at recovery, as far as that has come.
    pub fn doubts(&self) -> Vec<String> {
        self.inner()
            .recovery
            .as_ref()
            .map_or(Vec::new(), |r| r.doubts.clone())
    }
}
