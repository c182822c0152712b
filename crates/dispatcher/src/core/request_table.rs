//! Open requests and their attempts in flight.
use super::attempt::Attempt;
use super::ClientRequest;
use pointspindle::{EndpointId, FetchDirective, Micros, ObjectId};
use std::collections::BTreeMap;

/// A request between its arrival and the later of its final response and the end of its last attempt.
///
/// At most one attempt is in flight. No further attempt may follow after the response has been committed.
#[derive(Debug)]
pub(super) struct OpenRequest {
    /// Index of the request's class in the settings.
    pub class: usize,
    pub object: ObjectId,
    pub group: u64,
    /// Number of attempts so far; the router numbers them in the same order.
    attempt_count: u32,
    pub attempt: Option<Attempt>,
    /// Whether the response is being forwarded, so that no further attempt may follow.
    pub is_committed: bool,
    /// Whether the request has had its final response, or its client has disconnected.
    pub is_done: bool,
}

impl OpenRequest {
    /// Records a new attempt in flight.
    pub fn start_attempt(
        &mut self,
        now: Micros,
        endpoint: EndpointId,
        timeout: Micros,
        fetch: Option<&FetchDirective>,
    ) -> &Attempt {
        let number = self.attempt_count;
        self.attempt_count += 1;
        let attempt = Attempt::new(number, endpoint, fetch, now, timeout);
        self.attempt.insert(attempt)
    }

    /// Returns the attempt in flight, if it has this number.
    pub fn attempt(&self, number: u32) -> Option<&Attempt> {
        self.attempt
            .as_ref()
            .filter(|attempt| attempt.number == number)
    }

    /// Returns the attempt in flight, if it has this number.
    pub fn attempt_mut(&mut self, number: u32) -> Option<&mut Attempt> {
        self.attempt
            .as_mut()
            .filter(|attempt| attempt.number == number)
    }
}

/// Open requests, by the number that the shell chose.
///
/// Bound: one entry for each request that the shell admitted. An entry is removed as soon as its request is done and has no
/// attempt in flight, whose outcome must still be reported to the router.
#[derive(Debug, Default)]
pub(super) struct RequestTable {
    requests: BTreeMap<u64, OpenRequest>,
}

impl RequestTable {
    /// Adds a request without attempts.
    pub fn insert(&mut self, number: u64, request: &ClientRequest) {
        let open = OpenRequest {
            class: request.class,
            object: ObjectId::named(&request.object),
            group: request.group,
            attempt_count: 0,
            attempt: None,
            is_committed: false,
            is_done: false,
        };
        self.requests.insert(number, open);
    }

    /// Returns the request, done or not.
    pub fn get_mut(&mut self, number: u64) -> Option<&mut OpenRequest> {
        self.requests.get_mut(&number)
    }

    /// Returns the request if it still waits for its final response.
    pub fn unfinished(&self, number: u64) -> Option<&OpenRequest> {
        self.requests
            .get(&number)
            .filter(|request| !request.is_done)
    }

    /// Returns the request if it still waits for its final response.
    pub fn unfinished_mut(&mut self, number: u64) -> Option<&mut OpenRequest> {
        self.requests
            .get_mut(&number)
            .filter(|request| !request.is_done)
    }

    /// Number of requests that still wait for their final response.
    pub fn unfinished_count(&self) -> usize {
        self.requests
            .values()
            .filter(|request| !request.is_done)
            .count()
    }

    /// Returns the numbers of the unfinished requests whose response is not being forwarded yet.
    pub fn unanswered(&self) -> Vec<u64> {
        self.requests
            .iter()
            .filter(|(_, request)| !request.is_done && !request.is_committed)
            .map(|(number, _)| *number)
            .collect()
    }

    /// Whether this attempt is in flight.
    pub fn is_in_flight(&self, number: u64, attempt: u32) -> bool {
        self.requests
            .get(&number)
            .is_some_and(|request| request.attempt(attempt).is_some())
    }

    /// Limits the copy age of the attempts of matching requests that have not begun.
    pub fn limit_copy_age(&mut self, limit: Micros, matches: impl Fn(&OpenRequest) -> bool) {
        self.requests
            .values_mut()
            .filter(|request| matches(request))
            .filter_map(|request| request.attempt.as_mut())
            .filter(|attempt| !attempt.has_begun)
            .for_each(|attempt| attempt.limit_copy_age(limit));
    }

    /// Marks a request as done. Returns false if it was done before or is unknown.
    pub fn finish(&mut self, number: u64) -> bool {
        let Some(request) = self.requests.get_mut(&number) else {
            return false;
        };
        let was_done = std::mem::replace(&mut request.is_done, true);
        self.remove_if_finished(number);
        !was_done
    }

    /// Ends a response that is being forwarded and cannot be continued: the client has received its head, so the response of
    /// another endpoint cannot replace the rest. Returns false if no response is being forwarded.
    pub fn abort_response(&mut self, number: u64) -> bool {
        let forwarded = self
            .unfinished_mut(number)
            .filter(|request| request.is_committed);
        let Some(request) = forwarded else {
            return false;
        };
        request.is_done = true;
        true
    }

    /// Removes a request that is done and has no attempt in flight.
    pub fn remove_if_finished(&mut self, number: u64) {
        let is_finished = self
            .requests
            .get(&number)
            .is_some_and(|request| request.is_done && request.attempt.is_none());
        if is_finished {
            self.requests.remove(&number);
        }
    }
}
