//! One run of a plan: its parts, their start and their end.
use super::client::Client;
use super::misbehaving_cache_host::MisbehavingCacheHost;
use super::observations::{Observations, Recorder};
use super::plan::Plan;
use super::replicated_discovery::ReplicatedDiscovery;
use crate::support::{endpoint_list, unused_address};
use rand::rngs::StdRng;
use rand::Rng;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Time after SIGTERM during which clients open new connections.
const ACCEPT_PERIOD: Duration = Duration::from_millis(600);
/// Number of cache hosts that store objects, in addition to a parent and the origin.
pub const CACHE_HOSTS: usize = 5;

/// A dispatcher of the run: successive processes at one address.
pub struct DispatcherSlot {
    pub number: usize,
    pub address: SocketAddr,
    /// Time at which the process got SIGTERM; `None` while it serves.
    pub sigterm_at: Mutex<Option<Instant>>,
}

impl DispatcherSlot {
    /// Returns whether clients still connect.
    pub fn accepts_connections(&self) -> bool {
        let sigterm_at = *self.sigterm_at.lock().unwrap();
        sigterm_at.is_none_or(|sigterm_at| sigterm_at.elapsed() <= ACCEPT_PERIOD)
    }
}

/// State that the parts of a run share.
pub struct Run {
    pub plan: Plan,
    pub recorder: Arc<Recorder>,
    pub discovery: Arc<ReplicatedDiscovery>,
    /// Cache hosts of the endpoint list; the first [`CACHE_HOSTS`] are replaced from time to time.
    pub hosts: Mutex<Vec<Arc<MisbehavingCacheHost>>>,
    pub slots: Vec<Arc<DispatcherSlot>>,
    /// Cancelled at the end of the run: no new requests and no new faults start.
    pub over: CancellationToken,
}

/// Returns a random duration; both ends are included.
pub fn random_duration(rng: &mut StdRng, from_ms: u64, to_ms: u64) -> Duration {
    Duration::from_millis(rng.gen_range(from_ms..=to_ms))
}

impl Run {
    /// Starts the cache hosts and the discovery server, and chooses the dispatchers' addresses.
    async fn start(plan: Plan) -> Arc<Self> {
        let recorder = Arc::new(Recorder::default());
        let discovery = ReplicatedDiscovery::start().await;
        let classes = [["box"; CACHE_HOSTS].as_slice(), &["parent", "origin"]].concat();
        let mut hosts = Vec::new();
        for (number, class) in classes.into_iter().enumerate() {
            hosts.push(MisbehavingCacheHost::start(number, class, recorder.clone()).await);
        }
        let entries: Vec<String> = hosts.iter().map(|host| host.entry("Ready")).collect();
        discovery.publish(&endpoint_list(1, true, &entries));
        let mut slots = Vec::new();
        for number in 0..plan.dispatchers {
            // A SIGTERM in the past keeps clients from connecting until the first process serves.
            let past_sigterm = Instant::now() - ACCEPT_PERIOD * 2;
            slots.push(Arc::new(DispatcherSlot {
                number,
                address: unused_address(),
                sigterm_at: Mutex::new(Some(past_sigterm)),
            }));
        }
        Arc::new(Self {
            plan,
            recorder,
            discovery,
            hosts: Mutex::new(hosts),
            slots,
            over: CancellationToken::new(),
        })
    }

    /// Waits for `duration`; returns false if the run is over before.
    pub async fn pause(&self, duration: Duration) -> bool {
        tokio::select! {
            () = tokio::time::sleep(duration) => true,
            () = self.over.cancelled() => false,
        }
    }

    /// Starts the clients of a dispatcher.
    fn spawn_clients(self: &Arc<Self>, slot: &Arc<DispatcherSlot>, tasks: &mut JoinSet<()>) {
        for number in 0..self.plan.clients_per_dispatcher as u64 {
            tasks.spawn(Client::new(self.clone(), slot.clone(), number).run());
        }
        let idle_clients = match self.plan.idle_clients {
            true => self.plan.descriptor_limit as usize / 2,
            false => 0,
        };
        for _ in 0..idle_clients {
            tasks.spawn(self.clone().keep_idle_connection(slot.clone()));
        }
    }
}

/// Runs a plan and returns the observations.
pub async fn execute(plan: Plan) -> Observations {
    let run = Run::start(plan).await;
    let mut dispatchers = JoinSet::new();
    let mut others = JoinSet::new();
    for slot in &run.slots {
        dispatchers.spawn(run.clone().run_dispatchers(slot.clone()));
        run.spawn_clients(slot, &mut others);
    }
    others.spawn(run.clone().change_behaviours());
    others.spawn(run.clone().announce_changes());
    others.spawn(run.clone().interrupt_discovery());
    tokio::time::sleep(run.plan.duration).await;
    run.over.cancel();
    while let Some(ended) = dispatchers.join_next().await {
        ended.unwrap();
    }
    others.abort_all();
    while let Some(ended) = others.join_next().await {
        // A task ends here by the abort, unless it has panicked.
        let failed = ended.is_err_and(|error| error.is_panic());
        assert!(!failed, "a client or a part of the platform has failed");
    }
    let observations = run.recorder.lock().clone();
    observations
}
