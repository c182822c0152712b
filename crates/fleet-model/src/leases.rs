//! Slow-start leases in the protocol's form.
use pointspindle_cache_host::lease::Grant;
use pointspindle_protocol::LeaseHead;

/// A grant of a member's ledger, as it is told.
pub fn lease_head(grant: &Grant) -> LeaseHead {
    let (work_us, by_asking) = ((grant.work * 1e6).round() as u64, grant.on_request);
    LeaseHead {
        work_us,
        duration_us: grant.duration,
        on_request: by_asking,
        in_reply: false,
    }
}
