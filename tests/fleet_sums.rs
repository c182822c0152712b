//! Sums over many routers: each router decides alone, and their sum must stay within the capacity of an endpoint.
mod common;
use common::*;
use pointspindle::*;

/// Retries of late responses keep an overloaded origin overloaded. The sum of the routers' traffic shares must
/// therefore fall to nearly zero while responses are late, recover once they are timely again, and change
/// little if one response in five is late.
#[test]
fn traffic_share_of_a_late_origin_falls_and_recovers() {
    let mut routers: Vec<RouterFixture> = (0..30)
        .map(|seed| RouterFixture::seeded(seed, settings(), fleet()))
        .collect();
    let mut send_requests = |name: &str, count_per_router: usize, is_late: fn(usize) -> bool| {
        let mut sent_to_origin = vec![0; count_per_router];
        for (r, fixture) in routers.iter_mut().enumerate() {
            for (i, sent_to_origin) in sent_to_origin.iter_mut().enumerate() {
                let sent = fixture.request(VIDEO, &format!("{name}-{i}")).remove(0);
                if sent.fetch().only_if_cached {
                    fixture.complete(&sent, AttemptStatus::Miss, CacheStatus::SourceMiss);
                } else {
                    *sent_to_origin += 1;
                    let elapsed = if is_late(r + i) { 2 * S } else { 50 * MS };
                    fixture.complete_after(
                        &sent,
                        AttemptStatus::Ok,
                        CacheStatus::FilledByOrigin,
                        elapsed,
                    );
                }
            }
        }
        sent_to_origin.iter().rev().take(10).sum::<usize>()
    };
    let total = 10 * 30;
    assert!(send_requests("flaky", 60, |i| i % 5 == 0) > total / 2);
    assert!(send_requests("jam", 40, |_| true) < total / 10);
    assert!(send_requests("well", 150, |_| false) > total * 9 / 10);
}

/// Fills are diverted from a parent that answers late to the origin, and return to the parent after its recovery.
#[test]
fn traffic_share_of_a_late_parent_falls_and_recovers() {
    let endpoints = vec![entry("c1", 0), entry("p1", 1), entry("origin", 2)];
    let mut routers: Vec<RouterFixture> = (0..30)
        .map(|seed| RouterFixture::seeded(seed, settings(), endpoints.clone()))
        .collect();
    let mut send_requests = |name: &str, count_per_router: usize, late: bool| {
        let mut direct = 0;
        for fixture in &mut routers {
            for i in 0..count_per_router {
                let sent = fixture.request(VIDEO, &format!("{name}-{i}")).remove(0);
                if sent.source() == EndpointId::named("origin") {
                    direct += (i >= count_per_router - 10) as usize;
                    fixture.complete(&sent, AttemptStatus::Ok, CacheStatus::FilledByOrigin);
                } else if sent.source() == EndpointId::named("p1") {
                    let elapsed = if late { 2 * S } else { 50 * MS };
                    fixture.complete_after(&sent, AttemptStatus::Ok, CacheStatus::Filled, elapsed);
                } else {
                    fixture.complete(&sent, AttemptStatus::Miss, CacheStatus::Unreported);
                }
            }
        }
        direct
    };
    let total = 30 * 10;
    assert_eq!(send_requests("well", 20, false), 0);
    assert!(send_requests("late", 30, true) > total * 8 / 10);
    assert!(send_requests("again", 300, false) < total / 10);
}

/// A parent fails, and no list reports when a new incarnation replaces it. The probes of 300 routers within any two
/// seconds must be within its warm-up budget, although all routers have waited for the same time.
#[test]
fn probes_of_an_unreachable_parent_stay_within_its_warm_up_budget() {
    let shared_settings = RouterSettings {
        routers: 300,
        zones: vec![Zone { routers: 0 }, Zone { routers: 6 }],
        ..settings()
    };
    let seeded = |index: u32| {
        RouterFixture::seeded(
            index.into(),
            RouterSettings {
                router_index: Some(index),
                ..shared_settings.clone()
            },
            fleet(),
        )
    };
    let mut routers: Vec<RouterFixture> = (0..300).map(seeded).collect();
    let unreachable = EndpointId::named("p1");
    let mut probes_by_step = Vec::new();
    for step in 0..240 {
        let mut probes_in_step = 0;
        for fixture in &mut routers {
            fixture.now += S / 2;
            for i in 0..4 {
                let mut sent = fixture.request(VIDEO, &format!("v{step}-{i}"));
                while let Some(attempt) = sent.pop() {
                    let failed = attempt.source() == unreachable;
                    probes_in_step += failed as u32;
                    let (status, cache_status) =
                        (AttemptStatus::Rejected, CacheStatus::SourceUnreachable);
                    let (status, cache_status) = if failed {
                        (status, cache_status)
                    } else {
                        (AttemptStatus::Ok, CacheStatus::Filled)
                    };
                    sent = fixture.complete(&attempt, status, cache_status);
                }
            }
        }
        probes_by_step.push(probes_in_step);
    }
    let rule = shared_settings.parent_slow_start;
    let sustainable_work =
        rule.overload_factor * rule.initial_share * 6.0 * rule.overload_window as f64 / 1e6;
    let transfer_s = 300.0 / shared_settings.stream_kb_per_s;
    // The failure is detected within the first ten seconds.
    let worst = probes_by_step[20..]
        .windows(4)
        .map(|w| w.iter().sum::<u32>())
        .max()
        .expect("fewer than four steps after the first 20");
    assert!(worst > 0, "no router probed the parent");
    assert!(
        worst as f64 * transfer_s <= sustainable_work,
        "{worst} probes of {transfer_s} s each within two seconds, at most {sustainable_work} s of work allowed"
    );
}

/// The origin, which has no slow start, and a parent without a slow-start rule are probed within seconds of an
/// ejection, however many routers share them.
#[test]
fn endpoint_without_slow_start_is_probed_within_seconds() {
    let without_slow_start = SlowStartRule {
        initial_share: 0.0,
        ramp: 0,
        overload_factor: 0.0,
        overload_window: 0,
    };
    let zones = vec![Zone { routers: 0 }, Zone { routers: 300 }];
    let shared_settings = RouterSettings {
        routers: 300,
        zones,
        parent_slow_start: without_slow_start,
        ..settings()
    };
    for (name, kind) in [("p1", 1), ("origin", 2)] {
        let mut fixture = RouterFixture::with(
            shared_settings.clone(),
            vec![entry("c1", 0), entry(name, kind)],
        );
        let mut probed_steps = Vec::new();
        for step in 0..60 {
            fixture.now += S / 2;
            let mut sent = fixture.request(VIDEO, &format!("{step}"));
            while let Some(attempt) = sent.pop() {
                let failed = attempt.source() == EndpointId::named(name);
                probed_steps.extend(failed.then_some(step));
                let (status, cache_status) =
                    (AttemptStatus::Rejected, CacheStatus::SourceUnreachable);
                let (status, cache_status) = if failed {
                    (status, cache_status)
                } else {
                    (AttemptStatus::Miss, CacheStatus::Unreported)
                };
                sent = fixture.complete(&attempt, status, cache_status);
            }
        }
        let longest = probed_steps
            .windows(2)
            .map(|w| w[1] - w[0])
            .max()
            .expect("fewer than two probes");
        assert!(
            longest <= 12,
            "{name}: {longest} steps of 0.5 s between probes, at most 12 allowed"
        );
        assert!(
            probed_steps.last().is_some_and(|last| *last >= 48),
            "{name}: not probed in the last 12 of 60 steps, only in {probed_steps:?}"
        );
    }
}

/// A parent that leaves every second fill without a response is never ejected by its failure score. Its traffic share,
/// summed over all routers, must fall nevertheless, and change little if only one fill in twenty is lost.
#[test]
fn fill_timeouts_lower_the_traffic_share_of_the_source() {
    let endpoints = vec![entry("c1", 0), entry("p1", 1), entry("origin", 2)];
    let direct = |every: usize| {
        let mut count = 0;
        for seed in 0..30 {
            let mut fixture = RouterFixture::seeded(seed, settings(), endpoints.clone());
            for i in 0..60 {
                let sent = fixture.request(VIDEO, &format!("v-{i}")).remove(0);
                if sent.source() == EndpointId::named("origin") {
                    count += (i >= 40) as usize;
                    fixture.complete(&sent, AttemptStatus::Ok, CacheStatus::FilledByOrigin);
                    continue;
                }
                if i % every != 0 {
                    fixture.complete(&sent, AttemptStatus::Ok, CacheStatus::Filled);
                    continue;
                }
                // The cache answers another request in the meantime, so it is not silent.
                fixture.now += 100 * MS;
                let other = fixture.request(VIDEO, &format!("other-{i}")).remove(0);
                fixture.complete(&other, AttemptStatus::Ok, CacheStatus::Hit);
                fixture.complete_after(
                    &sent,
                    AttemptStatus::Timeout,
                    CacheStatus::Unreported,
                    2 * S,
                );
            }
        }
        count
    };
    let total = 30 * 20;
    let (every_second, one_in_twenty) = (direct(2), direct(20));
    assert!(
        every_second > total * 6 / 10 && one_in_twenty < total / 10,
        "of {total} fills, {every_second} from the origin with every second lost, {one_in_twenty} with one in 20"
    );
}
