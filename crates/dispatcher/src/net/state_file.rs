//! The state file: written whole beside its place, synced, renamed; read once at the start.
use super::connection_pool::FramedCore;
use crate::core::state::{Snapshot, MAX_FILE};
use pointspindle_clock::{stamp_ms, BootMoment};
use std::io::{Read, Write};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// Least time between two writings: many purges in a moment are one file.
const PAUSE: Duration = Duration::from_millis(20);
/// A file that could not be written is written again after this at first, then twice as long each time: the disk may be full for
/// a while.
const AGAIN: Duration = Duration::from_millis(50);
const AGAIN_MOST: Duration = Duration::from_secs(1);
/// At the end of the process so many tries are made.
const LAST_TRIES: u32 = 5;

/// Tells the hub what an earlier run left; false if there is nothing to tell.
pub(crate) async fn restore(hub: &Arc<FramedCore>) -> bool {
    let Some(path) = hub.settings.state_file.clone() else {
        return false;
    };
    let shown = path.display().to_string();
    let read = tokio::task::spawn_blocking(move || read(&path)).await;
    match read {
        Ok(Ok(Some(snapshot))) => {
            let state = snapshot.restore(BootMoment::now().as_ref());
            let list = state.endpoint_list;
            let purges = state.purges;
            tracing::info!(
                file = shown,
                endpoints = list.endpoints.len(),
                purges = purges.len(),
                "state read"
            );
            for purge in purges {
                hub.apply_purge(purge);
            }
            let any = !list.endpoints.is_empty();
            if any {
                hub.apply_endpoint_list(list);
            }
            any
        }
        Ok(Ok(None)) => false,
        Ok(Err(why)) => {
            tracing::warn!(file = shown, why, "the state file is not used");
            false
        }
        Err(_) => false,
    }
}

fn read(path: &Path) -> Result<Option<Snapshot>, String> {
    let file = match std::fs::File::open(path) {
        Ok(file) => file,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e.to_string()),
    };
    let mut bytes = Vec::new();
    file.take(MAX_FILE + 1)
        .read_to_end(&mut bytes)
        .map_err(|e| e.to_string())?;
    Snapshot::from_bytes(&bytes)
        .map(Some)
        .map_err(|e| e.to_string())
}

fn write(path: &Path, snapshot: &Snapshot) -> std::io::Result<()> {
    // The whole name and more: two files that differ in their endings must not meet beside their places.
    let mut beside = path.as_os_str().to_owned();
    beside.push(".new");
    let beside = Path::new(&beside);
    let mut file = std::fs::File::create(beside)?;
    let bytes = snapshot.to_bytes(stamp_ms(), BootMoment::now().as_ref());
    file.write_all(&bytes)?;
    file.sync_all()?;
    std::fs::rename(beside, path)?;
    // The name is durable once its folder is.
    let folder = path
        .parent()
        .filter(|p| !p.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    std::fs::File::open(folder)?.sync_all()
}

/// Writes what holds now; false: the old file stays.
async fn save(hub: &Arc<FramedCore>) -> bool {
    let Some(path) = hub.settings.state_file.clone() else {
        return true;
    };
    let snapshot = hub.snapshot();
    let shown = path.display().to_string();
    let written = tokio::task::spawn_blocking(move || write(&path, &snapshot)).await;
    if let Ok(Err(e)) = &written {
        tracing::error!(file = shown, error = %e, "the state file cannot be written yet; the old one stays");
    }
    matches!(written, Ok(Ok(())))
}

/// The last writing of a process.
pub(crate) async fn save_at_the_end(hub: &Arc<FramedCore>) {
    let mut pause = AGAIN;
    for _ in 1..LAST_TRIES {
        if save(hub).await {
            return;
        }
        tokio::time::sleep(pause).await;
        pause *= 2;
    }
    save(hub).await;
}

/// Writes the file after each change, one at a time, and again until what could not be written is.
pub(crate) async fn run(hub: Arc<FramedCore>) {
    loop {
        hub.dirty.notified().await;
        let mut pause = AGAIN;
        while !save(&hub).await {
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(AGAIN_MOST);
        }
        tokio::time::sleep(PAUSE).await;
    }
}
