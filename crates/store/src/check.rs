//! Consistency check of a store folder. It only reads, so it may run while another process writes.
use crate::disk::Disk;
use crate::index::{Entry, Index, RecordLocation};
use crate::record::{BlockLocation, Commit, Key, Meta, Record, RECORD_HEADER_BYTES};
use crate::recover::{read_all, Recovery};
use crate::segments::{self, LocatedRecord};
use std::io::Result;

/// A live copy, as [`Report::copies`] lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Copy {
    /// Its key in the index.
    pub key: Key,
    /// Metadata from its commit record.
    pub meta: Meta,
    /// Number of blocks of its body.
    pub blocks: usize,
}

/// Result of [`check`].
#[derive(Debug, Default)]
pub struct Report {
    /// Segment files.
    pub segments: u64,
    /// Bytes of the segment files.
    pub bytes: u64,
    /// Commit records, superseded ones included.
    pub commits: u64,
    /// Purge records.
    pub purges: u64,
    /// Blocks whose checksum was compared: those that live copies refer to.
    pub blocks: u64,
    /// Live copies, by key.
    pub copies: Vec<Copy>,
    /// Faults, each with its file and position.
    pub wrong: Vec<String>,
}

/// Checks every segment, summary and commit record of the folder. With `blocks`, every byte of every live copy is read as well and
/// its checksum compared.
pub fn check(disk: &dyn Disk, blocks: bool) -> Result<Report> {
    let mut report = Report::default();
    let mut recovery = Recovery::new(disk)?;
    let newest = recovery.newest();
    let names = disk.list()?;
    check_file_names(&names, &mut report);
    for number in names.iter().filter_map(|n| segments::number_of(n)) {
        check_segment(disk, number, newest, &mut report)?;
    }
    let mut index = Index::default();
    while recovery.peek(disk, &mut index)? {}
    report.wrong.extend(recovery.doubts.iter().cloned());
    for key in index.keys() {
        if let Some(entry) = index.get(&key) {
            check_copy(disk, key, entry, blocks, &mut report)?;
        }
    }
    Ok(report)
}

fn check_file_names(names: &[String], report: &mut Report) {
    for name in names {
        let is_segment = segments::number_of(name).is_some();
        if !is_segment && !name.ends_with(".sum") {
            report.wrong.push(format!("{name}: not a file of a store"));
        }
    }
}

fn check_segment(disk: &dyn Disk, number: u32, newest: u32, report: &mut Report) -> Result<()> {
    let name = segments::segment_name(number);
    report.segments += 1;
    let file = disk.open(&name)?;
    report.bytes += file.len()?;
    let Some(scan) = segments::scan(number, &*file)? else {
        report.wrong.push(format!("{name}: no segment's head"));
        return Ok(());
    };
    if scan.broken {
        let torn = if number == newest {
            " (the end that a crash tears, if nobody is writing)"
        } else {
            ""
        };
        let end = scan.end;
        report.wrong.push(format!(
            "{name}: no record in order from byte {end} on{torn}"
        ));
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

/// A segment without a summary is in order: recovery scans it.
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
        Some(_) => report
            .wrong
            .push(format!("{name}: tells other records than the segment")),
        None => report
            .wrong
            .push(format!("{name}: not a summary of the segment")),
    }
    Ok(())
}

fn check_copy(
    disk: &dyn Disk,
    key: Key,
    entry: &Entry,
    blocks: bool,
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
        report.wrong.push(format!(
            "{}: byte {offset} is not the commit it was",
            segments::segment_name(segment)
        ));
        return Ok(());
    };
    if blocks {
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
        let intact = read_at(disk, location.segment, payload_offset, location.len)
            .is_ok_and(|bytes| crc32fast::hash(&bytes) == location.crc);
        if !intact {
            let name = segments::segment_name(location.segment);
            let offset = location.offset;
            report.wrong.push(format!(
                "{name}: block {block} of {object} at byte {offset} is not what was written"
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
