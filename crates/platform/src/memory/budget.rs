//! Decides from the resident memory of the process whether its memory is exhausted. This module performs no I/O.
//!
//! The resident memory is the figure that the platform limits. It includes what no counter sees: the pages of the
//! program's file, tables, the state of requests and connections, and memory that the allocator retains.

/// Divisor of the limit that gives the reserve below it: for what is allocated between two samples.
const RESERVE_DIVISOR: u64 = 10;
/// Divisor of the limit that gives the bytes of requests and responses that are always admitted, so that memory that
/// the allocator retains cannot stop the service.
const ALWAYS_ADMITTED_DIVISOR: u64 = 32;

/// A sample of the memory of the process.
#[derive(Clone, Copy, Debug)]
pub(super) struct MemorySample {
    /// Resident memory in bytes.
    pub resident: u64,
    /// Bytes in requests and responses, as all counters count them.
    pub counted: u64,
    /// Part of `counted` that is announced and not received yet, and therefore not resident.
    pub unreceived: u64,
}

/// The limit of the process, with the decision about a sample.
#[derive(Clone, Copy, Debug)]
pub(super) struct MemoryBudget {
    limit_bytes: u64,
}

impl MemoryBudget {
    /// Creates the budget of a process with a limit on its resident memory.
    pub fn new(limit_bytes: u64) -> Self {
        Self { limit_bytes }
    }

    /// Returns whether no further requests and responses may be held: with all that is announced the process would
    /// come closer to its limit than the reserve.
    pub fn is_exhausted(self, sample: MemorySample) -> bool {
        let expected = sample.resident.saturating_add(sample.unreceived);
        let reserve = self.limit_bytes / RESERVE_DIVISOR;
        let always_admitted = self.limit_bytes / ALWAYS_ADMITTED_DIVISOR;
        sample.counted > always_admitted && expected.saturating_add(reserve) >= self.limit_bytes
    }
}

#[cfg(test)]
mod tests;
