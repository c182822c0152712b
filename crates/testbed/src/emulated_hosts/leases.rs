//! Grants work leases for hosts that are warming up.
use super::hosts::EmulatedHosts;
use pointspindle::Micros;
use pointspindle_cache_host::lease::{Lease, LeaseHolderId};
use pointspindle_cache_model::HostId;
use pointspindle_fleet_model::leases::lease_head;
use pointspindle_protocol::{Frame, HelloHead, LeaseHead};
use pointspindle_scenario::derive_seed;
use pointspindle_transport::FramedConnection;
use std::time::Duration;

/// How long an unconditional lease of a warm host lasts, in microseconds.
const WARM_LEASE_DURATION_US: u64 = 1_000_000;

/// A dispatcher's user number in the host's ledger and its first lease.
pub(super) struct JoinedUser {
    pub user: LeaseHolderId,
    pub lease: LeaseHead,
}

/// The leases of one slot.
struct SlotGrants {
    leases: Vec<(FramedConnection, LeaseHead)>,
    slot_length: Micros,
}

impl EmulatedHosts {
    /// Returns the hello with which a host announces its incarnation, or `None` if hosts announce none.
    pub(super) fn hello(&self, host: HostId) -> Option<HelloHead> {
        self.shared().options.ledger_factory.as_ref()?;
        let (start_number, started_at) = self.lock().model.incarnation(host);
        let started_ago_us = started_at.map(|at| self.now().saturating_sub(at));
        // Start numbers repeat among hosts, but an incarnation must identify one process.
        let incarnation = derive_seed(start_number, &self.address_of(host)).max(1);
        Some(HelloHead {
            incarnation,
            started_ago_us,
            ..Default::default()
        })
    }

    /// Adds a dispatcher to the users of a host's ledger; returns `None` if the host grants no leases.
    pub(super) fn join(
        &self,
        host: HostId,
        connection: &FramedConnection,
        requests_work: bool,
    ) -> Option<JoinedUser> {
        let mut state = self.lock();
        state.last_lease_user += 1;
        let user = state.last_lease_user;
        let leasing = state.leasing.get_mut(&host)?;
        leasing.connections.insert(user, connection.clone());
        let grant = leasing.ledger.add_dispatcher(user, requests_work);
        Some(JoinedUser {
            user,
            lease: lease_head(&grant),
        })
    }

    /// Grants a dispatcher's work request, in microseconds of work. A host that is not warming up grants all of it.
    pub(super) fn request_work(
        &self,
        host: HostId,
        user: LeaseHolderId,
        work_us: u64,
    ) -> LeaseHead {
        let mut state = self.lock();
        let now = self.now();
        let granted = match state.leasing.get_mut(&host) {
            Some(leasing) => {
                let work_seconds = work_us as f64 / 1e6;
                lease_head(&leasing.ledger.request_work(now, user, work_seconds))
            }
            None => LeaseHead {
                work_us,
                duration_us: WARM_LEASE_DURATION_US,
                ..Default::default()
            },
        };
        LeaseHead {
            in_reply: true,
            ..granted
        }
    }

    /// Removes a dispatcher from the users of a host's ledger.
    pub(super) fn leave(&self, host: HostId, user: LeaseHolderId) {
        if let Some(leasing) = self.lock().leasing.get_mut(&host) {
            leasing.ledger.remove_dispatcher(user);
            leasing.connections.remove(&user);
        }
    }

    /// Starts the next slot of an incarnation's ledger; returns `None` if the incarnation has ended or is warm.
    fn start_slot(&self, host: HostId, incarnation: u64) -> Option<SlotGrants> {
        let mut state = self.lock();
        if state.model.incarnation(host).0 != incarnation {
            return None;
        }
        let now = self.now();
        let leasing = state.leasing.get_mut(&host)?;
        if leasing.ledger.is_over(now) {
            state.leasing.remove(&host);
            return None;
        }
        let grants = leasing.ledger.start_slot(now);
        let connections = &leasing.connections;
        let lease = |grant: &Lease| {
            let connection = connections.get(&grant.holder)?;
            Some((connection.clone(), lease_head(grant)))
        };
        Some(SlotGrants {
            leases: grants.iter().filter_map(lease).collect(),
            slot_length: leasing.ledger.slot_length(),
        })
    }
}

/// Grants leases slot by slot while an incarnation of a host is warming up.
pub(super) async fn grant_leases(hosts: EmulatedHosts, host: HostId, incarnation: u64) {
    loop {
        let next_slot = match hosts.lock().leasing.get(&host) {
            Some(leasing) => leasing.ledger.next_slot(),
            None => return,
        };
        let wait = Duration::from_micros(next_slot.saturating_sub(hosts.now()));
        tokio::time::sleep(wait).await;
        let Some(slot) = hosts.start_slot(host, incarnation) else {
            return;
        };
        // A dispatcher that does not read must not delay the leases of the other dispatchers.
        let send_timeout = Duration::from_micros(slot.slot_length / 4);
        for (connection, lease) in slot.leases {
            let sent = connection.control(Frame::Lease(lease));
            let _ = tokio::time::timeout(send_timeout, sent).await;
        }
    }
}
