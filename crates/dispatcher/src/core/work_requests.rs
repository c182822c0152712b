//! Requests that wait for a member's word on whether it takes them.
//!
//! A member that warms up and has more dispatchers than requests to share gives its work to who asks for it. The request
//! whose home it is waits for that word, the time of a way there and back, before the router decides; without one in
//! time it is decided without it.
//!
//! Kept: one entry for each waiting request, [`MOST`] for a member, and the names of members that give by asking, dropped
//! when they give otherwise or are no longer listed.
use pointspindle::{EndpointId, Micros, Request};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Longest wait: members that are asked are of the dispatcher's own location.
const LONGEST: Micros = 20_000;
/// Requests that wait for one member's word at once.
const MOST: usize = 256;

#[derive(Clone, Debug)]
pub struct Waiting {
    pub request: Request,
    endpoint: EndpointId,
    since: Micros,
    pub due: Micros,
}

impl Waiting {
    /// The request as it is now: its client waits for less.
    pub fn go_on(self, now: Micros) -> Request {
        let left = self
            .request
            .time_left
            .saturating_sub(now.saturating_sub(self.since));
        Request {
            time_left: left,
            ..self.request
        }
    }
}

#[derive(Debug, Default)]
pub struct Asks {
    giving: BTreeSet<EndpointId>,
    waiting: BTreeMap<u64, Waiting>,
    queues: BTreeMap<EndpointId, VecDeque<u64>>,
}

impl Asks {
    /// How a member gives, by its last word.
    pub fn told(&mut self, endpoint: EndpointId, by_asking: bool) {
        if by_asking {
            self.giving.insert(endpoint);
        } else {
            self.giving.remove(&endpoint);
        }
    }

    /// Nobody else is asked.
    pub fn keep(&mut self, listed: impl Fn(EndpointId) -> bool) {
        self.giving.retain(|m| listed(*m));
    }

    pub fn any(&self) -> bool {
        !self.giving.is_empty()
    }

    /// Has it wait, if its member gives by asking; until when.
    pub fn wait(&mut self, now: Micros, endpoint: EndpointId, request: &Request) -> Option<Micros> {
        let queue = self.queues.get(&endpoint).map_or(0, VecDeque::len);
        if !self.giving.contains(&endpoint) || queue >= MOST {
            return None;
        }
        let due = now + LONGEST;
        let (id, request) = (request.id.0, request.clone());
        self.waiting.insert(
            id,
            Waiting {
                request,
                endpoint,
                since: now,
                due,
            },
        );
        self.queues.entry(endpoint).or_default().push_back(id);
        Some(due)
    }

    /// The member has answered: the one that asked first goes on. An answer that comes too late serves the next, which
    /// asked for as much.
    pub fn answered(&mut self, endpoint: EndpointId) -> Option<Waiting> {
        let first = self.queues.get(&endpoint)?.front().copied()?;
        self.take(first)
    }

    /// None waits any longer.
    pub fn take_all(&mut self) -> Vec<Waiting> {
        self.queues.clear();
        std::mem::take(&mut self.waiting).into_values().collect()
    }

    /// It waits no longer, whatever for.
    pub fn take(&mut self, request: u64) -> Option<Waiting> {
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
mod tests {
    use super::*;
    use pointspindle::{ObjectId, RequestId};

    fn request(id: u64) -> Request {
        let object = ObjectId::named("/o");
        Request {
            id: RequestId(id),
            class: 0,
            object,
            part: 0,
            group: 0,
            time_left: 1_000_000,
            size_kb: None,
        }
    }

    #[test]
    fn answers_serve_those_that_wait_in_order_and_leave_nothing() {
        let (mut a, m) = (Asks::default(), EndpointId(1));
        assert_eq!(
            a.wait(0, m, &request(1)),
            None,
            "it does not give by asking"
        );
        a.told(m, true);
        for id in 1..=3 {
            assert_eq!(a.wait(id, m, &request(id)), Some(id + LONGEST));
        }
        a.take(1);
        let second = a.answered(m).unwrap();
        assert_eq!(
            (second.request.id.0, second.go_on(5_002).time_left),
            (2, 995_000)
        );
        assert_eq!(a.answered(m).map(|w| w.request.id.0), Some(3));
        assert!(a.answered(m).is_none() && a.waiting.is_empty() && a.queues.is_empty());
        a.keep(|_| false);
        assert!(!a.any());
    }

    #[test]
    fn no_more_wait_for_one_member_than_may() {
        let (mut a, m) = (Asks::default(), EndpointId(1));
        a.told(m, true);
        let waiting = (0..1_000)
            .filter(|id| a.wait(0, m, &request(*id)).is_some())
            .count();
        assert_eq!(waiting, MOST);
    }
}
