//! Encodes slow-start leases for the protocol.
use pointspindle_cache_host::lease::Grant;
use pointspindle_protocol::LeaseHead;

/// Returns the lease message for a grant by a cache host.
pub fn lease_head(grant: &Grant) -> LeaseHead {
    LeaseHead {
        work_us: (grant.work * 1e6).round() as u64,
        duration_us: grant.duration,
        on_request: grant.on_request,
        in_reply: false,
    }
}
