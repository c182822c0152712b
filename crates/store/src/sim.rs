//! An in-memory disk with fault injection. After a power loss any subset of the unsynced writes is lost, as on a real disk.
//!
//! Unsynced writes are tracked in pages of [`PAGE_BYTES`] bytes; each of them survives a crash or is lost independently of the
//! others. Of the unsynced name changes a prefix survives. Faults that can be injected: power loss at the nth operation (also in the
//! middle of a write), a full disk, failing fsyncs and truncations, and flipped bits.
use crate::disk::{Disk, DiskFile};
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};
use std::sync::{Arc, Mutex, MutexGuard};

/// Size of a page in bytes; the write of a page is atomic.
pub const PAGE_BYTES: usize = 512;

#[derive(Clone, Debug, Default)]
struct Content {
    /// Content as the process reads it.
    current: Vec<u8>,
    /// Content at the last successful sync.
    durable: Vec<u8>,
    /// Pages written since the last successful sync: offset and bytes.
    dirty: Vec<(usize, Vec<u8>)>,
    /// Whether the file was truncated since the last successful sync; the tail may survive a crash or not.
    truncated: bool,
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
    /// Number of modifying operations left before the injected power loss.
    operations_until_power_loss: Option<u64>,
    /// Limit of the total bytes of all files.
    capacity: Option<usize>,
    /// Number of fsyncs that are still to fail.
    failing_syncs: u32,
    /// Number of truncations that are still to fail.
    failing_truncations: u32,
    powered_off: bool,
}

/// Handle of a simulated disk; clones share the same disk.
#[derive(Clone, Debug, Default)]
pub struct SimDisk(Arc<Mutex<State>>);

struct SimFile(SimDisk, usize);

fn power_loss_error() -> Error {
    Error::other("simulated power loss")
}

fn apply_name_change(names: &mut BTreeMap<String, usize>, change: &NameChange) {
    match change {
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

    /// Injects a power loss after `operations` further modifying operations.
    pub fn lose_power_after(&self, operations: u64) {
        self.lock().operations_until_power_loss = Some(operations);
    }

    /// Whether the injected power loss has occurred.
    pub fn is_powered_off(&self) -> bool {
        self.lock().powered_off
    }

    /// Limits the total bytes of all files; `None` removes the limit.
    pub fn set_capacity(&self, bytes: Option<usize>) {
        self.lock().capacity = bytes;
    }

    /// Makes the next `count` fsyncs fail.
    pub fn fail_syncs(&self, count: u32) {
        self.lock().failing_syncs = count;
    }

    /// Makes the next `count` truncations fail.
    pub fn fail_truncations(&self, count: u32) {
        self.lock().failing_truncations = count;
    }

    /// Flips a bit of a file, in its current and its durable content. Returns false if the file has no byte at `offset`.
    pub fn flip_bit(&self, name: &str, offset: usize) -> bool {
        let mut state = self.lock();
        let Some(file) = state.names.get(name).copied() else {
            return false;
        };
        let content = &mut state.files[file];
        let mut flipped = false;
        for bytes in [&mut content.current, &mut content.durable] {
            if let Some(byte) = bytes.get_mut(offset) {
                *byte ^= 0x10;
                flipped = true;
            }
        }
        flipped
    }

    /// Returns the length of a file in bytes; 0 if it does not exist.
    pub fn file_len(&self, name: &str) -> usize {
        let state = self.lock();
        state
            .names
            .get(name)
            .map_or(0, |f| state.files[*f].current.len())
    }

    /// Returns the disk as found after a crash; `survives` decides for each unsynced page, truncation or name change whether it is
    /// durable.
    pub fn after_crash(&self, mut survives: impl FnMut() -> bool) -> Self {
        let state = self.lock();
        let mut names = state.durable_names.clone();
        for change in &state.name_changes {
            // Name changes become durable in order, as in the journal of a file system.
            if !survives() {
                break;
            }
            apply_name_change(&mut names, change);
        }
        let mut after = State::default();
        for (name, file) in names {
            let content = &state.files[file];
            let mut bytes = content.durable.clone();
            for (offset, page) in &content.dirty {
                if survives() {
                    let end = offset + page.len();
                    if bytes.len() < end {
                        bytes.resize(end, 0);
                    }
                    bytes[*offset..end].copy_from_slice(page);
                }
            }
            if content.truncated && survives() {
                bytes.truncate(content.current.len());
            }
            after.names.insert(name.clone(), after.files.len());
            after.durable_names.insert(name, after.files.len());
            after.files.push(Content {
                current: bytes.clone(),
                durable: bytes,
                ..Content::default()
            });
        }
        Self(Arc::new(Mutex::new(after)))
    }
}

impl State {
    /// Counts a modifying operation; an error once power is lost.
    fn begin_operation(&mut self) -> Result<()> {
        if self.powered_off {
            return Err(power_loss_error());
        }
        if let Some(operations_until_power_loss) = &mut self.operations_until_power_loss {
            if *operations_until_power_loss == 0 {
                self.powered_off = true;
                return Err(power_loss_error());
            }
            *operations_until_power_loss -= 1;
        }
        Ok(())
    }

    fn change_name(&mut self, change: NameChange) {
        apply_name_change(&mut self.names, &change);
        self.name_changes.push(change);
    }
}

impl Disk for SimDisk {
    fn list(&self) -> Result<Vec<String>> {
        let state = self.lock();
        if state.powered_off {
            return Err(power_loss_error());
        }
        Ok(state.names.keys().cloned().collect())
    }

    fn create(&self, name: &str) -> Result<Arc<dyn DiskFile>> {
        let mut state = self.lock();
        state.begin_operation()?;
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
        if state.powered_off {
            return Err(power_loss_error());
        }
        let file = state.names.get(name).copied().ok_or(ErrorKind::NotFound)?;
        Ok(Arc::new(SimFile(self.clone(), file)))
    }

    fn remove(&self, name: &str) -> Result<()> {
        let mut state = self.lock();
        state.begin_operation()?;
        if !state.names.contains_key(name) {
            return Err(ErrorKind::NotFound.into());
        }
        state.change_name(NameChange::Remove(name.to_owned()));
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> Result<()> {
        let mut state = self.lock();
        state.begin_operation()?;
        if !state.names.contains_key(from) {
            return Err(ErrorKind::NotFound.into());
        }
        state.change_name(NameChange::Rename(from.to_owned(), to.to_owned()));
        Ok(())
    }

    fn sync_names(&self) -> Result<()> {
        let mut state = self.lock();
        state.begin_operation()?;
        state.durable_names = state.names.clone();
        state.name_changes.clear();
        Ok(())
    }
}

impl DiskFile for SimFile {
    fn write_at(&self, offset: u64, bytes: &[u8]) -> Result<()> {
        let mut state = self.0.lock();
        let power = state.begin_operation();
        // On a power loss in the middle of a write, some of its pages may reach the disk.
        let offset = offset as usize;
        if power.is_ok() {
            let used: usize = state
                .names
                .values()
                .map(|f| state.files[*f].current.len())
                .sum();
            let added = (offset + bytes.len()).saturating_sub(state.files[self.1].current.len());
            if state
                .capacity
                .is_some_and(|capacity| used + added > capacity)
            {
                return Err(ErrorKind::StorageFull.into());
            }
        }
        let content = &mut state.files[self.1];
        if content.current.len() < offset + bytes.len() {
            content.current.resize(offset + bytes.len(), 0);
        }
        content.current[offset..offset + bytes.len()].copy_from_slice(bytes);
        let mut written = 0;
        while written < bytes.len() {
            // Pages are aligned to the start of the file, not of the write.
            let end = ((offset + written) / PAGE_BYTES + 1) * PAGE_BYTES - offset;
            let end = end.min(bytes.len());
            content
                .dirty
                .push((offset + written, bytes[written..end].to_vec()));
            written = end;
        }
        power
    }

    fn read_at(&self, offset: u64, buffer: &mut [u8]) -> Result<()> {
        let state = self.0.lock();
        if state.powered_off {
            return Err(power_loss_error());
        }
        let offset = offset as usize;
        let source = state.files[self.1]
            .current
            .get(offset..offset + buffer.len())
            .ok_or(ErrorKind::UnexpectedEof)?;
        buffer.copy_from_slice(source);
        Ok(())
    }

    fn len(&self) -> Result<u64> {
        Ok(self.0.lock().files[self.1].current.len() as u64)
    }

    fn sync(&self) -> Result<()> {
        let mut state = self.0.lock();
        state.begin_operation()?;
        if state.failing_syncs > 0 {
            state.failing_syncs -= 1;
            // Kernels behave like this: after a failed fsync the dirty pages are dropped, and the next fsync succeeds.
            let content = &mut state.files[self.1];
            let dropped: Vec<(usize, Vec<u8>)> = content.dirty.drain(..).collect();
            for (n, (offset, page)) in dropped.into_iter().enumerate() {
                if n % 2 == 0 {
                    let end = offset + page.len();
                    if content.durable.len() < end {
                        content.durable.resize(end, 0);
                    }
                    content.durable[offset..end].copy_from_slice(&page);
                }
            }
            return Err(Error::other("injected fsync failure"));
        }
        let content = &mut state.files[self.1];
        content.durable = content.current.clone();
        content.dirty.clear();
        content.truncated = false;
        Ok(())
    }

    fn truncate(&self, len: u64) -> Result<()> {
        let mut state = self.0.lock();
        state.begin_operation()?;
        if state.failing_truncations > 0 {
            state.failing_truncations -= 1;
            return Err(Error::other("injected truncation failure"));
        }
        let content = &mut state.files[self.1];
        content.current.truncate(len as usize);
        content.truncated = true;
        Ok(())
    }
}
