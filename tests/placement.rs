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

/// Loads the home of `name` until a request for it goes to another cache.
fn exceed_load_bound(s: &mut RouterFixture, name: &str) -> (EndpointId, SentAttempt) {
    let first = s.request(VIDEO, name).remove(0);
    s.complete(&first, AttemptStatus::Ok, CacheStatus::Filled);
    loop {
        let sent = s.request(VIDEO, name).remove(0);
        if sent.endpoint != first.endpoint {
            return (first.endpoint, sent);
        }
    }
}

#[test]
fn request_beyond_the_load_bound_is_filled_from_a_sibling() {
    let mut s = RouterFixture::new();
    let (home, spilled) = exceed_load_bound(&mut s, "a");
    assert_eq!(spilled.source(), home);
    let next = s
        .complete(&spilled, AttemptStatus::Miss, CacheStatus::SourceMiss)
        .remove(0);
    assert_ne!(
        next.source(),
        home,
        "it lacked the copy: on to the tier above"
    );
}

#[test]
fn request_beyond_the_load_bound_ignores_siblings_after_a_purge() {
    let mut s = RouterFixture::new();
    let (home, _) = exceed_load_bound(&mut s, "a");
    s.handle(Event::Purge {
        object: Some(ObjectId::named("a")),
        group: 5,
        age: 0,
    });
    assert_ne!(s.request(VIDEO, "a")[0].source(), home);
}

#[test]
fn quota_of_one_router_allows_for_random_variation() {
    let mut many = settings();
    many.zones[1].routers = 12;
    let mut s = RouterFixture::with(many, fleet());
    let home = s.request(VIDEO, "a").remove(0).endpoint;
    assert_eq!(
        s.request(VIDEO, "a")[0].endpoint,
        home,
        "a second request at once is chance"
    );
    let more = (0..40).flat_map(|i| s.request(VIDEO, &format!("o{i}")));
    let fills = more.filter(|sent| sent.source() != sent.endpoint).count();
    assert!(
        (1..=2).contains(&fills),
        "{fills}: the limit of the zone applies all the same"
    );
}

#[test]
fn slow_cache_loses_placement_weight() {
    let slow = EndpointId::named("c1");
    let mut s = RouterFixture::new();
    let mut share = |of: usize| {
        let mut at_slow = 0;
        for i in 0..of {
            let one = s.request(VIDEO, &format!("o{i}")).remove(0);
            let elapsed = if one.endpoint == slow {
                900 * MS
            } else {
                60 * MS
            };
            s.complete_after(&one, AttemptStatus::Ok, CacheStatus::Hit, elapsed);
            at_slow += (one.endpoint == slow) as usize;
        }
        at_slow
    };
    let (before, _, after) = (share(120), share(300), share(120));
    assert!(
        before > 20 && after > 0 && 3 * after < 2 * before,
        "{before} {after}"
    );
}
