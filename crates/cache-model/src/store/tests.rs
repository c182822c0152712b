use super::*;

fn copy(size: u64, validated_at: Micros) -> CachedCopy {
    CachedCopy {
        version: 0,
        size,
        validated_at,
    }
}

fn key(object: u64, part: u64) -> ObjectKey {
    ObjectKey { object, part }
}

#[test]
fn eviction_takes_lowest_rank_then_least_recently_used_and_no_higher_rank() {
    let mut store = Store::new(30);
    assert!(store.put(key(1, 0), 0, copy(10, 0), 2));
    assert!(store.put(key(2, 0), 0, copy(10, 0), 1));
    assert!(store.put(key(3, 0), 0, copy(10, 0), 2));
    assert!(
        store.put(key(4, 0), 0, copy(10, 0), 1),
        "evicts a copy of the same rank"
    );
    assert!(store.get(key(2, 0)).is_none() && store.get(key(1, 0)).is_some());
    store.touch(key(1, 0), 0);
    assert!(store.put(key(5, 0), 0, copy(20, 0), 2));
    assert!(
        store.get(key(4, 0)).is_none() && store.get(key(3, 0)).is_none(),
        "evicts rank 1, then the least recently used copy"
    );
    assert!(
        !store.put(key(6, 0), 0, copy(10, 0), 1),
        "evicts no copy of a higher rank"
    );
    assert!(
        !store.put(key(7, 0), 0, copy(31, 0), 3),
        "does not store a copy that exceeds the capacity"
    );
    assert_eq!((store.used_bytes(), store.len()), (30, 2));
}

#[test]
fn purge_removes_older_copies_and_keeps_newer_ones() {
    let mut store = Store::new(100);
    store.put(key(1, 0), 7, copy(10, 100), 1);
    store.put(key(1, 1), 7, copy(10, 300), 1);
    store.put(key(2, 0), 8, copy(10, 100), 1);
    store.purge(None, 7, 200);
    assert!(
        store.get(key(1, 0)).is_none()
            && store.get(key(1, 1)).is_some()
            && store.get(key(2, 0)).is_some()
    );
    store.purge(Some(2), 0, 200);
    assert!(store.get(key(2, 0)).is_none());
}
