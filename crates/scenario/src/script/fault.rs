//! Kinds of faults, and the specification of a fault in a scenario file.
use pointspindle::Micros;
use pointspindle_cache_model::Role;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Hosts are drained in waves and replaced by successors at other addresses.
    Deploy,
    /// Hosts crash at the same time and restart at the end of the fault.
    Crash,
    /// The parents of a hub, or the cache hosts of its branches, restart within a fraction of a second of each other.
    HubRestart,
    /// All hosts of a zone are down until the end of the fault.
    ZoneLoss,
    /// Hosts hang: they accept requests and do not respond.
    Hang,
    /// Hosts silently drop a share of their responses.
    DropResponses,
    /// Hosts truncate a share of their responses.
    TruncateResponses,
    /// Hosts reject every request.
    RejectRequests,
    /// Hosts answer a share of requests with an error.
    FailRequests,
    /// The transfer speed of hosts is divided by a factor.
    SlowDown,
    /// Hosts slow down in steps, then crash and restart.
    Ageing,
    /// A share of the purge groups is purged.
    Purge,
    /// Dispatchers are killed one after another and restarted after the downtime.
    KillDispatchers,
    /// Endpoint list updates are delayed.
    DelayEndpointUpdates,
    /// A share of the requests is for one object.
    HotObject,
    /// A share of the requests is for objects whose size is a multiple of the usual one.
    OversizedObjects,
    /// A share of the requests is for objects that are requested only once.
    OneOffObjects,
    /// Hosts restart one after another.
    RollingRestart,
    /// Hosts are unreachable for short times while their processes continue to run.
    FlakyConnections,
    /// All packets between hosts and dispatchers are dropped, and no component is notified. Requires the simulated
    /// network.
    Partition,
    /// The request rate is multiplied by the severity.
    Burst,
    /// The processes of a site, selected by the extent, crash at about the same time and restart with empty stores.
    SiteLoss,
    /// Packets between a site and the others are dropped in one or both directions; traffic within the site continues.
    SitePartition,
    /// Dispatchers are paused one after another, each for the downtime.
    PauseDispatchers,
    /// Dispatchers shut down gracefully one after another and are restarted after the downtime.
    StopDispatchers,
}

impl FaultKind {
    /// The name of each kind in scenario files.
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

    /// Returns the kind whose name in scenario files is `name`.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::NAMES
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, kind)| *kind)
    }

    /// Returns the name of the kind in scenario files.
    pub fn name(self) -> &'static str {
        Self::NAMES
            .iter()
            .find(|(_, kind)| *kind == self)
            .map_or("", |(name, _)| name)
    }

    /// Whether the fault requires the simulated network and cannot be simulated in virtual time.
    pub fn requires_simulated_network(self) -> bool {
        self == Self::Partition
    }

    /// Whether the fault requires several sites or dispatchers that can be paused. The simulated network supports
    /// neither.
    pub fn requires_processes(self) -> bool {
        matches!(
            self,
            Self::SiteLoss | Self::SitePartition | Self::PauseDispatchers | Self::StopDispatchers
        )
    }

    /// Whether the fault affects a site as a whole.
    pub fn affects_site(self) -> bool {
        matches!(self, Self::SiteLoss | Self::SitePartition | Self::ZoneLoss)
    }

    /// Whether the affected hosts are drawn by the fault's [`FaultTarget`].
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

    /// Returns the role of the target hosts if the file does not specify one.
    pub fn default_role(self) -> Role {
        Role::Cache
    }

    /// Returns the severity if the file does not specify one. Its meaning depends on the kind: a share of responses, a
    /// factor, a number of interruptions, or a duration of draining or of delay in seconds.
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

/// The processes that the loss of a site affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SiteLossExtent {
    /// The cache hosts of the site, or the parents if the site is a hub.
    Hosts,
    /// The hosts of the site, and the parents of its hub.
    Parents,
    /// The hosts of the site, the parents of its hub, and the dispatchers of the site.
    Dispatchers,
}

impl SiteLossExtent {
    /// The name of each extent in scenario files.
    pub const NAMES: [(&'static str, Self); 3] = [
        ("hosts", Self::Hosts),
        ("parents", Self::Parents),
        ("dispatchers", Self::Dispatchers),
    ];
}

/// The directions in which a partition drops traffic between a site and the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartitionDirections {
    /// Whether traffic from other sites is dropped.
    pub inward: bool,
    /// Whether traffic to other sites is dropped.
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

    /// The name of each combination of directions in scenario files.
    pub const NAMES: [(&'static str, Self); 3] =
        [("both", Self::BOTH), ("in", Self::IN), ("out", Self::OUT)];
}

impl Default for PartitionDirections {
    fn default() -> Self {
        Self::BOTH
    }
}

/// The hosts, dispatchers, purge groups or requests that a fault affects.
#[derive(Clone, Copy, Debug)]
pub struct FaultTarget {
    /// Affected share of the eligible hosts. For a purge, it is a share of the purge groups; for a fault of
    /// dispatchers, of the dispatchers; for a fault in the traffic, of the requests.
    pub share: f64,
    /// Zone to which the affected hosts and dispatchers are restricted, if given.
    pub zone: Option<usize>,
    /// Role of the affected hosts.
    pub role: Role,
    /// Index of the only affected host among the eligible ones, or index of the only affected dispatcher among all
    /// dispatchers. If given, `share` has no effect.
    pub index: Option<usize>,
}

/// The specification of a fault in the scenario file.
#[derive(Clone, Debug)]
pub struct FaultSpec {
    /// Name of the fault, from the title of its section.
    pub name: String,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Start of the fault, microseconds since the start of the run.
    pub at: Micros,
    /// Duration of the fault, microseconds.
    pub duration: Micros,
    /// Time for which a process, or a host's connectivity, is down; microseconds.
    pub downtime: Micros,
    /// Severity, whose meaning depends on the kind; see [`FaultKind::default_severity`].
    pub severity: f64,
    /// Hosts, dispatchers, purge groups or requests that the fault affects.
    pub target: FaultTarget,
    /// Processes that the loss of a site affects.
    pub extent: SiteLossExtent,
    /// Whether the endpoint list shows the loss of a site.
    pub announced: bool,
    /// Directions in which the partition of a site drops traffic.
    pub directions: PartitionDirections,
}

impl FaultSpec {
    /// Returns the end of the fault, microseconds since the start of the run.
    pub(crate) fn end(&self) -> Micros {
        self.at + self.duration
    }

    /// Whether the fault is active at the time `now`.
    pub(crate) fn is_active(&self, now: Micros) -> bool {
        now >= self.at && now < self.end()
    }

    /// Returns the start of step `n`, from 0, of `count` steps that are distributed evenly over the fault.
    pub(super) fn step_start(&self, n: usize, count: usize) -> Micros {
        self.at + self.duration * n as Micros / count.max(1) as Micros
    }
}
