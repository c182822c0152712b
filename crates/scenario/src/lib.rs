//! A day as a file: fleet, traffic, rules and a script of troubles. `docs/lab.md` describes every key.
//!
//! A value may be a range, `a..b`: it is drawn from the day's seed, each key by a stream of its own, so that a
//! change of one key leaves the others as they were.
#![forbid(unsafe_code)]

pub mod fault_injection;
pub mod import;
mod read;
pub mod script;
pub mod traffic;

pub use script::{Script, ScriptStep};
pub use traffic::{PlannedCall, Traffic};

use fault_injection::InjectedFault;
use pointspindle::{Micros, SlowStartRule};
use pointspindle_cache_host::lease::WorkLedger;
use pointspindle_cache_model::cold::WarmUpSpec;
use pointspindle_cache_model::{
    CacheModelSettings, ClassModel, HostSpec, ModelRequest, Role, ZoneSpec,
};
use pointspindle_config::ConfigErrors;
use pointspindle_transport::simulated::NetworkConditions;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// Whether attempts of a class may run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    Idempotent,
    Keyed,
    NotIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    pub name: String,
    /// Share of first tries.
    pub share: f64,
    /// Size of an answer: mean in bytes, and the spread of its logarithm.
    pub mean_bytes: f64,
    pub sigma: f64,
    /// Brings the mean over the day's own requests to `mean_bytes`: a few popular objects decide it.
    pub size_scale: f64,
    /// Objects, parts of each, and how uneven their popularity is.
    pub objects: u64,
    pub parts: u64,
    /// Parts are asked for one after another, so long apart, by who began at the first; 0: any part at any time.
    pub part_interval: Micros,
    pub zipf: f64,
    /// Share of requests for objects that are wanted once only.
    pub once_share: f64,
    /// Share of requests for objects that one branch alone wants.
    pub local_share: f64,
    pub latency_objective: Micros,
    pub latency_objective_stretch: f64,
    pub deadline: Micros,
    pub priority_weight: f64,
    /// Share of the worth after the aim, and of an old copy.
    pub late_value: f64,
    pub stale_value: f64,
    pub idempotency: Idempotency,
    pub uncacheable: bool,
    pub freshness_lifetime: Micros,
    pub stale_if_error: Micros,
}

/// A member's kind; see [`HostSpec`].
#[derive(Clone, Debug)]
pub struct HostKind {
    pub spec: HostSpec,
    /// Weights are drawn for each member within this share of the kind's.
    pub weight_spread: f64,
}

/// What the rules allow.
#[derive(Clone, Copy, Debug)]
pub struct RuleLimits {
    pub drain_grace: Micros,
    pub purge_grace: Micros,
    pub purge_deadline: Micros,
    /// How late purges and list changes are told, at least and at most.
    pub purge_delay: (Micros, Micros),
    pub endpoint_update_delay: (Micros, Micros),
    /// How late the rig itself may be; more and the run counts for nothing.
    pub timing_tolerance: Micros,
}

/// How clients behave.
#[derive(Clone, Copy, Debug)]
pub struct ClientSettings {
    pub retries: u32,
    pub backoff: Micros,
    /// Share of tries over HTTP; the others are framed.
    pub http_share: f64,
    /// Share of tries whose client leaves before its answer.
    pub cancel_share: f64,
    /// Share of clients that wait as long as they are told.
    pub retry_after_share: f64,
    /// Who finds nobody there asks a dispatcher of the next branch the next time.
    pub fails_over: bool,
}

/// What all dispatchers together may come to; 0: not judged.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetLimits {
    /// Requests under way at a cache host for each unit of its weight.
    pub in_flight: f64,
    /// Attempts beyond the first of a try, for each first one, in any 2 s.
    pub retries: f64,
    /// Jain's index over the dispatchers' shares of tries served.
    pub fairness: f64,
    /// Service of sites that were not struck, over the same day without the site's troubles.
    pub unaffected_service: f64,
}

/// Who runs where: the number of zones, dispatchers and hosts, and what a host of each role is like.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Zones with cache hosts and dispatchers.
    pub branches: usize,
    /// Zones with parents.
    pub hubs: usize,
    /// Cache hosts of each branch.
    pub caches_per_branch: usize,
    /// Dispatchers of each branch.
    pub dispatchers_per_branch: usize,
    /// Parents, spread over the hubs.
    pub parents: usize,
    /// Cache hosts.
    pub cache: HostKind,
    /// Parents.
    pub parent: HostKind,
    /// The origin.
    pub origin: HostKind,
}

/// Speed and latency of what lies between the hosts.
#[derive(Clone, Debug)]
pub struct NetworkSettings {
    /// Bytes a second of one transfer to a client at full speed.
    pub bytes_per_s: f64,
    /// Speed of a fill as a multiple of that.
    pub fill_speedup: f64,
    /// Transfers that a branch's inbound link carries; 0: no limit.
    pub branch_link: f64,
    /// One-way latency within a branch, microseconds.
    pub local_latency: Micros,
    /// One-way latency from a branch to its own hub, microseconds.
    pub hub_latency: Micros,
    /// What each further hub adds to it, microseconds.
    pub hub_step_latency: Micros,
    /// Conditions of the simulated network.
    pub simulated: NetworkConditions,
}

/// What the dispatchers are configured with, or are led to believe.
#[derive(Clone, Debug)]
pub struct DispatcherOptions {
    /// Requests of uncacheable classes go to the origin without a cache host.
    pub bypasses_caches: bool,
    /// Cache hosts coalesce fills where the request says so.
    pub coalesces_fills: bool,
    /// Hosts identify themselves on each connection, and lease out their warm-up.
    pub uses_hello: bool,
    /// Value of the setting `siblings`.
    pub siblings: String,
    /// Value of the setting `notes`.
    pub cache_status_notes: String,
    /// Clients of the framed protocol state the size that they expect.
    pub knows_sizes: bool,
    /// Attempts of one request.
    pub max_attempts: u32,
    /// How long the origin remembers an idempotency key, microseconds.
    pub idempotency_window: Micros,
    /// An injected fault: settings say that there is one dispatcher only.
    pub believes_alone: bool,
}

/// What clients request, and what is purged.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Calls a second, all branches together.
    pub calls_per_s: f64,
    /// Time at the beginning that is not judged: caches fill. Microseconds.
    pub warm_up: Micros,
    /// The rate rises and falls by this share, over and over; 0: steady.
    pub wave_depth: f64,
    /// Period of that, microseconds.
    pub wave_period: Micros,
    /// Purges of single objects a second, on top of scripted ones.
    pub purges_per_s: f64,
    /// Purge groups of each class.
    pub groups: u64,
    /// The classes of requests.
    pub classes: Vec<RequestClass>,
}

/// Weights of three figures of service in the objective.
#[derive(Clone, Copy, Debug)]
pub struct ObjectiveWeights {
    /// Service of the whole run.
    pub whole: f64,
    /// Service of its worst 10 s.
    pub worst_10s: f64,
    /// Service of its worst class.
    pub worst_class: f64,
}

/// What a run is judged by.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Times that the five rules allow.
    pub rules: RuleLimits,
    /// Weights of the objective.
    pub objective: ObjectiveWeights,
    /// Bounds on what all dispatchers do together.
    pub fleet: FleetLimits,
}

/// A run as its file describes it, with all ranges drawn.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The file's name without its ending.
    pub name: String,
    /// One line on what is rehearsed.
    pub description: String,
    /// Length of the run, seconds.
    pub duration_s: f64,
    /// Everything random is derived from it.
    pub seed: u64,
    /// Hosts and dispatchers.
    pub fleet: Fleet,
    /// What lies between them.
    pub network: NetworkSettings,
    /// Configuration of the dispatchers.
    pub dispatchers: DispatcherOptions,
    /// Requests and purges.
    pub workload: Workload,
    /// How clients behave.
    pub clients: ClientSettings,
    /// What the run is judged by.
    pub limits: Limits,
    /// Faults, in the file's order.
    pub faults: Vec<script::FaultSpec>,
}

/// A value in place of a scenario's own, written `section.key=value`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingOverride {
    pub section: String,
    pub key: String,
    pub value: String,
}

impl std::str::FromStr for SettingOverride {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let named = text
            .split_once('=')
            .and_then(|(name, value)| Some((name.rsplit_once('.')?, value)));
        let ((section, key), value) = named.ok_or(format!(
            "{text:?} is not section.key=value, such as fleet.caches=9"
        ))?;
        let (section, key, value) = (
            section.trim().into(),
            key.trim().into(),
            value.trim().into(),
        );
        Ok(Self {
            section,
            key,
            value,
        })
    }
}

impl std::fmt::Display for SettingOverride {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}={}", self.section, self.key, self.value)
    }
}

/// Reads and checks a scenario; `seed` in place of the file's.
pub fn load(path: &Path, seed: Option<u64>) -> Result<Scenario, ConfigErrors> {
    load_with(path, seed, &[])
}

/// ... and `sets` in place of its own values.
pub fn load_with(
    path: &Path,
    seed: Option<u64>,
    sets: &[SettingOverride],
) -> Result<Scenario, ConfigErrors> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|e| ConfigErrors::single(&name, 0, "", &format!("cannot be read: {e}")))?;
    parse_with(&name, &text, seed, sets)
}

pub fn parse(name: &str, text: &str, seed: Option<u64>) -> Result<Scenario, ConfigErrors> {
    parse_with(name, text, seed, &[])
}

pub fn parse_with(
    name: &str,
    text: &str,
    seed: Option<u64>,
    sets: &[SettingOverride],
) -> Result<Scenario, ConfigErrors> {
    let mut scenario = read::read(name, text, seed, sets)?;
    let calls = Traffic::generate(&scenario).calls;
    for (n, class) in scenario.workload.classes.iter_mut().enumerate() {
        let usual = calls
            .iter()
            .filter(|c| c.class == n && !c.object.contains('~'));
        let (sum, count) = usual.fold((0, 0_u64), |(sum, count), c| (sum + c.size, count + 1));
        if sum > 0 {
            class.size_scale = class.mean_bytes * count as f64 / sum as f64;
        }
    }
    Ok(scenario)
}

/// A number of one's own for each use of the seed.
pub fn derive_seed(seed: u64, words: &str) -> u64 {
    pointspindle::ObjectId::named(&format!("{seed}/{words}")).0
}

impl Scenario {
    /// Why the day cannot be played without the simulated network, if so.
    pub fn requires_simulated_network(&self) -> Option<String> {
        let parted = self
            .faults
            .iter()
            .find(|t| t.kind.requires_simulated_network())?;
        Some(format!(
            "trouble {}: a partition is played with --shell only",
            parted.name
        ))
    }

    /// Why the day cannot be played on the simulated network, if so.
    pub fn requires_processes(&self) -> Option<String> {
        let t = self.faults.iter().find(|t| t.kind.requires_processes())?;
        Some(format!(
            "trouble {}: {} is played by processes or in virtual time",
            t.name,
            t.kind.name()
        ))
    }

    pub fn duration(&self) -> Micros {
        (self.duration_s * 1e6) as Micros
    }

    /// The same day in `seconds`: the script and the waits between its steps shrink, rules and traffic do not.
    pub fn scaled_to(mut self, seconds: f64) -> Self {
        let by = seconds / self.duration_s;
        self.workload.warm_up = (self.workload.warm_up as f64 * by.min(1.0)) as Micros;
        for trouble in &mut self.faults {
            trouble.at = (trouble.at as f64 * by) as Micros;
            trouble.duration = (trouble.duration as f64 * by) as Micros;
            trouble.downtime = (trouble.downtime as f64 * by) as Micros;
        }
        self.duration_s = seconds;
        self
    }

    /// The day with its members back at once, lists that come at once, and nobody who says hello: a start that the list
    /// hides shows in nothing else then. (A dispatcher that sees refused connections knows better than the list.)
    pub fn with_hidden_restarts(mut self) -> Self {
        self.dispatchers.uses_hello = false;
        self.limits.rules.endpoint_update_delay = (0, 20_000);
        for trouble in &mut self.faults {
            trouble.downtime = 0;
        }
        self
    }

    /// The run as an injected fault changes it; others act elsewhere.
    pub fn with_injected_fault(mut self, fault: Option<InjectedFault>) -> Self {
        match fault {
            Some(InjectedFault::HideRestart) => self.with_hidden_restarts(),
            Some(InjectedFault::MiscountDispatchers) => {
                self.dispatchers.believes_alone = true;
                self
            }
            _ => self,
        }
    }

    /// Branches first, then hubs.
    pub fn zones(&self) -> Vec<String> {
        let branches = (0..self.fleet.branches).map(|n| format!("branch-{}", n + 1));
        branches
            .chain((0..self.fleet.hubs).map(|n| format!("hub-{}", n + 1)))
            .collect()
    }

    pub fn hub_of(&self, branch: usize) -> usize {
        branch % self.fleet.hubs.max(1)
    }

    /// One-way time between two zones.
    pub fn latency_between(&self, from: usize, to: usize) -> Micros {
        let hub = |zone: usize| {
            if zone < self.fleet.branches {
                self.hub_of(zone)
            } else {
                zone - self.fleet.branches
            }
        };
        if from == to {
            return self.network.local_latency;
        }
        let apart = hub(from).abs_diff(hub(to));
        let around = apart.min(self.fleet.hubs.max(1) - apart) as Micros;
        self.network.hub_latency + around * self.network.hub_step_latency
    }

    pub fn dispatcher_count(&self) -> usize {
        self.fleet.branches * self.fleet.dispatchers_per_branch
    }

    pub fn branch_of_dispatcher(&self, dispatcher: usize) -> usize {
        dispatcher / self.fleet.dispatchers_per_branch.max(1)
    }

    pub fn dispatchers_of(&self, branch: usize) -> std::ops::Range<usize> {
        if branch >= self.fleet.branches {
            return 0..0;
        }
        branch * self.fleet.dispatchers_per_branch..(branch + 1) * self.fleet.dispatchers_per_branch
    }

    /// The dispatcher that a try goes to: those of the branch in turn, of the next one for each time that nobody was there.
    pub fn dispatcher_for(
        &self,
        call: &PlannedCall,
        number: u64,
        try_no: u32,
        missed: u32,
    ) -> usize {
        let each = self.fleet.dispatchers_per_branch.max(1);
        let moved = if self.clients.fails_over {
            missed as usize
        } else {
            0
        };
        let branch = (call.branch + moved) % self.fleet.branches.max(1);
        branch * each + (number as usize + try_no as usize) % each
    }

    /// The same day without what strikes a site as a whole.
    pub fn without_site_faults(&self) -> Self {
        let mut twin = self.clone();
        twin.faults.retain(|t| !t.kind.affects_site());
        twin
    }

    /// Sites that some trouble strikes as a whole.
    pub fn affected_sites(&self) -> std::collections::BTreeSet<usize> {
        self.faults
            .iter()
            .filter(|t| t.kind.affects_site())
            .map(|t| t.target.zone.unwrap_or(0))
            .collect()
    }

    /// How long a client waits before its next try.
    pub fn retry_delay(
        &self,
        call: &PlannedCall,
        try_no: u32,
        come_back: Option<Micros>,
    ) -> Micros {
        let back_off = (self.clients.backoff << try_no) as f64 * (0.5 + call.jitter);
        (back_off as Micros).max(come_back.unwrap_or(0))
    }

    /// What one request means for a cold member, on the mean: seconds of sending.
    pub fn mean_work(&self) -> f64 {
        let models = self.class_models();
        let shares: f64 = self.workload.classes.iter().map(|c| c.share).sum();
        let work = self
            .workload
            .classes
            .iter()
            .zip(&models)
            .map(|(c, m)| c.share * m.mean_transfer_time as f64 / 1e6);
        (work.sum::<f64>() / shares.max(1e-9)).max(1e-9)
    }

    pub fn class_models(&self) -> Vec<ClassModel> {
        let model = |c: &RequestClass| ClassModel {
            name: c.name.clone(),
            freshness_lifetime: c.freshness_lifetime,
            mean_transfer_time: (c.mean_bytes / self.network.bytes_per_s * 1e6) as Micros,
            uncacheable: c.uncacheable,
            deduplicates: c.idempotency == Idempotency::Keyed,
        };
        self.workload.classes.iter().map(model).collect()
    }

    pub fn cache_model_settings(&self) -> CacheModelSettings {
        let zone = |(n, name): (usize, String)| ZoneSpec {
            name,
            link: if n < self.fleet.branches {
                self.network.branch_link
            } else {
                0.0
            },
        };
        CacheModelSettings {
            classes: self.class_models(),
            zones: self.zones().into_iter().enumerate().map(zone).collect(),
            bytes_per_s: self.network.bytes_per_s,
            fill_speedup: self.network.fill_speedup,
            idempotency_window: self.dispatchers.idempotency_window,
        }
    }

    /// The members that run when the day begins, in the order of the world's table. `address` names the nth.
    pub fn hosts(&self, mut address: impl FnMut(usize) -> String) -> Vec<HostSpec> {
        use rand::{Rng, SeedableRng};
        let mut rng = rand::rngs::StdRng::seed_from_u64(derive_seed(self.seed, "weights"));
        let mut hosts = Vec::new();
        let mut add = |kind: &HostKind, zone: usize, hosts: &mut Vec<HostSpec>| {
            let factor = 1.0 + kind.weight_spread * (2.0 * rng.gen::<f64>() - 1.0);
            let address = address(hosts.len());
            let weight = kind.spec.weight * factor;
            hosts.push(HostSpec {
                address,
                zone,
                weight,
                ..kind.spec.clone()
            });
        };
        for branch in 0..self.fleet.branches {
            for _ in 0..self.fleet.caches_per_branch {
                add(&self.fleet.cache, branch, &mut hosts);
            }
        }
        for n in 0..self.fleet.parents {
            add(
                &self.fleet.parent,
                self.fleet.branches + n % self.fleet.hubs.max(1),
                &mut hosts,
            );
        }
        add(&self.fleet.origin, self.fleet.branches, &mut hosts);
        hosts
    }

    /// Bytes of an object's part: drawn by its name, so that everybody agrees.
    pub fn size_catalogue(&self) -> pointspindle_cache_model::SizeCatalogue {
        let classes = self.workload.classes.clone();
        let seed = self.seed;
        Box::new(move |w: &ModelRequest| {
            Some(size_of(
                classes.get(w.class)?,
                seed,
                &w.object,
                w.object_number,
                w.part,
            ))
        })
    }

    /// The ledger of a member that has just started; none where members do not say who they are.
    pub fn work_ledger(&self, role: Role, weight: f64, started: Micros) -> Option<WorkLedger> {
        let c = self.warm_up_spec(role);
        let (start_share, warm_within) = (c.initial_share, c.duration);
        let (multiple, window) = (c.overload_factor, c.overload_window);
        let rule = SlowStartRule {
            initial_share: start_share,
            ramp: warm_within,
            overload_factor: multiple,
            overload_window: window,
        };
        let dearest = self
            .workload
            .classes
            .iter()
            .map(|c| c.mean_bytes / self.network.bytes_per_s)
            .fold(0.0, f64::max);
        (self.dispatchers.uses_hello && role == Role::Cache)
            .then(|| WorkLedger::new(rule, weight, started, dearest))
    }

    pub fn warm_up_spec(&self, role: Role) -> WarmUpSpec {
        if role == Role::Parent {
            self.fleet.parent.spec.warm_up
        } else {
            self.fleet.cache.spec.warm_up
        }
    }
}

/// The size of an object's part. A name that ends in `~N` is N times as large as it would be.
pub fn size_of(class: &RequestClass, seed: u64, object: &str, number: u64, part: u64) -> u64 {
    use rand::SeedableRng;
    use rand_distr::{Distribution, LogNormal};
    let mut rng = rand::rngs::StdRng::seed_from_u64(
        seed ^ number.rotate_left(17) ^ part.wrapping_mul(0x9e37_79b9),
    );
    // The mean of a log-normal is exp(mu + sigma^2 / 2).
    let mu = class.mean_bytes.max(1.0).ln() - class.sigma * class.sigma / 2.0;
    let drawn = LogNormal::new(mu, class.sigma).map_or(class.mean_bytes, |d| d.sample(&mut rng));
    let times: f64 = object
        .rsplit_once('~')
        .and_then(|(_, n)| n.parse().ok())
        .unwrap_or(1.0);
    // One stamped line at least; the tail is cut so that no single draw fills a store.
    ((drawn * class.size_scale).clamp(64.0, 30.0 * class.mean_bytes) * times) as u64
}
