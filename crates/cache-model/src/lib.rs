//! A model of cache hosts, parents and an origin, without I/O and without a clock.
//!
//! [`World::handle`] takes one [`In`] with its time and appends [`Out`]s. Requests between members are outputs and
//! inputs too, so that the same world runs behind sockets in real time and inside a virtual-time loop.
//!
//! A member's transfers share its link evenly, each at its own pace at most ([`pipe::Pipe`]); fills from outside a
//! location share the location's link in. A member that has just started gives only a share of its link
//! and falls over when asked for too much ([`cold`]).
#![forbid(unsafe_code)]

pub mod cold;
pub mod fill;
pub mod host;
pub mod pipe;
pub mod store;
mod world;

pub use world::{CacheModel, SizeCatalogue};

use pointspindle::Micros;
use pointspindle_protocol::{LoadReport, WireCacheStatus, WireStatus};
use std::sync::Arc;

pub use pointspindle_config::Role;

/// A member's place in the world's table.
pub type HostId = usize;
/// The driver's number for a request at a member; never used again.
pub type JobId = u64;
/// The world's number for a fill.
pub type FillId = u64;

/// A class as members see it.
#[derive(Clone, Debug)]
pub struct ClassModel {
    pub name: String,
    /// Microseconds; 0: good until purged.
    pub freshness_lifetime: Micros,
    /// Mean time to send an answer at full pace, microseconds: what one request counts against a cold member.
    pub mean_transfer_time: Micros,
    pub uncacheable: bool,
    /// The origin discards repeats of a key for a while.
    pub deduplicates: bool,
}

/// A kind of member; ranges are drawn by the scenario before they come here.
#[derive(Clone, Debug)]
pub struct HostSpec {
    pub address: String,
    pub role: Role,
    /// Index into the world's zones.
    pub zone: usize,
    /// Transfers at full pace that its link carries.
    pub weight: f64,
    /// Requests in work at once; more wait.
    pub concurrency: usize,
    /// Requests that wait; more are turned away.
    pub queue: usize,
    /// Share of the link lost for each further full load of transfers: crowding.
    pub crowding_loss: f64,
    /// Bytes of copies that it keeps.
    pub store_bytes: u64,
    /// Fills at once.
    pub fill_concurrency: usize,
    /// A fill is given up when nothing has come after this.
    pub fill_timeout: Micros,
    /// Further tries of a fill, at the same source.
    pub fill_retries: u32,
    /// A fill whose last client has left is dropped (else it runs on).
    pub abort_fill: bool,
    /// A parent fetches once for all who wait; else for each fill apart. Caches join where the request says so.
    pub coalesces_fills: bool,
    pub warm_up: cold::WarmUpSpec,
    /// Time before the first byte of an answer: the origin's own work. Mean of an exponential draw.
    pub service_time: Micros,
    /// Its load report is this old at most.
    pub load_report_interval: Micros,
    /// Pauses of the process: one in so many microseconds on average, 0 for none, and how long.
    pub pause_interval: Micros,
    pub pause: Micros,
    /// The origin: asked for more than this multiple of its capacity for `fall_window`, it stops for `fall_down`.
    pub overload_multiple: f64,
    pub overload_window: Micros,
    pub overload_downtime: Micros,
}

/// A location, or a hub's place.
#[derive(Clone, Debug)]
pub struct ZoneSpec {
    pub name: String,
    /// Transfers at full pace that its link in carries; fills from outside share it.
    pub link: f64,
}

/// What is common to all members.
#[derive(Clone, Debug)]
pub struct CacheModelSettings {
    pub classes: Vec<ClassModel>,
    pub zones: Vec<ZoneSpec>,
    /// Bytes a second of one transfer to a client at full pace.
    pub bytes_per_s: f64,
    /// A fill runs at most so many times as fast.
    pub fill_speedup: f64,
    /// How long the origin remembers the key of what it ran.
    pub idempotency_window: Micros,
}

/// A request at a member.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelRequest {
    pub object: Arc<str>,
    pub object_number: u64,
    pub part: u64,
    pub group: u64,
    pub class: usize,
    /// Where a miss is filled from; none: the member's own upstream, where it has one.
    pub source: Option<String>,
    pub retention_rank: u8,
    /// Oldest copy that will do; 0: fresh for its class.
    pub max_age: Micros,
    pub coalesce: bool,
    pub only_if_cached: bool,
    pub revalidate: bool,
    /// Version that the asker holds.
    pub cached_version: Option<u64>,
    pub idempotency_key: Arc<str>,
    pub trace: Arc<str>,
    pub attempt: u32,
}

/// A copy as it travels: enough to make its bytes again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CachedCopy {
    /// Of the origin: grows with each purge of the object.
    pub version: u64,
    pub size: u64,
    /// When the origin gave it out or confirmed it.
    pub validated_at: Micros,
}

/// The head of an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelResponse {
    pub cache_status: WireCacheStatus,
    pub copy: CachedCopy,
    pub age: Micros,
    pub freshness_left: Option<Micros>,
    /// The asker's version still holds: no body.
    pub not_modified: bool,
    pub load: LoadReport,
    /// 404 where the origin has nothing of that name.
    pub status_code: u16,
}

/// How a source's answer ended.
#[derive(Clone, Debug, PartialEq)]
pub enum FillOutcome {
    Complete,
    Rejected {
        status: WireStatus,
        cache_status: WireCacheStatus,
    },
    /// Not reached, or the connection broke.
    Unreachable,
}

/// Scripted trouble of one member.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Takes requests and answers none until then.
    Hang { until: Micros },
    /// This share of answers is never sent, until then.
    DropResponses { share: f64, until: Micros },
    /// This share of answers ends in a broken connection, until then.
    TruncateResponses { share: f64, until: Micros },
    /// Turns all requests away, until then.
    RejectRequests { until: Micros },
    /// Fails this share of requests at once, until then.
    FailRequests { share: f64, until: Micros },
    /// So many times slower, until then.
    SlowDown { factor: f64, until: Micros },
    /// The process ends; connections break.
    Crash,
    /// A new process at the same address: empty and cold, unless it was down for no time at all.
    Restart,
}

/// What the world is told.
#[derive(Clone, Debug, PartialEq)]
pub enum ModelInput {
    Arrive {
        host: HostId,
        job: JobId,
        request: ModelRequest,
    },
    /// The asker wants nothing more of it.
    Cancel {
        host: HostId,
        job: JobId,
    },
    /// The source of a fill has begun to answer.
    FillResponse {
        host: HostId,
        fill: FillId,
        response: ModelResponse,
    },
    FillEnded {
        host: HostId,
        fill: FillId,
        outcome: FillOutcome,
    },
    /// The member drops what is older; `at` is when the purge was made.
    Purge {
        host: HostId,
        object: Option<u64>,
        group: u64,
        at: Micros,
    },
    /// The origin has another version from now on.
    OriginUpdate {
        object: Option<u64>,
        group: u64,
    },
    Fault {
        host: HostId,
        fault: Fault,
    },
    Tick,
}

/// What the world wants done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum ModelOutput {
    /// The head of an answer goes out; the body ends with [`Out::Finish`].
    ResponseStart {
        host: HostId,
        job: JobId,
        response: ModelResponse,
    },
    ResponseEnd {
        host: HostId,
        job: JobId,
    },
    Reject {
        host: HostId,
        job: JobId,
        status: WireStatus,
        cache_status: WireCacheStatus,
        may_have_run: bool,
        load: LoadReport,
    },
    /// The connection of this request breaks.
    Disconnect {
        host: HostId,
        job: JobId,
    },
    /// Ask the source; its answer comes back as [`In::SourceHead`] and [`In::SourceEnd`].
    StartFill {
        host: HostId,
        fill: FillId,
        source: String,
        request: ModelRequest,
    },
    /// Nothing more of the source's answer is wanted.
    CancelFill {
        host: HostId,
        fill: FillId,
    },
    /// The process is gone: its requests and fills with it.
    HostDown {
        host: HostId,
        reason: &'static str,
    },
    HostUp {
        host: HostId,
    },
}

impl Fault {
    /// The same fault with its end on a clock that runs ahead by `shift`.
    pub fn delayed_by(self, shift: Micros) -> Self {
        match self {
            Self::Hang { until } => Self::Hang {
                until: until + shift,
            },
            Self::DropResponses { share, until } => Self::DropResponses {
                share,
                until: until + shift,
            },
            Self::TruncateResponses { share, until } => Self::TruncateResponses {
                share,
                until: until + shift,
            },
            Self::RejectRequests { until } => Self::RejectRequests {
                until: until + shift,
            },
            Self::FailRequests { share, until } => Self::FailRequests {
                share,
                until: until + shift,
            },
            Self::SlowDown { factor, until } => Self::SlowDown {
                factor,
                until: until + shift,
            },
            Self::Crash | Self::Restart => self,
        }
    }
}
