//! What is wrong with a folder, and what it holds: reads only, also while another process writes.
use crate::disk::Disk;
use crate::index::Index;
use crate::record::{Commit, Key, Word, HEAD};
use crate::recover::{read_all, Recovery};
use crate::segments;

/// A copy as [`Report::copies`] lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Copy {
    pub key: Key,
    pub meta: crate::record::Meta,
    pub blocks: usize,
}

#[derive(Debug, Default)]
pub struct Report {
    pub segments: u64,
    pub bytes: u64,
    /// Records by kind: blocks are those that held copies refer to.
    pub commits: u64,
    pub purges: u64,
    pub blocks: u64,
    pub copies: Vec<Copy>,
    /// What is wrong, each with its place.
    pub wrong: Vec<String>,
}

/// Looks at all of it. `blocks`: every byte of every held copy is read and its checksum compared.
pub fn check(disk: &dyn Disk, blocks: bool) -> std::io::Result<Report> {
    let mut report = Report::default();
    let mut recovery = Recovery::new(disk)?;
    let newest = recovery.newest();
    let mut index = Index::default();
    let names = disk.list()?;
    for name in names
        .iter()
        .filter(|n| segments::number_of(n).is_none() && !n.ends_with(".sum"))
    {
        report.wrong.push(format!("{name}: not a file of a store"));
    }
    for number in names.iter().filter_map(|n| segments::number_of(n)) {
        report.segments += 1;
        let file = disk.open(&segments::segment_name(number))?;
        report.bytes += file.len()?;
        let Some(scan) = segments::scan(number, &*file)? else {
            report.wrong.push(format!(
                "{}: no segment's head",
                segments::segment_name(number)
            ));
            continue;
        };
        if scan.broken {
            let (name, end) = (segments::segment_name(number), scan.end);
            let torn = if number == newest {
                " (the end that a crash tears, if nobody is writing)"
            } else {
                ""
            };
            report.wrong.push(format!(
                "{name}: no record in order from byte {end} on{torn}"
            ));
        }
        for spoken in &scan.spoken {
            match spoken.word {
                Word::Commit(_) => report.commits += 1,
                Word::Purge(_) => report.purges += 1,
                _ => {}
            }
        }
        if let Ok(summary) = disk.open(&segments::summary_name(number)) {
            let read = segments::read_summary(number, &read_all(&*summary)?);
            let (name, same) = (
                segments::summary_name(number),
                read.as_ref().map(|(_, s)| *s == scan.spoken),
            );
            match same {
                Some(true) => {}
                Some(false) => report
                    .wrong
                    .push(format!("{name}: tells other records than the segment")),
                None => report
                    .wrong
                    .push(format!("{name}: not a summary of the segment")),
            }
        }
    }
    while recovery.peek(disk, &mut index)? {}
    report.wrong.extend(recovery.doubts.iter().cloned());
    for key in index.keys() {
        let Some(entry) = index.get(&key) else {
            continue;
        };
        let read = |segment: u32, offset: u32, len: u32| -> std::io::Result<Vec<u8>> {
            let mut bytes = vec![0; len as usize];
            disk.open(&segments::segment_name(segment))?
                .read_at(u64::from(offset), &mut bytes)?;
            Ok(bytes)
        };
        let (segment, offset, len) = entry.commit;
        let commit = read(segment, offset, len)?;
        let Some(meta) = prost::Message::decode(&commit[HEAD..])
            .ok()
            .and_then(|c: Commit| c.meta)
        else {
            report.wrong.push(format!(
                "{}: byte {offset} is not the commit it was",
                segments::segment_name(segment)
            ));
            continue;
        };
        for (n, place) in entry.places.iter().enumerate().filter(|_| blocks) {
            report.blocks += 1;
            let right = read(place.segment, place.offset + HEAD as u32, place.len)
                .is_ok_and(|bytes| crc32fast::hash(&bytes) == place.crc);
            if !right {
                let name = segments::segment_name(place.segment);
                report.wrong.push(format!(
                    "{name}: block {n} of {} at byte {} is not what was written",
                    meta.object, place.offset
                ));
            }
        }
        report.copies.push(Copy {
            key,
            meta,
            blocks: entry.places.len(),
        });
    }
    Ok(report)
}
