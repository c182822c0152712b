//! Seeded random events: the invariants of requests must hold, and the same events must give the same actions.
mod common;
use common::{entry, settings, MS, S, T0};
use pointspindle::*;
use std::collections::BTreeMap;

/// Xorshift generator.
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit
    }
}

const STATUSES: [AttemptStatus; 9] = [
    AttemptStatus::Ok,
    AttemptStatus::Error,
    AttemptStatus::Rejected,
    AttemptStatus::Timeout,
    AttemptStatus::ConnectFailed,
    AttemptStatus::Reset,
    AttemptStatus::Cancelled,
    AttemptStatus::NotSent,
    AttemptStatus::Miss,
];
const CACHE_STATUSES: [CacheStatus; 5] = [
    CacheStatus::Unreported,
    CacheStatus::SourceUnreachable,
    CacheStatus::SourceMiss,
    CacheStatus::FillLimitReached,
    CacheStatus::OriginFailed,
];

const ENDPOINTS: [(&str, usize); 6] = [
    ("c1", 0),
    ("c2", 0),
    ("c3", 0),
    ("p1", 1),
    ("p2", 1),
    ("origin", 2),
];

/// State of a request, tracked from the router's actions and the outcomes reported to it.
#[derive(Default)]
struct TrackedRequest {
    deadline: Micros,
    class: usize,
    in_flight: BTreeMap<u32, InFlight>,
    attempts_sent: u32,
    may_have_run: bool,
    finished: bool,
}

#[derive(Clone, Copy)]
struct InFlight {
    endpoint: EndpointId,
    times_out_at: Micros,
}

/// An attempt in flight, with the request that it belongs to.
#[derive(Clone, Copy)]
struct Attempt {
    request: RequestId,
    number: u32,
    in_flight: InFlight,
}

/// A router that handles random events.
struct RandomRun {
    seed: u64,
    random: Random,
    max_attempts: u32,
    router: Router,
    now: Micros,
    requests: BTreeMap<RequestId, TrackedRequest>,
    /// Endpoints that are draining or have left.
    unavailable: Vec<EndpointId>,
    timers: Vec<Micros>,
    actions: Vec<(Micros, Action)>,
}

fn settings_for(seed: u64) -> RouterSettings {
    let variant = (seed % 3) as usize;
    let mut settings_of_seed = settings();
    settings_of_seed.direct_forwarding = seed.is_multiple_of(2);
    settings_of_seed.routers = [2, 0, 90][variant];
    settings_of_seed.router_index = [Some(1), None, Some(200)][variant];
    settings_of_seed.zones[1].routers = [1, 0, 12][variant];
    settings_of_seed.cache_status_detail = [
        CacheStatusDetail::All,
        CacheStatusDetail::HitOnly,
        CacheStatusDetail::None,
    ][variant];
    settings_of_seed
}

/// Runs one seed and returns every action, checking the invariants after each event.
fn run_random_events(seed: u64) -> Vec<(Micros, Action)> {
    let settings = settings_for(seed);
    let mut run = RandomRun {
        seed,
        random: Random(seed * 7919 + 1),
        max_attempts: settings.max_attempts,
        router: Router::new(settings, seed),
        now: T0,
        requests: BTreeMap::new(),
        unavailable: vec![],
        timers: vec![],
        actions: vec![],
    };
    for step in 0..3000 {
        run.step(step);
    }
    run.actions
}

impl RandomRun {
    fn step(&mut self, step: u64) {
        // The clock does not advance until every due event has been handled.
        if !self.has_due_event() {
            self.now += self.random.below(8) * MS;
        }
        let event = self.due_event().unwrap_or_else(|| self.random_event(step));
        let mut actions = vec![];
        self.router.handle(self.now, event, &mut actions);
        for action in actions {
            self.check_action(&action);
            self.actions.push((self.now, action));
        }
        self.check_final_responses();
    }

    fn attempts(&self) -> Vec<Attempt> {
        let of_request = |(id, request): (&RequestId, &TrackedRequest)| {
            let request_id = *id;
            let attempts = request
                .in_flight
                .iter()
                .map(move |(number, in_flight)| Attempt {
                    request: request_id,
                    number: *number,
                    in_flight: *in_flight,
                });
            attempts.collect::<Vec<_>>()
        };
        self.requests.iter().flat_map(of_request).collect()
    }

    fn due_attempt(&self) -> Option<Attempt> {
        let is_due = |attempt: &Attempt| self.now >= attempt.in_flight.times_out_at;
        self.attempts().into_iter().find(is_due)
    }

    fn due_timer(&self) -> Option<usize> {
        self.timers.iter().position(|at| *at <= self.now)
    }

    fn has_due_event(&self) -> bool {
        self.due_attempt().is_some() || self.due_timer().is_some()
    }

    fn due_event(&mut self) -> Option<Event> {
        if let Some(attempt) = self.due_attempt() {
            let status = AttemptStatus::Timeout;
            return Some(self.complete(attempt, status, CacheStatus::Unreported));
        }
        let index = self.due_timer()?;
        self.timers.swap_remove(index);
        Some(Event::Timer(0))
    }

    fn random_event(&mut self, step: u64) -> Event {
        let attempts = self.attempts();
        match self.random.below(10) {
            0 => self.random_list_update(),
            1 => Event::Purge {
                object: None,
                group: self.random.below(3),
                age: self.random.below(3) * 50 * MS,
            },
            2 if !self.requests.is_empty() => self.random_disconnect(),
            3..=6 if !attempts.is_empty() => self.random_outcome(&attempts),
            _ => self.random_request(RequestId(step)),
        }
    }

    fn random_list_update(&mut self) -> Event {
        let (name, kind) = ENDPOINTS[self.random.below(6) as usize];
        let mut entry = entry(name, kind);
        entry.weight = self.random.below(3) as f64 * 3.0;
        entry.started_at = if self.random.below(3) == 0 {
            self.now
        } else {
            0
        };
        entry.state = [
            EndpointState::Ready,
            EndpointState::Draining,
            EndpointState::Removed,
        ][self.random.below(3) as usize];
        self.unavailable.retain(|id| *id != entry.id);
        if entry.state != EndpointState::Ready {
            self.unavailable.push(entry.id);
        }
        Event::EndpointList {
            update: ListUpdate::Delta,
            entries: vec![entry],
        }
    }

    fn random_disconnect(&mut self) -> Event {
        let index = self.random.below(self.requests.len() as u64) as usize;
        let (id, request) = self.requests.iter_mut().nth(index).unwrap();
        request.finished = true;
        Event::ClientDisconnected(*id)
    }

    fn random_outcome(&mut self, attempts: &[Attempt]) -> Event {
        let attempt = attempts[self.random.below(attempts.len() as u64) as usize];
        let status = STATUSES[self.random.below(9) as usize];
        let cache_status = if status == AttemptStatus::Ok {
            CacheStatus::Filled
        } else {
            CACHE_STATUSES[self.random.below(5) as usize]
        };
        self.complete(attempt, status, cache_status)
    }

    fn random_request(&mut self, id: RequestId) -> Event {
        let class = self.random.below(4) as usize;
        let time_left = self.random.below(30) * 100 * MS + 50 * MS;
        let request = TrackedRequest {
            deadline: self.now + time_left,
            class,
            ..Default::default()
        };
        self.requests.insert(id, request);
        let object = ObjectId(self.random.below(20));
        let size_kb = (self.random.below(2) == 0).then_some(300.0);
        Event::Request(Request {
            id,
            class,
            object,
            part: self.random.below(3),
            group: self.random.below(3),
            time_left,
            size_kb,
            idempotency_key: None,
        })
    }

    fn complete(
        &mut self,
        attempt: Attempt,
        status: AttemptStatus,
        cache_status: CacheStatus,
    ) -> Event {
        let request = self.requests.get_mut(&attempt.request).unwrap();
        request.in_flight.remove(&attempt.number);
        request.finished |= status == AttemptStatus::Ok;
        request.may_have_run |= !matches!(
            status,
            AttemptStatus::Rejected
                | AttemptStatus::ConnectFailed
                | AttemptStatus::NotSent
                | AttemptStatus::Miss
        );
        Event::Outcome(AttemptOutcome {
            request: attempt.request,
            attempt: attempt.number,
            endpoint: attempt.in_flight.endpoint,
            status,
            cache_status,
            elapsed: 40 * MS,
            size_kb: None,
            request_closed: request.finished,
        })
    }

    fn check_action(&mut self, action: &Action) {
        match action {
            Action::Send {
                request,
                endpoint,
                timeout,
                fetch,
            } => {
                self.check_source(*endpoint, fetch.as_ref());
                self.check_attempt(*request, *endpoint, *timeout);
            }
            Action::Reject { request, .. } => self.check_final_response(*request, true),
            Action::Fail { request } => self.check_final_response(*request, false),
            Action::SetTimer { after, .. } => self.timers.push(self.now + after),
            Action::Cancel { .. } => {}
        }
    }

    fn check_source(&self, endpoint: EndpointId, fetch: Option<&FetchDirective>) {
        let source = fetch.map(|fetch| fetch.source);
        assert!(!self.unavailable.contains(&endpoint));
        assert!(!source.is_some_and(|source| self.unavailable.contains(&source)));
    }

    fn check_attempt(&mut self, id: RequestId, endpoint: EndpointId, timeout: Micros) {
        let (seed, now) = (self.seed, self.now);
        let request = self
            .requests
            .get_mut(&id)
            .expect("attempt sent for an unknown request");
        assert!(
            !request.finished
                && request.in_flight.is_empty()
                && request.attempts_sent < self.max_attempts,
            "seed {seed}: attempt sent for {id:?}, which is finished, in flight or out of attempts"
        );
        assert!(now + timeout <= request.deadline && timeout > 0);
        assert!(
            !(request.may_have_run && request.class == common::UNSAFE),
            "seed {seed}: {id:?} retried although it is not idempotent and may have run"
        );
        let in_flight = InFlight {
            endpoint,
            times_out_at: now + timeout,
        };
        request.in_flight.insert(request.attempts_sent, in_flight);
        request.attempts_sent += 1;
    }

    fn check_final_response(&mut self, id: RequestId, rejected: bool) {
        let seed = self.seed;
        let request = self.requests.get_mut(&id).unwrap();
        assert!(
            !request.finished,
            "seed {seed}: {id:?} got a second final response"
        );
        let promises_no_effect = [common::KEYED, common::UNSAFE].contains(&request.class);
        assert!(!(rejected && request.may_have_run && promises_no_effect));
        request.finished = true;
    }

    /// Checks that every request past its deadline has an attempt in flight or its final response.
    fn check_final_responses(&mut self) {
        let (seed, now) = (self.seed, self.now);
        for (id, request) in &self.requests {
            let is_overdue = !request.finished
                && request.in_flight.is_empty()
                && now > request.deadline + 8 * MS;
            assert!(
                !is_overdue,
                "seed {seed}: {id:?} got no final response by its deadline"
            );
        }
        self.requests.retain(|_, request| {
            !request.finished || !request.in_flight.is_empty() || now < request.deadline + S
        });
    }
}

#[test]
fn invariants_hold_under_random_events() {
    for seed in 1..=18 {
        assert!(run_random_events(seed).len() > 500);
    }
}

#[test]
fn same_events_and_seed_give_the_same_actions() {
    for seed in 1..=3 {
        assert_eq!(run_random_events(seed), run_random_events(seed));
    }
}
