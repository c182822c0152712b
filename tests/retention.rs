//! Retention: a router that runs for months forgets what is obsolete, and nothing that is still in use.
mod common;
use common::*;
use pointspindle::*;

/// Twenty new caches replace the twenty before them.
fn deploy(stage: &mut RouterFixture, number: usize) {
    let of = |n: usize| (0..20).map(move |i| entry(&format!("d{n}-{i}"), 0));
    let mut entries: Vec<EndpointEntry> = of(number).collect();
    if number > 0 {
        entries.extend(of(number - 1).map(|e| EndpointEntry {
            state: EndpointState::Gone,
            ..e
        }));
    }
    stage.update(entries);
    stage.now += 120 * S;
}

fn stage() -> RouterFixture {
    let upper = [("p1", 1), ("p2", 1), ("origin", 2)].map(|(n, k)| entry(n, k));
    RouterFixture::with(settings(), upper.to_vec())
}

/// A selection visits every endpoint, so forgotten ones must not add to its cost.
#[test]
fn endpoints_of_past_deploys_are_forgotten() {
    let mut stage = stage();
    for number in 0..3 {
        deploy(&mut stage, number);
    }
    let after_three = format!("{:?}", stage.router).len();
    for number in 3..1_000 {
        deploy(&mut stage, number);
    }
    let after_all = format!("{:?}", stage.router).len();
    assert!(
        after_all < after_three + after_three / 10,
        "{after_three} bytes grew to {after_all}"
    );
    let sent = stage.request(PAGE, "a");
    assert!(sent[0].endpoint != EndpointId::named("d0-0") && sent.len() == 1);
}

/// A flapping list must not reset an endpoint's health.
#[test]
fn ejection_outlives_a_short_absence_from_the_list() {
    let mut stage = RouterFixture::new();
    for n in 0..6 {
        let sent = stage.request(PAGE, &format!("o{n}"));
        if let Some(sent) = sent.iter().find(|s| s.endpoint == EndpointId::named("c1")) {
            stage.complete(sent, AttemptStatus::ConnectFailed, CacheStatus::Unreported);
        }
    }
    let has_ejection =
        |stage: &RouterFixture| format!("{:?}", stage.router).contains("ejections: 1");
    stage.update(vec![EndpointEntry {
        state: EndpointState::Gone,
        ..entry("c1", 0)
    }]);
    stage.now += 5 * S;
    stage.update(vec![]);
    assert!(
        format!("{:?}", stage.router).contains("departed_at: Some"),
        "still remembered after five seconds"
    );
    assert!(has_ejection(&stage), "with its ejection");
    stage.now += 60 * S;
    stage.update(vec![]);
    assert!(
        !format!("{:?}", stage.router).contains("departed_at: Some"),
        "forgotten after a minute"
    );
}

/// A request with an idempotency key that may have run at an endpoint that left is retried within its cell only: the
/// cell must stay known while the request is open.
#[test]
fn endpoint_of_an_open_first_run_is_not_forgotten() {
    let mut set = settings();
    set.classes[KEYED].idempotency = Idempotency::WithKey {
        scope: KeyScope::Cell,
        window: 600 * S,
    };
    set.direct_forwarding = false;
    let mut stage = RouterFixture::with(set, fleet());
    let sent = stage.handle(Event::Request(Request {
        id: RequestId(900),
        class: KEYED,
        object: ObjectId::named("k"),
        part: 0,
        group: 0,
        time_left: 500 * S,
        size_kb: None,
    }));
    let first = sent[0].clone();
    let left = |n: &str| EndpointEntry {
        state: EndpointState::Gone,
        ..entry(n, 0)
    };
    stage.update(["c1", "c2", "c3"].map(left).to_vec());
    stage.complete(&first, AttemptStatus::Reset, CacheStatus::Unreported);
    stage.now += 100 * S;
    stage.update(vec![]);
    stage.update(vec![entry("c9", 0)]);
    let again = stage.advance(MS);
    assert_eq!(
        again.len(),
        1,
        "resent to a newcomer of the zone: {:?}",
        stage.last_actions
    );
    assert_eq!(again[0].endpoint, EndpointId::named("c9"));
}

/// Ten thousand purges in a few seconds are compacted now and then and forgotten afterwards.
#[test]
fn purge_log_is_compacted_after_the_purge_horizon() {
    let mut stage = RouterFixture::new();
    for n in 0..10_000 {
        stage.handle(Event::Purge {
            object: Some(ObjectId(n)),
            group: 0,
            age: 0,
        });
        stage.now += MS;
    }
    let full = format!("{:?}", stage.router).len();
    stage.now += 60 * S;
    for n in 0..20_000 {
        stage.handle(Event::Purge {
            object: Some(ObjectId(1_000_000 + n % 10)),
            group: 0,
            age: 0,
        });
    }
    for n in 0..9_000 {
        stage.handle(Event::Purge {
            object: Some(ObjectId(2_000_000 + n)),
            group: 0,
            age: 0,
        });
        stage.now += 100 * MS;
    }
    let later = format!("{:?}", stage.router).len();
    assert!(later < full / 2, "{full} bytes, later {later}");
}
