//! A buffer for data that arrives in pieces and whose final length is unknown.
//!
//! It grows by chunks of one size instead of moving to ever larger allocations: the memory that it occupies is close to
//! what it has received, and chunks that are freed fit every other buffer.
use bytes::Bytes;

/// Capacity of a chunk.
const CHUNK_BYTES: usize = 4 * 1024;

/// A buffer in chunks; see the documentation of the module.
#[derive(Debug, Default)]
pub(crate) struct ChunkedBuffer {
    /// All chunks but the last are full.
    chunks: Vec<Vec<u8>>,
    length: usize,
}

impl ChunkedBuffer {
    /// Returns the number of bytes received.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns the memory that is allocated.
    pub fn allocated_bytes(&self) -> usize {
        self.chunks.len() * CHUNK_BYTES
    }

    /// Appends a piece.
    pub fn extend(&mut self, mut piece: &[u8]) {
        self.length += piece.len();
        while !piece.is_empty() {
            let chunk = self.chunk_with_space();
            let fitting = piece.len().min(CHUNK_BYTES - chunk.len());
            chunk.extend_from_slice(&piece[..fitting]);
            piece = &piece[fitting..];
        }
    }

    fn chunk_with_space(&mut self) -> &mut Vec<u8> {
        let is_full = self.length_of_last_chunk() == CHUNK_BYTES;
        if is_full || self.chunks.is_empty() {
            self.chunks.push(Vec::with_capacity(CHUNK_BYTES));
        }
        let last = self.chunks.len() - 1;
        &mut self.chunks[last]
    }

    fn length_of_last_chunk(&self) -> usize {
        self.chunks.last().map_or(0, Vec::len)
    }

    /// Returns all bytes in one allocation of exactly their length.
    pub fn into_bytes(self) -> Bytes {
        let mut bytes = Vec::with_capacity(self.length);
        for chunk in self.chunks {
            bytes.extend_from_slice(&chunk);
        }
        bytes.into()
    }
}
