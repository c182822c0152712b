//! Opening a store, and its recovery one segment at a time.
use super::*;

/// Mean block size assumed when the block cache is allocated.
const ESTIMATED_BLOCK_BYTES: u64 = 32_768;
/// Least capacity in segments: cleaning needs segments to choose from, and one to write to.
const MIN_SEGMENTS: u64 = 6;

impl Store {
    /// Opens a folder. A copy of the previous run is served once [`Store::recover`] has read its segment. `wall_ms`: milliseconds
    /// since 1970.
    pub fn open(disk: Arc<dyn Disk>, options: Options, wall_ms: u64) -> Result<Self, StoreError> {
        check_options(&options)?;
        for name in disk.list()?.iter().filter(|n| n.ends_with(".new")) {
            disk.remove(name)?;
        }
        let recovery = Recovery::new(&*disk)?;
        let estimated_blocks = (options.memory / ESTIMATED_BLOCK_BYTES).max(64) as usize;
        let memory = Cache::with_weighter(estimated_blocks, options.memory.max(1), BlockWeight);
        let store = Self(Arc::new(Shared {
            disk,
            options,
            inner: Mutex::new(Inner::new(recovery)),
            syncing: Mutex::new(()),
            memory,
        }));
        // Sequence numbers continue after the newest record, so nothing is written before one is read.
        while store.inner().seq == 0 && store.recover(wall_ms)? {}
        Ok(store)
    }

    /// Recovers one more segment of the previous run, newest first. Returns false once recovery is complete.
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
        self.write_unrecoverable_as_purged(inner)?;
        if inner.recovery.as_ref().is_some_and(Recovery::is_done) {
            inner.recovery = None;
        }
        Ok(inner.recovery.is_some())
    }

    /// A torn end stays in the file: the summary says where it begins, and lists the purges and tombstones found behind it.
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

    /// Where recovery had to count older commits as purged, this is made durable as a purge record: the damaged segment may be
    /// cleaned away before the next start.
    fn write_unrecoverable_as_purged(&self, inner: &mut Inner) -> Result<(), StoreError> {
        let recovery = inner.recovery.as_mut();
        let Some(up_to_seq) = recovery.and_then(Recovery::take_unrecoverable_up_to) else {
            return Ok(());
        };
        inner.seq = inner.seq.max(up_to_seq);
        let purge = Purge {
            up_to_seq,
            ..Purge::default()
        };
        let at = self.append(inner, &Record::Purge(purge))?;
        if let Some(segment) = inner.segments.get_mut(&at.segment) {
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

    /// Writes a segment's summary beside it. A failure is only logged: the next start scans the segment instead.
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
            tracing::warn!(segment = number, error = %e, "store: segment summary not written");
            let _ = disk.remove(&temporary);
        }
    }

    /// What recovery could not read so far, and therefore counts as purged; empty once recovery is complete.
    pub fn doubts(&self) -> Vec<String> {
        self.inner()
            .recovery
            .as_ref()
            .map_or(Vec::new(), |r| r.doubts.clone())
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
    /// The state before any segment has been recovered.
    fn new(recovery: Recovery) -> Self {
        Self {
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
        }
    }
}
