//! The copy age limit with and without a valid lease.
use super::*;

const EXEMPT_CLASS: usize = 1;

fn lease() -> PurgeLease {
    PurgeLease {
        duration: 100,
        confirmed_at: None,
        exempt_classes: vec![false, true],
    }
}

#[test]
fn copy_age_is_limited_without_valid_lease() {
    let mut lease = lease();
    assert_eq!(lease.max_copy_age(0, 0), Some(100), "no confirmation yet");
    lease.renew(50);
    assert_eq!(lease.max_copy_age(149, 0), None);
    assert_eq!(lease.max_copy_age(150, 0), Some(100));
    lease.renew(40);
    assert!(
        !lease.is_valid(150),
        "an earlier confirmation has no effect"
    );
    lease.renew(60);
    assert!(lease.is_valid(150));
}

#[test]
fn exempt_class_has_no_copy_age_limit() {
    let lease = lease();
    assert_eq!(lease.max_copy_age(0, EXEMPT_CLASS), None);
    assert_eq!(lease.max_copy_age(0, 2), Some(100), "an unknown class");
}
