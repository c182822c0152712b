//! Encodes slow-start leases for the protocol.
use pointspindle_cache_host::lease::Lease;
use pointspindle_protocol::LeaseHead;

/// Returns the lease message for a lease by a cache host.
pub fn lease_head(lease: &Lease) -> LeaseHead {
    LeaseHead {
        work_us: (lease.work * 1e6).round() as u64,
        duration_us: lease.duration,
        on_request: lease.on_request,
        in_reply: false,
    }
}
