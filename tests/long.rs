//! A router in service for months: what is gone is forgotten, and nothing that still counts is.
mod common;
use common::*;
use pointspindle::*;

/// A deploy in waves would do the same: twenty new caches, the twenty before them gone.
fn deploy(stage: &mut Stage, number: usize) {
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

fn stage() -> Stage {
    let upper = [("p1", 1), ("p2", 1), ("origin", 2)].map(|(n, k)| entry(n, k));
    Stage::with(settings(), upper.to_vec())
}

/// Each choice looks at every member: after 400 deploys a request once cost forty times as much.
#[test]
fn members_of_past_deploys_are_forgotten() {
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
    let sent = stage.ask(PAGE, "a");
    assert!(sent[0].endpoint != EndpointId::named("d0-0") && sent.len() == 1);
}

/// A list that flaps must not whitewash a member: its hold outlives a short absence.
#[test]
fn a_member_back_soon_under_its_number_finds_its_standing() {
    let mut stage = Stage::new();
    for n in 0..6 {
        let sent = stage.ask(PAGE, &format!("o{n}"));
        if let Some(sent) = sent.iter().find(|s| s.endpoint == EndpointId::named("c1")) {
            stage.end(sent, AttemptStatus::ConnectFailed, CacheStatus::Unreported);
        }
    }
    let has_ejection = |stage: &Stage| {
        format!("{:?}", stage.router).contains("ejections: 1")
    };
    stage.update(vec![EndpointEntry {
        state: EndpointState::Gone,
        ..entry("c1", 0)
    }]);
    stage.now += 5 * S;
    stage.update(vec![]);
    assert!(
        format!("{:?}", stage.router).contains("gone_since: Some"),
        "still remembered after five seconds"
    );
    assert!(has_ejection(&stage), "with its ejection");
    stage.now += 60 * S;
    stage.update(vec![]);
    assert!(
        !format!("{:?}", stage.router).contains("gone_since: Some"),
        "forgotten after a minute"
    );
}

/// A keyed request that may have run at a member that left is resent within its cell only: the cell must
/// stay known while the request is open.
#[test]
fn a_gone_member_that_an_open_request_ran_at_is_kept() {
    let mut set = settings();
    set.classes[KEYED].idempotency = Idempotency::WithKey {
        scope: KeyScope::Cell,
        window: 600 * S,
    };
    set.direct_forwarding = false;
    let mut stage = Stage::with(set, fleet());
    let sent = stage.tell(Event::Request(Request {
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
    stage.end(&first, AttemptStatus::Reset, CacheStatus::Unreported);
    stage.now += 100 * S;
    stage.update(vec![]);
    stage.update(vec![entry("c9", 0)]);
    let again = stage.wait(MS);
    assert_eq!(
        again.len(),
        1,
        "resent to a newcomer of the zone: {:?}",
        stage.last
    );
    assert_eq!(again[0].endpoint, EndpointId::named("c9"));
}

/// Ten thousand purges in a few seconds: looked through now and then, not at each, and gone afterwards.
#[test]
fn purges_are_forgotten_once_no_older_copy_can_be_left() {
    let mut stage = Stage::new();
    for n in 0..10_000 {
        stage.tell(Event::Purge {
            object: Some(ObjectId(n)),
            group: 0,
            age: 0,
        });
        stage.now += MS;
    }
    let full = format!("{:?}", stage.router).len();
    stage.now += 60 * S;
    for n in 0..20_000 {
        stage.tell(Event::Purge {
            object: Some(ObjectId(1_000_000 + n % 10)),
            group: 0,
            age: 0,
        });
    }
    for n in 0..9_000 {
        stage.tell(Event::Purge {
            object: Some(ObjectId(2_000_000 + n)),
            group: 0,
            age: 0,
        });
        stage.now += 100 * MS;
    }
    let later = format!("{:?}", stage.router).len();
    assert!(later < full / 2, "{full} bytes, later {later}");
}
