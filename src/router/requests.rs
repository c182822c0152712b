//! Open requests and their attempts.
use super::fill_source::FillSource;
use super::outcome::Fault;
use crate::action::Action;
use crate::event::Request;
use crate::ids::{EndpointId, Micros, RequestId};
use std::collections::{BTreeMap, BTreeSet};

/// An attempt in flight.
#[derive(Debug, Clone)]
pub(super) struct Attempt {
    pub(super) number: u32,
    pub(super) endpoint: EndpointId,
    pub(super) source: FillSource,
    pub(super) sent_at: Micros,
    /// If the attempt was cancelled: where the fault lies.
    pub(super) cancelled: Option<Fault>,
}

impl Attempt {
    /// Returns the source of the fill, if it is a different endpoint.
    pub(super) fn upstream(&self) -> Option<EndpointId> {
        self.source.upstream_of(self.endpoint)
    }

    /// Returns the attempt as one that may have run.
    pub(super) fn as_run(&self) -> FirstRun {
        FirstRun {
            sent_at: self.sent_at,
            endpoint: self.endpoint,
        }
    }

    /// Whether the attempt is answered from cached copies only, within the stale-if-error time.
    pub(super) fn is_cached_only(&self) -> bool {
        self.source == FillSource::CachedOnly
    }
}

/// The first attempt of a request that may have been executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct FirstRun {
    pub(super) sent_at: Micros,
    pub(super) endpoint: EndpointId,
}

/// A request without a final response, or with attempts in flight.
///
/// Removed when it has its final response and its last attempt has ended.
#[derive(Debug, Clone, Default)]
pub(super) struct OpenRequest {
    pub(super) request: Request,
    pub(super) deadline: Micros,
    pub(super) attempts_sent: u32,
    pub(super) in_flight: Vec<Attempt>,
    /// Caches and sources that failed this request.
    pub(super) excluded: Vec<EndpointId>,
    pub(super) cached_only_tried: bool,
    /// Number of rejections for lack of capacity.
    pub(super) rejections: u32,
    /// Whether a fill for the request must not reach the origin: an attempt was limited to the cached copies of a source,
    /// or the origin has failed.
    pub(super) avoid_origin: bool,
    /// Earliest time of the next attempt after a rejection.
    pub(super) backoff_until: Micros,
    pub(super) first_run: Option<FirstRun>,
    /// Whether the request has its final response; the attempts in flight then only count as load.
    pub(super) closed: bool,
}

impl OpenRequest {
    /// Creates a request that arrives now. `earlier_run` is an attempt of an earlier request that may have run its key.
    pub(super) fn new(now: Micros, request: Request, earlier_run: Option<FirstRun>) -> Self {
        Self {
            deadline: now + request.time_left,
            request,
            first_run: earlier_run,
            ..Self::default()
        }
    }

    /// Removes and returns an attempt in flight.
    pub(super) fn take_attempt(&mut self, number: u32) -> Option<Attempt> {
        let index = self
            .in_flight
            .iter()
            .position(|attempt| attempt.number == number)?;
        Some(self.in_flight.swap_remove(index))
    }
}

/// All open requests, in the order of their ids.
///
/// Invariant: a waiting request is open and has no attempt in flight. It waits until its next attempt, its final
/// response, or the next timer, which checks it again.
#[derive(Debug, Default)]
pub(super) struct OpenRequests {
    by_id: BTreeMap<RequestId, OpenRequest>,
    waiting: BTreeSet<RequestId>,
}

impl OpenRequests {
    pub(super) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    pub(super) fn insert(&mut self, id: RequestId, request: OpenRequest) {
        self.by_id.insert(id, request);
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.by_id.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.by_id.get_mut(&id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &OpenRequest> {
        self.by_id.values()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (RequestId, &mut OpenRequest)> {
        self.by_id.iter_mut().map(|(id, request)| (*id, request))
    }

    /// Marks a request to be checked again at the next timer.
    pub(super) fn start_waiting(&mut self, id: RequestId) {
        self.waiting.insert(id);
    }

    pub(super) fn stop_waiting(&mut self, id: RequestId) {
        self.waiting.remove(&id);
    }

    pub(super) fn take_waiting(&mut self) -> BTreeSet<RequestId> {
        std::mem::take(&mut self.waiting)
    }

    /// Returns the endpoints at which an open request may have run.
    pub(super) fn first_run_endpoints(&self) -> BTreeSet<EndpointId> {
        self.by_id
            .values()
            .filter_map(|request| request.first_run)
            .map(|first_run| first_run.endpoint)
            .collect()
    }

    /// Closes a request: no further attempts are sent, and attempts in flight are cancelled if `may_cancel` is set.
    pub(super) fn close(&mut self, id: RequestId, may_cancel: bool, actions: &mut Vec<Action>) {
        self.waiting.remove(&id);
        let Some(request) = self.by_id.get_mut(&id) else {
            return;
        };
        request.closed = true;
        for attempt in &mut request.in_flight {
            if may_cancel && attempt.cancelled.is_none() {
                attempt.cancelled = Some(Fault::None);
                actions.push(Action::Cancel {
                    request: id,
                    attempt: attempt.number,
                });
            }
        }
        if request.in_flight.is_empty() {
            self.by_id.remove(&id);
        }
    }
}
