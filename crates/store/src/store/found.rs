//! A held copy on its way out.
use super::*;

/// A held copy, to be read. It can be read to its end whatever becomes of it in the store meanwhile.
pub struct Found {
    pub meta: Meta,
    pub seq: u64,
    pub(super) store: Store,
    pub(super) key: Key,
    pub(super) places: Box<[Place]>,
    pub(super) files: BTreeMap<u32, Arc<dyn DiskFile>>,
}

impl std::fmt::Debug for Found {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Found {:?}", self.meta)
    }
}

impl Found {
    pub fn blocks(&self) -> usize {
        self.places.len()
    }

    /// A block, if it is in memory.
    pub fn in_memory(&self, block: usize) -> Option<Bytes> {
        let place = self.places.get(block)?;
        self.store.0.memory.get(&(place.segment, place.offset))
    }

    /// A block of the body, in order; from memory, or from disk with its checksum found right.
    pub fn read(&self, block: usize) -> Result<Bytes, ReadError> {
        let place = self.places.get(block).ok_or(ReadError::None(block))?;
        let shared = &self.store.0;
        if let Some(bytes) = shared.memory.get(&(place.segment, place.offset)) {
            self.store.inner().stats.memory_reads += 1;
            return Ok(bytes);
        }
        let file = self
            .files
            .get(&place.segment)
            .ok_or(ReadError::None(block))?;
        let mut bytes = vec![0; place.len as usize];
        if let Err(e) = file.read_at(u64::from(place.offset) + HEAD as u64, &mut bytes) {
            self.store.lose(&self.key, self.seq);
            return Err(ReadError::Disk(block, e));
        }
        if crc32fast::hash(&bytes) != place.crc {
            self.store.lose(&self.key, self.seq);
            return Err(ReadError::Wrong(block));
        }
        let bytes = Bytes::from(bytes);
        shared
            .memory
            .insert((place.segment, place.offset), bytes.clone());
        self.store.inner().stats.disk_reads += 1;
        Ok(bytes)
    }
}
