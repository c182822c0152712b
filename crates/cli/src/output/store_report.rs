//! Output of the check of a cache host's store.
use pointspindle_store::check::Report;
use std::io::Write;
use std::path::Path;

/// Highest retention rank of a copy.
const MAX_RANK: u32 = 3;

/// Prints all errors and a summary.
pub fn print_check(folder: &Path, report: &Report) {
    let mut out = std::io::stdout().lock();
    for fault in &report.faults {
        let _ = writeln!(out, "{fault}");
    }
    let _ = writeln!(
        out,
        "{}: {} segments, {} copies, {} blocks read, {} errors",
        folder.display(),
        report.segments,
        report.copies.len(),
        report.blocks,
        report.faults.len()
    );
}

/// Prints a line for each copy.
pub fn print_copies(report: &Report) {
    let mut out = std::io::stdout().lock();
    for copy in &report.copies {
        let meta = &copy.meta;
        let written = writeln!(
            out,
            "{:>12} rank {} group {:016x} {} part {} {}",
            meta.size, meta.rank, meta.group, meta.object, meta.part, meta.validator
        );
        // A reader that closes the pipe early is not a failure.
        if written.is_err() {
            break;
        }
    }
}

/// Prints counts and bytes, in total and for each retention rank.
pub fn print_statistics(report: &Report) {
    let mut out = std::io::stdout().lock();
    let cached_bytes: u64 = report.copies.iter().map(|copy| copy.meta.size).sum();
    let _ = writeln!(
        out,
        "{} segments, {} bytes on disk, {cached_bytes} bytes in {} cached copies; {} commits and {} purges in the log",
        report.segments,
        report.bytes,
        report.copies.len(),
        report.commits,
        report.purges
    );
    for rank in 0..=MAX_RANK {
        let sizes: Vec<u64> = report
            .copies
            .iter()
            .filter(|copy| copy.meta.rank == rank)
            .map(|copy| copy.meta.size)
            .collect();
        if !sizes.is_empty() {
            let bytes: u64 = sizes.iter().sum();
            let _ = writeln!(out, "  rank {rank}: {} copies, {bytes} bytes", sizes.len());
        }
    }
}
