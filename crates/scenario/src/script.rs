//! Troubles as steps in time: what happens to which member or dispatcher when, and what the list says of it.
use super::traffic::{group_number, group_path};
use super::{derive_seed, Scenario};
use pointspindle::Micros;
use pointspindle_cache_model::{Fault, HostId, HostSpec, Role};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// A kind of trouble, by its word in files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    Deploy,
    Crash,
    HubRestart,
    ZoneLoss,
    Hang,
    DropResponses,
    TruncateResponses,
    RejectRequests,
    FailRequests,
    SlowDown,
    Ageing,
    Purge,
    KillDispatchers,
    LateLists,
    Hot,
    Oversized,
    OneOff,
    RollingRestart,
    Flaky,
    /// Nothing passes between members and dispatchers, and nobody is told: `lab run --shell` only.
    Partition,
    /// More requests than usual: `hard` times as many.
    Burst,
    /// A site goes at once, as far as `takes` says, and comes back cold.
    SiteLoss,
    /// Nothing passes between a site and the others, in silence, one way or both; within it all goes on.
    SitePartition,
    /// Dispatchers stand still for `down`, one after another over the time, and go on as if nothing had been.
    PauseDispatchers,
    /// Dispatchers are told to stop, one after another over the time, and started again after `down`.
    StopDispatchers,
}

/// How much of a site a loss takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SiteLossExtent {
    /// Its cache hosts (of a hub: its parents).
    Hosts,
    /// ... and the parents of its hub.
    Parents,
    /// ... and its dispatchers.
    Dispatchers,
}

impl SiteLossExtent {
    pub const WORDS: [(&'static str, Self); 3] = [
        ("hosts", Self::Hosts),
        ("parents", Self::Parents),
        ("dispatchers", Self::Dispatchers),
    ];
}

/// What a cut holds up of a site's traffic with the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartitionDirections {
    pub inward: bool,
    pub outward: bool,
}

impl PartitionDirections {
    pub const WORDS: [(&'static str, Self); 3] = [
        (
            "both",
            Self {
                inward: true,
                outward: true,
            },
        ),
        (
            "in",
            Self {
                inward: true,
                outward: false,
            },
        ),
        (
            "out",
            Self {
                inward: false,
                outward: true,
            },
        ),
    ];
}

impl FaultKind {
    pub const WORDS: [(&'static str, Self); 25] = [
        ("deploy", Self::Deploy),
        ("crash", Self::Crash),
        ("hub_restart", Self::HubRestart),
        ("zone_loss", Self::ZoneLoss),
        ("hang", Self::Hang),
        ("lose_answers", Self::DropResponses),
        ("cut_answers", Self::TruncateResponses),
        ("refuse", Self::RejectRequests),
        ("errors", Self::FailRequests),
        ("slow", Self::SlowDown),
        ("ageing", Self::Ageing),
        ("purge", Self::Purge),
        ("kill_dispatchers", Self::KillDispatchers),
        ("late_lists", Self::LateLists),
        ("hot", Self::Hot),
        ("oversized", Self::Oversized),
        ("one_off", Self::OneOff),
        ("rolling_restart", Self::RollingRestart),
        ("flaky", Self::Flaky),
        ("burst", Self::Burst),
        ("partition", Self::Partition),
        ("site_loss", Self::SiteLoss),
        ("site_cut", Self::SitePartition),
        ("hang_dispatchers", Self::PauseDispatchers),
        ("stop_dispatchers", Self::StopDispatchers),
    ];

    pub fn from_name(word: &str) -> Option<Self> {
        Self::WORDS
            .iter()
            .find(|(w, _)| *w == word)
            .map(|(_, k)| *k)
    }

    pub fn name(self) -> &'static str {
        Self::WORDS
            .iter()
            .find(|(_, k)| *k == self)
            .map_or("", |(w, _)| w)
    }

    /// It takes a network: not to be had in virtual time.
    pub fn requires_simulated_network(self) -> bool {
        self == Self::Partition
    }

    /// It takes several sites or dispatchers that can be held still: not for the simulated network.
    pub fn requires_processes(self) -> bool {
        matches!(
            self,
            Self::SiteLoss | Self::SitePartition | Self::PauseDispatchers | Self::StopDispatchers
        )
    }

    /// It strikes a site as a whole.
    pub fn affects_site(self) -> bool {
        matches!(self, Self::SiteLoss | Self::SitePartition | Self::ZoneLoss)
    }

    pub fn default_role(self) -> Role {
        Role::Cache
    }

    /// What `hard` means and usually is: a share of answers, a factor, seconds of draining, of delay.
    pub fn default_severity(self) -> f64 {
        match self {
            Self::Deploy => 2.0,
            Self::DropResponses | Self::TruncateResponses => 0.2,
            Self::FailRequests => 0.7,
            Self::SlowDown | Self::Ageing => 4.0,
            Self::LateLists => 3.0,
            Self::Oversized => 10.0,
            Self::Flaky | Self::Burst => 3.0,
            _ => 1.0,
        }
    }
}

/// Whom a trouble strikes.
#[derive(Clone, Copy, Debug)]
pub struct FaultTarget {
    /// Share of the members that fit (of the groups for a purge, of dispatchers for a kill, of requests for
    /// troubles in the traffic).
    pub share: f64,
    pub zone: Option<usize>,
    pub role: Role,
    /// One alone: its place among those that fit.
    pub index: Option<usize>,
}

#[derive(Clone, Debug)]
pub struct FaultSpec {
    pub name: String,
    pub kind: FaultKind,
    pub at: Micros,
    pub duration: Micros,
    /// How long a process stays away.
    pub downtime: Micros,
    pub severity: f64,
    pub target: FaultTarget,
    /// Of a site's loss: how much goes, and whether the list ever says so.
    pub extent: SiteLossExtent,
    pub announced: bool,
    /// Of a site's cut.
    pub directions: PartitionDirections,
}

/// A member's state on the true list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    Ready,
    Draining,
    Removed,
}

/// One step of the script.
#[derive(Clone, Debug, PartialEq)]
pub enum ScriptStep {
    Fault {
        host: HostId,
        fault: Fault,
    },
    /// The list's source learns it now; dispatchers are told later.
    EndpointUpdate {
        host: HostId,
        state: ListedState,
    },
    /// Its connections break and no new ones are taken, though its process lives; or they are again.
    Reachability {
        host: HostId,
        reachable: bool,
    },
    /// Between it and all dispatchers nothing passes any more, in silence; or it does again.
    Partition {
        host: HostId,
        partitioned: bool,
    },
    /// Of the groups of this number, in all classes.
    PurgeGroup {
        group: u64,
    },
    /// Of one object.
    PurgeObject {
        object: String,
        group: u64,
    },
    KillDispatcher {
        dispatcher: usize,
    },
    StartDispatcher {
        dispatcher: usize,
    },
    /// It stands still, or goes on.
    PauseDispatcher {
        dispatcher: usize,
        paused: bool,
    },
    /// It is told to stop: what it has accepted, it answers.
    StopDispatcher {
        dispatcher: usize,
    },
    /// Nothing passes between the zone and the others until then; or all does again.
    ZonePartition {
        zone: usize,
        directions: Option<PartitionDirections>,
        until: Micros,
    },
    /// List changes are told so much later until then.
    EndpointUpdateDelay {
        extra: Micros,
        until: Micros,
    },
    Note(String),
}

/// The whole script.
#[derive(Clone, Debug)]
pub struct Script {
    pub steps: Vec<(Micros, ScriptStep)>,
    /// Members that come later, in the order of their numbers.
    pub newcomers: Vec<HostSpec>,
}

/// Processes of a mass restart begin within this.
const TOGETHER: Micros = 400_000;

struct Writer<'a> {
    scenario: &'a Scenario,
    hosts: &'a [HostSpec],
    steps: Vec<(Micros, ScriptStep)>,
    newcomers: Vec<HostSpec>,
    replaced: Vec<HostId>,
    rng: StdRng,
}

impl Script {
    /// Writes the day's troubles out for these members. `address` names a newcomer by its number.
    pub fn generate(
        scenario: &Scenario,
        hosts: &[HostSpec],
        mut address: impl FnMut(usize) -> String,
    ) -> Self {
        let (steps, newcomers, replaced) = (Vec::new(), Vec::new(), Vec::new());
        let rng = StdRng::seed_from_u64(0);
        let mut w = Writer {
            scenario,
            hosts,
            steps,
            newcomers,
            replaced,
            rng,
        };
        for trouble in &scenario.faults {
            // Each trouble draws from its own stream: one more leaves the others as they were.
            let words = format!("trouble {}", trouble.name);
            w.rng = StdRng::seed_from_u64(derive_seed(scenario.seed, &words));
            w.trouble(trouble, &mut address);
        }
        w.steady_purges();
        w.steps.sort_by_key(|(at, _)| *at);
        Self {
            steps: w.steps,
            newcomers: w.newcomers,
        }
    }
}

impl Writer<'_> {
    /// Single objects of cacheable classes, popular ones more often: what editors touch is what is read.
    fn steady_purges(&mut self) {
        if self.scenario.workload.purges_per_s <= 0.0 {
            return;
        }
        self.rng = StdRng::seed_from_u64(derive_seed(self.scenario.seed, "purges"));
        let classes: Vec<_> = self
            .scenario
            .workload
            .classes
            .iter()
            .filter(|c| !c.uncacheable)
            .collect();
        let mut at = 0.0;
        while let Some(class) = classes.choose(&mut self.rng) {
            at -= (1.0 - self.rng.gen::<f64>()).ln() / self.scenario.workload.purges_per_s * 1e6;
            if at as Micros >= self.scenario.duration() {
                break;
            }
            let rank = self.rng.gen_range(1..=class.objects);
            let group = rank % self.scenario.workload.groups;
            let object = format!("{}/o{rank}", group_path(&class.name, group));
            let group = group_number(&class.name, group);
            self.step(at as Micros, ScriptStep::PurgeObject { object, group });
        }
    }

    fn step(&mut self, at: Micros, step: ScriptStep) {
        self.steps.push((at, step));
    }

    /// Members that run from the start, fit, and were not replaced by an earlier deploy.
    fn fitting(&self, whom: &FaultTarget) -> Vec<HostId> {
        let fits = |(id, h): &(HostId, &HostSpec)| {
            h.role == whom.role
                && whom.zone.is_none_or(|z| z == h.zone)
                && !self.replaced.contains(id)
        };
        self.hosts
            .iter()
            .enumerate()
            .filter(fits)
            .map(|(id, _)| id)
            .collect()
    }

    fn struck(&mut self, whom: &FaultTarget) -> Vec<HostId> {
        let mut all = self.fitting(whom);
        if let Some(number) = whom.index {
            return all.get(number).copied().into_iter().collect();
        }
        all.shuffle(&mut self.rng);
        let count = (whom.share * all.len() as f64).round().max(1.0) as usize;
        all.truncate(count);
        all.sort_unstable();
        all
    }

    /// A process ends and another one begins at the same address, cold and empty.
    fn restart(&mut self, host: HostId, at: Micros, back: Micros) {
        self.restart_told(host, at, back, true);
    }

    /// ... of which the list says nothing, if so.
    fn restart_told(&mut self, host: HostId, at: Micros, back: Micros, told: bool) {
        let steps = [
            (at, Fault::Crash, ListedState::Removed),
            (back, Fault::Restart, ListedState::Ready),
        ];
        for (at, fault, listed) in steps {
            self.step(at, ScriptStep::Fault { host, fault });
            if told {
                self.step(
                    at,
                    ScriptStep::EndpointUpdate {
                        host,
                        state: listed,
                    },
                );
            }
        }
    }

    /// Dispatchers that a trouble strikes, in the order in which it does.
    fn struck_dispatchers(&mut self, whom: &FaultTarget) -> Vec<usize> {
        let branch_of = |d: usize| self.scenario.branch_of_dispatcher(d);
        let mut all: Vec<usize> = (0..self.scenario.dispatcher_count())
            .filter(|d| whom.zone.is_none_or(|zone| zone == branch_of(*d)))
            .collect();
        match whom.index {
            Some(number) => all.retain(|d| *d == number),
            None => {
                all.shuffle(&mut self.rng);
                all.truncate((whom.share * all.len() as f64).round().max(1.0) as usize);
            }
        }
        all
    }

    /// Its processes go within moments of each other, and come back so.
    fn site_loss(&mut self, t: &FaultSpec) {
        let (zone, until) = (t.target.zone.unwrap_or(0), t.at + t.duration);
        let hub = (zone < self.scenario.fleet.branches)
            .then(|| self.scenario.fleet.branches + self.scenario.hub_of(zone))
            .filter(|_| t.extent >= SiteLossExtent::Parents);
        for host in 0..self.hosts.len() {
            let h = &self.hosts[host];
            let fits = h.role != Role::Origin && (h.zone == zone || Some(h.zone) == hub);
            if fits && !self.replaced.contains(&host) {
                let jitter = self.rng.gen_range(0..TOGETHER);
                self.restart_told(host, t.at + jitter, until + jitter, t.announced);
            }
        }
        if t.extent == SiteLossExtent::Dispatchers {
            for dispatcher in self.scenario.dispatchers_of(zone) {
                let jitter = self.rng.gen_range(0..TOGETHER);
                self.step(t.at + jitter, ScriptStep::KillDispatcher { dispatcher });
                self.step(until + jitter, ScriptStep::StartDispatcher { dispatcher });
            }
        }
    }

    fn trouble(&mut self, t: &FaultSpec, address: &mut impl FnMut(usize) -> String) {
        let (at, until) = (t.at, t.at + t.duration);
        let fault = match t.kind {
            FaultKind::Hang => Some(Fault::Hang { until }),
            FaultKind::DropResponses => Some(Fault::DropResponses {
                share: t.severity,
                until,
            }),
            FaultKind::TruncateResponses => Some(Fault::TruncateResponses {
                share: t.severity,
                until,
            }),
            FaultKind::RejectRequests => Some(Fault::RejectRequests { until }),
            FaultKind::FailRequests => Some(Fault::FailRequests {
                share: t.severity,
                until,
            }),
            FaultKind::SlowDown => Some(Fault::SlowDown {
                factor: t.severity,
                until,
            }),
            _ => None,
        };
        let struck = match t.kind {
            FaultKind::Purge | FaultKind::KillDispatchers | FaultKind::LateLists => vec![],
            kind if kind.requires_processes() => vec![],
            FaultKind::Hot
            | FaultKind::Oversized
            | FaultKind::OneOff
            | FaultKind::Burst
            | FaultKind::HubRestart
            | FaultKind::ZoneLoss => vec![],
            _ => self.struck(&t.target),
        };
        let said = format!("{} ({}): {} members", t.name, t.kind.name(), struck.len());
        self.step(at, ScriptStep::Note(said));
        if let Some(fault) = fault {
            for host in struck {
                self.step(
                    at,
                    ScriptStep::Fault {
                        host,
                        fault: fault.clone(),
                    },
                );
            }
            return;
        }
        match t.kind {
            FaultKind::Partition => {
                for host in struck {
                    self.step(
                        at,
                        ScriptStep::Partition {
                            host,
                            partitioned: true,
                        },
                    );
                    self.step(
                        until,
                        ScriptStep::Partition {
                            host,
                            partitioned: false,
                        },
                    );
                }
            }
            FaultKind::Crash => {
                for host in struck {
                    self.restart(host, at, until);
                }
            }
            FaultKind::Deploy => self.deploy(t, struck, address),
            FaultKind::RollingRestart => {
                let count = struck.len().max(1) as Micros;
                for (n, host) in struck.into_iter().enumerate() {
                    let at = at + t.duration * n as Micros / count;
                    self.restart(host, at, at + t.downtime);
                }
            }
            FaultKind::Flaky => {
                // Within equal parts of the time, so that the cuts of one host never overlap.
                let cuts = (t.severity.round() as Micros).max(1);
                let part = t.duration / cuts;
                let down = t.downtime.min(part * 9 / 10).max(1);
                for host in struck {
                    for n in 0..cuts {
                        let at = at + part * n + self.rng.gen_range(0..=(part - down).max(1));
                        self.step(
                            at,
                            ScriptStep::Reachability {
                                host,
                                reachable: false,
                            },
                        );
                        self.step(
                            at + down,
                            ScriptStep::Reachability {
                                host,
                                reachable: true,
                            },
                        );
                    }
                }
            }
            FaultKind::HubRestart => {
                let hub = t
                    .target
                    .zone
                    .filter(|z| *z >= self.scenario.fleet.branches)
                    .unwrap_or(self.scenario.fleet.branches);
                for host in 0..self.hosts.len() {
                    let zone = self.hosts[host].zone;
                    let branch = zone < self.scenario.fleet.branches;
                    let mine =
                        branch && self.scenario.hub_of(zone) == hub - self.scenario.fleet.branches;
                    let fits = match t.target.role {
                        Role::Parent => zone == hub && self.hosts[host].role == Role::Parent,
                        _ => mine,
                    };
                    if fits && !self.replaced.contains(&host) {
                        let jitter = self.rng.gen_range(0..TOGETHER);
                        self.restart(host, at + jitter, at + t.downtime + jitter);
                    }
                }
            }
            FaultKind::ZoneLoss => {
                let zone = t.target.zone.unwrap_or(0);
                for host in 0..self.hosts.len() {
                    let fits =
                        self.hosts[host].zone == zone && self.hosts[host].role != Role::Origin;
                    if fits && !self.replaced.contains(&host) {
                        self.restart(host, at, until);
                    }
                }
            }
            FaultKind::Ageing => {
                // Slower in steps, then dead, then back.
                for host in struck {
                    for n in 1..=4_u64 {
                        let factor = 1.0 + (t.severity - 1.0) * n as f64 / 4.0;
                        let fault = Fault::SlowDown { factor, until };
                        self.step(
                            at + t.duration * (n - 1) / 4,
                            ScriptStep::Fault { host, fault },
                        );
                    }
                    self.restart(host, until, until + t.downtime);
                }
            }
            FaultKind::Purge => {
                let mut groups: Vec<u64> = (0..self.scenario.workload.groups).collect();
                groups.shuffle(&mut self.rng);
                groups.truncate((t.target.share * groups.len() as f64).round().max(1.0) as usize);
                for group in groups {
                    self.step(at, ScriptStep::PurgeGroup { group });
                }
            }
            FaultKind::KillDispatchers
            | FaultKind::PauseDispatchers
            | FaultKind::StopDispatchers => {
                let all = self.struck_dispatchers(&t.target);
                let gap = t.duration / all.len().max(1) as Micros;
                for (n, dispatcher) in all.into_iter().enumerate() {
                    let at = at + gap * n as Micros;
                    let (first, then) = match t.kind {
                        FaultKind::PauseDispatchers => (
                            ScriptStep::PauseDispatcher {
                                dispatcher,
                                paused: true,
                            },
                            ScriptStep::PauseDispatcher {
                                dispatcher,
                                paused: false,
                            },
                        ),
                        FaultKind::StopDispatchers => (
                            ScriptStep::StopDispatcher { dispatcher },
                            ScriptStep::StartDispatcher { dispatcher },
                        ),
                        _ => (
                            ScriptStep::KillDispatcher { dispatcher },
                            ScriptStep::StartDispatcher { dispatcher },
                        ),
                    };
                    self.step(at, first);
                    self.step(at + t.downtime, then);
                }
            }
            FaultKind::SiteLoss => self.site_loss(t),
            FaultKind::SitePartition => {
                let zone = t.target.zone.unwrap_or(0);
                self.step(
                    at,
                    ScriptStep::ZonePartition {
                        zone,
                        directions: Some(t.directions),
                        until,
                    },
                );
                self.step(
                    until,
                    ScriptStep::ZonePartition {
                        zone,
                        directions: None,
                        until,
                    },
                );
            }
            FaultKind::LateLists => {
                let more = (t.severity * 1e6) as Micros;
                self.step(at, ScriptStep::EndpointUpdateDelay { extra: more, until });
            }
            _ => {}
        }
    }

    /// In waves: a drain notice, the end of the process after `hard` seconds, a cold successor under another
    /// address.
    fn deploy(
        &mut self,
        t: &FaultSpec,
        struck: Vec<HostId>,
        address: &mut impl FnMut(usize) -> String,
    ) {
        let drain = (t.severity * 1e6) as Micros;
        let count = struck.len().max(1) as Micros;
        for (n, host) in struck.into_iter().enumerate() {
            let at = t.at + t.duration * n as Micros / count;
            self.replaced.push(host);
            self.step(
                at,
                ScriptStep::EndpointUpdate {
                    host,
                    state: ListedState::Draining,
                },
            );
            self.step(
                at + drain,
                ScriptStep::Fault {
                    host,
                    fault: Fault::Crash,
                },
            );
            self.step(
                at + drain,
                ScriptStep::EndpointUpdate {
                    host,
                    state: ListedState::Removed,
                },
            );
            let successor = self.hosts.len() + self.newcomers.len();
            let spec = HostSpec {
                address: address(successor),
                ..self.hosts[host].clone()
            };
            self.newcomers.push(spec);
            self.step(
                at + drain,
                ScriptStep::Fault {
                    host: successor,
                    fault: Fault::Restart,
                },
            );
            self.step(
                at + drain,
                ScriptStep::EndpointUpdate {
                    host: successor,
                    state: ListedState::Ready,
                },
            );
        }
    }
}

/// The purge groups that one step strikes, a class each.
pub fn purge_groups(scenario: &Scenario, group: u64) -> Vec<u64> {
    scenario
        .workload
        .classes
        .iter()
        .filter(|c| !c.uncacheable)
        .map(|c| group_number(&c.name, group))
        .collect()
}
