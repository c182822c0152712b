//! Retention: a router that runs for months must discard obsolete state, and retain all state that is still in use.
mod common;
use common::*;
use pointspindle::*;

/// Replaces the twenty caches of the previous deploy by twenty new ones.
fn deploy(fixture: &mut RouterFixture, number: usize) {
    let of = |n: usize| (0..20).map(move |i| entry(&format!("d{n}-{i}"), 0));
    let mut entries: Vec<EndpointEntry> = of(number).collect();
    if number > 0 {
        entries.extend(of(number - 1).map(|e| EndpointEntry {
            state: EndpointState::Removed,
            ..e
        }));
    }
    fixture.update(entries);
    fixture.now += 120 * S;
}

fn fixture_without_caches() -> RouterFixture {
    let upper = [("p1", 1), ("p2", 1), ("origin", 2)].map(|(n, k)| entry(n, k));
    RouterFixture::with(settings(), upper.to_vec())
}

/// A selection iterates over the endpoints, so endpoints that have left must not add to its cost.
#[test]
fn endpoints_of_past_deploys_are_removed() {
    let mut fixture = fixture_without_caches();
    for number in 0..3 {
        deploy(&mut fixture, number);
    }
    let after_three = format!("{:?}", fixture.router).len();
    for number in 3..1_000 {
        deploy(&mut fixture, number);
    }
    let after_all = format!("{:?}", fixture.router).len();
    assert!(
        after_all < after_three + after_three / 10,
        "router state grew from {after_three} to {after_all} bytes of debug output"
    );
    let sent = fixture.request(PAGE, "a");
    assert!(sent[0].endpoint != EndpointId::named("d0-0") && sent.len() == 1);
}

/// A flapping list must not reset an endpoint's health.
#[test]
fn ejection_outlives_a_short_absence_from_the_list() {
    let mut fixture = RouterFixture::new();
    for n in 0..6 {
        let sent = fixture.request(PAGE, &format!("o{n}"));
        if let Some(sent) = sent
            .iter()
            .find(|sent| sent.endpoint == EndpointId::named("c1"))
        {
            fixture.complete(sent, AttemptStatus::ConnectFailed, CacheStatus::Unreported);
        }
    }
    let has_ejection =
        |fixture: &RouterFixture| format!("{:?}", fixture.router).contains("ejections: 1");
    fixture.update(vec![EndpointEntry {
        state: EndpointState::Removed,
        ..entry("c1", 0)
    }]);
    fixture.now += 5 * S;
    fixture.update(vec![]);
    assert!(
        format!("{:?}", fixture.router).contains("departed_at: Some"),
        "record removed within 5 s of the departure"
    );
    assert!(has_ejection(&fixture), "record lost its ejection");
    fixture.now += 60 * S;
    fixture.update(vec![]);
    assert!(
        !format!("{:?}", fixture.router).contains("departed_at: Some"),
        "record not removed 65 s after the departure"
    );
}

/// A request with an idempotency key that may have run at an endpoint is retried within the cell of that endpoint
/// only, so the cell of an endpoint that has left must be retained while the request is open.
#[test]
fn endpoint_of_an_open_first_run_is_retained() {
    let mut settings_with_cell_scope = settings();
    settings_with_cell_scope.classes[KEYED].idempotency = Idempotency::WithKey {
        scope: KeyScope::Cell,
        window: 600 * S,
    };
    settings_with_cell_scope.direct_forwarding = false;
    let mut fixture = RouterFixture::with(settings_with_cell_scope, fleet());
    let sent = fixture.handle(Event::Request(Request {
        id: RequestId(900),
        class: KEYED,
        object: ObjectId::named("k"),
        part: 0,
        group: 0,
        time_left: 500 * S,
        size_kb: None,
        idempotency_key: None,
    }));
    let first = sent[0].clone();
    let departed = |n: &str| EndpointEntry {
        state: EndpointState::Removed,
        ..entry(n, 0)
    };
    fixture.update(["c1", "c2", "c3"].map(departed).to_vec());
    fixture.complete(&first, AttemptStatus::Reset, CacheStatus::Unreported);
    fixture.now += 100 * S;
    fixture.update(vec![]);
    fixture.update(vec![entry("c9", 0)]);
    let again = fixture.advance(MS);
    assert_eq!(
        again.len(),
        1,
        "request not retried at the new cache of the zone: {:?}",
        fixture.last_actions
    );
    assert_eq!(again[0].endpoint, EndpointId::named("c9"));
}

/// The log of ten thousand purges within a few seconds must shrink after the purge horizon.
#[test]
fn purge_log_is_compacted_after_the_purge_horizon() {
    let mut fixture = RouterFixture::new();
    for n in 0..10_000 {
        fixture.handle(Event::Purge {
            object: Some(ObjectId(n)),
            group: 0,
            age: 0,
        });
        fixture.now += MS;
    }
    let full = format!("{:?}", fixture.router).len();
    fixture.now += 60 * S;
    for n in 0..20_000 {
        fixture.handle(Event::Purge {
            object: Some(ObjectId(1_000_000 + n % 10)),
            group: 0,
            age: 0,
        });
    }
    for n in 0..9_000 {
        fixture.handle(Event::Purge {
            object: Some(ObjectId(2_000_000 + n)),
            group: 0,
            age: 0,
        });
        fixture.now += 100 * MS;
    }
    let later = format!("{:?}", fixture.router).len();
    assert!(
        later < full / 2,
        "debug output of the router: {full} bytes before, {later} after; less than half expected"
    );
}
