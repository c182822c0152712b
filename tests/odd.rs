//! Odd but possible input: nothing panics, every request gets an attempt or a final answer.
mod common;
use common::*;
use pointspindle::*;

fn answered(s: &mut Stage, class: usize) -> bool {
    let sent = s.ask(class, "a");
    !sent.is_empty() || s.finals().len() == 1
}

#[test]
fn counts_that_are_missing_or_contradict_each_other_are_harmless() {
    for (routers, me, zones) in [
        (0, None, vec![]),
        (3, Some(9), vec![Zone::default(); 2]),
        (0, Some(0), vec![]),
    ] {
        let mut set = settings();
        (set.routers, set.router_index, set.zones) = (routers, me, zones);
        let mut s = Stage::with(set, fleet());
        assert!(answered(&mut s, VIDEO) && answered(&mut s, PAGE));
    }
}

#[test]
fn thousands_of_members_in_one_list() {
    let mut endpoints = fleet();
    for i in 0..4000 {
        let mut far = entry(&format!("far{i}"), i % 2);
        far.zone = 2 + i % 90;
        endpoints.push(far);
    }
    let mut s = Stage::with(settings(), endpoints);
    let sent = s.ask(VIDEO, "a").remove(0);
    assert!(
        ["c1", "c2", "c3"]
            .map(EndpointId::named)
            .contains(&sent.endpoint),
        "a cache of the own location"
    );
}

#[test]
fn a_member_back_under_its_old_id_starts_with_a_clean_sheet() {
    let mut s = Stage::new();
    s.now += 3 * S;
    let home = s.ask(VIDEO, "a").remove(0);
    s.end(&home, AttemptStatus::ConnectFailed, CacheStatus::Unreported);
    assert_ne!(s.ask(VIDEO, "a")[0].endpoint, home.endpoint);
    let mut back = fleet().into_iter().find(|e| e.id == home.endpoint).unwrap();
    (back.started_at, back.weight) = (s.now, 60.0);
    s.update(vec![back]);
    assert_eq!(s.ask(VIDEO, "a")[0].endpoint, home.endpoint);
}

#[test]
fn all_caches_replaced_in_one_batch() {
    let mut s = Stage::new();
    s.now += 3 * S;
    let stuck = s.ask(VIDEO, "a").remove(0);
    let mut batch: Vec<EndpointEntry> = fleet().into_iter().filter(|e| e.kind == 0).collect();
    batch
        .iter_mut()
        .for_each(|e| e.state = EndpointState::Draining);
    for name in ["n1", "n2", "n3"] {
        let mut new = entry(name, 0);
        (new.started_at, new.weight) = (s.now, 60.0);
        batch.push(new);
    }
    s.update(batch);
    let next = s
        .end(&stuck, AttemptStatus::Reset, CacheStatus::Unreported)
        .remove(0);
    assert!(
        ["n1", "n2", "n3"]
            .map(EndpointId::named)
            .contains(&next.endpoint),
        "replacements are used at once"
    );
}

#[test]
fn a_lone_request_cut_off_at_a_dying_cache_is_answered_elsewhere() {
    let mut s = Stage::new();
    let sent = s.ask(PAGE, "a").remove(0);
    let mut dying = fleet().into_iter().find(|e| e.id == sent.endpoint).unwrap();
    dying.state = EndpointState::Draining;
    s.update(vec![dying]);
    let next = s
        .end(&sent, AttemptStatus::Reset, CacheStatus::Unreported)
        .remove(0);
    assert_ne!(next.endpoint, sent.endpoint);
}
