//! Consistency check of a store folder. It is read-only, so it may run while another process writes.
use crate::disk::Disk;
use crate::index::{Entry, Index, RecordLocation};
use crate::record::{BlockLocation, Commit, Key, Meta, Record, RECORD_HEADER_BYTES};
use crate::recover::{read_all, Recovery};
use crate::segments::{self, LocatedRecord};
use std::io::Result;

/// A live copy, as listed in [`Report::copies`].
#[derive(Clone, Debug, PartialEq)]
pub struct Copy {
    /// Key of the copy.
    pub key: Key,
    /// Metadata from the commit record.
    pub meta: Meta,
    /// Number of blocks of the body.
    pub blocks: usize,
}

/// Result of [`check`].
#[derive(Debug, Default)]
pub struct Report {
    /// Number of segment files.
    pub segments: u64,
    /// Total bytes of the segment files.
    pub bytes: u64,
    /// Number of commit records, including superseded ones.
    pub commits: u64,
    /// Number of purge records.
    pub purges: u64,
    /// Number of blocks whose checksum was verified; only blocks of live copies are.
    pub blocks: u64,
    /// Live copies, in the order of their keys.
    pub copies: Vec<Copy>,
    /// Descriptions of the faults found, with file and position where they are known.
    pub faults: Vec<String>,
}

/// Checks every segment, summary and commit record of the folder. With `verify_blocks`, also reads every block
/// of every live copy and verifies its checksum.
pub fn check(disk: &dyn Disk, verify_blocks: bool) -> Result<Report> {
    let mut report = Report::default();
    let mut recovery = Recovery::new(disk)?;
    let newest = recovery.newest();
    let names = disk.list()?;
    check_file_names(&names, &mut report);
    for number in names.iter().filter_map(|n| segments::segment_number(n)) {
        check_segment(disk, number, newest, &mut report)?;
    }
    let mut index = Index::default();
    while recovery.step_read_only(disk, &mut index)? {}
    report
        .faults
        .extend(recovery.invalidation_reasons.iter().cloned());
    for key in index.keys() {
        if let Some(entry) = index.get(&key) {
            check_copy(disk, key, entry, verify_blocks, &mut report)?;
        }
    }
    Ok(report)
}

fn check_file_names(names: &[String], report: &mut Report) {
    for name in names {
        let is_segment = segments::segment_number(name).is_some();
        if !is_segment && !name.ends_with(".sum") {
            report
                .faults
                .push(format!("{name}: unexpected file in a store folder"));
        }
    }
}

fn check_segment(disk: &dyn Disk, number: u32, newest: u32, report: &mut Report) -> Result<()> {
    let name = segments::segment_name(number);
    report.segments += 1;
    let file = disk.open(&name)?;
    report.bytes += file.len()?;
    let Some(scan) = segments::scan(number, &*file)? else {
        report
            .faults
            .push(format!("{name}: segment header is missing or invalid"));
        return Ok(());
    };
    if scan.damaged {
        let note = if number == newest {
            " (may be the tail torn by a crash, or a write in progress)"
        } else {
            ""
        };
        let end = scan.end;
        report
            .faults
            .push(format!("{name}: no intact record at byte {end}{note}"));
    }
    for located in &scan.located {
        match located.record {
            Record::Commit(_) => report.commits += 1,
            Record::Purge(_) => report.purges += 1,
            _ => {}
        }
    }
    check_summary(disk, number, &scan.located, report)
}

/// Compares the summary of a segment with its records. A missing summary is no fault: recovery then scans the segment.
fn check_summary(
    disk: &dyn Disk,
    number: u32,
    located: &[LocatedRecord],
    report: &mut Report,
) -> Result<()> {
    let name = segments::summary_name(number);
    let Ok(summary) = disk.open(&name) else {
        return Ok(());
    };
    match segments::read_summary(number, &read_all(&*summary)?) {
        Some((_, records)) if records == located => {}
        Some(_) => report.faults.push(format!(
            "{name}: summary does not match the records of the segment"
        )),
        None => report.faults.push(format!(
            "{name}: summary is invalid: wrong header, checksum or record"
        )),
    }
    Ok(())
}

fn check_copy(
    disk: &dyn Disk,
    key: Key,
    entry: &Entry,
    verify_blocks: bool,
    report: &mut Report,
) -> Result<()> {
    let RecordLocation {
        segment,
        offset,
        len,
    } = entry.commit;
    let record = read_at(disk, segment, offset, len)?;
    let commit: Option<Commit> = prost::Message::decode(&record[RECORD_HEADER_BYTES..]).ok();
    let Some(meta) = commit.and_then(|commit| commit.meta) else {
        report.faults.push(format!(
            "{}: commit record at byte {offset} cannot be decoded",
            segments::segment_name(segment)
        ));
        return Ok(());
    };
    if verify_blocks {
        check_blocks(disk, &meta.object, &entry.locations, report);
    }
    report.copies.push(Copy {
        key,
        meta,
        blocks: entry.locations.len(),
    });
    Ok(())
}

fn check_blocks(disk: &dyn Disk, object: &str, locations: &[BlockLocation], report: &mut Report) {
    for (block, location) in locations.iter().enumerate() {
        report.blocks += 1;
        let payload_offset = location.offset + RECORD_HEADER_BYTES as u32;
        let is_intact = read_at(disk, location.segment, payload_offset, location.len)
            .is_ok_and(|bytes| crc32fast::hash(&bytes) == location.crc);
        if !is_intact {
            let name = segments::segment_name(location.segment);
            let offset = location.offset;
            report.faults.push(format!(
                "{name}: block {block} of {object} at byte {offset} cannot be read or does not match its checksum"
            ));
        }
    }
}

fn read_at(disk: &dyn Disk, segment: u32, offset: u32, len: u32) -> Result<Vec<u8>> {
    let mut bytes = vec![0; len as usize];
    disk.open(&segments::segment_name(segment))?
        .read_at(u64::from(offset), &mut bytes)?;
    Ok(bytes)
}
