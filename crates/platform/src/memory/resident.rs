//! Reads the resident memory of this process from `/proc/self/statm`.
use std::fs::File;
use std::io::Result;
use std::os::unix::fs::FileExt;

const STATM_PATH: &str = "/proc/self/statm";
/// Position of the resident pages in the file.
const RESIDENT_FIELD: usize = 1;
/// The file is a line of seven numbers.
const STATM_BYTES: usize = 160;

/// The open file.
#[derive(Debug)]
pub(super) struct ResidentMemory {
    file: File,
    page_bytes: u64,
}

impl ResidentMemory {
    /// Opens the file.
    pub fn open() -> Result<Self> {
        Ok(Self {
            file: File::open(STATM_PATH)?,
            page_bytes: rustix::param::page_size() as u64,
        })
    }

    /// Returns the resident memory in bytes, or `None` if it cannot be read.
    pub fn bytes(&self) -> Option<u64> {
        let mut line = [0; STATM_BYTES];
        let length = self.file.read_at(&mut line, 0).ok()?;
        let line = std::str::from_utf8(&line[..length]).ok()?;
        let pages: u64 = line.split(' ').nth(RESIDENT_FIELD)?.parse().ok()?;
        Some(pages * self.page_bytes)
    }
}
