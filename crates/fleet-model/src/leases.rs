//! Slow-start leases in the protocol's form.
use pointspindle_cache_host::lease::Grant;
use pointspindle_protocol::LeaseHead;

/// The message for a grant of a host's ledger.
pub fn lease_head(grant: &Grant) -> LeaseHead {
    LeaseHead {
        work_us: (grant.work * 1e6).round() as u64,
        duration_us: grant.duration,
        on_request: grant.on_request,
        in_reply: false,
    }
}
