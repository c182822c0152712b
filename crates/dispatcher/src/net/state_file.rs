//! The state file: written to a temporary file in the same directory, synced and renamed; read once at the start.
use super::framed_transport::FramedCore;
use crate::core::state::{Snapshot, StateError, MAX_STATE_FILE_BYTES};
use pointspindle_clock::{wall_clock_unix_ms, BootMoment};
use std::io::{ErrorKind, Read, Write};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// Minimum time between two writes, so that purges in quick succession share one write.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(20);
/// Pause after the first failed write; it doubles with each further failure.
const RETRY_BACKOFF: Duration = Duration::from_millis(50);
const MAX_RETRY_BACKOFF: Duration = Duration::from_secs(1);
const WRITE_ATTEMPTS_BEFORE_EXIT: u32 = 5;

/// An error that prevents a state file from being read.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Invalid(#[from] StateError),
}

/// Applies the state that an earlier run saved. Returns false if it contains no endpoints.
pub(super) async fn restore(core: &Arc<FramedCore>) -> bool {
    let Some(path) = core.settings.state_file.clone() else {
        return false;
    };
    let file = path.display().to_string();
    let read = tokio::task::spawn_blocking(move || read(&path)).await;
    match read {
        Ok(Ok(Some(snapshot))) => apply(core, &file, &snapshot),
        Ok(Ok(None)) => false,
        Ok(Err(error)) => {
            tracing::warn!(
                file,
                error = error.to_string(),
                "the state file is not used"
            );
            false
        }
        Err(_) => false,
    }
}

/// Applies a snapshot. Returns false if it contains no endpoints.
fn apply(core: &FramedCore, file: &str, snapshot: &Snapshot) -> bool {
    let state = snapshot.restore(BootMoment::now().as_ref());
    let list = state.endpoint_list;
    let purges = state.purges;
    tracing::info!(
        file,
        endpoints = list.endpoints.len(),
        purges = purges.len(),
        "state file read"
    );
    for purge in purges {
        core.apply_purge(purge);
    }
    let has_endpoints = !list.endpoints.is_empty();
    if has_endpoints {
        core.apply_endpoint_list(list);
    }
    has_endpoints
}

fn read(path: &Path) -> Result<Option<Snapshot>, ReadError> {
    let file = match std::fs::File::open(path) {
        Ok(file) => file,
        Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e.into()),
    };
    let mut bytes = Vec::new();
    file.take(MAX_STATE_FILE_BYTES + 1)
        .read_to_end(&mut bytes)?;
    Ok(Some(Snapshot::from_bytes(&bytes)?))
}

fn write(path: &Path, snapshot: &Snapshot) -> std::io::Result<()> {
    // The suffix is appended instead of replacing the extension: state files that differ only in their extensions must not
    // share a temporary file.
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(".new");
    let temporary = Path::new(&temporary);
    let mut file = std::fs::File::create(temporary)?;
    let bytes = snapshot.to_bytes(wall_clock_unix_ms(), BootMoment::now().as_ref());
    file.write_all(&bytes)?;
    file.sync_all()?;
    std::fs::rename(temporary, path)?;
    // The rename is durable only once the directory has been synced.
    let directory = path
        .parent()
        .filter(|p| !p.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    std::fs::File::open(directory)?.sync_all()
}

/// Writes the current state. Returns false if that failed; the previous file then stays in place.
async fn save(core: &Arc<FramedCore>) -> bool {
    let Some(path) = core.settings.state_file.clone() else {
        return true;
    };
    let snapshot = core.snapshot();
    let file = path.display().to_string();
    let written = tokio::task::spawn_blocking(move || write(&path, &snapshot)).await;
    if let Ok(Err(e)) = &written {
        tracing::error!(file, error = %e, "the state file cannot be written yet; the old one stays");
    }
    matches!(written, Ok(Ok(())))
}

/// Writes the state before the process exits, with a limited number of attempts.
pub(super) async fn save_before_exit(core: &Arc<FramedCore>) {
    let mut pause = RETRY_BACKOFF;
    for _ in 1..WRITE_ATTEMPTS_BEFORE_EXIT {
        if save(core).await {
            return;
        }
        tokio::time::sleep(pause).await;
        pause *= 2;
    }
    save(core).await;
}

/// Writes the state file after each change. A failed write is retried until it succeeds.
pub(super) async fn run(core: Arc<FramedCore>) {
    loop {
        core.dirty.notified().await;
        let mut pause = RETRY_BACKOFF;
        while !save(&core).await {
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_RETRY_BACKOFF);
        }
        tokio::time::sleep(MIN_WRITE_INTERVAL).await;
    }
}
