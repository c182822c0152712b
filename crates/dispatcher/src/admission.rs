//! Admission control for client connections: a decision without I/O.
//!
//! Over the soft limit idle connections are closed, longest idle first. At the hard limit, or over the quota of an address
//! or of a network (a branch's), new connections are rejected with a Retry-After, unless an idle connection of the same
//! address or network can be closed instead. A connection with a request in flight is never closed for another.
//!
//! Idle time-outs are decided here too. Idle connections are ordered by the moment at which they became idle, so it is
//! enough to look at the first one: no connection has a timer, and using one touches none.
use pointspindle::Micros;
use pointspindle_config::NetworkQuota;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::IpAddr;

/// Retry-After of a rejected connection, ...
const RETRY_AFTER_US: Micros = 1_000_000;
/// ... and so much more for each [`REJECTIONS_PER_STEP`] in the current second, so that a crowd does not return at once.
const RETRY_AFTER_STEP_US: Micros = 50_000;
const REJECTIONS_PER_STEP: u64 = 100;
const REJECTION_WINDOW_US: Micros = 1_000_000;

/// Limits on open connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// All connections.
    pub hard: usize,
    /// Over this many, idle ones are closed.
    pub soft: usize,
    /// Connections of one client address.
    pub per_address: usize,
    /// Connections of all addresses of a network; the first network that contains an address counts.
    pub networks: Vec<NetworkQuota>,
}

impl ConnectionLimits {
    /// Index of the network that an address counts in.
    fn network_of(&self, address: IpAddr) -> Option<usize> {
        self.networks
            .iter()
            .position(|network| network.contains(address))
    }
}

/// Number of a connection, unique within an [`Admission`].
pub type ConnectionId = u64;

/// What happens to a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It is admitted under this number.
    Admit(ConnectionId),
    /// It is rejected.
    Reject {
        /// When the client should connect again.
        retry_after: Micros,
    },
}

/// The effect of a new connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// What happens to the new connection.
    pub decision: AdmissionDecision,
    /// Idle connections to be closed.
    pub close: Vec<ConnectionId>,
}

/// Where a connection comes from: what its quotas are counted by.
#[derive(Clone, Copy, Debug)]
struct Origin {
    address: IpAddr,
    network: Option<usize>,
}

#[derive(Debug)]
struct Connection {
    origin: Origin,
    /// None: a request is in flight.
    idle_since: Option<Micros>,
    /// Chosen to be closed: not chosen again.
    is_closing: bool,
}

/// An idle connection, ordered by the time since which it is idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct IdleConnection {
    since: Micros,
    id: ConnectionId,
}

/// Usage of one quota: the number of open connections, and the idle ones, longest first, without those that are closing.
#[derive(Debug, Default)]
struct QuotaUsage {
    open: usize,
    idle: BTreeSet<IdleConnection>,
}

/// Rejections in the current window.
#[derive(Debug, Default)]
struct RejectionWindow {
    started_at: Micros,
    count: u64,
}

impl RejectionWindow {
    /// Counts a rejection; when its client should connect again.
    fn record(&mut self, now: Micros) -> Micros {
        if now >= self.started_at + REJECTION_WINDOW_US {
            self.started_at = now;
            self.count = 0;
        }
        self.count += 1;
        RETRY_AFTER_US + RETRY_AFTER_STEP_US * (self.count / REJECTIONS_PER_STEP)
    }
}

/// All open connections and the quotas that they use.
///
/// Invariant: `idle`, and the idle set of each quota, contain exactly the idle connections that are not closing. Bound: one
/// entry for each open connection, at most the hard limit, and one usage for each address with an open connection; both
/// are removed by [`Admission::closed`], which is owed once for each admitted connection.
#[derive(Debug)]
pub struct Admission {
    limits: ConnectionLimits,
    last_id: ConnectionId,
    open: BTreeMap<ConnectionId, Connection>,
    by_address: HashMap<IpAddr, QuotaUsage>,
    by_network: Vec<QuotaUsage>,
    idle: BTreeSet<IdleConnection>,
    closing_count: usize,
    rejections: RejectionWindow,
}

impl Admission {
    /// No connections yet.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            by_network: unused_quotas(&limits),
            limits,
            last_id: 0,
            open: BTreeMap::new(),
            by_address: HashMap::new(),
            idle: BTreeSet::new(),
            closing_count: 0,
            rejections: RejectionWindow::default(),
        }
    }

    /// Number of open connections, including those that are closing.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Decides about a new connection.
    pub fn arrive(&mut self, now: Micros, address: IpAddr) -> Arrival {
        let origin = Origin {
            address,
            network: self.limits.network_of(address),
        };
        let mut close = Vec::new();
        let Some(replaced) = self.replaced_by(origin) else {
            return self.reject(now, close);
        };
        for id in replaced {
            self.start_closing(id, &mut close);
        }
        if self.open.len() >= self.limits.hard {
            // The hard limit counts closing connections too: they still have a descriptor.
            self.trim(self.limits.soft.saturating_sub(1), &mut close);
            return self.reject(now, close);
        }
        self.last_id += 1;
        let connection = Connection {
            origin,
            idle_since: Some(now),
            is_closing: false,
        };
        self.open.insert(self.last_id, connection);
        self.quotas(origin).for_each(|quota| quota.open += 1);
        // Trimmed before the new connection is idle, so that it is not closed for itself.
        self.trim(self.limits.soft, &mut close);
        let idle = IdleConnection {
            since: now,
            id: self.last_id,
        };
        self.insert_idle(origin, idle);
        Arrival {
            decision: AdmissionDecision::Admit(self.last_id),
            close,
        }
    }

    /// The longest idle connection of each exhausted quota of an origin; none if one of them has no idle connection.
    fn replaced_by(&self, origin: Origin) -> Option<Vec<ConnectionId>> {
        let of_address = self
            .by_address
            .get(&origin.address)
            .map(|usage| (usage, self.limits.per_address));
        let of_network = origin
            .network
            .map(|n| (&self.by_network[n], self.limits.networks[n].connections));
        of_address
            .into_iter()
            .chain(of_network)
            .filter(|(usage, quota)| usage.open >= *quota)
            .map(|(usage, _)| usage.idle.first().map(|idle| idle.id))
            .collect()
    }

    fn reject(&mut self, now: Micros, close: Vec<ConnectionId>) -> Arrival {
        let retry_after = self.rejections.record(now);
        Arrival {
            decision: AdmissionDecision::Reject { retry_after },
            close,
        }
    }

    /// The quotas that connections of an origin use.
    fn quotas(&mut self, origin: Origin) -> impl Iterator<Item = &mut QuotaUsage> {
        let of_network = origin.network.and_then(|n| self.by_network.get_mut(n));
        [self.by_address.entry(origin.address).or_default()]
            .into_iter()
            .chain(of_network)
    }

    fn insert_idle(&mut self, origin: Origin, idle: IdleConnection) {
        self.idle.insert(idle);
        self.quotas(origin).for_each(|quota| {
            quota.idle.insert(idle);
        });
    }

    fn remove_idle(&mut self, origin: Origin, idle: IdleConnection) {
        self.idle.remove(&idle);
        self.quotas(origin).for_each(|quota| {
            quota.idle.remove(&idle);
        });
    }

    /// Closes connections that have been idle for `timeout`, longest first, and at most `max_count` in one call: a crowd
    /// that became idle at once is closed in slices.
    pub fn expire(&mut self, now: Micros, timeout: Micros, max_count: usize) -> Vec<ConnectionId> {
        let mut close = Vec::new();
        while close.len() < max_count {
            match self.idle.first().copied() {
                Some(idle) if now >= idle.since + timeout => {
                    self.start_closing(idle.id, &mut close);
                }
                _ => break,
            }
        }
        close
    }

    /// When [`Admission::expire`] next finds a connection, if none is used before.
    pub fn next_expiry(&self, timeout: Micros) -> Option<Micros> {
        self.idle.first().map(|idle| idle.since + timeout)
    }

    /// Closes idle connections until at most `max_count` are left.
    fn trim(&mut self, max_count: usize, close: &mut Vec<ConnectionId>) {
        while self.open.len() - self.closing_count > max_count {
            let Some(idle) = self.idle.first().copied() else {
                return;
            };
            self.start_closing(idle.id, close);
        }
    }

    fn start_closing(&mut self, id: ConnectionId, close: &mut Vec<ConnectionId>) {
        let connection = self.open.get_mut(&id);
        let Some(connection) = connection.filter(|connection| !connection.is_closing) else {
            return;
        };
        connection.is_closing = true;
        let origin = connection.origin;
        let idle_since = connection.idle_since;
        self.closing_count += 1;
        close.push(id);
        if let Some(since) = idle_since {
            self.remove_idle(origin, IdleConnection { since, id });
        }
    }

    /// Closes up to `count` idle connections, whatever the limits: the process has no descriptors left.
    pub fn close_idle(&mut self, count: usize) -> Vec<ConnectionId> {
        let longest_idle: Vec<IdleConnection> = self.idle.iter().take(count).copied().collect();
        let mut close = Vec::new();
        for idle in longest_idle {
            self.start_closing(idle.id, &mut close);
        }
        close
    }

    /// A request has begun on a connection. If the connection was chosen to be closed at the same moment, the request is
    /// still answered, and the connection closes afterwards.
    pub fn mark_busy(&mut self, id: ConnectionId) {
        let Some(connection) = self.open.get_mut(&id) else {
            return;
        };
        let origin = connection.origin;
        if let Some(since) = connection.idle_since.take() {
            self.remove_idle(origin, IdleConnection { since, id });
        }
    }

    /// The last request in flight on a connection has ended.
    pub fn mark_idle(&mut self, now: Micros, id: ConnectionId) {
        let connection = self.open.get_mut(&id);
        let Some(connection) = connection.filter(|connection| connection.idle_since.is_none())
        else {
            return;
        };
        connection.idle_since = Some(now);
        let origin = connection.origin;
        if !connection.is_closing {
            self.insert_idle(origin, IdleConnection { since: now, id });
        }
    }

    /// A connection is closed: forgets it, and its address if this was the last one.
    pub fn closed(&mut self, id: ConnectionId) {
        let Some(connection) = self.open.remove(&id) else {
            return;
        };
        let origin = connection.origin;
        if let Some(since) = connection.idle_since {
            self.remove_idle(origin, IdleConnection { since, id });
        }
        self.closing_count -= usize::from(connection.is_closing);
        self.quotas(origin).for_each(|quota| quota.open -= 1);
        let of_address = self.by_address.get(&origin.address);
        if of_address.is_some_and(|usage| usage.open == 0) {
            self.by_address.remove(&origin.address);
        }
    }

    /// Sets other limits, and closes idle connections over them.
    pub fn set_limits(&mut self, limits: ConnectionLimits) -> Vec<ConnectionId> {
        self.limits = limits;
        self.recount_networks();
        let mut close = Vec::new();
        for id in self.idle_over_network_quotas() {
            self.start_closing(id, &mut close);
        }
        self.trim(self.limits.soft, &mut close);
        close
    }

    /// Assigns all connections to the networks of the current limits.
    fn recount_networks(&mut self) {
        self.by_network = unused_quotas(&self.limits);
        for (id, connection) in &mut self.open {
            let network = self.limits.network_of(connection.origin.address);
            connection.origin.network = network;
            let Some(usage) = network.and_then(|n| self.by_network.get_mut(n)) else {
                continue;
            };
            usage.open += 1;
            let idle_since = connection.idle_since.filter(|_| !connection.is_closing);
            if let Some(since) = idle_since {
                usage.idle.insert(IdleConnection { since, id: *id });
            }
        }
    }

    /// For each network over its quota, as many of its idle connections as it is over, longest idle first.
    fn idle_over_network_quotas(&self) -> Vec<ConnectionId> {
        let quotas = self.limits.networks.iter();
        self.by_network
            .iter()
            .zip(quotas)
            .flat_map(|(usage, quota)| {
                let excess = usage.open.saturating_sub(quota.connections);
                usage.idle.iter().take(excess).map(|idle| idle.id)
            })
            .collect()
    }
}

fn unused_quotas(limits: &ConnectionLimits) -> Vec<QuotaUsage> {
    let networks = limits.networks.iter();
    networks.map(|_| QuotaUsage::default()).collect()
}

#[cfg(test)]
mod tests;
