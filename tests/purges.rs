//! Purges: no copy older than a purge may be accepted.
mod common;
use common::*;
use pointspindle::*;

#[test]
fn purge_limits_the_max_age() {
    let mut fixture = RouterFixture::new();
    fixture.handle(Event::Purge {
        object: Some(ObjectId::named("a")),
        group: 5,
        age: 100 * MS,
    });
    for class in [VIDEO, PAGE] {
        let sent = fixture.request(class, "a").remove(0);
        assert_eq!(sent.fetch().max_age, 100 * MS);
        assert!(
            !sent.fetch().coalesce,
            "a fill begun before the purge would return the purged copy"
        );
        let other = fixture.request(class, "b").remove(0);
        assert_ne!(other.fetch().max_age, 100 * MS);
    }
}

#[test]
fn purge_of_age_zero_gives_a_positive_max_age() {
    let mut fixture = RouterFixture::new();
    fixture.handle(Event::Purge {
        object: None,
        group: 5,
        age: 0,
    });
    assert_eq!(fixture.request(VIDEO, "a")[0].fetch().max_age, 1);
    assert_eq!(fixture.request(PAGE, "b")[0].fetch().max_age, 1);
}

#[test]
fn purge_is_ignored_after_the_purge_horizon() {
    let mut fixture = RouterFixture::new();
    fixture.handle(Event::Purge {
        object: None,
        group: 5,
        age: 0,
    });
    fixture.now += 5_900 * MS;
    assert_eq!(fixture.request(VIDEO, "a")[0].fetch().max_age, 5_900 * MS);
    fixture.now += 2 * S;
    assert_eq!(fixture.request(VIDEO, "a")[0].fetch().max_age, 0);
}

#[test]
fn cached_only_attempt_is_limited_by_a_purge() {
    let mut fixture = RouterFixture::new();
    fixture.handle(Event::Purge {
        object: Some(ObjectId::named("a")),
        group: 5,
        age: 700 * MS,
    });
    let sent = fixture.request(PAGE, "a").remove(0);
    let stale = fixture
        .complete(&sent, AttemptStatus::Error, CacheStatus::SourceUnreachable)
        .remove(0);
    assert_eq!(
        (stale.fetch().max_age, stale.source()),
        (700 * MS, stale.endpoint)
    );
}
