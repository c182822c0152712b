//! Slow start: endpoints that warm up are not overloaded.
mod common;
use common::*;
use pointspindle::*;

/// Work sent to one endpoint within two seconds, in seconds of transfer time.
fn work_sent_to(s: &mut RouterFixture, count: usize, to: EndpointId, as_source: bool) -> f64 {
    let mut n = 0;
    for i in 0..count {
        for sent in s.request(VIDEO, &format!("push{i}")) {
            n += (if as_source {
                sent.source()
            } else {
                sent.endpoint
            } == to) as usize;
            s.complete(
                &sent,
                AttemptStatus::Ok,
                if as_source {
                    CacheStatus::Filled
                } else {
                    CacheStatus::Hit
                },
            );
        }
        s.now += 2 * S / count as Micros;
    }
    n as f64 * 0.05
}

#[test]
fn cache_in_slow_start_is_not_overloaded() {
    let mut s = RouterFixture::new();
    let mut warming = entry("c1", 0);
    s.now += 10 * S;
    warming.started_at = s.now;
    s.update(vec![warming.clone()]);
    let work = work_sent_to(&mut s, 2000, warming.id, false);
    assert!(work > 0.0, "it gets some");
    assert!(work <= 2.0 * 0.36 * 6.0 * 2.0, "{work}");
}

#[test]
fn parent_in_slow_start_is_not_overloaded_by_fills() {
    let mut s = RouterFixture::new();
    let mut warming = entry("p1", 1);
    s.now += 10 * S;
    warming.started_at = s.now;
    s.update(vec![warming.clone()]);
    let work = work_sent_to(&mut s, 2000, warming.id, true);
    assert!(work > 0.0, "it gets some");
    assert!(work <= 2.0 * 0.19 * 6.0 * 2.0 / 2.0, "{work}");
}

#[test]
fn new_router_uses_no_warm_up_budget_for_a_window() {
    let mut endpoints = fleet();
    for m in endpoints.iter_mut().filter(|m| m.kind == 0) {
        m.started_at = T0 - S;
    }
    let mut s = RouterFixture::with(settings(), endpoints);
    assert!(s.request(VIDEO, "a").is_empty());
    s.now += 1_900 * MS;
    assert!(s.request(VIDEO, "a").is_empty());
    s.now += 200 * MS;
    assert_eq!(s.request(VIDEO, "a").len(), 1);
}

/// Work of `count` routers of one zone for one endpoint in slow start within its window, in seconds of transfer time.
fn work_of_all_routers(count: u32, kind: usize) -> f64 {
    let warming = EndpointId::named(["c1", "p1"][kind]);
    let mut sum = 0.0;
    for me in 0..count {
        let mut set = settings();
        (set.routers, set.router_index, set.zones[1].routers) = (count, Some(me), count);
        let mut s = RouterFixture::with(set, fleet());
        s.now += 10 * S;
        let mut entry = entry(["c1", "p1"][kind], kind);
        (entry.started_at, entry.weight) = (s.now, 60.0);
        s.update(vec![entry]);
        s.now += S;
        for i in 0..200 {
            for sent in s.request(VIDEO, &format!("push{i}")) {
                sum += 0.05
                    * (if kind == 1 {
                        sent.source()
                    } else {
                        sent.endpoint
                    } == warming) as u8 as f64;
                s.complete(&sent, AttemptStatus::Ok, CacheStatus::Filled);
            }
            s.now += 10 * MS;
        }
    }
    sum
}

#[test]
fn warm_up_budget_is_kept_by_the_sum_of_routers() {
    for count in [3, 40, 200] {
        let (cache, parent) = (work_of_all_routers(count, 0), work_of_all_routers(count, 1));
        // The starts of two windows lie within these two seconds; the later one allows more.
        assert!(cache <= 2.0 * 0.44 * 60.0 * 2.0, "{count}: {cache}");
        assert!(parent <= 2.0 * 0.24 * 60.0 * 2.0, "{count}: {parent}");
        assert!(cache > 1.0 && parent > 1.0, "{count}: {cache} {parent}");
    }
}

#[test]
fn contradictory_router_counts_spare_a_parent_in_slow_start() {
    for (routers, me, here) in [(0, Some(500), 2), (0, None, 400), (3, Some(499), 0)] {
        let mut set = settings();
        (set.routers, set.router_index, set.zones[1].routers) = (routers, me, here);
        let mut s = RouterFixture::with(set, fleet());
        let mut warming = entry("p1", 1);
        s.now += 10 * S;
        warming.started_at = s.now;
        s.update(vec![warming.clone()]);
        // One of about 500 routers: the budget of two seconds is 1.7 s of transfer time for all of them.
        assert!(
            work_sent_to(&mut s, 400, warming.id, true) <= 2.0 * 0.05,
            "{routers} {me:?} {here}"
        );
    }
}

fn is_answered(s: &mut RouterFixture, class: usize) -> bool {
    let sent = s.request(class, "a");
    !sent.is_empty() || s.final_responses().len() == 1
}

#[test]
fn router_counts_that_are_missing_or_contradictory_are_harmless() {
    for (routers, me, zones) in [
        (0, None, vec![]),
        (3, Some(9), vec![Zone::default(); 2]),
        (0, Some(0), vec![]),
    ] {
        let mut set = settings();
        (set.routers, set.router_index, set.zones) = (routers, me, zones);
        let mut s = RouterFixture::with(set, fleet());
        assert!(is_answered(&mut s, VIDEO) && is_answered(&mut s, PAGE));
    }
}

/// Two frontends, one of which reports sizes: fast responses to the other's requests are of small objects only, so
/// their mean would charge an endpoint in slow start too little.
#[test]
fn responses_of_unknown_size_do_not_lower_warm_up_costs() {
    let sends_in_slow_start = |unknown_sizes: usize| {
        let mut stage = RouterFixture::new();
        let request_with_size =
            |stage: &mut RouterFixture, n: usize| stage.request(VIDEO, &format!("told{n}"));
        for n in 0..200 {
            let sent = request_with_size(&mut stage, n);
            stage.complete(&sent[0], AttemptStatus::Ok, CacheStatus::Hit);
        }
        for n in 0..unknown_sizes {
            let sent = stage.handle(Event::Request(Request {
                id: RequestId(100_000 + n as u64),
                class: VIDEO,
                object: ObjectId::named(&format!("u{n}")),
                part: 0,
                group: 5,
                time_left: 3 * S,
                size_kb: None,
            }));
            stage.complete_after(&sent[0], AttemptStatus::Ok, CacheStatus::Hit, MS);
        }
        stage.now += 100 * S;
        let now = stage.now;
        stage.update(vec![EndpointEntry {
            started_at: now,
            ..entry("c9", 0)
        }]);
        let mut sends = 0;
        for n in 0..400 {
            let sent = request_with_size(&mut stage, 1_000 + n);
            sends += sent
                .iter()
                .filter(|s| s.endpoint == EndpointId::named("c9"))
                .count();
            for sent in sent {
                stage.complete(&sent, AttemptStatus::Ok, CacheStatus::Hit);
            }
        }
        sends
    };
    let (plain, mixed) = (sends_in_slow_start(0), sends_in_slow_start(500));
    assert!(
        plain > 0 && mixed <= plain + 2,
        "{plain} sends to a cache in slow start, {mixed} after fast responses of unknown size"
    );
}
