//! Recovery: rebuilds the index from the records, newest segment first. A recovered copy can be served before the older segments have
//! been read, because every record that could invalidate it is newer and has been read already.
use crate::disk::{Disk, DiskFile};
use crate::index::{Entry, Index, RecordLocation};
use crate::record::{Commit, Key, Purge, Record, Tombstone};
use crate::segments::{self, LocatedRecord};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::io::Result;
use std::sync::Arc;

/// Purges and tombstones read so far, as the highest sequence number that each invalidates. They are dropped when recovery is complete.
#[derive(Debug, Default)]
pub struct Invalidations {
    /// Highest sequence number that a purge of all objects invalidates.
    pub all: u64,
    objects: HashMap<u128, u64>,
    groups: HashMap<u64, u64>,
    keys: HashMap<Key, u64>,
}

impl Invalidations {
    /// Adds a purge.
    pub fn add_purge(&mut self, purge: &Purge) {
        let up_to_seq = match (purge.of_object, purge.of_group) {
            (true, _) => self.objects.entry(purge.object()).or_default(),
            (_, true) => self.groups.entry(purge.group).or_default(),
            _ => &mut self.all,
        };
        *up_to_seq = purge.up_to_seq.max(*up_to_seq);
    }

    /// Adds a tombstone.
    pub fn add_tombstone(&mut self, tombstone: &Tombstone) {
        let up_to_seq = self.keys.entry(tombstone.key()).or_default();
        *up_to_seq = tombstone.up_to_seq.max(*up_to_seq);
    }

    /// Whether the commit of a copy with the sequence number `seq` is invalidated.
    pub fn covers(&self, key: &Key, group: u64, seq: u64) -> bool {
        let covered_by = |found: Option<&u64>| found.is_some_and(|up_to_seq| seq <= *up_to_seq);
        seq <= self.all
            || covered_by(self.objects.get(&key.object))
            || covered_by(self.groups.get(&group))
            || covered_by(self.keys.get(key))
    }
}

/// A recovered segment.
pub struct RecoveredSegment {
    /// Number of the segment.
    pub number: u32,
    /// Open file of the segment.
    pub file: Arc<dyn DiskFile>,
    /// Offset at which the last intact record ends.
    pub len: u32,
    /// Purges and tombstones with their offsets, in ascending order.
    pub invalidation_records: Vec<(u32, Record)>,
    /// Encoded records for the summary; `None` if the summary is on disk.
    pub unsummarized_records: Option<Vec<u8>>,
    /// Highest sequence number in the segment.
    pub last_seq: u64,
}

/// Records of a segment, read from its summary or by a scan.
struct SegmentContents {
    len: u32,
    located: Vec<LocatedRecord>,
    /// Encoded records for the summary; `None` if the summary is on disk or the segment has no valid header.
    unsummarized_records: Option<Vec<u8>>,
}

/// Outcome of one step of recovery.
pub enum Step {
    /// A segment was read.
    Recovered(RecoveredSegment),
    /// The newest segment has no valid header: a crash came before its first write was durable.
    /// [`Recovery::step`] removes its file.
    Empty(u32),
}

/// Progress of recovery over the segments of a folder.
pub struct Recovery {
    /// Segments that have not been read yet; the last one is read next.
    pending: Vec<u32>,
    newest: u32,
    segment_lens: BTreeMap<u32, u64>,
    /// Keys for which a newer commit record was read, whether it was invalidated or not.
    newer_keys: HashSet<Key>,
    /// Invalidations that apply to every commit not read yet.
    pub invalidations: Invalidations,
    /// Segments that the newest manifest lists and that have not been read yet.
    expected_segments: Option<BTreeSet<u32>>,
    /// Reasons for which older copies are treated as purged, for operators.
    pub invalidation_reasons: Vec<String>,
    /// Highest sequence number of the commits that are treated as purged because of damage. A durable purge record has to be written for
    /// them, since the damaged segment may be cleaned before the next start.
    unrecoverable_up_to: Option<u64>,
    /// Lowest sequence number read so far.
    lowest_seq: Option<u64>,
    /// Latest commit time read so far, in milliseconds since 1970.
    pub newest_ms: u64,
}

impl Recovery {
    /// Lists the segments of a folder without reading them.
    pub fn new(disk: &dyn Disk) -> Result<Self> {
        let mut pending: Vec<u32> = disk
            .list()?
            .iter()
            .filter_map(|n| segments::segment_number(n))
            .collect();
        pending.sort_unstable();
        let newest = pending.last().copied().unwrap_or(0);
        let mut segment_lens = BTreeMap::new();
        for number in &pending {
            segment_lens.insert(*number, disk.open(&segments::segment_name(*number))?.len()?);
        }
        Ok(Self {
            pending,
            newest,
            segment_lens,
            newer_keys: HashSet::new(),
            invalidations: Invalidations::default(),
            expected_segments: None,
            invalidation_reasons: Vec::new(),
            unrecoverable_up_to: None,
            lowest_seq: None,
            newest_ms: 0,
        })
    }

    /// Returns the number of the newest segment; 0 if there is none.
    pub fn newest(&self) -> u32 {
        self.newest
    }

    /// Whether all segments have been read.
    pub fn is_done(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns the total bytes of the segments that have not been read yet.
    pub fn pending_bytes(&self) -> u64 {
        self.pending
            .iter()
            .filter_map(|n| self.segment_lens.get(n))
            .sum()
    }

    /// Treats all commits older than those read so far as purged. `last_seq` is the highest sequence number of the damaged segment.
    fn invalidate_older(&mut self, reason: String, last_seq: u64) {
        tracing::warn!(reason, "store: older copies are treated as purged");
        self.invalidation_reasons.push(reason);
        self.invalidations.all = u64::MAX;
        let up_to_seq = self
            .lowest_seq
            .map_or(last_seq, |lowest| lowest.saturating_sub(1));
        self.unrecoverable_up_to = Some(up_to_seq.max(self.unrecoverable_up_to.unwrap_or(0)));
    }

    /// Takes the sequence number up to which a purge record has to be written before any other record.
    pub fn take_unrecoverable_up_to(&mut self) -> Option<u64> {
        self.unrecoverable_up_to.take()
    }

    /// Returns the numbers of the segments that have not been read yet.
    pub fn pending(&self) -> Vec<u32> {
        self.pending.clone()
    }

    /// Reads the next segment into the index without changing the disk. Returns false if all have been read.
    pub fn step_read_only(&mut self, disk: &dyn Disk, index: &mut Index) -> Result<bool> {
        Ok(self.read(disk, index, false)?.is_some())
    }

    /// Reads the next segment into the index. Returns `None` if all have been read.
    pub fn step(&mut self, disk: &dyn Disk, index: &mut Index) -> Result<Option<Step>> {
        self.read(disk, index, true)
    }

    /// Reads the next segment into the index. With `modify_disk`, removes an empty newest segment.
    fn read(
        &mut self,
        disk: &dyn Disk,
        index: &mut Index,
        modify_disk: bool,
    ) -> Result<Option<Step>> {
        let Some(number) = self.pending.pop() else {
            return Ok(None);
        };
        self.check_missing_segments(number);
        let file = disk.open(&segments::segment_name(number))?;
        let Some(contents) = self.read_contents(disk, number, &*file)? else {
            if modify_disk {
                disk.remove(&segments::segment_name(number))?;
            }
            return Ok(Some(Step::Empty(number)));
        };
        let seqs = contents.located.iter().map(|record| record.seq);
        let last_seq = seqs.clone().max().unwrap_or(0);
        let lowest_seq = seqs.min();
        self.lowest_seq = [self.lowest_seq, lowest_seq].into_iter().flatten().min();
        let invalidation_records = self.apply_records(number, contents.located, index);
        if let Some(expected_segments) = &mut self.expected_segments {
            expected_segments.remove(&number);
        }
        Ok(Some(Step::Recovered(RecoveredSegment {
            number,
            file,
            len: contents.len,
            invalidation_records,
            unsummarized_records: contents.unsummarized_records,
            last_seq,
        })))
    }

    /// Checks whether a segment that the newest manifest lists is missing between the last segment read and the next one.
    fn check_missing_segments(&mut self, number: u32) {
        let missing = self
            .expected_segments
            .as_ref()
            .and_then(|n| n.range(number + 1..).next_back().copied());
        if let Some(missing) = missing {
            self.expected_segments = None;
            self.invalidate_older(
                format!("segment {missing} is missing and may have held purge records"),
                0,
            );
        }
    }

    /// Reads the records of a segment from its summary or, without a valid one, by a scan. Returns `None` for the newest segment if it
    /// has no valid header.
    fn read_contents(
        &mut self,
        disk: &dyn Disk,
        number: u32,
        file: &dyn DiskFile,
    ) -> Result<Option<SegmentContents>> {
        let summary = disk
            .open(&segments::summary_name(number))
            .ok()
            .and_then(|f| read_all(&*f).ok())
            .and_then(|bytes| segments::read_summary(number, &bytes));
        if let Some((len, located)) = summary {
            return Ok(Some(SegmentContents {
                len,
                located,
                unsummarized_records: None,
            }));
        }
        let Some(scan) = segments::scan(number, file)? else {
            if number == self.newest {
                return Ok(None);
            }
            self.invalidate_older(format!("segment {number} has no valid header"), 0);
            return Ok(Some(SegmentContents {
                len: segments::SEGMENT_HEADER_BYTES as u32,
                located: Vec::new(),
                unsummarized_records: None,
            }));
        };
        if scan.damaged && number != self.newest {
            let end = scan.end;
            self.invalidate_older(
                format!("segment {number} has no intact record at byte {end}"),
                scan.last_seq,
            );
        }
        let mut located = scan.located;
        located.extend(scan.after_damage);
        Ok(Some(SegmentContents {
            len: scan.end,
            located,
            unsummarized_records: Some(scan.records),
        }))
    }

    /// Applies the records of a segment, last one first, and returns its purges and tombstones.
    fn apply_records(
        &mut self,
        number: u32,
        located: Vec<LocatedRecord>,
        index: &mut Index,
    ) -> Vec<(u32, Record)> {
        let mut invalidation_records = Vec::new();
        for LocatedRecord {
            seq,
            offset,
            len,
            record,
        } in located.into_iter().rev()
        {
            match &record {
                Record::Commit(commit) => {
                    self.apply_commit(number, seq, (offset, len), commit, index)
                }
                Record::Purge(purge) => {
                    self.invalidations.add_purge(purge);
                    invalidation_records.push((offset, record));
                }
                Record::Tombstone(tombstone) => {
                    self.invalidations.add_tombstone(tombstone);
                    invalidation_records.push((offset, record));
                }
                Record::Manifest(manifest) => {
                    self.expected_segments
                        .get_or_insert_with(|| manifest.segments.iter().copied().collect());
                }
            }
        }
        invalidation_records.reverse();
        invalidation_records
    }

    fn apply_commit(
        &mut self,
        number: u32,
        seq: u64,
        range: (u32, u32),
        commit: &Commit,
        index: &mut Index,
    ) {
        let Some(meta) = &commit.meta else { return };
        let key = meta.key();
        self.newest_ms = self.newest_ms.max(meta.stored_ms);
        // A copy that is in the index already is newer: it was recovered from a newer segment or committed since the start.
        if !self.newer_keys.insert(key) || index.get(&key).is_some() {
            return;
        }
        let is_present = |location: &crate::record::BlockLocation| {
            let end = u64::from(location.offset)
                + u64::from(location.len)
                + crate::record::RECORD_HEADER_BYTES as u64;
            self.segment_lens
                .get(&location.segment)
                .is_some_and(|len| end <= *len)
        };
        if self.invalidations.covers(&key, meta.group, seq)
            || !commit.locations.iter().all(is_present)
        {
            return;
        }
        let record = RecordLocation {
            segment: number,
            offset: range.0,
            len: range.1,
        };
        let entry = Entry::new(meta, seq, record, commit.locations.clone());
        index.insert(key, entry, true);
    }
}

pub(crate) fn read_all(file: &dyn DiskFile) -> Result<Vec<u8>> {
    let mut bytes = vec![0; file.len()? as usize];
    file.read_at(0, &mut bytes)?;
    Ok(bytes)
}
