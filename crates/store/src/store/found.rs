//! Read path: lookup of a copy, reads of its blocks, and renewal of its metadata.
use super::*;

/// A stored copy, open for reading. It holds the segment files open, so that the body can be read to the end even if the copy is purged,
/// evicted or moved in the meantime.
pub struct StoredCopy {
    /// Metadata from the commit record.
    pub meta: Meta,
    /// Sequence number of the commit record.
    pub seq: u64,
    pub(super) store: Store,
    pub(super) key: Key,
    pub(super) locations: Box<[BlockLocation]>,
    pub(super) files: BTreeMap<u32, Arc<dyn DiskFile>>,
}

impl std::fmt::Debug for StoredCopy {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "StoredCopy {:?}", self.meta)
    }
}

impl StoredCopy {
    /// Returns the number of blocks of the body.
    pub fn blocks(&self) -> usize {
        self.locations.len()
    }

    /// Returns a block if it is in the block cache.
    pub fn cached_block(&self, block: usize) -> Option<Bytes> {
        let location = self.locations.get(block)?;
        self.store
            .0
            .block_cache
            .get(&(location.segment, location.offset))
    }

    /// Returns a block of the body, from the block cache or, after its checksum was verified, from disk. If the block cannot be read,
    /// the copy is removed from the index.
    pub fn read(&self, block: usize) -> Result<Bytes, ReadError> {
        let location = self
            .locations
            .get(block)
            .ok_or(ReadError::NoSuchBlock(block))?;
        let shared = &self.store.0;
        if let Some(bytes) = shared.block_cache.get(&(location.segment, location.offset)) {
            self.store.inner().stats.memory_reads += 1;
            return Ok(bytes);
        }
        let file = self
            .files
            .get(&location.segment)
            .ok_or(ReadError::NoSuchBlock(block))?;
        let mut bytes = vec![0; location.len as usize];
        if let Err(e) = file.read_at(
            u64::from(location.offset) + RECORD_HEADER_BYTES as u64,
            &mut bytes,
        ) {
            self.store.discard_corrupt(&self.key, self.seq);
            return Err(ReadError::Disk(block, e));
        }
        if crc32fast::hash(&bytes) != location.crc {
            self.store.discard_corrupt(&self.key, self.seq);
            return Err(ReadError::ChecksumMismatch(block));
        }
        let bytes = Bytes::from(bytes);
        shared
            .block_cache
            .insert((location.segment, location.offset), bytes.clone());
        self.store.inner().stats.disk_reads += 1;
        Ok(bytes)
    }
}

impl Store {
    /// Returns the copy if it is stored and its segments have been recovered. The lookup counts as a use for eviction.
    pub fn get(&self, key: &Key) -> Option<StoredCopy> {
        let (entry, files) = {
            let mut inner = self.inner();
            let entry = inner.index.touch(key)?.clone();
            let segments = entry
                .locations
                .iter()
                .map(|location| location.segment)
                .chain([entry.commit.segment]);
            let file = |n: u32| Some((n, inner.segments.get(&n)?.file.clone()));
            let files: Option<BTreeMap<u32, Arc<dyn DiskFile>>> = segments.map(file).collect();
            if files.is_none() && inner.recovery.is_some() {
                // A segment of the copy has not been recovered yet.
                return None;
            }
            (entry, files)
        };
        let found = files.and_then(|files| {
            let file = files.get(&entry.commit.segment)?;
            let commit = read_record(&**file, entry.commit)?;
            let meta = Commit::decode(&commit[..])
                .ok()?
                .meta
                .filter(|m| m.key() == *key)?;
            Some(StoredCopy {
                meta,
                seq: entry.seq,
                store: self.clone(),
                key: *key,
                locations: entry.locations.clone(),
                files,
            })
        });
        if found.is_none() {
            self.discard_corrupt(key, entry.seq);
        }
        found
    }

    /// Removes a copy that could not be read, unless it has been replaced in the meantime.
    pub(super) fn discard_corrupt(&self, key: &Key, seq: u64) {
        let mut inner = self.inner();
        if inner.index.get(key).is_some_and(|e| e.seq == seq) {
            inner.index.remove(key);
            inner.stats.lost += 1;
            self.write_tombstone(&mut inner, *key, seq);
        }
    }

    /// Replaces the metadata of a copy that was revalidated; its blocks stay. Returns false if the copy has been replaced or removed in
    /// the meantime, or if `meta` has another key.
    pub fn renew(&self, found: &StoredCopy, meta: Meta, wall_ms: u64) -> Result<bool, StoreError> {
        let mut inner = self.inner();
        let Some(entry) = inner
            .index
            .get(&found.key)
            .filter(|e| e.seq == found.seq)
            .cloned()
        else {
            return Ok(false);
        };
        let stored_ms = inner.clock.now(wall_ms);
        let meta = Meta {
            size: entry.size,
            stored_ms,
            ..meta
        };
        if meta.key() != found.key {
            return Ok(false);
        }
        self.commit(&mut inner, meta, entry.locations.to_vec())?;
        Ok(true)
    }
}

/// Reads a record and returns its payload if header and checksum are valid.
pub(super) fn read_record(file: &dyn DiskFile, location: RecordLocation) -> Option<Vec<u8>> {
    let mut bytes = vec![0; location.len as usize];
    file.read_at(u64::from(location.offset), &mut bytes).ok()?;
    let header = record::decode_header(location.segment, &bytes)?;
    let payload = bytes.split_off(RECORD_HEADER_BYTES);
    let is_intact = header.len as usize == payload.len() && crc32fast::hash(&payload) == header.crc;
    is_intact.then_some(payload)
}
