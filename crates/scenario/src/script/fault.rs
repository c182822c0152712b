//! Fault kinds and their specifications in a scenario file.
use pointspindle::Micros;
use pointspindle_cache_model::Role;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Hosts are drained in waves and replaced by successors at other addresses.
    Deploy,
    /// Hosts crash together and restart at the end of the fault.
    Crash,
    /// The parents of a hub, or the cache hosts of its branches, restart within a fraction of a second.
    HubRestart,
    /// All hosts of a zone are down until the end of the fault.
    ZoneLoss,
    /// Hosts hang: they accept requests and answer none.
    Hang,
    /// Hosts drop a share of their responses, without a sign.
    DropResponses,
    /// Hosts truncate a share of their responses.
    TruncateResponses,
    /// Hosts reject every request.
    RejectRequests,
    /// Hosts fail a share of their requests with an error.
    FailRequests,
    /// Hosts transfer more slowly by a factor.
    SlowDown,
    /// Hosts slow down in steps, crash and restart.
    Ageing,
    /// A share of the purge groups is purged.
    Purge,
    /// Dispatchers are killed one after another and restarted after the downtime.
    KillDispatchers,
    /// Endpoint list updates are delayed.
    DelayEndpointUpdates,
    /// A share of the requests is for one object.
    HotObject,
    /// A share of the requests is for objects of several times the usual size.
    OversizedObjects,
    /// A share of the requests is for objects that are requested once only.
    OneOffObjects,
    /// Hosts restart one after another.
    RollingRestart,
    /// Hosts are unreachable for short times, while their processes run on.
    FlakyConnections,
    /// No packet passes between hosts and dispatchers, and no component is notified; simulated network only.
    Partition,
    /// The request rate is multiplied by the severity.
    Burst,
    /// A site's processes crash together, as far as the extent says, and restart empty.
    SiteLoss,
    /// No packet passes between a site and the others, one way or both; traffic within the site goes on.
    SitePartition,
    /// Dispatchers are paused one after another, each for the downtime.
    PauseDispatchers,
    /// Dispatchers shut down gracefully one after another, and are restarted after the downtime.
    StopDispatchers,
}

impl FaultKind {
    /// The kinds by their names in scenario files.
    pub const NAMES: [(&'static str, Self); 25] = [
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
        ("late_lists", Self::DelayEndpointUpdates),
        ("hot", Self::HotObject),
        ("oversized", Self::OversizedObjects),
        ("one_off", Self::OneOffObjects),
        ("rolling_restart", Self::RollingRestart),
        ("flaky", Self::FlakyConnections),
        ("burst", Self::Burst),
        ("partition", Self::Partition),
        ("site_loss", Self::SiteLoss),
        ("site_cut", Self::SitePartition),
        ("hang_dispatchers", Self::PauseDispatchers),
        ("stop_dispatchers", Self::StopDispatchers),
    ];

    /// The kind that scenario files call `name`.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::NAMES
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, kind)| *kind)
    }

    /// The kind's name in scenario files.
    pub fn name(self) -> &'static str {
        Self::NAMES
            .iter()
            .find(|(_, kind)| *kind == self)
            .map_or("", |(name, _)| name)
    }

    /// Whether it needs the simulated network, and cannot be played in virtual time.
    pub fn requires_simulated_network(self) -> bool {
        self == Self::Partition
    }

    /// Whether it needs several sites or dispatchers that can be paused: the simulated network has none.
    pub fn requires_processes(self) -> bool {
        matches!(
            self,
            Self::SiteLoss | Self::SitePartition | Self::PauseDispatchers | Self::StopDispatchers
        )
    }

    /// Whether it affects a site as a whole.
    pub fn affects_site(self) -> bool {
        matches!(self, Self::SiteLoss | Self::SitePartition | Self::ZoneLoss)
    }

    /// Whether it draws hosts by its [`FaultTarget`].
    pub(super) fn targets_hosts(self) -> bool {
        match self {
            Self::Deploy
            | Self::Crash
            | Self::Hang
            | Self::DropResponses
            | Self::TruncateResponses
            | Self::RejectRequests
            | Self::FailRequests
            | Self::SlowDown
            | Self::Ageing
            | Self::RollingRestart
            | Self::FlakyConnections
            | Self::Partition => true,
            Self::HubRestart
            | Self::ZoneLoss
            | Self::Purge
            | Self::KillDispatchers
            | Self::DelayEndpointUpdates
            | Self::HotObject
            | Self::OversizedObjects
            | Self::OneOffObjects
            | Self::Burst
            | Self::SiteLoss
            | Self::SitePartition
            | Self::PauseDispatchers
            | Self::StopDispatchers => false,
        }
    }

    /// The role of the target hosts unless the file names one.
    pub fn default_role(self) -> Role {
        Role::Cache
    }

    /// The severity unless the file states one. Its meaning depends on the kind: a share of responses, a factor,
    /// a number of interruptions, or seconds of draining or of delay.
    pub fn default_severity(self) -> f64 {
        match self {
            Self::Deploy => 2.0,
            Self::DropResponses | Self::TruncateResponses => 0.2,
            Self::FailRequests => 0.7,
            Self::SlowDown | Self::Ageing => 4.0,
            Self::DelayEndpointUpdates => 3.0,
            Self::OversizedObjects => 10.0,
            Self::FlakyConnections | Self::Burst => 3.0,
            _ => 1.0,
        }
    }
}

/// How much of a site a loss affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SiteLossExtent {
    /// Its cache hosts (of a hub: its parents).
    Hosts,
    /// Also the parents of its hub.
    Parents,
    /// Also its dispatchers.
    Dispatchers,
}

impl SiteLossExtent {
    /// The extents by their names in scenario files.
    pub const NAMES: [(&'static str, Self); 3] = [
        ("hosts", Self::Hosts),
        ("parents", Self::Parents),
        ("dispatchers", Self::Dispatchers),
    ];
}

/// The directions in which a partition drops a site's traffic with the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartitionDirections {
    /// Traffic from other sites is dropped.
    pub inward: bool,
    /// Traffic to other sites is dropped.
    pub outward: bool,
}

impl PartitionDirections {
    const BOTH: Self = Self {
        inward: true,
        outward: true,
    };
    const IN: Self = Self {
        inward: true,
        outward: false,
    };
    const OUT: Self = Self {
        inward: false,
        outward: true,
    };

    /// The directions by their names in scenario files.
    pub const NAMES: [(&'static str, Self); 3] =
        [("both", Self::BOTH), ("in", Self::IN), ("out", Self::OUT)];
}

impl Default for PartitionDirections {
    fn default() -> Self {
        Self::BOTH
    }
}

/// What a fault affects.
#[derive(Clone, Copy, Debug)]
pub struct FaultTarget {
    /// Share of the eligible hosts; of the groups for a purge, of the dispatchers for a fault of dispatchers, of the
    /// requests for a fault in the traffic.
    pub share: f64,
    /// Only hosts and dispatchers of this zone.
    pub zone: Option<usize>,
    /// Only hosts of this role.
    pub role: Role,
    /// One alone: its index among the eligible ones.
    pub index: Option<usize>,
}

/// A fault as the scenario file specifies it.
#[derive(Clone, Debug)]
pub struct FaultSpec {
    /// Name of the fault's section.
    pub name: String,
    /// What happens.
    pub kind: FaultKind,
    /// Start, microseconds since the start of the run.
    pub at: Micros,
    /// Length, microseconds.
    pub duration: Micros,
    /// How long a process stays down, microseconds.
    pub downtime: Micros,
    /// See [`FaultKind::default_severity`].
    pub severity: f64,
    /// What it affects.
    pub target: FaultTarget,
    /// How much of a site a loss affects.
    pub extent: SiteLossExtent,
    /// Whether the endpoint list shows a site's loss.
    pub announced: bool,
    /// The directions of a site's partition.
    pub directions: PartitionDirections,
}

impl FaultSpec {
    /// When the fault ends, microseconds since the start of the run.
    pub(crate) fn end(&self) -> Micros {
        self.at + self.duration
    }

    /// Whether the fault is active at a time.
    pub(crate) fn is_active(&self, now: Micros) -> bool {
        now >= self.at && now < self.end()
    }

    /// When the nth of `count` steps that are spread evenly over the fault begins.
    pub(super) fn step_start(&self, n: usize, count: usize) -> Micros {
        self.at + self.duration * n as Micros / count.max(1) as Micros
    }
}
