//! Troubles as steps in time: what happens to which member or dispatcher when, and what the list says of it.
use super::traffic::{group_number, group_path};
use super::{stream, Scenario};
use pointspindle_cache_model::{Fault, HostId, HostSpec, Role};
use pointspindle::Micros;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// A kind of trouble, by its word in files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Deploy,
    Crash,
    HubRestart,
    ZoneLoss,
    Hang,
    Lose,
    Cut,
    Refuse,
    Errors,
    Slow,
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
    SiteCut,
    /// Dispatchers stand still for `down`, one after another over the time, and go on as if nothing had been.
    HangDispatchers,
    /// Dispatchers are told to stop, one after another over the time, and started again after `down`.
    StopDispatchers,
}

/// How much of a site a loss takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Takes {
    /// Its cache hosts (of a hub: its parents).
    Hosts,
    /// ... and the parents of its hub.
    Parents,
    /// ... and its dispatchers.
    Dispatchers,
}

impl Takes {
    pub const WORDS: [(&'static str, Self); 3] = [
        ("hosts", Self::Hosts),
        ("parents", Self::Parents),
        ("dispatchers", Self::Dispatchers),
    ];
}

/// What a cut holds up of a site's traffic with the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ways {
    pub inward: bool,
    pub outward: bool,
}

impl Ways {
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

impl Kind {
    pub const WORDS: [(&'static str, Self); 25] = [
        ("deploy", Self::Deploy),
        ("crash", Self::Crash),
        ("hub_restart", Self::HubRestart),
        ("zone_loss", Self::ZoneLoss),
        ("hang", Self::Hang),
        ("lose_answers", Self::Lose),
        ("cut_answers", Self::Cut),
        ("refuse", Self::Refuse),
        ("errors", Self::Errors),
        ("slow", Self::Slow),
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
        ("site_cut", Self::SiteCut),
        ("hang_dispatchers", Self::HangDispatchers),
        ("stop_dispatchers", Self::StopDispatchers),
    ];

    pub fn of(word: &str) -> Option<Self> {
        Self::WORDS
            .iter()
            .find(|(w, _)| *w == word)
            .map(|(_, k)| *k)
    }

    pub fn word(self) -> &'static str {
        Self::WORDS
            .iter()
            .find(|(_, k)| *k == self)
            .map_or("", |(w, _)| w)
    }

    /// It takes a network: not to be had in virtual time.
    pub fn needs_shell(self) -> bool {
        self == Self::Partition
    }

    /// It takes several sites or dispatchers that can be held still: not for the simulated network.
    pub fn needs_fleet(self) -> bool {
        matches!(
            self,
            Self::SiteLoss | Self::SiteCut | Self::HangDispatchers | Self::StopDispatchers
        )
    }

    /// It strikes a site as a whole.
    pub fn strikes_site(self) -> bool {
        matches!(self, Self::SiteLoss | Self::SiteCut | Self::ZoneLoss)
    }

    pub fn usual_role(self) -> Role {
        Role::Cache
    }

    /// What `hard` means and usually is: a share of answers, a factor, seconds of draining, of delay.
    pub fn usual_hard(self) -> f64 {
        match self {
            Self::Deploy => 2.0,
            Self::Lose | Self::Cut => 0.2,
            Self::Errors => 0.7,
            Self::Slow | Self::Ageing => 4.0,
            Self::LateLists => 3.0,
            Self::Oversized => 10.0,
            Self::Flaky | Self::Burst => 3.0,
            _ => 1.0,
        }
    }
}

/// Whom a trouble strikes.
#[derive(Clone, Copy, Debug)]
pub struct Whom {
    /// Share of the members that fit (of the groups for a purge, of dispatchers for a kill, of requests for
    /// troubles in the traffic).
    pub share: f64,
    pub zone: Option<usize>,
    pub role: Role,
    /// One alone: its place among those that fit.
    pub number: Option<usize>,
}

#[derive(Clone, Debug)]
pub struct Trouble {
    pub name: String,
    pub kind: Kind,
    pub at: Micros,
    pub length: Micros,
    /// How long a process stays away.
    pub down: Micros,
    pub hard: f64,
    pub whom: Whom,
    /// Of a site's loss: how much goes, and whether the list ever says so.
    pub takes: Takes,
    pub told: bool,
    /// Of a site's cut.
    pub ways: Ways,
}

/// A member's state on the true list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    Ready,
    Draining,
    Gone,
}

/// One step of the script.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    Fault {
        host: HostId,
        fault: Fault,
    },
    /// The list's source learns it now; dispatchers are told later.
    List {
        host: HostId,
        listed: Listed,
    },
    /// Its connections break and no new ones are taken, though its process lives; or they are again.
    Way {
        host: HostId,
        open: bool,
    },
    /// Between it and all dispatchers nothing passes any more, in silence; or it does again.
    Part {
        host: HostId,
        parted: bool,
    },
    /// Of the groups of this number, in all classes.
    Purge {
        group: u64,
    },
    /// Of one object.
    PurgeObject {
        object: String,
        group: u64,
    },
    Kill {
        dispatcher: usize,
    },
    Revive {
        dispatcher: usize,
    },
    /// It stands still, or goes on.
    Hang {
        dispatcher: usize,
        hung: bool,
    },
    /// It is told to stop: what it has accepted, it answers.
    Stop {
        dispatcher: usize,
    },
    /// Nothing passes between the zone and the others until then; or all does again.
    Wall {
        zone: usize,
        ways: Option<Ways>,
        until: Micros,
    },
    /// List changes are told so much later until then.
    ListDelay {
        more: Micros,
        until: Micros,
    },
    Say(String),
}

/// The whole script.
#[derive(Clone, Debug)]
pub struct Script {
    pub steps: Vec<(Micros, Step)>,
    /// Members that come later, in the order of their numbers.
    pub newcomers: Vec<HostSpec>,
}

/// Processes of a mass restart begin within this.
const TOGETHER: Micros = 400_000;

struct Writer<'a> {
    scenario: &'a Scenario,
    hosts: &'a [HostSpec],
    steps: Vec<(Micros, Step)>,
    newcomers: Vec<HostSpec>,
    replaced: Vec<HostId>,
    rng: StdRng,
}

impl Script {
    /// Writes the day's troubles out for these members. `address` names a newcomer by its number.
    pub fn write(
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
        for trouble in &scenario.troubles {
            // Each trouble draws from its own stream: one more leaves the others as they were.
            let words = format!("trouble {}", trouble.name);
            w.rng = StdRng::seed_from_u64(stream(scenario.seed, &words));
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
        if self.scenario.purges <= 0.0 {
            return;
        }
        self.rng = StdRng::seed_from_u64(stream(self.scenario.seed, "purges"));
        let classes: Vec<_> = self
            .scenario
            .classes
            .iter()
            .filter(|c| !c.uncacheable)
            .collect();
        let mut at = 0.0;
        while let Some(class) = classes.choose(&mut self.rng) {
            at -= (1.0 - self.rng.gen::<f64>()).ln() / self.scenario.purges * 1e6;
            if at as Micros >= self.scenario.length() {
                break;
            }
            let rank = self.rng.gen_range(1..=class.objects);
            let group = rank % self.scenario.groups;
            let object = format!("{}/o{rank}", group_path(&class.name, group));
            let group = group_number(&class.name, group);
            self.step(at as Micros, Step::PurgeObject { object, group });
        }
    }

    fn step(&mut self, at: Micros, step: Step) {
        self.steps.push((at, step));
    }

    /// Members that run from the start, fit, and were not replaced by an earlier deploy.
    fn fitting(&self, whom: &Whom) -> Vec<HostId> {
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

    fn struck(&mut self, whom: &Whom) -> Vec<HostId> {
        let mut all = self.fitting(whom);
        if let Some(number) = whom.number {
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
            (at, Fault::Die, Listed::Gone),
            (back, Fault::Return, Listed::Ready),
        ];
        for (at, fault, listed) in steps {
            self.step(at, Step::Fault { host, fault });
            if told {
                self.step(at, Step::List { host, listed });
            }
        }
    }

    /// Dispatchers that a trouble strikes, in the order in which it does.
    fn struck_dispatchers(&mut self, whom: &Whom) -> Vec<usize> {
        let branch_of = |d: usize| self.scenario.branch_of_dispatcher(d);
        let mut all: Vec<usize> = (0..self.scenario.dispatcher_count())
            .filter(|d| whom.zone.is_none_or(|zone| zone == branch_of(*d)))
            .collect();
        match whom.number {
            Some(number) => all.retain(|d| *d == number),
            None => {
                all.shuffle(&mut self.rng);
                all.truncate((whom.share * all.len() as f64).round().max(1.0) as usize);
            }
        }
        all
    }

    /// Its processes go within moments of each other, and come back so.
    fn site_loss(&mut self, t: &Trouble) {
        let (zone, until) = (t.whom.zone.unwrap_or(0), t.at + t.length);
        let hub = (zone < self.scenario.branches)
            .then(|| self.scenario.branches + self.scenario.hub_of(zone))
            .filter(|_| t.takes >= Takes::Parents);
        for host in 0..self.hosts.len() {
            let h = &self.hosts[host];
            let fits = h.role != Role::Origin && (h.zone == zone || Some(h.zone) == hub);
            if fits && !self.replaced.contains(&host) {
                let jitter = self.rng.gen_range(0..TOGETHER);
                self.restart_told(host, t.at + jitter, until + jitter, t.told);
            }
        }
        if t.takes == Takes::Dispatchers {
            for dispatcher in self.scenario.dispatchers_of(zone) {
                let jitter = self.rng.gen_range(0..TOGETHER);
                self.step(t.at + jitter, Step::Kill { dispatcher });
                self.step(until + jitter, Step::Revive { dispatcher });
            }
        }
    }

    fn trouble(&mut self, t: &Trouble, address: &mut impl FnMut(usize) -> String) {
        let (at, until) = (t.at, t.at + t.length);
        let fault = match t.kind {
            Kind::Hang => Some(Fault::Hang { until }),
            Kind::Lose => Some(Fault::Lose {
                share: t.hard,
                until,
            }),
            Kind::Cut => Some(Fault::Cut {
                share: t.hard,
                until,
            }),
            Kind::Refuse => Some(Fault::Refuse { until }),
            Kind::Errors => Some(Fault::Err {
                share: t.hard,
                until,
            }),
            Kind::Slow => Some(Fault::Slow {
                factor: t.hard,
                until,
            }),
            _ => None,
        };
        let struck = match t.kind {
            Kind::Purge | Kind::KillDispatchers | Kind::LateLists => vec![],
            kind if kind.needs_fleet() => vec![],
            Kind::Hot
            | Kind::Oversized
            | Kind::OneOff
            | Kind::Burst
            | Kind::HubRestart
            | Kind::ZoneLoss => vec![],
            _ => self.struck(&t.whom),
        };
        let said = format!("{} ({}): {} members", t.name, t.kind.word(), struck.len());
        self.step(at, Step::Say(said));
        if let Some(fault) = fault {
            for host in struck {
                self.step(
                    at,
                    Step::Fault {
                        host,
                        fault: fault.clone(),
                    },
                );
            }
            return;
        }
        match t.kind {
            Kind::Partition => {
                for host in struck {
                    self.step(at, Step::Part { host, parted: true });
                    self.step(
                        until,
                        Step::Part {
                            host,
                            parted: false,
                        },
                    );
                }
            }
            Kind::Crash => {
                for host in struck {
                    self.restart(host, at, until);
                }
            }
            Kind::Deploy => self.deploy(t, struck, address),
            Kind::RollingRestart => {
                let count = struck.len().max(1) as Micros;
                for (n, host) in struck.into_iter().enumerate() {
                    let at = at + t.length * n as Micros / count;
                    self.restart(host, at, at + t.down);
                }
            }
            Kind::Flaky => {
                // Within equal parts of the time, so that the cuts of one host never overlap.
                let cuts = (t.hard.round() as Micros).max(1);
                let part = t.length / cuts;
                let down = t.down.min(part * 9 / 10).max(1);
                for host in struck {
                    for n in 0..cuts {
                        let at = at + part * n + self.rng.gen_range(0..=(part - down).max(1));
                        self.step(at, Step::Way { host, open: false });
                        self.step(at + down, Step::Way { host, open: true });
                    }
                }
            }
            Kind::HubRestart => {
                let hub = t
                    .whom
                    .zone
                    .filter(|z| *z >= self.scenario.branches)
                    .unwrap_or(self.scenario.branches);
                for host in 0..self.hosts.len() {
                    let zone = self.hosts[host].zone;
                    let branch = zone < self.scenario.branches;
                    let mine = branch && self.scenario.hub_of(zone) == hub - self.scenario.branches;
                    let fits = match t.whom.role {
                        Role::Parent => zone == hub && self.hosts[host].role == Role::Parent,
                        _ => mine,
                    };
                    if fits && !self.replaced.contains(&host) {
                        let jitter = self.rng.gen_range(0..TOGETHER);
                        self.restart(host, at + jitter, at + t.down + jitter);
                    }
                }
            }
            Kind::ZoneLoss => {
                let zone = t.whom.zone.unwrap_or(0);
                for host in 0..self.hosts.len() {
                    let fits =
                        self.hosts[host].zone == zone && self.hosts[host].role != Role::Origin;
                    if fits && !self.replaced.contains(&host) {
                        self.restart(host, at, until);
                    }
                }
            }
            Kind::Ageing => {
                // Slower in steps, then dead, then back.
                for host in struck {
                    for n in 1..=4_u64 {
                        let factor = 1.0 + (t.hard - 1.0) * n as f64 / 4.0;
                        let fault = Fault::Slow { factor, until };
                        self.step(at + t.length * (n - 1) / 4, Step::Fault { host, fault });
                    }
                    self.restart(host, until, until + t.down);
                }
            }
            Kind::Purge => {
                let mut groups: Vec<u64> = (0..self.scenario.groups).collect();
                groups.shuffle(&mut self.rng);
                groups.truncate((t.whom.share * groups.len() as f64).round().max(1.0) as usize);
                for group in groups {
                    self.step(at, Step::Purge { group });
                }
            }
            Kind::KillDispatchers | Kind::HangDispatchers | Kind::StopDispatchers => {
                let all = self.struck_dispatchers(&t.whom);
                let gap = t.length / all.len().max(1) as Micros;
                for (n, dispatcher) in all.into_iter().enumerate() {
                    let at = at + gap * n as Micros;
                    let (first, then) = match t.kind {
                        Kind::HangDispatchers => (
                            Step::Hang {
                                dispatcher,
                                hung: true,
                            },
                            Step::Hang {
                                dispatcher,
                                hung: false,
                            },
                        ),
                        Kind::StopDispatchers => {
                            (Step::Stop { dispatcher }, Step::Revive { dispatcher })
                        }
                        _ => (Step::Kill { dispatcher }, Step::Revive { dispatcher }),
                    };
                    self.step(at, first);
                    self.step(at + t.down, then);
                }
            }
            Kind::SiteLoss => self.site_loss(t),
            Kind::SiteCut => {
                let zone = t.whom.zone.unwrap_or(0);
                self.step(
                    at,
                    Step::Wall {
                        zone,
                        ways: Some(t.ways),
                        until,
                    },
                );
                self.step(
                    until,
                    Step::Wall {
                        zone,
                        ways: None,
                        until,
                    },
                );
            }
            Kind::LateLists => {
                let more = (t.hard * 1e6) as Micros;
                self.step(at, Step::ListDelay { more, until });
            }
            _ => {}
        }
    }

    /// In waves: a drain notice, the end of the process after `hard` seconds, a cold successor under another
    /// address.
    fn deploy(
        &mut self,
        t: &Trouble,
        struck: Vec<HostId>,
        address: &mut impl FnMut(usize) -> String,
    ) {
        let drain = (t.hard * 1e6) as Micros;
        let count = struck.len().max(1) as Micros;
        for (n, host) in struck.into_iter().enumerate() {
            let at = t.at + t.length * n as Micros / count;
            self.replaced.push(host);
            self.step(
                at,
                Step::List {
                    host,
                    listed: Listed::Draining,
                },
            );
            self.step(
                at + drain,
                Step::Fault {
                    host,
                    fault: Fault::Die,
                },
            );
            self.step(
                at + drain,
                Step::List {
                    host,
                    listed: Listed::Gone,
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
                Step::Fault {
                    host: successor,
                    fault: Fault::Return,
                },
            );
            self.step(
                at + drain,
                Step::List {
                    host: successor,
                    listed: Listed::Ready,
                },
            );
        }
    }
}

/// The purge groups that one step strikes, a class each.
pub fn purge_groups(scenario: &Scenario, group: u64) -> Vec<u64> {
    scenario
        .classes
        .iter()
        .filter(|c| !c.uncacheable)
        .map(|c| group_number(&c.name, group))
        .collect()
}
