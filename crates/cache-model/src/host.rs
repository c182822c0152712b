//! One member's state.
use super::cold::WarmUpLoad;
use super::fill::Fill;
use super::pipe::SharedLink;
use super::store::{Key, Store};
use super::*;
use std::collections::{BTreeMap, HashMap, VecDeque};

#[derive(Debug)]
pub struct Job {
    pub wanted: ModelRequest,
    pub arrived: Micros,
    pub state: JobState,
}

#[derive(Debug)]
pub enum JobState {
    /// Waits for a fill's first byte.
    Filling(FillId),
    /// Waits for a place, with its answer.
    Queued(ModelResponse, Option<FillId>),
    /// The origin works before its first byte; a turn of `think` ends then.
    Thinking(ModelResponse),
    /// On the link until the key's end.
    Sending {
        key: (u64, u64),
        fill: Option<FillId>,
        cut: bool,
    },
    /// Its part of the link is done; the fill that it passes on is not.
    Trailing(FillId),
    /// Taken, and never answered.
    Lost,
}

#[derive(Debug, Default)]
pub struct Faults {
    pub hang: Micros,
    pub lose: (f64, Micros),
    pub cut: (f64, Micros),
    pub refuse: Micros,
    pub err: (f64, Micros),
    pub slow: (f64, Micros),
}

#[derive(Debug)]
pub struct Host {
    pub spec: HostSpec,
    pub up: bool,
    /// Which start of the process this is.
    pub start: u64,
    /// None: long ago, warm.
    pub started: Option<Micros>,
    pub pipe: SharedLink,
    pub jobs: BTreeMap<JobId, Job>,
    pub queue: VecDeque<JobId>,
    /// Requests with a place: on the link, thinking, or waiting for the rest of a fill.
    pub busy: usize,
    pub fills: BTreeMap<FillId, Fill>,
    pub filling: HashMap<Key, FillId>,
    pub store: Store,
    pub spent: WarmUpLoad,
    pub faults: Faults,
    /// What came while it hung.
    pub deferred: Vec<ModelInput>,
    /// Timers of `think` and of fills, by time.
    pub waits: std::collections::BTreeSet<(Micros, Wait)>,
    /// Share of hits, as a running mean.
    pub hits: f64,
    pub report: (Micros, LoadReport),
    /// When the driver is to wake it, as registered with the world.
    pub wake: Option<Micros>,
    /// Newest purges seen, so that a fill begun before is not kept.
    pub purged_objects: HashMap<u64, Micros>,
    pub purged_groups: HashMap<u64, Micros>,
    /// When the process next pauses; 0: never.
    pub next_pause: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Wait {
    Think(JobId),
    FillDue(FillId),
    /// A fault ends, a pause begins, the warm-up goes on: look again.
    Look,
}

impl Host {
    pub fn new(spec: HostSpec) -> Self {
        Self {
            up: true,
            start: 1,
            started: None,
            pipe: SharedLink::new(spec.weight, spec.crowding_loss),
            jobs: BTreeMap::new(),
            queue: VecDeque::new(),
            busy: 0,
            fills: BTreeMap::new(),
            filling: HashMap::new(),
            store: Store::new(spec.store_bytes),
            spent: WarmUpLoad::default(),
            faults: Faults::default(),
            deferred: Vec::new(),
            waits: Default::default(),
            hits: 0.5,
            report: (0, LoadReport::default()),
            wake: None,
            purged_objects: HashMap::new(),
            purged_groups: HashMap::new(),
            next_pause: 0,
            spec,
        }
    }

    pub fn hangs(&self, now: Micros) -> bool {
        now < self.faults.hang
    }

    pub fn is_cold(&self, now: Micros) -> bool {
        self.started
            .is_some_and(|at| now < at + self.spec.warm_up.total_duration())
    }

    /// Transfers that its link carries now.
    pub fn capacity(&self, now: Micros) -> f64 {
        if self.hangs(now) {
            return 0.0;
        }
        let cold = self.started.map_or(1.0, |at| {
            self.spec.warm_up.share_after(now.saturating_sub(at))
        });
        let slow = if now < self.faults.slow.1 {
            self.faults.slow.0.max(1e-3)
        } else {
            1.0
        };
        self.spec.weight * cold / slow
    }

    /// The load report that answers carry: as old as its period allows.
    pub fn load(&mut self, now: Micros, link: f64) -> LoadReport {
        if now >= self.report.0 + self.spec.load_report_interval {
            let link = if self.spec.role == Role::Parent {
                self.fills.len() as f64
            } else {
                link
            };
            let util = self.pipe.load().min(10.0);
            self.report = (
                now,
                LoadReport {
                    utilization: util,
                    hit_ratio: self.hits,
                    link_utilization: link,
                },
            );
        }
        self.report.1
    }

    /// Whether a copy from the origin at `birth` is from before a purge that this member knows.
    pub fn is_purged(&self, number: u64, group: u64, birth: Micros) -> bool {
        self.purged(number, group).is_some_and(|at| birth < at)
    }

    /// The newest purge of an object that this member knows.
    pub fn purged(&self, number: u64, group: u64) -> Option<Micros> {
        self.purged_objects
            .get(&number)
            .max(self.purged_groups.get(&group))
            .copied()
    }

    /// The next moment at which something happens by itself.
    pub fn next(&self) -> Option<Micros> {
        let wait = self.waits.first().map(|(at, _)| *at);
        match (self.pipe.next(), wait) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    /// The process ends: all that it had under way is gone. Copies go with it.
    pub fn clear(&mut self) {
        self.pipe.clear();
        self.jobs.clear();
        self.queue.clear();
        self.busy = 0;
        self.fills.clear();
        self.filling.clear();
        self.waits.clear();
        self.deferred.clear();
        self.faults = Faults::default();
        self.spent = WarmUpLoad::default();
        self.store = Store::new(self.spec.store_bytes);
    }
}
