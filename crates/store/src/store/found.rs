//! Reading: lookup of a copy, its blocks, and its renewal.
use super::*;

/// A stored copy, open for reading. It holds its segment files open, so it can be read to the end even if it is purged, evicted or
/// moved meanwhile.
pub struct Found {
    /// Metadata from its commit record.
    pub meta: Meta,
    /// Sequence number of its commit record.
    pub seq: u64,
    pub(super) store: Store,
    pub(super) key: Key,
    pub(super) locations: Box<[BlockLocation]>,
    pub(super) files: BTreeMap<u32, Arc<dyn DiskFile>>,
}

impl std::fmt::Debug for Found {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Found {:?}", self.meta)
    }
}

impl Found {
    /// Number of blocks of the body.
    pub fn blocks(&self) -> usize {
        self.locations.len()
    }

    /// A block, if it is cached in memory.
    pub fn in_memory(&self, block: usize) -> Option<Bytes> {
        let location = self.locations.get(block)?;
        self.store
            .0
            .memory
            .get(&(location.segment, location.offset))
    }

    /// A block of the body, from memory, or from disk after its checksum was verified. A copy with a block that cannot be read is
    /// removed from the index.
    pub fn read(&self, block: usize) -> Result<Bytes, ReadError> {
        let location = self.locations.get(block).ok_or(ReadError::None(block))?;
        let shared = &self.store.0;
        if let Some(bytes) = shared.memory.get(&(location.segment, location.offset)) {
            self.store.inner().stats.memory_reads += 1;
            return Ok(bytes);
        }
        let file = self
            .files
            .get(&location.segment)
            .ok_or(ReadError::None(block))?;
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
            return Err(ReadError::Wrong(block));
        }
        let bytes = Bytes::from(bytes);
        shared
            .memory
            .insert((location.segment, location.offset), bytes.clone());
        self.store.inner().stats.disk_reads += 1;
        Ok(bytes)
    }
}

impl Store {
    /// The copy, if it is stored and its segments have been recovered. Counts as a use for eviction.
    pub fn get(&self, key: &Key) -> Option<Found> {
        let (entry, files) = {
            let mut inner = self.inner();
            let entry = inner.index.touch(key)?.clone();
            let wanted = entry
                .locations
                .iter()
                .map(|p| p.segment)
                .chain([entry.commit.segment]);
            let file = |n: u32| Some((n, inner.segments.get(&n)?.file.clone()));
            let files: Option<BTreeMap<u32, Arc<dyn DiskFile>>> = wanted.map(file).collect();
            if files.is_none() && inner.recovery.is_some() {
                // A segment that it needs has not been recovered yet.
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
            Some(Found {
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

    /// Removes a copy that could not be read, unless it was replaced meanwhile.
    pub(super) fn discard_corrupt(&self, key: &Key, seq: u64) {
        let mut inner = self.inner();
        if inner.index.get(key).is_some_and(|e| e.seq == seq) {
            inner.index.remove(key);
            inner.stats.lost += 1;
            self.write_tombstone(&mut inner, *key, seq);
        }
    }

    /// Replaces the metadata of a copy that was revalidated, keeping its blocks. False: the copy was replaced or removed meanwhile.
    pub fn renew(&self, found: &Found, meta: Meta, wall_ms: u64) -> Result<bool, StoreError> {
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

/// A record's payload, if header and checksum are intact.
pub(super) fn read_record(file: &dyn DiskFile, location: RecordLocation) -> Option<Vec<u8>> {
    let mut bytes = vec![0; location.len as usize];
    file.read_at(u64::from(location.offset), &mut bytes).ok()?;
    let header = record::decode_header(location.segment, &bytes)?;
    let payload = bytes.split_off(RECORD_HEADER_BYTES);
    let is_intact = header.len as usize == payload.len() && crc32fast::hash(&payload) == header.crc;
    is_intact.then_some(payload)
}
