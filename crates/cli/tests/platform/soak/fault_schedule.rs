//! Faults and changes outside the dispatchers: cache hosts that misbehave, are replaced and drain, purges of
//! objects, and a discovery server that is down or silent.
use super::misbehaving_cache_host::{Behaviour, MisbehavingCacheHost, BEHAVIOURS};
use super::observations::{Change, DiscoveryOutage};
use super::replicated_discovery::Availability;
use super::run::{random_duration, Run, CACHE_HOSTS};
use crate::support::{endpoint_list, purge, unix_ms};
use rand::rngs::StdRng;
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const BEHAVIOUR_SALT: u64 = 1;
const CHANGE_SALT: u64 = 2;
const DISCOVERY_SALT: u64 = 3;
/// Fraction of the changes that are purges; the others replace a cache host.
const PURGE_PROBABILITY: f64 = 0.8;
/// Number of objects that page requests use and that may be purged.
pub const PAGE_OBJECTS: u64 = 30;
/// Time after an outage by which the server is polled again; earlier events may arrive up to then.
const POLLED_AGAIN_AFTER: Duration = Duration::from_millis(1_000);

impl Run {
    /// Lets cache hosts misbehave in turn.
    pub async fn change_behaviours(self: Arc<Self>) {
        let mut rng = self.plan.rng(BEHAVIOUR_SALT);
        while self.pause(random_duration(&mut rng, 150, 500)).await {
            let host = {
                let hosts = self.hosts.lock().unwrap();
                hosts[rng.gen_range(0..hosts.len())].clone()
            };
            host.set_behaviour(BEHAVIOURS[rng.gen_range(1..BEHAVIOURS.len())]);
            let duration = random_duration(&mut rng, 100, 900);
            tokio::spawn(async move {
                tokio::time::sleep(duration).await;
                host.set_behaviour(Behaviour::Serves);
            });
        }
        for host in self.hosts.lock().unwrap().iter() {
            host.set_behaviour(Behaviour::Serves);
        }
    }

    /// Purges objects, and replaces cache hosts, which then drain.
    pub async fn announce_changes(self: Arc<Self>) {
        let mut rng = self.plan.rng(CHANGE_SALT);
        let mut list_sequence = 1;
        let mut next_host = CACHE_HOSTS + 2;
        while self.pause(random_duration(&mut rng, 100, 400)).await {
            if rng.gen_bool(PURGE_PROBABILITY) {
                if !self.purge_object(&mut rng).await {
                    return;
                }
                continue;
            }
            list_sequence += 1;
            self.replace_cache_host(&mut rng, next_host, list_sequence)
                .await;
            next_host += 1;
        }
    }

    /// Purges an object; returns false if the run is over before the purge is published.
    async fn purge_object(&self, rng: &mut StdRng) -> bool {
        let object = rng.gen_range(0..PAGE_OBJECTS);
        let at = Instant::now();
        let event = purge(&format!("{object:016x}"), unix_ms());
        // The purge is published some time after it takes place.
        if !self.pause(random_duration(rng, 0, 200)).await {
            return false;
        }
        self.discovery.publish(&event);
        self.recorder.announced(Change::Purged { object, at });
        true
    }

    async fn replace_cache_host(&self, rng: &mut StdRng, number: usize, list_sequence: u64) {
        let new = MisbehavingCacheHost::start(number, "box", self.recorder.clone()).await;
        let old = {
            let mut hosts = self.hosts.lock().unwrap();
            let index = rng.gen_range(0..CACHE_HOSTS);
            std::mem::replace(&mut hosts[index], new.clone())
        };
        let entries = [old.entry("Terminating"), new.entry("Ready")];
        self.discovery
            .publish(&endpoint_list(list_sequence, false, &entries));
        self.recorder
            .announced(Change::Drained { host: old.number });
    }

    /// Lets the discovery server be down or silent from time to time.
    pub async fn interrupt_discovery(self: Arc<Self>) {
        let mut rng = self.plan.rng(DISCOVERY_SALT);
        while self.pause(random_duration(&mut rng, 1_500, 4_000)).await {
            let availability = match rng.gen_bool(0.5) {
                true => Availability::Down,
                false => Availability::Silent,
            };
            let from = Instant::now();
            self.discovery.set_availability(availability);
            self.pause(random_duration(&mut rng, 300, 2_500)).await;
            self.discovery.set_availability(Availability::Up);
            let to = Instant::now() + POLLED_AGAIN_AFTER;
            self.recorder
                .lock()
                .discovery_outages
                .push(DiscoveryOutage { from, to });
        }
    }
}
