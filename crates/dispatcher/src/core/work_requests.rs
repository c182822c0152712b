//! Requests that wait for a work lease from an endpoint in slow start.
//!
//! An endpoint in slow start that has more dispatchers than requests to share among them grants work on request. A request
//! whose home endpoint does so waits one round trip for the lease before the router decides about it. If the lease does not
//! arrive in time, the router decides without it.
use pointspindle::{EndpointId, Micros, Request};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Longest wait for a lease. Endpoints in slow start are in the dispatcher's own zone, so a round trip is short.
const MAX_WAIT_US: Micros = 20_000;
const MAX_WAITING_PER_ENDPOINT: usize = 256;

/// A request that waits for a lease.
#[derive(Clone, Debug)]
pub(super) struct WaitingRequest {
    pub request: Request,
    endpoint: EndpointId,
    waiting_since: Micros,
    pub deadline: Micros,
}

impl WaitingRequest {
    /// Returns the request with the time that remains for it at `now`.
    pub fn into_request(self, now: Micros) -> Request {
        let waited = now.saturating_sub(self.waiting_since);
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
/// [`MAX_WAITING_PER_ENDPOINT`] for each endpoint. A request is removed by a reply, its deadline, the disconnect of its client
/// or the shutdown of the process; unless the client has disconnected, the caller must then pass it to the router. An
/// endpoint is removed when it no longer grants work on request or is no longer listed.
#[derive(Debug, Default)]
pub(super) struct WorkRequests {
    endpoints_on_request: BTreeSet<EndpointId>,
    waiting: BTreeMap<u64, WaitingRequest>,
    queues: BTreeMap<EndpointId, VecDeque<u64>>,
}

impl WorkRequests {
    /// Records whether an endpoint grants work on request, according to its latest lease.
    pub fn set_on_request(&mut self, endpoint: EndpointId, on_request: bool) {
        if on_request {
            self.endpoints_on_request.insert(endpoint);
        } else {
            self.endpoints_on_request.remove(&endpoint);
        }
    }

    /// Removes endpoints that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(EndpointId) -> bool) {
        self.endpoints_on_request
            .retain(|endpoint| is_listed(*endpoint));
    }

    /// Whether any endpoint grants work on request.
    pub fn has_endpoint_on_request(&self) -> bool {
        !self.endpoints_on_request.is_empty()
    }

    /// Queues a request if its endpoint grants work on request and the queue has capacity. Returns the deadline of the wait, or
    /// `None` if the request was not queued.
    pub fn enqueue(
        &mut self,
        now: Micros,
        endpoint: EndpointId,
        request: &Request,
    ) -> Option<Micros> {
        let queued = self.queues.get(&endpoint).map_or(0, VecDeque::len);
        let grants_on_request = self.endpoints_on_request.contains(&endpoint);
        if !grants_on_request || queued >= MAX_WAITING_PER_ENDPOINT {
            return None;
        }
        let deadline = now + MAX_WAIT_US;
        let waiting = WaitingRequest {
            request: request.clone(),
            endpoint,
            waiting_since: now,
            deadline,
        };
        self.waiting.insert(request.id.0, waiting);
        let queue = self.queues.entry(endpoint).or_default();
        queue.push_back(request.id.0);
        Some(deadline)
    }

    /// Removes and returns the endpoint's longest waiting request when a reply arrives. A reply that arrives after its own
    /// request's deadline is used for the next waiting request, which has requested work as well.
    pub fn take_next(&mut self, endpoint: EndpointId) -> Option<WaitingRequest> {
        let first = self.queues.get(&endpoint)?.front().copied()?;
        self.take(first)
    }

    /// Removes and returns all waiting requests.
    pub fn take_all(&mut self) -> Vec<WaitingRequest> {
        self.queues.clear();
        std::mem::take(&mut self.waiting).into_values().collect()
    }

    /// Removes and returns a waiting request.
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
