//! Which cache last served each copy.
use super::random::mix;
use crate::event::Request;
use crate::ids::{EndpointId, ObjectId};
use std::collections::BTreeMap;

/// Copies in one generation; two generations are kept.
const GENERATION_SIZE: usize = 50_000;

/// A copy: one part of an object.
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

    /// Key of the copy's placement. The parts of an object are placed apart: a popular object would fill the link
    /// of one parent.
    pub(super) fn placement_key(&self) -> u64 {
        self.object.0 ^ mix(self.part)
    }
}

/// The cache that last served each copy, in two generations of bounded size.
///
/// A copy that is not served again is forgotten when both generations have been filled since.
#[derive(Debug, Default)]
pub(super) struct CopyLocations {
    newer: BTreeMap<CopyKey, EndpointId>,
    older: BTreeMap<CopyKey, EndpointId>,
}

impl CopyLocations {
    pub(super) fn record(&mut self, copy: CopyKey, cache: EndpointId) {
        if self.newer.len() >= GENERATION_SIZE {
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

    /// Retention rank of a copy: a repeated request outranks a first one.
    pub(super) fn retention_rank(&self, copy: CopyKey) -> u8 {
        1 + u8::from(self.last_server(copy).is_some())
    }
}
