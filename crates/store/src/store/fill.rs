//! Fills: write path of a new copy.
use super::*;

/// Estimated length of a commit record without its block locations, in bytes.
const COMMIT_BYTES: u64 = 1_024;
/// Estimated length of one block location in a commit record, in bytes.
const COMMIT_BYTES_PER_BLOCK: u64 = 32;

/// A copy that is being written. Until it is committed or dropped, the segments of its blocks are pinned and new purges are recorded for
/// it. A fill that is dropped before the commit leaves only dead blocks.
pub struct Fill {
    pub(super) store: Store,
    pub(super) meta: Meta,
    pub(super) start_seq: u64,
    pub(super) buffer: BytesMut,
    pub(super) locations: Vec<BlockLocation>,
    pub(super) size: u64,
    pub(super) ended: bool,
}

impl std::fmt::Debug for Fill {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Fill of {} after {} bytes", self.meta.object, self.size)
    }
}

impl Fill {
    /// Replaces the metadata. Must be called before the first byte is written.
    pub fn set_meta(&mut self, meta: Meta) {
        self.meta = meta;
    }

    /// Appends to the body. After an error the fill has ended and cannot be committed.
    pub fn write(&mut self, mut bytes: &[u8]) -> Result<(), StoreError> {
        let block = self.store.0.options.block as usize;
        while !bytes.is_empty() {
            let chunk_len = bytes.len().min(block - self.buffer.len());
            self.buffer.extend_from_slice(&bytes[..chunk_len]);
            self.size += chunk_len as u64;
            bytes = &bytes[chunk_len..];
            if self.buffer.len() == block {
                self.flush()?;
            }
        }
        Ok(())
    }

    fn flush(&mut self) -> Result<(), StoreError> {
        if self.buffer.is_empty() || self.ended {
            return Ok(());
        }
        let store = self.store.clone();
        let mut inner = store.inner();
        let written = store
            .ensure_capacity(
                &mut inner,
                (RECORD_HEADER_BYTES + self.buffer.len()) as u64,
                self.meta.rank,
            )
            .and_then(|()| store.write(&mut inner, Kind::Block, &self.buffer));
        match written {
            Ok(location) => {
                if let Some(segment) = inner.segments.get_mut(&location.segment) {
                    segment.pins += 1;
                }
                inner.stats.accepted_bytes += self.buffer.len() as u64;
                self.locations.push(location);
                self.buffer.clear();
                Ok(())
            }
            Err(e) => {
                self.end(&mut inner);
                Err(e)
            }
        }
    }

    /// Unpins the segments of the blocks and stops recording purges for this fill.
    fn end(&mut self, inner: &mut Inner) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        inner.open_fills.remove(&self.start_seq);
        for location in &self.locations {
            if let Some(segment) = inner.segments.get_mut(&location.segment) {
                segment.pins = segment.pins.saturating_sub(1);
            }
        }
    }

    /// Completes the copy and adds it to the index. Until the next sync a crash may lose it.
    pub fn commit(mut self, wall_ms: u64) -> Result<(), StoreError> {
        self.flush()?;
        let store = self.store.clone();
        let mut inner = store.inner();
        if self.ended {
            return Err(StoreError::Full);
        }
        self.check_complete()?;
        self.check_not_purged(&inner)?;
        self.check_blocks_present(&inner)?;
        let stored_ms = inner.clock.now(wall_ms);
        let meta = Meta {
            size: self.size,
            stored_ms,
            ..std::mem::take(&mut self.meta)
        };
        let locations = self.locations.clone();
        let commit_bytes = COMMIT_BYTES + COMMIT_BYTES_PER_BLOCK * locations.len() as u64;
        store.ensure_capacity(&mut inner, commit_bytes, meta.rank)?;
        store.commit(&mut inner, meta, locations)
    }

    fn check_complete(&self) -> Result<(), StoreError> {
        let declared = self.meta.size;
        if declared != 0 && declared != self.size {
            return Err(StoreError::SizeMismatch {
                declared,
                got: self.size,
            });
        }
        Ok(())
    }

    fn check_not_purged(&self, inner: &Inner) -> Result<(), StoreError> {
        let object = self.meta.key().object;
        let covers = |purge: &Purge| match (purge.of_object, purge.of_group) {
            (true, _) => purge.object() == object,
            (_, true) => purge.group == self.meta.group,
            _ => true,
        };
        let mut purges = inner.recent_purges.iter();
        if purges.any(|(seq, purge)| *seq >= self.start_seq && covers(purge)) {
            return Err(StoreError::Purged);
        }
        Ok(())
    }

    /// Checks that no block was discarded after a failed fsync.
    fn check_blocks_present(&self, inner: &Inner) -> Result<(), StoreError> {
        let is_present = |location: &BlockLocation| {
            let end = location.offset + location.len + RECORD_HEADER_BYTES as u32;
            let segment = inner.segments.get(&location.segment);
            segment.is_some_and(|segment| end <= segment.len)
        };
        if self.locations.iter().all(is_present) {
            return Ok(());
        }
        Err(StoreError::Disk(std::io::Error::other(
            "a block of the fill was discarded after a failed fsync",
        )))
    }
}

impl Drop for Fill {
    fn drop(&mut self) {
        let store = self.store.clone();
        let mut inner = store.inner();
        self.end(&mut inner);
    }
}
