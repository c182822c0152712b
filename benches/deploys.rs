//! What a decision costs after many deploys: each brings twenty new caches and takes the twenty before away.
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
    let cold = SlowStartRule {
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
        cache_slow_start: cold,
        parent_slow_start: cold,
        purge_horizon: 6 * S,
    }
}

fn main() {
    let mut router = Router::new(settings(), 1);
    let mut actions = Vec::new();
    let mut now = 1_000 * S;
    let upper = [("p1", 1), ("p2", 1), ("origin", 2)];
    let entries = upper
        .map(|(n, k)| entry(n, k, EndpointState::Ready))
        .to_vec();
    router.handle(
        now,
        Event::EndpointList {
            update: ListUpdate::Full,
            entries,
        },
        &mut actions,
    );
    let mut id = 0;
    println!("| deploys | us a request, with its outcome |\n| --- | --- |");
    for deploy in 0..=1_000_usize {
        let of = |d: usize, state| (0..20).map(move |n| entry(&format!("d{d}-{n}"), 0, state));
        let mut entries: Vec<EndpointEntry> = of(deploy, EndpointState::Ready).collect();
        if let Some(before) = deploy.checked_sub(1) {
            entries.extend(of(before, EndpointState::Gone));
        }
        router.handle(
            now,
            Event::EndpointList {
                update: ListUpdate::Delta,
                entries,
            },
            &mut actions,
        );
        now += 120 * S;
        if ![1, 10, 100, 400, 1_000].contains(&deploy) {
            continue;
        }
        const REQUESTS: u32 = 20_000;
        let began = Instant::now();
        for n in 0..REQUESTS {
            id += 1;
            now += 1_000;
            actions.clear();
            let object = ObjectId(u64::from(n % 500));
            let request = Request {
                id: RequestId(id),
                class: 0,
                object,
                part: 0,
                group: 0,
                time_left: 3 * S,
                size_kb: Some(60.0),
            };
            router.handle(now, Event::Request(request), &mut actions);
            let sent = actions.iter().find_map(|a| {
                if let Action::Send { endpoint, .. } = a {
                    Some(*endpoint)
                } else {
                    None
                }
            });
            let Some(endpoint) = sent else { continue };
            let outcome = AttemptOutcome {
                request: RequestId(id),
                attempt: 0,
                endpoint,
                status: AttemptStatus::Ok,
                cache_status: CacheStatus::Hit,
                elapsed: 10_000,
                size_kb: None,
                request_closed: true,
            };
            router.handle(now, Event::Outcome(outcome), &mut actions);
        }
        println!(
            "| {deploy} | {:.2} |",
            began.elapsed().as_secs_f64() * 1e6 / f64::from(REQUESTS)
        );
    }
}
