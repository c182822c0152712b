//! From records to the index, newest segment first, so that what is found can be served while older ones are still to be read:
//! everything that could strike it has been read before it.
use crate::disk::{Disk, DiskFile};
use crate::index::{Entry, Index};
use crate::record::{Commit, Gone, Key, Purge, Word};
use crate::segments::{self, Scan, Spoken};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::io::Result;
use std::sync::Arc;

/// What purges and evictions strike: commits numbered up to so much.
#[derive(Debug, Default)]
pub struct Struck {
    pub all: u64,
    objects: HashMap<u128, u64>,
    groups: HashMap<u64, u64>,
    keys: HashMap<Key, u64>,
}

impl Struck {
    pub fn purge(&mut self, p: &Purge) {
        let strikes = match (p.of_object, p.of_group) {
            (true, _) => self.objects.entry(p.object()).or_default(),
            (_, true) => self.groups.entry(p.group).or_default(),
            _ => &mut self.all,
        };
        *strikes = p.strikes.max(*strikes);
    }

    pub fn gone(&mut self, g: &Gone) {
        let strikes = self.keys.entry(g.key()).or_default();
        *strikes = g.strikes.max(*strikes);
    }

    pub fn strikes(&self, key: &Key, group: u64, seq: u64) -> bool {
        let of = |found: Option<&u64>| found.is_some_and(|strikes| seq <= *strikes);
        seq <= self.all
            || of(self.objects.get(&key.object))
            || of(self.groups.get(&group))
            || of(self.keys.get(key))
    }
}

/// A segment as recovery leaves it.
pub struct Recovered {
    pub number: u32,
    pub file: Arc<dyn DiskFile>,
    pub len: u32,
    /// Purges and evictions that older segments may still need, with where they stand.
    pub strikes: Vec<(u32, Word)>,
    /// Not summed up yet: its records.
    pub unsummed: Option<Vec<u8>>,
    pub last_seq: u64,
}

/// What became of one segment.
pub enum Step {
    Found(Recovered),
    /// Begun and never written: removed.
    Empty(u32),
}

pub struct Recovery {
    /// Still to be read, the next one last.
    pending: Vec<u32>,
    newest: u32,
    lens: BTreeMap<u32, u64>,
    /// Keys of which a newer commit was found, struck or not.
    seen: HashSet<Key>,
    pub struck: Struck,
    /// By the newest roster: who must be there.
    needed: Option<BTreeSet<u32>>,
    /// What had to be given up because it could not be known, for people.
    pub doubts: Vec<String>,
    /// Commits up to this number count as purged for it: to be written down, or what is in doubt would come back once the segment that
    /// raised it is cleaned away.
    doubted: Option<u64>,
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
            seen: HashSet::new(),
            struck: Struck::default(),
            needed: None,
            doubts: Vec::new(),
            doubted: None,
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
    fn doubt(&mut self, why: String, last: u64) {
        tracing::warn!(why, "store: what is older counts as purged");
        self.doubts.push(why);
        self.struck.all = u64::MAX;
        let strikes = self.lowest.map_or(last, |lowest| lowest.saturating_sub(1));
        self.doubted = Some(strikes.max(self.doubted.unwrap_or(0)));
    }

    /// What has to be written down before anything else.
    pub fn take_doubted(&mut self) -> Option<u64> {
        self.doubted.take()
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
        let missing = self
            .needed
            .as_ref()
            .and_then(|n| n.range(number + 1..).next_back().copied());
        if let Some(missing) = missing {
            self.needed = None;
            self.doubt(
                format!("segment {missing} is missing, and purges may have stood in it"),
                0,
            );
        }
        let file = disk.open(&segments::segment_name(number))?;
        let summary = disk
            .open(&segments::summary_name(number))
            .ok()
            .and_then(|f| read_all(&*f).ok());
        let summed = summary.and_then(|bytes| segments::read_summary(number, &bytes));
        let (len, spoken, unsummed) = match summed {
            Some((len, spoken)) => (len, spoken, None),
            None => match segments::scan(number, &*file)? {
                Some(Scan {
                    mut spoken,
                    records,
                    end,
                    broken,
                    behind,
                    last_seq,
                }) => {
                    spoken.extend(behind);
                    if broken && number != self.newest {
                        self.doubt(
                            format!("segment {number} cannot be read from byte {end} on"),
                            last_seq,
                        );
                    }
                    (end, spoken, Some(records))
                }
                // The last one begun may never have been written.
                None if number == self.newest => {
                    if change {
                        disk.remove(&segments::segment_name(number))?;
                    }
                    return Ok(Some(Step::Empty(number)));
                }
                None => {
                    self.doubt(format!("segment {number} has no head"), 0);
                    (segments::SEGMENT_HEAD as u32, Vec::new(), None)
                }
            },
        };
        let last_seq = spoken.iter().map(|s| s.seq).max().unwrap_or(0);
        let lowest = spoken.iter().map(|s| s.seq).min();
        self.lowest = [self.lowest, lowest].into_iter().flatten().min();
        let strikes = self.take(number, spoken, index);
        if let Some(needed) = &mut self.needed {
            needed.remove(&number);
        }
        Ok(Some(Step::Found(Recovered {
            number,
            file,
            len,
            strikes,
            unsummed,
            last_seq,
        })))
    }

    /// Records of a segment, the last one first.
    fn take(&mut self, number: u32, spoken: Vec<Spoken>, index: &mut Index) -> Vec<(u32, Word)> {
        let mut strikes = Vec::new();
        for Spoken {
            seq,
            offset,
            len,
            word,
        } in spoken.into_iter().rev()
        {
            match &word {
                Word::Commit(commit) => self.commit(number, seq, (offset, len), commit, index),
                Word::Purge(p) => {
                    self.struck.purge(p);
                    strikes.push((offset, word));
                }
                Word::Gone(g) => {
                    self.struck.gone(g);
                    strikes.push((offset, word));
                }
                Word::Roster(r) => {
                    self.needed
                        .get_or_insert_with(|| r.segments.iter().copied().collect());
                }
            }
        }
        strikes.reverse();
        strikes
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
        if !self.seen.insert(key) || index.get(&key).is_some() {
            return;
        }
        let there = |p: &crate::record::Place| {
            let end = u64::from(p.offset) + u64::from(p.len) + crate::record::HEAD as u64;
            self.lens.get(&p.segment).is_some_and(|len| end <= *len)
        };
        if self.struck.strikes(&key, meta.group, seq) || !commit.places.iter().all(there) {
            return;
        }
        let entry = Entry::new(
            meta.group,
            meta.size,
            meta.born_ms,
            meta.fresh_until_ms,
            meta.rank,
            seq,
            (number, at.0, at.1),
            commit.places.clone(),
        );
        index.insert(key, entry, true);
    }
}

pub(crate) fn read_all(file: &dyn DiskFile) -> Result<Vec<u8>> {
    let mut bytes = vec![0; file.len()? as usize];
    file.read_at(0, &mut bytes)?;
    Ok(bytes)
}
