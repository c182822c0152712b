//! Recovery: from records to the index, newest segment first. A recovered copy can be served while older segments are still to be
//! read, because every record that could invalidate it has been read before it.
use crate::disk::{Disk, DiskFile};
use crate::index::{Entry, Index, RecordLocation};
use crate::record::{Commit, Key, Purge, Record, Tombstone};
use crate::segments::{self, LocatedRecord};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::io::Result;
use std::sync::Arc;

/// Purges and tombstones read so far, as the highest sequence number that each invalidates. Dropped when recovery is complete.
#[derive(Debug, Default)]
pub struct Invalidations {
    /// Highest sequence number that a purge of everything invalidates.
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

    /// Whether a commit of the copy with the sequence number `seq` is invalidated.
    pub fn covers(&self, key: &Key, group: u64, seq: u64) -> bool {
        let of = |found: Option<&u64>| found.is_some_and(|up_to_seq| seq <= *up_to_seq);
        seq <= self.all
            || of(self.objects.get(&key.object))
            || of(self.groups.get(&group))
            || of(self.keys.get(key))
    }
}

/// A recovered segment.
pub struct RecoveredSegment {
    /// Number of the segment.
    pub number: u32,
    /// Its file, open.
    pub file: Arc<dyn DiskFile>,
    /// End of its last intact record.
    pub len: u32,
    /// Its purges and tombstones with their offsets, ascending.
    pub invalidation_records: Vec<(u32, Record)>,
    /// Records for its summary, if that is still to be written.
    pub unsummarized_records: Option<Vec<u8>>,
    /// Its highest sequence number.
    pub last_seq: u64,
}

/// Records of a segment as read from its summary or by a scan.
struct SegmentContents {
    len: u32,
    located: Vec<LocatedRecord>,
    /// Summary payload that is still to be written; none if the summary is on disk or there is nothing to summarize.
    unsummarized_records: Option<Vec<u8>>,
}

/// Outcome of one step of recovery.
pub enum Step {
    /// A segment was read.
    Recovered(RecoveredSegment),
    /// The newest segment was created but not written; it was removed.
    Empty(u32),
}

/// Progress of recovery over the segments of a folder.
pub struct Recovery {
    /// Segments still to be read, the next one last.
    pending: Vec<u32>,
    newest: u32,
    lens: BTreeMap<u32, u64>,
    /// Keys of which a newer commit was read, invalidated or not.
    newer_keys: HashSet<Key>,
    /// Applies to every commit that is still to be read.
    pub invalidations: Invalidations,
    /// Segments that the newest manifest names and that have not been read yet.
    needed: Option<BTreeSet<u32>>,
    /// Why older copies had to be counted as purged, for operators.
    pub doubts: Vec<String>,
    /// Commits up to this sequence number count as purged because of damage. Owed as a durable purge record: the damaged segment may
    /// be cleaned away before the next start.
    unrecoverable_up_to: Option<u64>,
    /// Lowest sequence number read so far.
    lowest: Option<u64>,
    /// Latest commit time read so far.
    pub newest_ms: u64,
}

impl Recovery {
    /// Lists the segments of a folder; reads none yet.
    pub fn new(disk: &dyn Disk) -> Result<Self> {
        let mut pending: Vec<u32> = disk
            .list()?
            .iter()
            .filter_map(|n| segments::number_of(n))
            .collect();
        pending.sort_unstable();
        let newest = pending.last().copied().unwrap_or(0);
        let mut lens = BTreeMap::new();
        for number in &pending {
            lens.insert(*number, disk.open(&segments::segment_name(*number))?.len()?);
        }
        Ok(Self {
            pending,
            newest,
            lens,
            newer_keys: HashSet::new(),
            invalidations: Invalidations::default(),
            needed: None,
            doubts: Vec::new(),
            unrecoverable_up_to: None,
            lowest: None,
            newest_ms: 0,
        })
    }

    /// Number of the newest segment; 0: none.
    pub fn newest(&self) -> u32 {
        self.newest
    }

    /// Whether all segments have been read.
    pub fn is_done(&self) -> bool {
        self.pending.is_empty()
    }

    /// Bytes of the segments still to be read.
    pub fn pending_bytes(&self) -> u64 {
        self.pending.iter().filter_map(|n| self.lens.get(n)).sum()
    }

    /// Counts all commits older than those read so far as purged. `last`: highest sequence number of the damaged segment.
    fn invalidate_older(&mut self, why: String, last: u64) {
        tracing::warn!(why, "store: older copies are treated as purged");
        self.doubts.push(why);
        self.invalidations.all = u64::MAX;
        let up_to_seq = self.lowest.map_or(last, |lowest| lowest.saturating_sub(1));
        self.unrecoverable_up_to = Some(up_to_seq.max(self.unrecoverable_up_to.unwrap_or(0)));
    }

    /// The sequence number up to which a purge record has to be written before anything else.
    pub fn take_unrecoverable_up_to(&mut self) -> Option<u64> {
        self.unrecoverable_up_to.take()
    }

    /// Numbers of the segments still to be read.
    pub fn pending(&self) -> Vec<u32> {
        self.pending.clone()
    }

    /// Reads the next segment into the index without changing the disk; false: there is none.
    pub fn peek(&mut self, disk: &dyn Disk, index: &mut Index) -> Result<bool> {
        Ok(self.read(disk, index, false)?.is_some())
    }

    /// Reads the next segment into the index; none: all have been read.
    pub fn step(&mut self, disk: &dyn Disk, index: &mut Index) -> Result<Option<Step>> {
        self.read(disk, index, true)
    }

    fn read(&mut self, disk: &dyn Disk, index: &mut Index, change: bool) -> Result<Option<Step>> {
        let Some(number) = self.pending.pop() else {
            return Ok(None);
        };
        self.check_missing_segments(number);
        let file = disk.open(&segments::segment_name(number))?;
        let Some(contents) = self.read_contents(disk, number, &*file)? else {
            if change {
                disk.remove(&segments::segment_name(number))?;
            }
            return Ok(Some(Step::Empty(number)));
        };
        let seqs = contents.located.iter().map(|record| record.seq);
        let last_seq = seqs.clone().max().unwrap_or(0);
        let lowest = seqs.min();
        self.lowest = [self.lowest, lowest].into_iter().flatten().min();
        let invalidation_records = self.take(number, contents.located, index);
        if let Some(needed) = &mut self.needed {
            needed.remove(&number);
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

    /// Compares the next segment to be read with the newest manifest: a number skipped in between is a lost segment.
    fn check_missing_segments(&mut self, number: u32) {
        let missing = self
            .needed
            .as_ref()
            .and_then(|n| n.range(number + 1..).next_back().copied());
        if let Some(missing) = missing {
            self.needed = None;
            self.invalidate_older(
                format!("segment {missing} is missing, and purges may have stood in it"),
                0,
            );
        }
    }

    /// Records of a segment, from its summary or else by a scan. None: the newest segment was created and never written.
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
            self.invalidate_older(format!("segment {number} has no head"), 0);
            return Ok(Some(SegmentContents {
                len: segments::SEGMENT_HEADER_BYTES as u32,
                located: Vec::new(),
                unsummarized_records: None,
            }));
        };
        if scan.broken && number != self.newest {
            let end = scan.end;
            self.invalidate_older(
                format!("segment {number} cannot be read from byte {end} on"),
                scan.last_seq,
            );
        }
        let mut located = scan.located;
        located.extend(scan.after_break);
        Ok(Some(SegmentContents {
            len: scan.end,
            located,
            unsummarized_records: Some(scan.records),
        }))
    }

    /// Applies the records of a segment, the last one first, and returns its purges and tombstones.
    fn take(
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
                Record::Commit(commit) => self.commit(number, seq, (offset, len), commit, index),
                Record::Purge(p) => {
                    self.invalidations.add_purge(p);
                    invalidation_records.push((offset, record));
                }
                Record::Tombstone(g) => {
                    self.invalidations.add_tombstone(g);
                    invalidation_records.push((offset, record));
                }
                Record::Manifest(r) => {
                    self.needed
                        .get_or_insert_with(|| r.segments.iter().copied().collect());
                }
            }
        }
        invalidation_records.reverse();
        invalidation_records
    }

    fn commit(
        &mut self,
        number: u32,
        seq: u64,
        at: (u32, u32),
        commit: &Commit,
        index: &mut Index,
    ) {
        let Some(meta) = &commit.meta else { return };
        let key = meta.key();
        self.newest_ms = self.newest_ms.max(meta.stored_ms);
        // A copy in the index is newer: recovered before, or committed meanwhile.
        if !self.newer_keys.insert(key) || index.get(&key).is_some() {
            return;
        }
        let there = |p: &crate::record::BlockLocation| {
            let end =
                u64::from(p.offset) + u64::from(p.len) + crate::record::RECORD_HEADER_BYTES as u64;
            self.lens.get(&p.segment).is_some_and(|len| end <= *len)
        };
        if self.invalidations.covers(&key, meta.group, seq) || !commit.locations.iter().all(there) {
            return;
        }
        let record = RecordLocation {
            segment: number,
            offset: at.0,
            len: at.1,
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
