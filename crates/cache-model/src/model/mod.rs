//! The event-driven model of all hosts, the zones' links and the origin's versions.
mod faults;
mod fill_failures;
mod fill_responses;
mod fills;
mod origin;
mod overload;
mod requests;
mod responses;
mod timers;

use super::host::Host;
use super::shared_link::SharedLink;
use super::{
    CacheModelSettings, ClassModel, FillId, HostId, HostSpec, ModelInput, ModelOutput,
    ModelRequest, ZoneSpec,
};
use origin::OriginState;
use pointspindle::Micros;
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use timers::WakeUp;

/// Returns the size of the requested part of an object, bytes; `None` if the origin has no such object.
pub type SizeCatalogue = Box<dyn Fn(&ModelRequest) -> Option<u64> + Send>;

/// The inbound link of a zone, shared by fills from other zones.
struct ZoneLink {
    link: SharedLink,
    /// Time of the wake-up that is scheduled for the link, microseconds.
    wake_up: Option<Micros>,
}

/// A model of cache hosts, parents and an origin.
pub struct CacheModel {
    settings: CacheModelSettings,
    hosts: Vec<Host>,
    addresses: HashMap<String, HostId>,
    zone_links: Vec<ZoneLink>,
    /// The host of each fill on a zone's link.
    zone_transfers: HashMap<FillId, HostId>,
    wake_ups: BTreeSet<(Micros, WakeUp)>,
    catalogue: SizeCatalogue,
    origin: OriginState,
    last_fill: FillId,
    rng: StdRng,
    /// Time of the event that is being handled.
    now: Micros,
    /// Outputs of the input that is being handled.
    outputs: Vec<ModelOutput>,
}

impl std::fmt::Debug for CacheModel {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CacheModel")
            .field("hosts", &self.hosts.len())
            .finish_non_exhaustive()
    }
}

impl CacheModel {
    /// Creates a model of these hosts, all running and warm. Random numbers are derived from `seed`.
    pub fn new(
        settings: CacheModelSettings,
        hosts: Vec<HostSpec>,
        catalogue: SizeCatalogue,
        seed: u64,
    ) -> Self {
        let addresses = hosts
            .iter()
            .enumerate()
            .map(|(id, spec)| (spec.address.clone(), id))
            .collect();
        let fill_speedup = settings.fill_speedup.max(1e-9);
        let zone_link = |zone: &ZoneSpec| ZoneLink {
            link: SharedLink::new(zone.link_capacity / fill_speedup, 0.0),
            wake_up: None,
        };
        let mut model = Self {
            zone_links: settings.zones.iter().map(zone_link).collect(),
            settings,
            hosts: hosts.into_iter().map(Host::new).collect(),
            addresses,
            zone_transfers: HashMap::new(),
            wake_ups: BTreeSet::new(),
            catalogue,
            origin: OriginState::default(),
            last_fill: 0,
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            outputs: Vec::new(),
        };
        for host in 0..model.hosts.len() {
            model.schedule_pause(host, 0);
            model.schedule_host(host);
        }
        model
    }

    /// Returns the ids and settings of all hosts.
    pub fn hosts(&self) -> impl Iterator<Item = (HostId, &HostSpec)> {
        self.hosts.iter().map(|host| &host.spec).enumerate()
    }

    /// Returns the settings of a host.
    pub fn host_spec(&self, host: HostId) -> &HostSpec {
        &self.hosts[host].spec
    }

    /// Returns the host at an address.
    pub fn host_by_address(&self, address: &str) -> Option<HostId> {
        self.addresses.get(address).copied()
    }

    /// Whether a host's process is running.
    pub fn is_up(&self, host: HostId) -> bool {
        self.hosts[host].up
    }

    /// Returns the number of starts of a host's process, and the time of the latest start in microseconds; `None` if
    /// that was long before the run.
    pub fn incarnation(&self, host: HostId) -> (u64, Option<Micros>) {
        let host = &self.hosts[host];
        (host.incarnation, host.started)
    }

    /// Adds a host whose process starts with [`super::Fault::Restart`].
    pub fn add_host(&mut self, spec: HostSpec) -> HostId {
        let id = self.hosts.len();
        self.addresses.insert(spec.address.clone(), id);
        self.hosts.push(Host::new_stopped(spec));
        id
    }

    /// Returns the number of times that the origin has run the work of each idempotency key.
    pub fn effect_counts(&self) -> &HashMap<Arc<str>, u32> {
        self.origin.effect_counts()
    }

    /// Returns the version of an object of a purge group that the origin serves now.
    pub fn current_version(&self, object_number: u64, group: u64) -> u64 {
        self.origin.version(object_number, group)
    }

    /// Returns the ratio of the transfers on a host's link to the link's capacity.
    pub fn link_load(&self, host: HostId) -> f64 {
        self.hosts[host].link.load()
    }

    /// Returns the time at which the model needs its next input, microseconds; without another input, the driver passes
    /// [`ModelInput::Tick`].
    pub fn next_timer(&self) -> Option<Micros> {
        self.wake_ups.first().map(|(at, _)| *at)
    }

    /// Handles an input at time `now`, after all events that are due by then, and appends the outputs.
    pub fn handle(&mut self, now: Micros, input: ModelInput, outputs: &mut Vec<ModelOutput>) {
        self.run_due_events(now);
        self.now = now;
        self.apply(input);
        outputs.append(&mut self.outputs);
    }

    fn apply(&mut self, input: ModelInput) {
        match input {
            ModelInput::Arrive { host, job, request } => self.arrive(host, job, request),
            ModelInput::Cancel { host, job } => self.cancel(host, job),
            ModelInput::FillResponse {
                host,
                fill,
                response,
            } => self.fill_responded(host, fill, response),
            ModelInput::FillEnded {
                host,
                fill,
                outcome,
            } => self.fill_ended(host, fill, outcome),
            ModelInput::Purge {
                host,
                object,
                group,
                at,
            } => {
                let host = &mut self.hosts[host];
                host.store.purge(object, group, at);
                host.purges.record(self.now, object, group, at);
            }
            ModelInput::OriginUpdate { object, group } => self.origin.update(object, group),
            ModelInput::Fault { host, fault } => self.apply_fault(host, fault),
            ModelInput::Tick => {}
        }
    }

    fn emit(&mut self, output: ModelOutput) {
        self.outputs.push(output);
    }

    fn class_of(&self, request: &ModelRequest) -> Option<&ClassModel> {
        self.settings.classes.get(request.class)
    }

    /// Returns the freshness lifetime of a request's class, microseconds; 0 if copies stay fresh until purged.
    fn freshness_lifetime(&self, request: &ModelRequest) -> Micros {
        self.class_of(request)
            .map_or(0, |class| class.freshness_lifetime)
    }

    fn is_uncacheable(&self, request: &ModelRequest) -> bool {
        self.class_of(request)
            .is_some_and(|class| class.uncacheable)
    }
}
