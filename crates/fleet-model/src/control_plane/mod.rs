//! The control plane of a model fleet: the endpoint list, recent purges, and the notifications to dispatchers.
//!
//! Each dispatcher receives the endpoint updates in order, each after a random delay of its own.
mod list_update;
mod subscriber;

pub use list_update::{list_update, ListUpdate};

use pointspindle::Micros;
use pointspindle_cache_model::{HostId, HostSpec};
use pointspindle_scenario::script::ListedState;
use pointspindle_scenario::{derive_seed, RuleLimits};
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::collections::VecDeque;
use subscriber::Subscriber;

/// Time after the purge deadline for which a purge is still sent to dispatchers that connect, in microseconds.
const PURGE_RETENTION_MARGIN_US: Micros = 1_000_000;

/// A host's entry on the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// The host.
    pub host: HostId,
    /// Address of the host, or of a relay in front of it.
    pub address: String,
    /// State of the host.
    pub state: ListedState,
    /// Number of starts of the host's process.
    pub incarnation: u64,
    /// Time of the last start, in microseconds; `None` if it was long before the run.
    pub started_at: Option<Micros>,
}

/// A notification to a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlUpdate {
    /// Changed entries of the endpoint list, and the list's sequence number.
    Delta(u64, Vec<ListedEndpoint>),
    /// All entries of the endpoint list, and the list's sequence number.
    Full(u64, Vec<ListedEndpoint>),
    /// A purge.
    Purge {
        /// Path of the purged object; `None` if the whole group is purged.
        object: Option<String>,
        /// The purge group.
        group: u64,
        /// Time of the purge, in microseconds.
        at: Micros,
    },
}

/// A purge that is sent to dispatchers when they connect.
#[derive(Debug)]
struct RecentPurge {
    at: Micros,
    object: Option<String>,
    group: u64,
}

impl RecentPurge {
    fn notification(&self) -> ControlUpdate {
        ControlUpdate::Purge {
            object: self.object.clone(),
            group: self.group,
            at: self.at,
        }
    }
}

/// An additional delay of endpoint updates, caused by a fault.
#[derive(Debug, Default)]
struct ExtraDelay {
    delay: Micros,
    until: Micros,
}

/// The endpoint list, recent purges, and pending notifications.
#[derive(Debug)]
pub struct ControlPlane {
    rules: RuleLimits,
    endpoints: Vec<ListedEndpoint>,
    /// The dispatchers, by their index in the scenario.
    subscribers: Vec<Subscriber>,
    purges: VecDeque<RecentPurge>,
    extra_delay: ExtraDelay,
    rng: StdRng,
}

impl ControlPlane {
    /// Creates a control plane that lists all hosts as ready. Delays are derived from the scenario's `seed`.
    pub fn new(rules: RuleLimits, hosts: &[HostSpec], dispatchers: usize, seed: u64) -> Self {
        let endpoint = |(host, spec): (HostId, &HostSpec)| ListedEndpoint {
            host,
            address: spec.address.clone(),
            state: ListedState::Ready,
            incarnation: 1,
            started_at: None,
        };
        Self {
            rules,
            endpoints: hosts.iter().enumerate().map(endpoint).collect(),
            subscribers: (0..dispatchers).map(|_| Subscriber::default()).collect(),
            purges: VecDeque::new(),
            extra_delay: ExtraDelay::default(),
            rng: StdRng::seed_from_u64(derive_seed(seed, "book")),
        }
    }

    /// Replaces the listed address of a host by that of a relay in front of it.
    pub fn set_address(&mut self, host: HostId, address: String) {
        let mut endpoints = self.endpoints.iter_mut();
        if let Some(endpoint) = endpoints.find(|endpoint| endpoint.host == host) {
            endpoint.address = address;
        }
    }

    /// Delays notifications of updates made before `until` by an additional `delay`, both in microseconds.
    pub fn delay_updates(&mut self, delay: Micros, until: Micros) {
        self.extra_delay = ExtraDelay { delay, until };
    }

    /// Changes a listed host's entry except for its address, or adds a host. Dispatchers are notified after delays.
    pub fn update_endpoint(&mut self, now: Micros, update: ListedEndpoint) {
        let endpoint = self.store_update(update);
        let extra_delay = if now < self.extra_delay.until {
            self.extra_delay.delay
        } else {
            0
        };
        for subscriber in connected(&mut self.subscribers) {
            let delay = self.rules.endpoint_update_delay.sample(&mut self.rng);
            subscriber.notify_endpoint_update(now + extra_delay + delay, endpoint.clone());
        }
    }

    /// Stores an update, and returns the entry that is now listed.
    fn store_update(&mut self, update: ListedEndpoint) -> ListedEndpoint {
        let mut endpoints = self.endpoints.iter_mut();
        match endpoints.find(|endpoint| endpoint.host == update.host) {
            Some(listed) => {
                let address = std::mem::take(&mut listed.address);
                *listed = ListedEndpoint { address, ..update };
                listed.clone()
            }
            None => {
                self.endpoints.push(update.clone());
                update
            }
        }
    }

    /// Purges an object, or the whole group if `object` is `None`. Dispatchers are notified after delays.
    pub fn purge(&mut self, now: Micros, object: Option<String>, group: u64) {
        let purge = RecentPurge {
            at: now,
            object,
            group,
        };
        let notification = purge.notification();
        self.purges.push_back(purge);
        let retention = self.rules.purge_deadline + PURGE_RETENTION_MARGIN_US;
        self.purges.retain(|purge| purge.at + retention > now);
        for subscriber in connected(&mut self.subscribers) {
            let due = now + self.rules.purge_delay.sample(&mut self.rng);
            subscriber.schedule(due, notification.clone());
        }
    }

    /// Disconnects a dispatcher that is down: it misses notifications until it connects again.
    pub fn disconnect(&mut self, dispatcher: usize) {
        self.subscribers[dispatcher].disconnect();
    }

    /// Connects a dispatcher that has started: it is notified of recent purges and of the full list without delay.
    pub fn connect(&mut self, now: Micros, dispatcher: usize) {
        let listed = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.state != ListedState::Removed);
        let purges = self.purges.iter().map(RecentPurge::notification);
        self.subscribers[dispatcher].connect(now, purges, listed.cloned().collect());
    }

    /// Returns the time at which the next notification is due, in microseconds.
    pub fn next_due(&self) -> Option<Micros> {
        self.subscribers
            .iter()
            .filter_map(Subscriber::next_due)
            .min()
    }

    /// Removes and returns the notifications that are due, each with its dispatcher.
    pub fn take_due(&mut self, now: Micros) -> Vec<(usize, ControlUpdate)> {
        let mut due = Vec::new();
        for (dispatcher, subscriber) in self.subscribers.iter_mut().enumerate() {
            while let Some(notification) = subscriber.pop_due(now) {
                due.push((dispatcher, notification));
            }
        }
        due
    }
}

fn connected(subscribers: &mut [Subscriber]) -> impl Iterator<Item = &mut Subscriber> {
    subscribers
        .iter_mut()
        .filter(|subscriber| subscriber.is_connected())
}
