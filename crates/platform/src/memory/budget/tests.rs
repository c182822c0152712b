use super::*;

const MB: u64 = 1024 * 1024;

fn sample(resident_mb: u64, counted_mb: u64, unreceived_mb: u64) -> MemorySample {
    MemorySample {
        resident: resident_mb * MB,
        counted: counted_mb * MB,
        unreceived: unreceived_mb * MB,
    }
}

/// Guards against a sum of loads, tables and program over the limit while each of them stays in its own bound.
#[test]
fn memory_is_exhausted_by_the_sum_of_what_is_resident_and_announced() {
    let budget = MemoryBudget::new(32 * MB);
    assert!(!budget.is_exhausted(sample(20, 10, 2)));
    assert!(budget.is_exhausted(sample(30, 10, 0)));
    assert!(budget.is_exhausted(sample(24, 10, 6)));
}

/// Guards against a standstill: what the allocator retains must not stop all requests.
#[test]
fn retained_memory_does_not_stop_the_service() {
    let budget = MemoryBudget::new(32 * MB);
    assert!(!budget.is_exhausted(sample(32, 0, 0)));
    assert!(!budget.is_exhausted(sample(32, 1, 1)));
}
