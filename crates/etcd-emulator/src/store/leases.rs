//! Leases: grant, renewal, revocation and expiry with their keys.
use super::{RequestError, Store};
use pointspindle::Micros;
use std::collections::BTreeSet;

const MICROS_PER_SECOND: Micros = 1_000_000;

/// A granted lease and the keys attached to it.
#[derive(Clone, Debug)]
pub(super) struct Lease {
    /// Time to live in seconds.
    ttl: i64,
    expires_at: Micros,
    /// Revision of the store at which the lease was granted.
    pub(super) granted_at: i64,
    pub(super) keys: BTreeSet<Vec<u8>>,
}

fn expiry(now: Micros, ttl: i64) -> Micros {
    now + ttl as Micros * MICROS_PER_SECOND
}

impl Store {
    /// Grants a lease of at least one second and returns its id.
    pub fn grant(&mut self, now: Micros, ttl_seconds: i64) -> i64 {
        let id = self.next_lease;
        self.next_lease += 1;
        let ttl = ttl_seconds.max(1);
        let lease = Lease {
            ttl,
            expires_at: expiry(now, ttl),
            granted_at: self.revision,
            keys: BTreeSet::new(),
        };
        self.leases.insert(id, lease);
        id
    }

    /// Renews a lease. Returns its time to live from now on in seconds, or 0 if the lease does not exist.
    pub fn keep_alive(&mut self, now: Micros, id: i64) -> i64 {
        self.leases.get_mut(&id).map_or(0, |lease| {
            lease.expires_at = expiry(now, lease.ttl);
            lease.ttl
        })
    }

    /// Revokes a lease and deletes its keys.
    pub fn revoke(&mut self, id: i64) -> Result<(), RequestError> {
        let lease = self.leases.remove(&id).ok_or(RequestError::NoLease)?;
        let revision = self.revision + 1;
        let events = lease
            .keys
            .iter()
            .filter_map(|key| self.delete(revision, key))
            .collect();
        self.commit(revision, events);
        Ok(())
    }

    /// Revokes the leases that have expired.
    pub fn expire(&mut self, now: Micros) {
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            // The lease exists, as it was found above.
            let _ = self.revoke(id);
        }
    }
}
