//! The endpoint list: entries, roles, draining and removal.
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

/// Time from leaving to removal: longer than any ejection, window or purge, so that an endpoint that comes back
/// under its id sooner is still known by its record.
pub(super) const REMOVAL_DELAY: Micros = 60_000 * MS;

/// Requests of this router in flight at an endpoint.
#[derive(Debug, Clone, Default)]
pub(super) struct Load {
    pub(super) requests: u32,
    /// Their size; a request of unknown size counts as 1.
    pub(super) requests_kb: f64,
    /// Those among them that are answered from cached copies only.
    pub(super) cached_only: u32,
    /// Requests in flight elsewhere that name it as the source of a fill.
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

/// An endpoint and everything known of it. Removed a while after it left; see [`Endpoints`].
#[derive(Debug, Clone)]
pub(super) struct Endpoint {
    pub(super) entry: EndpointEntry,
    pub(super) role: Role,
    pub(super) health: Health,
    pub(super) presence: Presence,
    pub(super) load: Load,
    pub(super) concurrency_limit: ConcurrencyLimit,
    pub(super) warm_up: WarmUpAccount,
    pub(super) fill_share: TrafficShare,
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
            fill_share: TrafficShare::default(),
            departed_at: None,
            entry,
        }
    }

    /// A start is never taken back: a list may be older than another report of it.
    fn replace_entry(&mut self, mut entry: EndpointEntry, role: Role) {
        entry.started_at = entry.started_at.max(self.entry.started_at);
        if entry.started_at != self.entry.started_at {
            self.health = Health::default();
            self.presence.start_listed(entry.started_at);
        }
        self.entry = entry;
        self.role = role;
    }

    pub(super) fn is_ready(&self) -> bool {
        self.entry.state == EndpointState::Ready
    }

    /// Not ejected as an outlier; see [`Health::accepts_requests`].
    pub(super) fn is_healthy(&self, now: Micros) -> bool {
        self.health.accepts_requests(now, self.load.is_idle())
    }

    fn may_be_removed(&self, now: Micros) -> bool {
        self.load.is_idle() && self.departed_at.is_some_and(|at| now >= at + REMOVAL_DELAY)
    }
}

/// All endpoints of the list, in the order of their ids.
///
/// Invariant: each endpoint has the role that its entry gives it. An endpoint that left is removed with the first
/// list update after `REMOVAL_DELAY`, unless an open request is in flight at it, is filled from it or may have run
/// at it: its zone and cell bound the retries.
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
                endpoint.entry.state = EndpointState::Gone;
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

    /// What was inferred of an endpoint's process is replaced by its own report.
    pub(super) fn apply_hello(&mut self, now: Micros, id: EndpointId, started_at: Micros) {
        let Some(endpoint) = self.by_id.get_mut(&id) else {
            return;
        };
        endpoint.presence = Presence::introduced(now);
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

    /// Removes endpoints that left long ago, but for those that an open request may have run at.
    pub(super) fn remove_departed(
        &mut self,
        now: Micros,
        referenced: impl FnOnce() -> BTreeSet<EndpointId>,
    ) {
        for endpoint in self.by_id.values_mut() {
            let departed_at = endpoint.departed_at.unwrap_or(now);
            let has_departed = endpoint.entry.state == EndpointState::Gone;
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
            self.roles.forget(id);
        }
    }
}
