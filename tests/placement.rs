//! Placement: rendezvous hashing with bounded load.
mod common;
use common::*;
use pointspindle::*;

#[test]
fn object_has_the_same_parent_in_every_zone() {
    let mut other = settings();
    other.zone = 0;
    other.zones[0].routers = 1;
    let endpoints = fleet().into_iter().map(|mut m| {
        m.zone = 0;
        m
    });
    let (mut a, mut b) = (
        RouterFixture::new(),
        RouterFixture::with(other, endpoints.collect()),
    );
    for i in 0..40 {
        let name = format!("o{i}");
        let (x, y) = (
            a.request(VIDEO, &name).remove(0),
            b.request(VIDEO, &name).remove(0),
        );
        assert_eq!(x.source(), y.source());
        a.complete(&x, AttemptStatus::Ok, CacheStatus::Hit);
        b.complete(&y, AttemptStatus::Ok, CacheStatus::Hit);
    }
}

/// Sends requests for `name` until one goes to a different cache than the home of the object. Returns the home and
/// the attempt at the other cache.
fn exceed_load_bound(fixture: &mut RouterFixture, name: &str) -> (EndpointId, SentAttempt) {
    let first = fixture.request(VIDEO, name).remove(0);
    fixture.complete(&first, AttemptStatus::Ok, CacheStatus::Filled);
    loop {
        let sent = fixture.request(VIDEO, name).remove(0);
        if sent.endpoint != first.endpoint {
            return (first.endpoint, sent);
        }
    }
}

#[test]
fn request_beyond_the_load_bound_is_filled_from_a_sibling() {
    let mut fixture = RouterFixture::new();
    let (home, overflow) = exceed_load_bound(&mut fixture, "a");
    assert_eq!(overflow.source(), home);
    let next = fixture
        .complete(&overflow, AttemptStatus::Miss, CacheStatus::SourceMiss)
        .remove(0);
    assert_ne!(
        next.source(),
        home,
        "the sibling has no copy and must not be the source again"
    );
}

#[test]
fn request_beyond_the_load_bound_ignores_siblings_after_a_purge() {
    let mut fixture = RouterFixture::new();
    let (home, _) = exceed_load_bound(&mut fixture, "a");
    fixture.handle(Event::Purge {
        object: Some(ObjectId::named("a")),
        group: 5,
        age: 0,
    });
    assert_ne!(fixture.request(VIDEO, "a")[0].source(), home);
}

#[test]
fn quota_of_one_router_allows_for_random_variation() {
    let mut settings_of_many_routers = settings();
    settings_of_many_routers.zones[1].routers = 12;
    let mut fixture = RouterFixture::with(settings_of_many_routers, fleet());
    let home = fixture.request(VIDEO, "a").remove(0).endpoint;
    assert_eq!(
        fixture.request(VIDEO, "a")[0].endpoint,
        home,
        "a second simultaneous request is within random variation and must stay at the home cache"
    );
    let more = (0..40).flat_map(|i| fixture.request(VIDEO, &format!("o{i}")));
    let fills = more.filter(|sent| sent.source() != sent.endpoint).count();
    assert!(
        (1..=2).contains(&fills),
        "{fills} of 40 requests sent to be filled; the limit of the zone allows 1 or 2"
    );
}

#[test]
fn slow_cache_loses_placement_weight() {
    let slow = EndpointId::named("c1");
    let mut fixture = RouterFixture::new();
    let mut count_at_slow = |request_count: usize| {
        let mut at_slow = 0;
        for i in 0..request_count {
            let one = fixture.request(VIDEO, &format!("o{i}")).remove(0);
            let elapsed = if one.endpoint == slow {
                900 * MS
            } else {
                60 * MS
            };
            fixture.complete_after(&one, AttemptStatus::Ok, CacheStatus::Hit, elapsed);
            at_slow += (one.endpoint == slow) as usize;
        }
        at_slow
    };
    let (before, _, after) = (count_at_slow(120), count_at_slow(300), count_at_slow(120));
    assert!(
        before > 20 && after > 0 && 3 * after < 2 * before,
        "{before} of the first 120 requests sent to the slow cache, {after} of the last 120"
    );
}
