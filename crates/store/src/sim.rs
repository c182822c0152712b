//! An in-memory disk with fault injection. After a power loss unsynced writes are lost in part and in any order, as on a real disk.
//!
//! Unsynced writes are tracked in pages of [`PAGE`] bytes; a crash keeps or loses each of them independently. Of the unsynced name
//! changes a crash keeps a prefix. Faults: power loss at the nth operation (also in the middle of a write), a full disk, failing fsyncs
//! and truncations, and flipped bits.
use crate::disk::{Disk, DiskFile};
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};
use std::sync::{Arc, Mutex, MutexGuard};

/// Bytes that are written atomically.
pub const PAGE: usize = 512;

#[derive(Clone, Debug, Default)]
struct Content {
    /// As the process sees it.
    now: Vec<u8>,
    /// As it was at the last sync.
    durable: Vec<u8>,
    /// Written since: offset and bytes, in pages.
    dirty: Vec<(usize, Vec<u8>)>,
    /// Truncated since: nothing of the tail is certain.
    cut: bool,
}

#[derive(Clone, Debug)]
enum NameChange {
    Create(String, usize),
    Remove(String),
    Rename(String, String),
}

#[derive(Debug, Default)]
struct State {
    files: Vec<Content>,
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    name_changes: Vec<NameChange>,
    /// Modifying operations until the injected power loss.
    operations_until_power_loss: Option<u64>,
    /// Limit of the bytes of all files.
    capacity: Option<usize>,
    /// Fsyncs still to fail.
    bad_syncs: u32,
    /// Truncations still to fail.
    bad_truncates: u32,
    dead: bool,
}

/// Handle of a simulated disk; clones share it.
#[derive(Clone, Debug, Default)]
pub struct SimDisk(Arc<Mutex<State>>);

struct SimFile(SimDisk, usize);

fn power_lost() -> Error {
    Error::other("power is lost")
}

fn apply(names: &mut BTreeMap<String, usize>, naming: &NameChange) {
    match naming {
        NameChange::Create(name, file) => drop(names.insert(name.clone(), *file)),
        NameChange::Remove(name) => drop(names.remove(name)),
        NameChange::Rename(from, to) => {
            if let Some(file) = names.remove(from) {
                names.insert(to.clone(), file);
            }
        }
    }
}

impl SimDisk {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Injects a power loss at the nth modifying operation from now.
    pub fn lose_power_in(&self, operations: u64) {
        self.lock().operations_until_power_loss = Some(operations);
    }

    /// Whether power was lost.
    pub fn is_dead(&self) -> bool {
        self.lock().dead
    }

    /// Limits the bytes of all files; none: unlimited.
    pub fn capacity(&self, bytes: Option<usize>) {
        self.lock().capacity = bytes;
    }

    /// Lets the next `count` fsyncs fail.
    pub fn fail_syncs(&self, count: u32) {
        self.lock().bad_syncs = count;
    }

    /// Lets the next `count` truncations fail.
    pub fn fail_truncates(&self, count: u32) {
        self.lock().bad_truncates = count;
    }

    /// Flips a bit of a file, in its current and its durable content. False: no such byte.
    pub fn flip(&self, name: &str, offset: usize) -> bool {
        let mut state = self.lock();
        let Some(file) = state.names.get(name).copied() else {
            return false;
        };
        let content = &mut state.files[file];
        let mut done = false;
        for bytes in [&mut content.now, &mut content.durable] {
            if let Some(byte) = bytes.get_mut(offset) {
                *byte ^= 0x10;
                done = true;
            }
        }
        done
    }

    /// Length of a file; 0: there is none.
    pub fn len_of(&self, name: &str) -> usize {
        let state = self.lock();
        state
            .names
            .get(name)
            .map_or(0, |f| state.files[*f].now.len())
    }

    /// The disk as found after a crash; `keep` decides for each unsynced page or name change whether it survived.
    pub fn after_crash(&self, mut keep: impl FnMut() -> bool) -> Self {
        let state = self.lock();
        let mut names = state.durable_names.clone();
        for naming in &state.name_changes {
            // In order, as a journal has them.
            if !keep() {
                break;
            }
            apply(&mut names, naming);
        }
        let mut after = State::default();
        for (name, file) in names {
            let content = &state.files[file];
            let mut bytes = content.durable.clone();
            for (offset, page) in &content.dirty {
                if keep() {
                    let end = offset + page.len();
                    if bytes.len() < end {
                        bytes.resize(end, 0);
                    }
                    bytes[*offset..end].copy_from_slice(page);
                }
            }
            if content.cut && keep() {
                bytes.truncate(content.now.len());
            }
            after.names.insert(name.clone(), after.files.len());
            after.durable_names.insert(name, after.files.len());
            after.files.push(Content {
                now: bytes.clone(),
                durable: bytes,
                ..Content::default()
            });
        }
        Self(Arc::new(Mutex::new(after)))
    }
}

impl State {
    /// Called before each modifying operation; an error once power is lost.
    fn live(&mut self) -> Result<()> {
        if self.dead {
            return Err(power_lost());
        }
        if let Some(operations_until_power_loss) = &mut self.operations_until_power_loss {
            if *operations_until_power_loss == 0 {
                self.dead = true;
                return Err(power_lost());
            }
            *operations_until_power_loss -= 1;
        }
        Ok(())
    }

    fn change_name(&mut self, naming: NameChange) {
        apply(&mut self.names, &naming);
        self.name_changes.push(naming);
    }
}

impl Disk for SimDisk {
    fn list(&self) -> Result<Vec<String>> {
        let state = self.lock();
        if state.dead {
            return Err(power_lost());
        }
        Ok(state.names.keys().cloned().collect())
    }

    fn create(&self, name: &str) -> Result<Arc<dyn DiskFile>> {
        let mut state = self.lock();
        state.live()?;
        if state.names.contains_key(name) {
            return Err(ErrorKind::AlreadyExists.into());
        }
        let file = state.files.len();
        state.files.push(Content::default());
        state.change_name(NameChange::Create(name.to_owned(), file));
        Ok(Arc::new(SimFile(self.clone(), file)))
    }

    fn open(&self, name: &str) -> Result<Arc<dyn DiskFile>> {
        let state = self.lock();
        if state.dead {
            return Err(power_lost());
        }
        let file = state.names.get(name).copied().ok_or(ErrorKind::NotFound)?;
        Ok(Arc::new(SimFile(self.clone(), file)))
    }

    fn remove(&self, name: &str) -> Result<()> {
        let mut state = self.lock();
        state.live()?;
        if !state.names.contains_key(name) {
            return Err(ErrorKind::NotFound.into());
        }
        state.change_name(NameChange::Remove(name.to_owned()));
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> Result<()> {
        let mut state = self.lock();
        state.live()?;
        if !state.names.contains_key(from) {
            return Err(ErrorKind::NotFound.into());
        }
        state.change_name(NameChange::Rename(from.to_owned(), to.to_owned()));
        Ok(())
    }

    fn sync_names(&self) -> Result<()> {
        let mut state = self.lock();
        state.live()?;
        state.durable_names = state.names.clone();
        state.name_changes.clear();
        Ok(())
    }
}

impl DiskFile for SimFile {
    fn write_at(&self, offset: u64, bytes: &[u8]) -> Result<()> {
        let mut state = self.0.lock();
        let alive = state.live();
        // Power loss in the middle of a write: some of its pages may reach the disk.
        let offset = offset as usize;
        if alive.is_ok() {
            let used: usize = state
                .names
                .values()
                .map(|f| state.files[*f].now.len())
                .sum();
            let more = (offset + bytes.len()).saturating_sub(state.files[self.1].now.len());
            if state
                .capacity
                .is_some_and(|capacity| used + more > capacity)
            {
                return Err(ErrorKind::StorageFull.into());
            }
        }
        let content = &mut state.files[self.1];
        if content.now.len() < offset + bytes.len() {
            content.now.resize(offset + bytes.len(), 0);
        }
        content.now[offset..offset + bytes.len()].copy_from_slice(bytes);
        let mut at = 0;
        while at < bytes.len() {
            // Pages are aligned to the file, not to the write.
            let end = ((offset + at) / PAGE + 1) * PAGE - offset;
            let end = end.min(bytes.len());
            content.dirty.push((offset + at, bytes[at..end].to_vec()));
            at = end;
        }
        alive
    }

    fn read_at(&self, offset: u64, buffer: &mut [u8]) -> Result<()> {
        let state = self.0.lock();
        if state.dead {
            return Err(power_lost());
        }
        let offset = offset as usize;
        let from = state.files[self.1]
            .now
            .get(offset..offset + buffer.len())
            .ok_or(ErrorKind::UnexpectedEof)?;
        buffer.copy_from_slice(from);
        Ok(())
    }

    fn len(&self) -> Result<u64> {
        Ok(self.0.lock().files[self.1].now.len() as u64)
    }

    fn sync(&self) -> Result<()> {
        let mut state = self.0.lock();
        state.live()?;
        if state.bad_syncs > 0 {
            state.bad_syncs -= 1;
            // As kernels do: dirty pages are dropped, and the next fsync succeeds.
            let content = &mut state.files[self.1];
            let lost: Vec<(usize, Vec<u8>)> = content.dirty.drain(..).collect();
            for (n, (offset, page)) in lost.into_iter().enumerate() {
                if n % 2 == 0 {
                    let end = offset + page.len();
                    if content.durable.len() < end {
                        content.durable.resize(end, 0);
                    }
                    content.durable[offset..end].copy_from_slice(&page);
                }
            }
            return Err(Error::other("the disk cannot write"));
        }
        let content = &mut state.files[self.1];
        content.durable = content.now.clone();
        content.dirty.clear();
        content.cut = false;
        Ok(())
    }

    fn truncate(&self, len: u64) -> Result<()> {
        let mut state = self.0.lock();
        state.live()?;
        if state.bad_truncates > 0 {
            state.bad_truncates -= 1;
            return Err(Error::other("the disk cannot truncate"));
        }
        let content = &mut state.files[self.1];
        content.now.truncate(len as usize);
        content.cut = true;
        Ok(())
    }
}
