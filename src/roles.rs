//! Which members a request may go to at all, by role: a choice looks at these and not at the whole list, which holds the caches of
//! every other location as well.
//!
//! Invariant: each member that the router keeps stands in the set of its role, or in none where it is another location's cache.
//! Forgotten with the member.
use crate::interface::{EndpointEntry, EndpointId, RouterSettings};
use std::collections::BTreeSet;

/// What a member is to this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// A cache of the router's own location.
    Cache,
    Parent,
    Origin,
    /// Another location's cache: nothing is sent there.
    Elsewhere,
}

impl Role {
    pub fn of(entry: &EndpointEntry, settings: &RouterSettings) -> Self {
        match Some(entry.kind) {
            kind if kind == settings.origin_kind => Self::Origin,
            kind if kind == settings.parent_kind => Self::Parent,
            _ if entry.zone == settings.zone => Self::Cache,
            _ => Self::Elsewhere,
        }
    }
}

/// Members by role, each in the order of their ids.
#[derive(Debug, Default)]
pub(crate) struct Roles {
    caches: BTreeSet<EndpointId>,
    parents: BTreeSet<EndpointId>,
    origins: BTreeSet<EndpointId>,
}

impl Roles {
    /// A member is listed, for the first time or anew.
    pub fn place(&mut self, id: EndpointId, role: Role) {
        self.forget(id);
        match role {
            Role::Cache => self.caches.insert(id),
            Role::Parent => self.parents.insert(id),
            Role::Origin => self.origins.insert(id),
            Role::Elsewhere => false,
        };
    }

    pub fn forget(&mut self, id: EndpointId) {
        for of_role in [&mut self.caches, &mut self.parents, &mut self.origins] {
            of_role.remove(&id);
        }
    }

    /// None for the caches of other locations: they are never chosen.
    pub fn of(&self, role: Role) -> impl Iterator<Item = EndpointId> + '_ {
        let of_role = match role {
            Role::Cache => Some(&self.caches),
            Role::Parent => Some(&self.parents),
            Role::Origin => Some(&self.origins),
            Role::Elsewhere => None,
        };
        of_role.into_iter().flatten().copied()
    }
}

#[cfg(test)]
mod tests;
