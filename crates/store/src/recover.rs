//! From records to the index, newest segment first, so that what is found can be served while older ones are still to be read:
//! everything that could strike it has been read before it.
use crate::disk::{Disk, DiskFile};
use crate::index::{Entry, Index};
use crate::record::{Commit, Key, Purge, Record, Tombstone};
use crate::segments::{self, LocatedRecord};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::io::Result;
use std::sync::Arc;

/// What purges and evictions strike: commits numbered up to so much.
#[derive(Debug, Default)]
pub struct Invalidations {
    pub all: u64,
    objects: HashMap<u128, u64>,
    groups: HashMap<u64, u64>,
    keys: HashMap<Key, u64>,
}

impl Invalidations {
    pub fn add_purge(&mut self, p: &Purge) {
        let up_to_seq = match (p.of_object, p.of_group) {
            (true, _) => self.objects.entry(p.object()).or_default(),
            (_, true) => self.groups.entry(p.group).or_default(),
            _ => &mut self.all,
        };
        *up_to_seq = p.up_to_seq.max(*up_to_seq);
    }

    pub fn add_tombstone(&mut self, g: &Tombstone) {
        let up_to_seq = self.keys.entry(g.key()).or_default();
        *up_to_seq = g.up_to_seq.max(*up_to_seq);
    }

    pub fn covers(&self, key: &Key, group: u64, seq: u64) -> bool {
        let of = |found: Option<&u64>| found.is_some_and(|up_to_seq| seq <= *up_to_seq);
        seq <= self.all
            || of(self.objects.get(&key.object))
            || of(self.groups.get(&group))
            || of(self.keys.get(key))
    }
}

/// A segment as recovery leaves it.
pub struct RecoveredSegment {
    pub number: u32,
    pub file: Arc<dyn DiskFile>,
    pub len: u32,
    /// Purges and evictions that older segments may still need, with where they stand.
    pub invalidation_records: Vec<(u32, Record)>,
    /// Not summed up yet: its records.
    pub unsummarized_records: Option<Vec<u8>>,
    pub last_seq: u64,
}

/// Records of a segment as read from its summary or by a scan.
struct SegmentContents {
    len: u32,
    located: Vec<LocatedRecord>,
    /// Summary payload that is still to be written; none if the summary is on disk or there is nothing to summarize.
    unsummarized_records: Option<Vec<u8>>,
}

/// What became of one segment.
pub enum Step {
    RecoveredSegment(RecoveredSegment),
    /// Begun and never written: removed.
    Empty(u32),
}

pub struct Recovery {
    /// Still to be read, the next one last.
    pending: Vec<u32>,
    newest: u32,
    lens: BTreeMap<u32, u64>,
    /// Keys of which a newer commit was found, invalidations or not.
    newer_keys: HashSet<Key>,
    pub invalidations: Invalidations,
    /// By the newest roster: who must be there.
    needed: Option<BTreeSet<u32>>,
    /// What had to be given up because it could not be known, for people.
    pub doubts: Vec<String>,
    /// Commits up to this number count as purged for it: to be written down, or what is in doubt would come back once the segment that
    /// raised it is cleaned away.
    unrecoverable_up_to: Option<u64>,
    /// The lowest number in what was read so far.
    lowest: Option<u64>,
    pub newest_ms: u64,
}

impl Recovery {
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

    pub fn newest(&self) -> u32 {
        self.newest
    }

    pub fn is_done(&self) -> bool {
        self.pending.is_empty()
    }

    pub fn pending_bytes(&self) -> u64 {
        self.pending.iter().filter_map(|n| self.lens.get(n)).sum()
    }

    /// `last`: the highest number in the segment in doubt.
    fn invalidate_older(&mut self, why: String, last: u64) {
        tracing::warn!(why, "store: what is older counts as purged");
        self.doubts.push(why);
        self.invalidations.all = u64::MAX;
        let up_to_seq = self.lowest.map_or(last, |lowest| lowest.saturating_sub(1));
        self.unrecoverable_up_to = Some(up_to_seq.max(self.unrecoverable_up_to.unwrap_or(0)));
    }

    /// What has to be written down before anything else.
    pub fn take_unrecoverable_up_to(&mut self) -> Option<u64> {
        self.unrecoverable_up_to.take()
    }

    /// Numbers of segments that are still to be read.
    pub fn pending(&self) -> Vec<u32> {
        self.pending.clone()
    }

    /// Reads the next segment into the index and changes nothing on the disk; false: there is none.
    pub fn peek(&mut self, disk: &dyn Disk, index: &mut Index) -> Result<bool> {
        Ok(self.read(disk, index, false)?.is_some())
    }

    /// Reads the next segment into the index.
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
        Ok(Some(Step::RecoveredSegment(RecoveredSegment {
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

    /// Records of a segment, the last one first.
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
            log_record,
        } in located.into_iter().rev()
        {
            match &log_record {
                Record::Commit(commit) => self.commit(number, seq, (offset, len), commit, index),
                Record::Purge(p) => {
                    self.invalidations.add_purge(p);
                    invalidation_records.push((offset, log_record));
                }
                Record::Tombstone(g) => {
                    self.invalidations.add_tombstone(g);
                    invalidation_records.push((offset, log_record));
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
        // Whatever stands in the index by now is newer: found before, or made meanwhile.
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
        let record = (number, at.0, at.1);
        let entry = Entry::new(meta, seq, record, commit.locations.clone());
        index.insert(key, entry, true);
    }
}

pub(crate) fn read_all(file: &dyn DiskFile) -> Result<Vec<u8>> {
    let mut bytes = vec![0; file.len()? as usize];
    file.read_at(0, &mut bytes)?;
    Ok(bytes)
}
