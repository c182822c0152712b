//! Index of the caches that last served each copy.
use super::random::mix;
use crate::event::Request;
use crate::ids::{EndpointId, ObjectId};
use std::collections::BTreeMap;

/// Number of generations that the index holds.
const GENERATIONS: usize = 2;

/// Identifies a cached copy: one part of an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CopyKey {
    object: ObjectId,
    part: u64,
}

impl CopyKey {
    pub(super) fn of(request: &Request) -> Self {
        Self {
            object: request.object,
            part: request.part,
        }
    }

    /// Returns the key by which the copy is placed. Each part of an object is placed separately, since a popular
    /// object would saturate the link of a single parent.
    pub(super) fn placement_key(&self) -> u64 {
        self.object.0 ^ mix(self.part)
    }
}

/// Maps each copy to the cache that last served it, in two generations of bounded size.
///
/// A copy that is not served again is evicted when the generation that follows its own is full.
#[derive(Debug)]
pub(super) struct CopyLocations {
    /// Largest number of copies in one generation.
    generation_size: usize,
    newer: BTreeMap<CopyKey, EndpointId>,
    older: BTreeMap<CopyKey, EndpointId>,
}

impl CopyLocations {
    /// Creates an empty index of at most `max_copies` copies.
    pub(super) fn new(max_copies: usize) -> Self {
        Self {
            generation_size: (max_copies / GENERATIONS).max(1),
            newer: BTreeMap::new(),
            older: BTreeMap::new(),
        }
    }

    pub(super) fn record(&mut self, copy: CopyKey, cache: EndpointId) {
        if self.newer.len() >= self.generation_size {
            std::mem::swap(&mut self.newer, &mut self.older);
            self.newer.clear();
        }
        self.newer.insert(copy, cache);
    }

    pub(super) fn last_server(&self, copy: CopyKey) -> Option<EndpointId> {
        self.newer
            .get(&copy)
            .or_else(|| self.older.get(&copy))
            .copied()
    }

    /// Returns the retention rank of a copy: a copy that was served before ranks above one that was not.
    pub(super) fn retention_rank(&self, copy: CopyKey) -> u8 {
        1 + u8::from(self.last_server(copy).is_some())
    }
}
