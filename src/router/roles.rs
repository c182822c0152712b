//! Endpoints by role, so that a selection does not iterate over the caches of other zones.
use crate::event::EndpointEntry;
use crate::ids::EndpointId;
use crate::settings::RouterSettings;
use std::collections::BTreeSet;

/// Role of an endpoint from the point of view of this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    /// A cache of the router's own zone.
    Cache,
    /// A parent, in any zone.
    Parent,
    /// The origin, in any zone.
    Origin,
    /// A cache of another zone, to which this router sends no requests. Parents and the origin never have this role.
    OtherZone,
}

impl Role {
    pub(super) fn of(entry: &EndpointEntry, settings: &RouterSettings) -> Self {
        match Some(entry.kind) {
            kind if kind == settings.origin_kind => Self::Origin,
            kind if kind == settings.parent_kind => Self::Parent,
            _ if entry.zone == settings.zone => Self::Cache,
            _ => Self::OtherZone,
        }
    }
}

/// Sets of endpoint ids by role, each in the order of the ids.
///
/// Invariant: an endpoint is only in the set of its role, and caches of other zones are in none. An id is removed
/// with its endpoint.
#[derive(Debug, Default)]
pub(super) struct Roles {
    caches: BTreeSet<EndpointId>,
    parents: BTreeSet<EndpointId>,
    origins: BTreeSet<EndpointId>,
}

impl Roles {
    /// Sets the role of an endpoint and removes any earlier role.
    pub(super) fn assign(&mut self, id: EndpointId, role: Role) {
        self.unassign(id);
        match role {
            Role::Cache => self.caches.insert(id),
            Role::Parent => self.parents.insert(id),
            Role::Origin => self.origins.insert(id),
            Role::OtherZone => false,
        };
    }

    pub(super) fn unassign(&mut self, id: EndpointId) {
        for ids in [&mut self.caches, &mut self.parents, &mut self.origins] {
            ids.remove(&id);
        }
    }

    /// Returns the endpoints of a role. The result is empty for caches of other zones, which are never selected.
    pub(super) fn with_role(&self, role: Role) -> impl Iterator<Item = EndpointId> + '_ {
        let ids = match role {
            Role::Cache => Some(&self.caches),
            Role::Parent => Some(&self.parents),
            Role::Origin => Some(&self.origins),
            Role::OtherZone => None,
        };
        ids.into_iter().flatten().copied()
    }
}

#[cfg(test)]
mod tests;
