//! The state of one host.
use super::fill::FillTable;
use super::impairments::Impairments;
use super::job::Job;
use super::purge_log::PurgeLog;
use super::shared_link::SharedLink;
use super::store::Store;
use super::warm_up::WarmUpLoad;
use super::{FillId, HostSpec, JobId, ModelInput, Role};
use pointspindle::Micros;
use pointspindle_protocol::LoadReport;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Initial hit ratio of a host that was started long before the run.
const INITIAL_HIT_RATIO: f64 = 0.5;

/// Weight of one request in the running mean of the hit ratio.
const HIT_RATIO_WEIGHT: f64 = 0.02;

/// Upper limit of the utilization in a load report.
const MAX_UTILIZATION: f64 = 10.0;

/// Lower limit of the factor of a slow-down.
const MIN_SLOW_DOWN: f64 = 1e-3;

/// A timer of a host. Timers that are due at the same time run in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum HostTimer {
    /// The origin's service time before the first byte of a response ends.
    ServiceEnd(JobId),
    FillTimeout(FillId),
    /// The host's state is re-evaluated: a fault ends, a pause begins, or the warm-up proceeds.
    Reevaluate,
}

/// The latest load report, which is reused within the reporting interval.
#[derive(Debug, Default)]
struct ReportedLoad {
    at: Micros,
    report: LoadReport,
}

/// A host: its process, link, store, and requests in progress.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) spec: HostSpec,
    pub(crate) up: bool,
    /// Number of starts of the process.
    pub(crate) incarnation: u64,
    /// Start of the process, microseconds; `None` if it started long before the run and is warm.
    pub(crate) started: Option<Micros>,
    pub(crate) link: SharedLink,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    /// Requests that wait for a free slot.
    pub(crate) queue: VecDeque<JobId>,
    /// Number of slots in use by requests on the link, in service, or waiting for the end of a fill.
    pub(crate) slots_in_use: usize,
    pub(crate) fills: FillTable,
    pub(crate) store: Store,
    pub(crate) warm_up_load: WarmUpLoad,
    pub(crate) impairments: Impairments,
    /// Inputs that arrived while the host was hanging.
    pub(crate) deferred: Vec<ModelInput>,
    pub(crate) timers: BTreeSet<(Micros, HostTimer)>,
    /// Exponentially weighted mean of hits (1) and misses (0).
    hit_ratio: f64,
    reported_load: ReportedLoad,
    /// Time of the wake-up that is scheduled for the host, microseconds.
    pub(crate) wake_up: Option<Micros>,
    pub(crate) purges: PurgeLog,
    /// Time at which the process next pauses, microseconds; 0 if it never does.
    pub(crate) next_pause: Micros,
}

impl Host {
    pub(crate) fn new(spec: HostSpec) -> Self {
        Self {
            up: true,
            incarnation: 1,
            started: None,
            link: SharedLink::new(spec.weight, spec.congestion_loss),
            jobs: BTreeMap::new(),
            queue: VecDeque::new(),
            slots_in_use: 0,
            fills: FillTable::default(),
            store: Store::new(spec.store_bytes),
            warm_up_load: WarmUpLoad::default(),
            impairments: Impairments::default(),
            deferred: Vec::new(),
            timers: BTreeSet::new(),
            hit_ratio: INITIAL_HIT_RATIO,
            reported_load: ReportedLoad::default(),
            wake_up: None,
            purges: PurgeLog::default(),
            next_pause: 0,
            spec,
        }
    }

    /// Creates a host whose process has not started yet.
    pub(crate) fn new_stopped(spec: HostSpec) -> Self {
        Self {
            up: false,
            incarnation: 0,
            ..Self::new(spec)
        }
    }

    /// Starts a new process.
    pub(crate) fn start(&mut self, now: Micros) {
        self.up = true;
        self.incarnation += 1;
        self.started = Some(now);
        self.hit_ratio = 0.0;
    }

    /// Ends the process: jobs, fills and copies are lost.
    pub(crate) fn stop(&mut self) {
        self.up = false;
        self.link.clear();
        self.jobs.clear();
        self.queue.clear();
        self.slots_in_use = 0;
        self.fills.clear();
        self.timers.clear();
        self.deferred.clear();
        self.impairments = Impairments::default();
        self.warm_up_load = WarmUpLoad::default();
        self.store = Store::new(self.spec.store_bytes);
    }

    pub(crate) fn is_hanging(&self, now: Micros) -> bool {
        now < self.impairments.hang_until
    }

    /// Hangs until a time, or until the end of the present hang if that is later.
    pub(crate) fn hang_until(&mut self, until: Micros) {
        self.impairments.hang_until = self.impairments.hang_until.max(until);
        self.timers.insert((until, HostTimer::Reevaluate));
    }

    pub(crate) fn is_warming_up(&self, now: Micros) -> bool {
        self.started
            .is_some_and(|started| now < started + self.spec.warm_up.total_duration())
    }

    pub(crate) fn has_free_slot(&self) -> bool {
        self.slots_in_use < self.spec.concurrency
    }

    /// Returns the number of transfers at full speed that the host's link carries now.
    pub(crate) fn capacity(&self, now: Micros) -> f64 {
        if self.is_hanging(now) {
            return 0.0;
        }
        let share = self.started.map_or(1.0, |started| {
            let since_start = now.saturating_sub(started);
            self.spec.warm_up.share_after(since_start)
        });
        let slow_down = self.impairments.slow_down.factor_at(now);
        self.spec.weight * share / slow_down.max(MIN_SLOW_DOWN)
    }

    pub(crate) fn record_hit(&mut self) {
        self.hit_ratio = self.hit_ratio * (1.0 - HIT_RATIO_WEIGHT) + HIT_RATIO_WEIGHT;
    }

    pub(crate) fn record_miss(&mut self) {
        self.hit_ratio *= 1.0 - HIT_RATIO_WEIGHT;
    }

    /// Returns the load report of a response, which is updated once per reporting interval. `zone_link_load` is the
    /// load of the zone's inbound link; a parent reports its number of fills in its place.
    pub(crate) fn load_report(&mut self, now: Micros, zone_link_load: f64) -> LoadReport {
        if now >= self.reported_load.at + self.spec.load_report_interval {
            let link_utilization = match self.spec.role {
                Role::Parent => self.fills.len() as f64,
                Role::Cache | Role::Origin => zone_link_load,
            };
            self.reported_load = ReportedLoad {
                at: now,
                report: LoadReport {
                    utilization: self.link.load().min(MAX_UTILIZATION),
                    hit_ratio: self.hit_ratio,
                    link_utilization,
                },
            };
        }
        self.reported_load.report
    }

    /// Returns the time of the host's next transfer end or timer, microseconds.
    pub(crate) fn next_event(&self) -> Option<Micros> {
        let transfer_end = self.link.next_end();
        let timer = self.timers.first().map(|(at, _)| *at);
        transfer_end.into_iter().chain(timer).min()
    }
}
