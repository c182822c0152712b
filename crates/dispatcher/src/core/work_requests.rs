//! Requests that wait for a work lease from an endpoint in slow start.
//!
//! An endpoint in slow start that has more dispatchers than requests to share grants its work on request. A request whose
//! home it is waits for the lease, one round trip, before the router decides; without a lease in time the router decides
//! without it.
use pointspindle::{EndpointId, Micros, Request};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Longest wait. Endpoints in slow start are in the dispatcher's own zone, so a round trip is short.
const MAX_WAIT_US: Micros = 20_000;
const MAX_WAITING_PER_ENDPOINT: usize = 256;

/// A request that waits for a lease.
#[derive(Clone, Debug)]
pub(super) struct WaitingRequest {
    pub request: Request,
    endpoint: EndpointId,
    since: Micros,
    pub deadline: Micros,
}

impl WaitingRequest {
    /// The request with the time that is left for it now.
    pub fn into_request(self, now: Micros) -> Request {
        let waited = now.saturating_sub(self.since);
        let time_left = self.request.time_left.saturating_sub(waited);
        Request {
            time_left,
            ..self.request
        }
    }
}

/// Endpoints that grant work on request, and the requests that wait for their leases.
///
/// Invariant: each waiting request is in its endpoint's queue exactly once; no queue is empty. Bound:
/// [`MAX_WAITING_PER_ENDPOINT`] for each endpoint. A request is removed by a reply, its deadline, its client's disconnect or
/// the process's end, and the router's decision is owed to all but the disconnected; an endpoint when it grants otherwise or
/// is no longer listed.
#[derive(Debug, Default)]
pub(super) struct WorkRequests {
    endpoints_on_request: BTreeSet<EndpointId>,
    waiting: BTreeMap<u64, WaitingRequest>,
    queues: BTreeMap<EndpointId, VecDeque<u64>>,
}

impl WorkRequests {
    /// Whether an endpoint grants work on request, by its latest lease.
    pub fn set_on_request(&mut self, endpoint: EndpointId, on_request: bool) {
        if on_request {
            self.endpoints_on_request.insert(endpoint);
        } else {
            self.endpoints_on_request.remove(&endpoint);
        }
    }

    /// Forgets endpoints that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(EndpointId) -> bool) {
        self.endpoints_on_request
            .retain(|endpoint| is_listed(*endpoint));
    }

    /// Whether any endpoint grants work on request.
    pub fn is_needed(&self) -> bool {
        !self.endpoints_on_request.is_empty()
    }

    /// Queues a request if its endpoint grants on request and the queue has capacity; the deadline of the wait.
    pub fn wait(&mut self, now: Micros, endpoint: EndpointId, request: &Request) -> Option<Micros> {
        let queued = self.queues.get(&endpoint).map_or(0, VecDeque::len);
        let grants_on_request = self.endpoints_on_request.contains(&endpoint);
        if !grants_on_request || queued >= MAX_WAITING_PER_ENDPOINT {
            return None;
        }
        let deadline = now + MAX_WAIT_US;
        let waiting = WaitingRequest {
            request: request.clone(),
            endpoint,
            since: now,
            deadline,
        };
        self.waiting.insert(request.id.0, waiting);
        let queue = self.queues.entry(endpoint).or_default();
        queue.push_back(request.id.0);
        Some(deadline)
    }

    /// Removes the endpoint's longest waiting request, for a reply. A reply that comes after its request's deadline serves
    /// the next request, which requested as much work.
    pub fn take_next(&mut self, endpoint: EndpointId) -> Option<WaitingRequest> {
        let first = self.queues.get(&endpoint)?.front().copied()?;
        self.take(first)
    }

    /// Removes all waiting requests.
    pub fn take_all(&mut self) -> Vec<WaitingRequest> {
        self.queues.clear();
        std::mem::take(&mut self.waiting).into_values().collect()
    }

    /// Removes a waiting request.
    pub fn take(&mut self, request: u64) -> Option<WaitingRequest> {
        let found = self.waiting.remove(&request)?;
        if let Some(queue) = self.queues.get_mut(&found.endpoint) {
            queue.retain(|id| *id != request);
            if queue.is_empty() {
                self.queues.remove(&found.endpoint);
            }
        }
        Some(found)
    }
}

#[cfg(test)]
mod tests;
