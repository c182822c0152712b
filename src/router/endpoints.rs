//! Endpoint list: entries, roles, draining and removal.
use super::concurrency_limit::ConcurrencyLimit;
use super::fill_source::TrafficShare;
use super::outlier::Health;
use super::presence::Presence;
use super::roles::{Role, Roles};
use super::slow_start::{Lease, WarmUpAccount};
use super::MS;
use crate::event::{EndpointEntry, EndpointState, ListUpdate};
use crate::ids::{EndpointId, Micros};
use crate::settings::RouterSettings;
use std::collections::{BTreeMap, BTreeSet};

/// Time for which the record of an endpoint is retained after the endpoint has left. It is longer than any ejection,
/// overload window or purge, so an endpoint that returns under the same id within it keeps its record.
pub(super) const REMOVAL_DELAY: Micros = 60_000 * MS;

/// Load that this router puts on an endpoint.
#[derive(Debug, Clone, Default)]
pub(super) struct Load {
    /// Number of requests in flight.
    pub(super) requests: u32,
    /// Total size of the requests in flight; a request of unknown size counts as 1 KB.
    pub(super) requests_kb: f64,
    /// Number of the requests in flight that are answered from cached copies only.
    pub(super) cached_only: u32,
    /// Number of requests in flight at other endpoints that name this one as the source of a fill.
    pub(super) fills: u32,
}

impl Load {
    pub(super) fn is_idle(&self) -> bool {
        self.requests + self.fills == 0
    }

    pub(super) fn add_request(&mut self, size_kb: f64, cached_only: bool) {
        self.requests += 1;
        self.requests_kb += size_kb;
        self.cached_only += u32::from(cached_only);
    }

    pub(super) fn remove_request(&mut self, size_kb: f64, cached_only: bool) {
        self.requests = self.requests.saturating_sub(1);
        self.cached_only = self.cached_only.saturating_sub(u32::from(cached_only));
        self.requests_kb = (self.requests_kb - size_kb).max(0.0);
    }
}

/// An endpoint with its entry on the list and the state that this router has observed. [`Endpoints`] removes it some
/// time after it has left.
#[derive(Debug, Clone)]
pub(super) struct Endpoint {
    pub(super) entry: EndpointEntry,
    pub(super) role: Role,
    pub(super) health: Health,
    pub(super) presence: Presence,
    pub(super) load: Load,
    pub(super) concurrency_limit: ConcurrencyLimit,
    pub(super) warm_up: WarmUpAccount,
    pub(super) traffic_share: TrafficShare,
    departed_at: Option<Micros>,
}

impl Endpoint {
    fn new(entry: EndpointEntry, role: Role) -> Self {
        Self {
            role,
            health: Health::default(),
            presence: Presence::default(),
            load: Load::default(),
            concurrency_limit: ConcurrencyLimit::of_cache(entry.weight),
            warm_up: WarmUpAccount::default(),
            traffic_share: TrafficShare::default(),
            departed_at: None,
            entry,
        }
    }

    /// Replaces the entry but never moves the start time back: a list may be older than another report of the start.
    fn replace_entry(&mut self, mut entry: EndpointEntry, role: Role) {
        entry.started_at = entry.started_at.max(self.entry.started_at);
        if entry.started_at != self.entry.started_at {
            self.health = Health::default();
            self.presence.apply_listed_start(entry.started_at);
        }
        self.entry = entry;
        self.role = role;
    }

    pub(super) fn is_ready(&self) -> bool {
        self.entry.state == EndpointState::Ready
    }

    /// Whether the endpoint is not ejected as an outlier; see [`Health::accepts_requests`].
    pub(super) fn is_healthy(&self, now: Micros) -> bool {
        self.health.accepts_requests(now, self.load.is_idle())
    }

    fn may_be_removed(&self, now: Micros) -> bool {
        self.load.is_idle() && self.departed_at.is_some_and(|at| now >= at + REMOVAL_DELAY)
    }
}

/// All endpoints of the list, in the order of their ids.
///
/// Invariant: each endpoint has the role that follows from its entry. An endpoint that has left is removed by the
/// first list update after `REMOVAL_DELAY`, unless an open request is in flight at it, is filled from it or may have
/// run at it: the zone and cell of the endpoint restrict where such a request may be retried.
#[derive(Debug, Default)]
pub(super) struct Endpoints {
    by_id: BTreeMap<EndpointId, Endpoint>,
    roles: Roles,
}

impl Endpoints {
    pub(super) fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.by_id.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        self.by_id.get_mut(&id)
    }

    pub(super) fn with_role(&self, role: Role) -> impl Iterator<Item = &Endpoint> {
        self.roles
            .with_role(role)
            .filter_map(|id| self.by_id.get(&id))
    }

    pub(super) fn origin(&self) -> Option<EndpointId> {
        self.with_role(Role::Origin)
            .next()
            .map(|endpoint| endpoint.entry.id)
    }

    pub(super) fn apply_update(
        &mut self,
        update: ListUpdate,
        entries: Vec<EndpointEntry>,
        settings: &RouterSettings,
    ) {
        if matches!(update, ListUpdate::Full | ListUpdate::Cached) {
            self.mark_absent_departed(&entries);
        }
        for entry in entries {
            self.apply_entry(entry, settings);
        }
    }

    fn mark_absent_departed(&mut self, entries: &[EndpointEntry]) {
        let listed: BTreeSet<EndpointId> = entries.iter().map(|entry| entry.id).collect();
        for endpoint in self.by_id.values_mut() {
            if !listed.contains(&endpoint.entry.id) {
                endpoint.entry.state = EndpointState::Removed;
            }
        }
    }

    fn apply_entry(&mut self, mut entry: EndpointEntry, settings: &RouterSettings) {
        entry.weight = if entry.weight > 0.0 {
            entry.weight
        } else {
            1.0
        };
        let role = Role::of(&entry, settings);
        self.roles.assign(entry.id, role);
        match self.by_id.get_mut(&entry.id) {
            Some(endpoint) => endpoint.replace_entry(entry, role),
            None => {
                self.by_id.insert(entry.id, Endpoint::new(entry, role));
            }
        }
    }

    /// Replaces the inferred start of an endpoint's process by the start that its hello reports. A newer start than the
    /// known one also resets the endpoint's health and lease.
    pub(super) fn apply_hello(&mut self, now: Micros, id: EndpointId, started_at: Micros) {
        let Some(endpoint) = self.by_id.get_mut(&id) else {
            return;
        };
        endpoint.presence = Presence::after_hello(now);
        if started_at > endpoint.entry.started_at {
            endpoint.entry.started_at = started_at;
            endpoint.health = Health::default();
            endpoint.warm_up.lease = None;
        }
    }

    pub(super) fn grant_lease(&mut self, id: EndpointId, lease: Lease) {
        if let Some(endpoint) = self.by_id.get_mut(&id) {
            endpoint.warm_up.lease = Some(lease);
        }
    }

    /// Removes endpoints that left at least `REMOVAL_DELAY` ago, except those at which an open request may have run.
    pub(super) fn remove_departed(
        &mut self,
        now: Micros,
        referenced: impl FnOnce() -> BTreeSet<EndpointId>,
    ) {
        for endpoint in self.by_id.values_mut() {
            let departed_at = endpoint.departed_at.unwrap_or(now);
            let has_departed = endpoint.entry.state == EndpointState::Removed;
            endpoint.departed_at = has_departed.then_some(departed_at);
        }
        if !self.by_id.values().any(|e| e.may_be_removed(now)) {
            return;
        }
        let referenced = referenced();
        let removed = self.by_id.extract_if(.., |id, endpoint| {
            endpoint.may_be_removed(now) && !referenced.contains(id)
        });
        for (id, _) in removed {
            self.roles.unassign(id);
        }
    }
}
