//! Admission control for client connections. This module performs no I/O.
//!
//! Above the soft limit idle connections are closed, longest idle first. At the hard limit, or at the quota of an address
//! or of a network (such as that of a branch), new connections are rejected with a Retry-After, unless an idle connection of
//! the same address or network can be closed instead. A connection with a request in flight is never closed to admit another.
//!
//! This module also decides which connections have reached the idle time-out. Idle connections are ordered by the time at
//! which they became idle, so only the first one must be checked: connections have no timers of their own, and using a
//! connection does not set or cancel one.
use pointspindle::Micros;
use pointspindle_config::NetworkQuota;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::IpAddr;

/// Shortest Retry-After of a rejected connection.
const RETRY_AFTER_US: Micros = 1_000_000;
/// Added to the Retry-After for every [`REJECTIONS_PER_STEP`] rejections in the current window, so that many rejected clients
/// do not all return at the same time.
const RETRY_AFTER_STEP_US: Micros = 50_000;
const REJECTIONS_PER_STEP: u64 = 100;
const REJECTION_WINDOW_US: Micros = 1_000_000;

/// Limits on open connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Largest number of open connections.
    pub hard: usize,
    /// Number of open connections above which idle ones are closed.
    pub soft: usize,
    /// Largest number of connections of one client address.
    pub per_address: usize,
    /// Quotas of networks. An address counts towards the first network that contains it.
    pub networks: Vec<NetworkQuota>,
}

impl ConnectionLimits {
    /// Returns the index of the network that an address counts towards.
    fn network_of(&self, address: IpAddr) -> Option<usize> {
        self.networks
            .iter()
            .position(|network| network.contains(address))
    }
}

/// Number of a connection, unique within an [`Admission`].
pub type ConnectionId = u64;

/// The decision about a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The connection is admitted under this number.
    Admit(ConnectionId),
    /// The connection is rejected.
    Reject {
        /// Time after which the client should connect again.
        retry_after: Micros,
    },
}

/// The effect of a new connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionOutcome {
    /// The decision about the new connection.
    pub decision: AdmissionDecision,
    /// Idle connections to be closed.
    pub close: Vec<ConnectionId>,
}

/// The client address of a connection, and the index of its network; both have quotas.
#[derive(Clone, Copy, Debug)]
struct ClientAddress {
    address: IpAddr,
    network: Option<usize>,
}

#[derive(Debug)]
struct Connection {
    client: ClientAddress,
    /// When the connection became idle; `None` while a request is in flight.
    idle_since: Option<Micros>,
    /// Whether the connection has been chosen to be closed, and is not to be chosen again.
    is_closing: bool,
}

/// An idle connection, ordered by the time at which it became idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct IdleConnection {
    since: Micros,
    id: ConnectionId,
}

/// Usage of one quota: the number of open connections, and the idle connections that are not closing, longest idle first.
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
    /// Counts a rejection. Returns the time after which the client should connect again.
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
/// are removed by [`Admission::remove`], which the caller must call once for each admitted connection.
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
    /// Creates a state without connections.
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
    pub fn admit(&mut self, now: Micros, address: IpAddr) -> AdmissionOutcome {
        let client = ClientAddress {
            address,
            network: self.limits.network_of(address),
        };
        let mut close = Vec::new();
        let Some(to_replace) = self.idle_to_replace(client) else {
            return self.reject(now, close);
        };
        for id in to_replace {
            self.start_closing(id, &mut close);
        }
        if self.open.len() >= self.limits.hard {
            // Closing connections count towards the hard limit, since their descriptors are still open.
            self.close_idle_above(self.limits.soft.saturating_sub(1), &mut close);
            return self.reject(now, close);
        }
        self.last_id += 1;
        let connection = Connection {
            client,
            idle_since: Some(now),
            is_closing: false,
        };
        self.open.insert(self.last_id, connection);
        self.quotas(client).for_each(|quota| quota.open += 1);
        // Done before the new connection is among the idle ones, so that it is not closed itself.
        self.close_idle_above(self.limits.soft, &mut close);
        let idle = IdleConnection {
            since: now,
            id: self.last_id,
        };
        self.insert_idle(client, idle);
        AdmissionOutcome {
            decision: AdmissionDecision::Admit(self.last_id),
            close,
        }
    }

    /// Returns the longest idle connection of each exhausted quota of a client, or `None` if one of these quotas has no idle
    /// connection.
    fn idle_to_replace(&self, client: ClientAddress) -> Option<Vec<ConnectionId>> {
        let address_usage = self
            .by_address
            .get(&client.address)
            .map(|usage| (usage, self.limits.per_address));
        let network_usage = client
            .network
            .map(|n| (&self.by_network[n], self.limits.networks[n].connections));
        address_usage
            .into_iter()
            .chain(network_usage)
            .filter(|(usage, quota)| usage.open >= *quota)
            .map(|(usage, _)| usage.idle.first().map(|idle| idle.id))
            .collect()
    }

    fn reject(&mut self, now: Micros, close: Vec<ConnectionId>) -> AdmissionOutcome {
        let retry_after = self.rejections.record(now);
        AdmissionOutcome {
            decision: AdmissionDecision::Reject { retry_after },
            close,
        }
    }

    /// Returns the quotas that connections of a client use.
    fn quotas(&mut self, client: ClientAddress) -> impl Iterator<Item = &mut QuotaUsage> {
        let network_usage = client.network.and_then(|n| self.by_network.get_mut(n));
        [self.by_address.entry(client.address).or_default()]
            .into_iter()
            .chain(network_usage)
    }

    fn insert_idle(&mut self, client: ClientAddress, idle: IdleConnection) {
        self.idle.insert(idle);
        self.quotas(client).for_each(|quota| {
            quota.idle.insert(idle);
        });
    }

    fn remove_idle(&mut self, client: ClientAddress, idle: IdleConnection) {
        self.idle.remove(&idle);
        self.quotas(client).for_each(|quota| {
            quota.idle.remove(&idle);
        });
    }

    /// Starts closing connections that have been idle for `timeout`, longest idle first. At most `max_count` are closed in one
    /// call, so that many connections that became idle at the same time are closed in batches.
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

    /// Returns the time at which [`Admission::expire`] next finds a connection, unless that connection is used before.
    pub fn next_expiry(&self, timeout: Micros) -> Option<Micros> {
        self.idle.first().map(|idle| idle.since + timeout)
    }

    /// Starts closing idle connections until at most `max_count` connections that are not closing are left.
    fn close_idle_above(&mut self, max_count: usize, close: &mut Vec<ConnectionId>) {
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
        let client = connection.client;
        let idle_since = connection.idle_since;
        self.closing_count += 1;
        close.push(id);
        if let Some(since) = idle_since {
            self.remove_idle(client, IdleConnection { since, id });
        }
    }

    /// Starts closing up to `count` idle connections regardless of the limits, for a process that has no descriptors left.
    pub fn close_idle(&mut self, count: usize) -> Vec<ConnectionId> {
        let longest_idle: Vec<IdleConnection> = self.idle.iter().take(count).copied().collect();
        let mut close = Vec::new();
        for idle in longest_idle {
            self.start_closing(idle.id, &mut close);
        }
        close
    }

    /// Records that a request has begun on a connection. If the connection has just been chosen to be closed, the request is
    /// still answered, and the connection closes afterwards.
    pub fn mark_busy(&mut self, id: ConnectionId) {
        let Some(connection) = self.open.get_mut(&id) else {
            return;
        };
        let client = connection.client;
        if let Some(since) = connection.idle_since.take() {
            self.remove_idle(client, IdleConnection { since, id });
        }
    }

    /// Records that the last request in flight on a connection has ended.
    pub fn mark_idle(&mut self, now: Micros, id: ConnectionId) {
        let connection = self.open.get_mut(&id);
        let Some(connection) = connection.filter(|connection| connection.idle_since.is_none())
        else {
            return;
        };
        connection.idle_since = Some(now);
        let client = connection.client;
        if !connection.is_closing {
            self.insert_idle(client, IdleConnection { since: now, id });
        }
    }

    /// Removes a closed connection, and its address if this was the address's last connection.
    pub fn remove(&mut self, id: ConnectionId) {
        let Some(connection) = self.open.remove(&id) else {
            return;
        };
        let client = connection.client;
        if let Some(since) = connection.idle_since {
            self.remove_idle(client, IdleConnection { since, id });
        }
        self.closing_count -= usize::from(connection.is_closing);
        self.quotas(client).for_each(|quota| quota.open -= 1);
        let address_usage = self.by_address.get(&client.address);
        if address_usage.is_some_and(|usage| usage.open == 0) {
            self.by_address.remove(&client.address);
        }
    }

    /// Sets new limits, and starts closing idle connections that exceed the soft limit or a network's quota.
    pub fn set_limits(&mut self, limits: ConnectionLimits) -> Vec<ConnectionId> {
        self.limits = limits;
        self.recount_networks();
        let mut close = Vec::new();
        for id in self.idle_over_network_quotas() {
            self.start_closing(id, &mut close);
        }
        self.close_idle_above(self.limits.soft, &mut close);
        close
    }

    /// Assigns all connections to the networks of the current limits, and counts their usage anew.
    fn recount_networks(&mut self) {
        self.by_network = unused_quotas(&self.limits);
        for (id, connection) in &mut self.open {
            let network = self.limits.network_of(connection.client.address);
            connection.client.network = network;
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

    /// Returns the longest idle connections of each network that exceeds its quota, as many as are over the quota.
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
