//! Operating system functions that several commands use.
use std::path::Path;

/// Raises the limit of open file descriptors as far as possible without privileges: each connection needs one.
pub fn raise_descriptor_limit() {
    match rlimit::increase_nofile_limit(u64::MAX) {
        Ok(limit) => tracing::debug!(limit, "descriptors"),
        Err(error) => tracing::warn!(%error, "file descriptor limit not raised"),
    }
}

/// Writes a file atomically: a process that waits for the file never reads an incomplete one.
pub fn write_atomically(file: &Path, bytes: &[u8]) -> std::io::Result<()> {
    let mut temporary = file.as_os_str().to_owned();
    temporary.push(".new");
    std::fs::write(&temporary, bytes)?;
    std::fs::rename(&temporary, file)
}
