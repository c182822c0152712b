//! Opening of a store, and its recovery one segment at a time.
use super::*;

/// Mean block size in bytes that is assumed when the block cache is allocated.
const ESTIMATED_BLOCK_BYTES: u64 = 32_768;
/// Minimum capacity in segments: cleaning needs several segments to choose from and one to write to.
const MIN_SEGMENTS: u64 = 6;

impl Store {
    /// Opens a store. A copy of an earlier run is served once [`Store::recover`] has read its segment. `wall_ms` is the wall clock time
    /// in milliseconds since 1970.
    pub fn open(disk: Arc<dyn Disk>, options: Options, wall_ms: u64) -> Result<Self, StoreError> {
        check_options(&options)?;
        for name in disk.list()?.iter().filter(|n| n.ends_with(".new")) {
            disk.remove(name)?;
        }
        let recovery = Recovery::new(&*disk)?;
        let estimated_blocks = (options.memory / ESTIMATED_BLOCK_BYTES).max(64) as usize;
        let block_cache =
            Cache::with_weighter(estimated_blocks, options.memory.max(1), BlockWeight);
        let store = Self(Arc::new(Shared {
            disk,
            options,
            inner: Mutex::new(Inner::new(recovery)),
            syncing: Mutex::new(()),
            block_cache,
        }));
        // Sequence numbers continue after that of the newest record, so a record has to be read before the first write.
        while store.inner().seq == 0 && store.recover(wall_ms)? {}
        Ok(store)
    }

    /// Recovers the next segment of the earlier run, newest first. Returns false once recovery is complete.
    pub fn recover(&self, wall_ms: u64) -> Result<bool, StoreError> {
        let mut inner = self.inner();
        let inner = &mut *inner;
        let Some(recovery) = &mut inner.recovery else {
            return Ok(false);
        };
        match recovery.step(&*self.0.disk, &mut inner.index)? {
            None => inner.recovery = None,
            Some(Step::Empty(_)) => {}
            Some(Step::Recovered(segment)) => {
                let newest_ms = recovery.newest_ms;
                inner.clock.advance_to(newest_ms, wall_ms);
                self.add_recovered_segment(inner, segment);
            }
        }
        self.persist_unrecoverable_purge(inner)?;
        if inner.recovery.as_ref().is_some_and(Recovery::is_done) {
            inner.recovery = None;
        }
        Ok(inner.recovery.is_some())
    }

    /// Adds a recovered segment. A torn tail is not truncated: the summary records where it begins and lists the purges and tombstones
    /// found in it.
    fn add_recovered_segment(&self, inner: &mut Inner, recovered: RecoveredSegment) {
        inner.seq = inner.seq.max(recovered.last_seq);
        if let Some(records) = recovered.unsummarized_records {
            self.write_summary(recovered.number, recovered.len, &records);
        }
        let segment = Segment {
            file: recovered.file,
            len: recovered.len,
            synced: recovered.len,
            pins: 0,
            invalidation_records: recovered.invalidation_records,
        };
        inner.segments.insert(recovered.number, segment);
    }

    /// If recovery had to treat older commits as purged, writes a durable purge record for them: the damaged segment may be cleaned
    /// before the next start.
    fn persist_unrecoverable_purge(&self, inner: &mut Inner) -> Result<(), StoreError> {
        let recovery = inner.recovery.as_mut();
        let Some(up_to_seq) = recovery.and_then(Recovery::take_unrecoverable_up_to) else {
            return Ok(());
        };
        inner.seq = inner.seq.max(up_to_seq);
        let purge = Purge {
            up_to_seq,
            ..Purge::default()
        };
        let location = self.append(inner, &Record::Purge(purge))?;
        if let Some(segment) = inner.segments.get_mut(&location.segment) {
            segment.file.sync()?;
            segment.synced = segment.len;
        }
        Ok(())
    }

    /// Recovers all remaining segments.
    pub fn recover_all(&self, wall_ms: u64) -> Result<(), StoreError> {
        while self.recover(wall_ms)? {}
        Ok(())
    }

    /// Writes the summary file of a segment. A failure is only logged: the next start scans the segment instead.
    pub(super) fn write_summary(&self, number: u32, len: u32, records: &[u8]) {
        let name = segments::summary_name(number);
        let temporary = format!("{name}.new");
        let disk = &self.0.disk;
        let _ = disk.remove(&temporary);
        let write = || {
            let file = disk.create(&temporary)?;
            file.write_at(0, &segments::summary(number, len, records))?;
            file.sync()?;
            disk.rename(&temporary, &name)?;
            disk.sync_names()
        };
        if let Err(e) = write() {
            tracing::warn!(segment = number, error = %e, "store: writing the segment summary failed; the next start scans the segment");
            let _ = disk.remove(&temporary);
        }
    }

    /// Returns the damage found so far for which recovery treats older copies as purged; empty once recovery is complete.
    pub fn recovery_damage(&self) -> Vec<String> {
        self.inner()
            .recovery
            .as_ref()
            .map_or(Vec::new(), |recovery| recovery.invalidation_reasons.clone())
    }
}

fn check_options(options: &Options) -> Result<(), StoreError> {
    let Options {
        capacity,
        segment,
        block,
        ..
    } = *options;
    let is_too_small = capacity < MIN_SEGMENTS * u64::from(segment);
    let is_block_valid = block != 0 && block <= segment / 4;
    if is_too_small || !is_block_valid || block as usize > record::MAX_PAYLOAD_BYTES {
        return Err(StoreError::Options { capacity, segment });
    }
    Ok(())
}

impl Inner {
    /// Returns the state before any segment has been recovered.
    fn new(recovery: Recovery) -> Self {
        Self {
            index: Index::default(),
            segments: BTreeMap::new(),
            active: None,
            next_segment: recovery.newest() + 1,
            active_records: Vec::new(),
            active_record_ends: Vec::new(),
            seq: 0,
            recovery: Some(recovery),
            recent_purges: Vec::new(),
            open_fills: BTreeSet::new(),
            deferred_records: Vec::new(),
            victim: None,
            pending_truncations: Vec::new(),
            clock: Clock::default(),
            stats: Stats::default(),
        }
    }
}
