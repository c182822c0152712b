//! Sequences of parts: the parts of an object are requested one after another, as a video player does.
use crate::ObjectCatalogue;
use pointspindle::Micros;
use std::collections::{HashMap, VecDeque};

/// A part of an object. The object is identified by its file name and its group within the class.
#[derive(Clone)]
pub(super) struct RequestedPart {
    pub(super) file: String,
    pub(super) group: u64,
    pub(super) part: u64,
}

struct PendingPart {
    due: Micros,
    requested: RequestedPart,
}

/// Sequences in progress, by class and branch.
#[derive(Default)]
pub(super) struct PartSequences {
    pending: HashMap<(usize, usize), VecDeque<PendingPart>>,
}

impl PartSequences {
    /// Returns the part that has been due longest. If no part is due, begins a sequence with the first part of the
    /// drawn object.
    pub(super) fn next(
        &mut self,
        now: Micros,
        class_and_branch: (usize, usize),
        catalogue: &ObjectCatalogue,
        drawn: RequestedPart,
    ) -> RequestedPart {
        let pending = self.pending.entry(class_and_branch).or_default();
        let is_due = pending.front().is_some_and(|first| first.due <= now);
        let due = if is_due { pending.pop_front() } else { None };
        let requested = due.map_or(RequestedPart { part: 0, ..drawn }, |due| due.requested);
        if requested.part + 1 < catalogue.parts {
            pending.push_back(PendingPart {
                due: now + catalogue.part_interval,
                requested: RequestedPart {
                    part: requested.part + 1,
                    ..requested.clone()
                },
            });
        }
        requested
    }
}
