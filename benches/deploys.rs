//! Measures the time of a request after many deploys, each of which replaces twenty caches.
//!
//! `cargo bench --bench deploys`
use pointspindle::*;
use std::time::Instant;

const S: Micros = 1_000_000;

fn entry(name: &str, kind: usize, state: EndpointState) -> EndpointEntry {
    let (id, zone) = (EndpointId::named(name), usize::from(kind == 0));
    EndpointEntry {
        id,
        state,
        weight: 8.0,
        zone,
        kind,
        cell: 0,
        started_at: 0,
    }
}

fn settings() -> RouterSettings {
    let slow_start = SlowStartRule {
        initial_share: 0.2,
        ramp: 10 * S,
        overload_factor: 2.0,
        overload_window: S,
    };
    let class = RequestClass {
        latency_objective: 300_000,
        objective_stretch: 2.0,
        priority_weight: 1.0,
        idempotency: Idempotency::Idempotent,
        uncacheable: false,
        fresh_for: 0,
        stale_if_error: 0,
    };
    RouterSettings {
        zone: 1,
        zones: vec![Zone { routers: 0 }, Zone { routers: 1 }],
        routers: 1,
        router_index: Some(0),
        classes: vec![class],
        parent_kind: Some(1),
        origin_kind: Some(2),
        weights: Weights::Nominal,
        cache_status_detail: CacheStatusDetail::All,
        siblings: Siblings::Any,
        direct_forwarding: false,
        coalesces_fills: true,
        may_cancel: true,
        retry_after: true,
        max_retry_after: S,
        max_attempts: 6,
        stream_kb_per_s: 6000.0,
        cache_slow_start: slow_start,
        parent_slow_start: slow_start,
        purge_horizon: 6 * S,
        max_known_copies: DEFAULT_MAX_KNOWN_COPIES,
    }
}

/// State of the benchmark: the router, its clock and the number of the last request.
struct Bench {
    router: Router,
    actions: Vec<Action>,
    now: Micros,
    last_request: u64,
}

impl Bench {
    fn update(&mut self, update: ListUpdate, entries: Vec<EndpointEntry>) {
        let event = Event::EndpointList { update, entries };
        self.router.handle(self.now, event, &mut self.actions);
    }

    /// Replaces the twenty caches of the previous deploy by twenty new ones.
    fn deploy(&mut self, deploy: usize) {
        let caches =
            |deploy: usize, state| (0..20).map(move |n| entry(&format!("d{deploy}-{n}"), 0, state));
        let mut entries: Vec<EndpointEntry> = caches(deploy, EndpointState::Ready).collect();
        if let Some(before) = deploy.checked_sub(1) {
            entries.extend(caches(before, EndpointState::Removed));
        }
        self.update(ListUpdate::Delta, entries);
        self.now += 120 * S;
    }

    /// Sends a request and reports its outcome.
    fn request(&mut self, object: ObjectId) {
        self.last_request += 1;
        self.now += 1_000;
        self.actions.clear();
        let id = RequestId(self.last_request);
        let request = Request {
            id,
            class: 0,
            object,
            part: 0,
            group: 0,
            time_left: 3 * S,
            size_kb: Some(60.0),
            idempotency_key: None,
        };
        self.router
            .handle(self.now, Event::Request(request), &mut self.actions);
        let sent_to = self.actions.iter().find_map(|action| match action {
            Action::Send { endpoint, .. } => Some(*endpoint),
            _ => None,
        });
        if let Some(endpoint) = sent_to {
            self.complete(id, endpoint);
        }
    }

    fn complete(&mut self, request: RequestId, endpoint: EndpointId) {
        let outcome = AttemptOutcome {
            request,
            attempt: 0,
            endpoint,
            status: AttemptStatus::Ok,
            cache_status: CacheStatus::Hit,
            elapsed: 10_000,
            size_kb: None,
            request_closed: true,
        };
        self.router
            .handle(self.now, Event::Outcome(outcome), &mut self.actions);
    }
}

fn main() {
    const REQUESTS: u32 = 20_000;
    let mut bench = Bench {
        router: Router::new(settings(), 1),
        actions: Vec::new(),
        now: 1_000 * S,
        last_request: 0,
    };
    let upstream = [("p1", 1), ("p2", 1), ("origin", 2)]
        .map(|(name, kind)| entry(name, kind, EndpointState::Ready));
    bench.update(ListUpdate::Full, upstream.to_vec());
    println!("| deploys | us a request, with its outcome |\n| --- | --- |");
    for deploy in 0..=1_000_usize {
        bench.deploy(deploy);
        if ![1, 10, 100, 400, 1_000].contains(&deploy) {
            continue;
        }
        let began = Instant::now();
        for n in 0..REQUESTS {
            bench.request(ObjectId(u64::from(n % 500)));
        }
        let us = began.elapsed().as_secs_f64() * 1e6 / f64::from(REQUESTS);
        println!("| {deploy} | {us:.2} |");
    }
}
