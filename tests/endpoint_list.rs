//! Endpoint list: draining, removal and replacement of endpoints.
mod common;
use common::*;
use pointspindle::*;

#[test]
fn draining_cache_gets_no_new_requests() {
    let mut fixture = RouterFixture::new();
    let home = fixture.request(VIDEO, "a").remove(0).endpoint;
    let mut departing = fleet().into_iter().find(|e| e.id == home).unwrap();
    departing.state = EndpointState::Draining;
    fixture.update(vec![departing]);
    for i in 0..50 {
        assert!(fixture
            .request(VIDEO, &format!("o{i}"))
            .iter()
            .all(|sent| sent.endpoint != home));
    }
}

#[test]
fn parent_that_left_is_no_fill_source() {
    let mut fixture = RouterFixture::new();
    let parent = fixture.request(VIDEO, "a").remove(0).source();
    let mut departing = fleet().into_iter().find(|e| e.id == parent).unwrap();
    departing.state = EndpointState::Removed;
    fixture.update(vec![departing]);
    for i in 0..50 {
        assert!(fixture
            .request(VIDEO, &format!("o{i}"))
            .iter()
            .all(|sent| sent.source() != parent));
    }
}

#[test]
fn endpoint_absent_from_a_full_list_has_left() {
    let mut fixture = RouterFixture::new();
    let home = fixture.request(VIDEO, "a").remove(0).endpoint;
    let rest = fleet().into_iter().filter(|e| e.id != home).collect();
    fixture.handle(Event::EndpointList {
        update: ListUpdate::Full,
        entries: rest,
    });
    assert_ne!(fixture.request(VIDEO, "a")[0].endpoint, home);
}

#[test]
fn caches_of_other_zones_are_never_selected() {
    let mut endpoints = fleet();
    for i in 0..4000 {
        let mut other_zone = entry(&format!("far{i}"), i % 2);
        other_zone.zone = 2 + i % 90;
        endpoints.push(other_zone);
    }
    let mut fixture = RouterFixture::with(settings(), endpoints);
    let sent = fixture.request(VIDEO, "a").remove(0);
    assert!(
        ["c1", "c2", "c3"]
            .map(EndpointId::named)
            .contains(&sent.endpoint),
        "attempt not sent to a cache of the router's zone"
    );
}

#[test]
fn replaced_caches_are_used_at_once() {
    let mut fixture = RouterFixture::new();
    fixture.now += 3 * S;
    let in_flight = fixture.request(VIDEO, "a").remove(0);
    let mut updated_entries: Vec<EndpointEntry> =
        fleet().into_iter().filter(|e| e.kind == 0).collect();
    updated_entries
        .iter_mut()
        .for_each(|e| e.state = EndpointState::Draining);
    for name in ["n1", "n2", "n3"] {
        let mut new = entry(name, 0);
        (new.started_at, new.weight) = (fixture.now, 60.0);
        updated_entries.push(new);
    }
    fixture.update(updated_entries);
    let next = fixture
        .complete(&in_flight, AttemptStatus::Reset, CacheStatus::Unreported)
        .remove(0);
    assert!(
        ["n1", "n2", "n3"]
            .map(EndpointId::named)
            .contains(&next.endpoint),
        "retry not sent to a replacement cache"
    );
}

#[test]
fn reset_request_of_a_draining_cache_is_retried_elsewhere() {
    let mut fixture = RouterFixture::new();
    let sent = fixture.request(PAGE, "a").remove(0);
    let mut leaving = fleet().into_iter().find(|e| e.id == sent.endpoint).unwrap();
    leaving.state = EndpointState::Draining;
    fixture.update(vec![leaving]);
    let next = fixture
        .complete(&sent, AttemptStatus::Reset, CacheStatus::Unreported)
        .remove(0);
    assert_ne!(next.endpoint, sent.endpoint);
}
