//! Slow start: endpoints that are warming up must not be overloaded.
mod common;
use common::*;
use pointspindle::*;

/// Sends requests over two seconds and returns the work that one endpoint gets, in seconds of transfer time.
fn work_sent_to(fixture: &mut RouterFixture, count: usize, to: EndpointId, as_source: bool) -> f64 {
    let mut n = 0;
    for i in 0..count {
        for sent in fixture.request(VIDEO, &format!("push{i}")) {
            n += (if as_source {
                sent.source()
            } else {
                sent.endpoint
            } == to) as usize;
            fixture.complete(
                &sent,
                AttemptStatus::Ok,
                if as_source {
                    CacheStatus::Filled
                } else {
                    CacheStatus::Hit
                },
            );
        }
        fixture.now += 2 * S / count as Micros;
    }
    n as f64 * 0.05
}

#[test]
fn cache_in_slow_start_is_not_overloaded() {
    let mut fixture = RouterFixture::new();
    let mut warming = entry("c1", 0);
    fixture.now += 10 * S;
    warming.started_at = fixture.now;
    fixture.update(vec![warming.clone()]);
    let work = work_sent_to(&mut fixture, 2000, warming.id, false);
    assert!(work > 0.0, "no request sent to the cache in slow start");
    assert!(
        work <= 2.0 * 0.36 * 6.0 * 2.0,
        "{work} s of work sent to the cache in slow start"
    );
}

#[test]
fn parent_in_slow_start_is_not_overloaded_by_fills() {
    let mut fixture = RouterFixture::new();
    let mut warming = entry("p1", 1);
    fixture.now += 10 * S;
    warming.started_at = fixture.now;
    fixture.update(vec![warming.clone()]);
    let work = work_sent_to(&mut fixture, 2000, warming.id, true);
    assert!(work > 0.0, "no fill sent to the parent in slow start");
    assert!(
        work <= 2.0 * 0.19 * 6.0 * 2.0 / 2.0,
        "{work} s of work sent to the parent in slow start"
    );
}

#[test]
fn new_router_uses_no_warm_up_budget_for_a_window() {
    let mut endpoints = fleet();
    for m in endpoints.iter_mut().filter(|m| m.kind == 0) {
        m.started_at = T0 - S;
    }
    let mut fixture = RouterFixture::with(settings(), endpoints);
    assert!(fixture.request(VIDEO, "a").is_empty());
    fixture.now += 1_900 * MS;
    assert!(fixture.request(VIDEO, "a").is_empty());
    fixture.now += 200 * MS;
    assert_eq!(fixture.request(VIDEO, "a").len(), 1);
}

/// Returns the work that `count` routers of one zone together send to one endpoint in slow start within its overload
/// window, in seconds of transfer time.
fn work_of_all_routers(count: u32, kind: usize) -> f64 {
    let warming = EndpointId::named(["c1", "p1"][kind]);
    let mut sum = 0.0;
    for index in 0..count {
        let mut set = settings();
        (set.routers, set.router_index, set.zones[1].routers) = (count, Some(index), count);
        let mut fixture = RouterFixture::with(set, fleet());
        fixture.now += 10 * S;
        let mut entry = entry(["c1", "p1"][kind], kind);
        (entry.started_at, entry.weight) = (fixture.now, 60.0);
        fixture.update(vec![entry]);
        fixture.now += S;
        for i in 0..200 {
            for sent in fixture.request(VIDEO, &format!("push{i}")) {
                sum += 0.05
                    * (if kind == 1 {
                        sent.source()
                    } else {
                        sent.endpoint
                    } == warming) as u8 as f64;
                fixture.complete(&sent, AttemptStatus::Ok, CacheStatus::Filled);
            }
            fixture.now += 10 * MS;
        }
    }
    sum
}

#[test]
fn sum_of_routers_stays_within_the_warm_up_budget() {
    for count in [3, 40, 200] {
        let (cache, parent) = (work_of_all_routers(count, 0), work_of_all_routers(count, 1));
        // Two overload windows start within these two seconds; the bound is the larger budget of the later one.
        assert!(
            cache <= 2.0 * 0.44 * 60.0 * 2.0,
            "{count} routers sent {cache} s of work to the cache"
        );
        assert!(
            parent <= 2.0 * 0.24 * 60.0 * 2.0,
            "{count} routers sent {parent} s of work to the parent"
        );
        assert!(
            cache > 1.0 && parent > 1.0,
            "{count} routers sent only {cache} s of work to the cache, {parent} s to the parent"
        );
    }
}

#[test]
fn contradictory_router_counts_do_not_overload_a_parent_in_slow_start() {
    for (routers, index, routers_in_zone) in [(0, Some(500), 2), (0, None, 400), (3, Some(499), 0)]
    {
        let mut set = settings();
        (set.routers, set.router_index, set.zones[1].routers) = (routers, index, routers_in_zone);
        let mut fixture = RouterFixture::with(set, fleet());
        let mut warming = entry("p1", 1);
        fixture.now += 10 * S;
        warming.started_at = fixture.now;
        fixture.update(vec![warming.clone()]);
        // This is one of about 500 routers, which share a budget of 1.7 s of transfer time per two seconds.
        assert!(
            work_sent_to(&mut fixture, 400, warming.id, true) <= 2.0 * 0.05,
            "{routers} routers, index {index:?}, {routers_in_zone} routers in the zone"
        );
    }
}

fn is_answered(fixture: &mut RouterFixture, class: usize) -> bool {
    let sent = fixture.request(class, "a");
    !sent.is_empty() || fixture.final_responses().len() == 1
}

#[test]
fn requests_are_answered_with_missing_or_contradictory_router_counts() {
    for (routers, index, zones) in [
        (0, None, vec![]),
        (3, Some(9), vec![Zone::default(); 2]),
        (0, Some(0), vec![]),
    ] {
        let mut set = settings();
        (set.routers, set.router_index, set.zones) = (routers, index, zones);
        let mut fixture = RouterFixture::with(set, fleet());
        assert!(is_answered(&mut fixture, VIDEO) && is_answered(&mut fixture, PAGE));
    }
}

/// Some requests come with a size and others without one. Fast responses to the latter are of small objects only, so
/// learning from them would lower the charge to the warm-up budget of an endpoint below the work of a request.
#[test]
fn responses_of_unknown_size_do_not_lower_warm_up_costs() {
    let sends_in_slow_start = |unknown_sizes: usize| {
        let mut fixture = RouterFixture::new();
        let request_with_size =
            |fixture: &mut RouterFixture, n: usize| fixture.request(VIDEO, &format!("told{n}"));
        for n in 0..200 {
            let sent = request_with_size(&mut fixture, n);
            fixture.complete(&sent[0], AttemptStatus::Ok, CacheStatus::Hit);
        }
        for n in 0..unknown_sizes {
            let sent = fixture.handle(Event::Request(Request {
                id: RequestId(100_000 + n as u64),
                class: VIDEO,
                object: ObjectId::named(&format!("u{n}")),
                part: 0,
                group: 5,
                time_left: 3 * S,
                size_kb: None,
                idempotency_key: None,
            }));
            fixture.complete_after(&sent[0], AttemptStatus::Ok, CacheStatus::Hit, MS);
        }
        fixture.now += 100 * S;
        let now = fixture.now;
        fixture.update(vec![EndpointEntry {
            started_at: now,
            ..entry("c9", 0)
        }]);
        let mut sends = 0;
        for n in 0..400 {
            let sent = request_with_size(&mut fixture, 1_000 + n);
            sends += sent
                .iter()
                .filter(|sent| sent.endpoint == EndpointId::named("c9"))
                .count();
            for sent in sent {
                fixture.complete(&sent, AttemptStatus::Ok, CacheStatus::Hit);
            }
        }
        sends
    };
    let (known_sizes, unknown_sizes_too) = (sends_in_slow_start(0), sends_in_slow_start(500));
    assert!(
        known_sizes > 0 && unknown_sizes_too <= known_sizes + 2,
        "{known_sizes} sends to a cache in slow start, {unknown_sizes_too} after fast responses of unknown size"
    );
}
