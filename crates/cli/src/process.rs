//! What the commands need of the operating system.
use std::path::Path;

/// Raises the limit of descriptors as far as is possible without privileges: each connection needs one.
pub fn raise_descriptor_limit() {
    match rlimit::increase_nofile_limit(u64::MAX) {
        Ok(limit) => tracing::debug!(limit, "descriptors"),
        Err(error) => tracing::warn!(%error, "the limit of descriptors stays as it is"),
    }
}

/// Writes a file completely or not at all: who waits for it never reads half of it.
pub fn write_atomically(file: &Path, bytes: &[u8]) -> std::io::Result<()> {
    let mut temporary = file.as_os_str().to_owned();
    temporary.push(".new");
    std::fs::write(&temporary, bytes)?;
    std::fs::rename(&temporary, file)
}
