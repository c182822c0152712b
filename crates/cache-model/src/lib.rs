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

pub use world::{Catalogue, World};

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
    pub fresh: Micros,
    /// Mean time to send an answer at full pace, microseconds: what one request counts against a cold member.
    pub mean: Micros,
    pub uncacheable: bool,
    /// The origin discards repeats of a key for a while.
    pub dedupes: bool,
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
    pub places: usize,
    /// Requests that wait; more are turned away.
    pub queue: usize,
    /// Share of the link lost for each further full load of transfers: crowding.
    pub thrash: f64,
    /// Bytes of copies that it keeps.
    pub store_bytes: u64,
    /// Fills at once.
    pub fill_places: usize,
    /// A fill is given up when nothing has come after this.
    pub fill_timeout: Micros,
    /// Further tries of a fill, at the same source.
    pub fill_retries: u32,
    /// A fill whose last client has left is dropped (else it runs on).
    pub abort_fill: bool,
    /// A parent fetches once for all who wait; else for each fill apart. Caches join where the request says so.
    pub joins: bool,
    pub cold: cold::ColdSpec,
    /// Time before the first byte of an answer: the origin's own work. Mean of an exponential draw.
    pub think: Micros,
    /// Its load report is this old at most.
    pub report_every: Micros,
    /// Pauses of the process: one in so many microseconds on average, 0 for none, and how long.
    pub pause_every: Micros,
    pub pause: Micros,
    /// The origin: asked for more than this multiple of its capacity for `fall_window`, it stops for `fall_down`.
    pub fall_multiple: f64,
    pub fall_window: Micros,
    pub fall_down: Micros,
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
pub struct WorldSpec {
    pub classes: Vec<ClassModel>,
    pub zones: Vec<ZoneSpec>,
    /// Bytes a second of one transfer to a client at full pace.
    pub flow: f64,
    /// A fill runs at most so many times as fast.
    pub fill_pace: f64,
    /// How long the origin remembers the key of what it ran.
    pub key_window: Micros,
}

/// A request at a member.
#[derive(Clone, Debug, PartialEq)]
pub struct Wanted {
    pub object: Arc<str>,
    pub number: u64,
    pub part: u64,
    pub group: u64,
    pub class: usize,
    /// Where a miss is filled from; none: the member's own upstream, where it has one.
    pub source: Option<String>,
    pub keep: u8,
    /// Oldest copy that will do; 0: fresh for its class.
    pub age: Micros,
    pub join: bool,
    pub held_only: bool,
    pub renew: bool,
    /// Version that the asker holds.
    pub holds: Option<u64>,
    pub key: Arc<str>,
    pub trace: Arc<str>,
    pub attempt: u32,
}

/// A copy as it travels: enough to make its bytes again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Copy {
    /// Of the origin: grows with each purge of the object.
    pub version: u64,
    pub size: u64,
    /// When the origin gave it out or confirmed it.
    pub birth: Micros,
}

/// The head of an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub note: WireCacheStatus,
    pub copy: Copy,
    pub age: Micros,
    pub fresh_left: Option<Micros>,
    /// The asker's version still holds: no body.
    pub not_modified: bool,
    pub load: LoadReport,
    /// 404 where the origin has nothing of that name.
    pub code: u16,
}

/// How a source's answer ended.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceEnd {
    Complete,
    Told {
        status: WireStatus,
        note: WireCacheStatus,
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
    Lose { share: f64, until: Micros },
    /// This share of answers ends in a broken connection, until then.
    Cut { share: f64, until: Micros },
    /// Turns all requests away, until then.
    Refuse { until: Micros },
    /// Fails this share of requests at once, until then.
    Err { share: f64, until: Micros },
    /// So many times slower, until then.
    Slow { factor: f64, until: Micros },
    /// The process ends; connections break.
    Die,
    /// A new process at the same address: empty and cold, unless it was down for no time at all.
    Return,
}

/// What the world is told.
#[derive(Clone, Debug, PartialEq)]
pub enum In {
    Arrive {
        host: HostId,
        job: JobId,
        wanted: Wanted,
    },
    /// The asker wants nothing more of it.
    Cancel {
        host: HostId,
        job: JobId,
    },
    /// The source of a fill has begun to answer.
    SourceHead {
        host: HostId,
        fill: FillId,
        answer: Answer,
    },
    SourceEnd {
        host: HostId,
        fill: FillId,
        end: SourceEnd,
    },
    /// The member drops what is older; `at` is when the purge was made.
    Purge {
        host: HostId,
        object: Option<u64>,
        group: u64,
        at: Micros,
    },
    /// The origin has another version from now on.
    Change {
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
pub enum Out {
    /// The head of an answer goes out; the body ends with [`Out::Finish`].
    Start {
        host: HostId,
        job: JobId,
        answer: Answer,
    },
    Finish {
        host: HostId,
        job: JobId,
    },
    Reject {
        host: HostId,
        job: JobId,
        status: WireStatus,
        note: WireCacheStatus,
        may_have_run: bool,
        load: LoadReport,
    },
    /// The connection of this request breaks.
    Cut {
        host: HostId,
        job: JobId,
    },
    /// Ask the source; its answer comes back as [`In::SourceHead`] and [`In::SourceEnd`].
    Fill {
        host: HostId,
        fill: FillId,
        source: String,
        wanted: Wanted,
    },
    /// Nothing more of the source's answer is wanted.
    DropFill {
        host: HostId,
        fill: FillId,
    },
    /// The process is gone: its requests and fills with it.
    Down {
        host: HostId,
        why: &'static str,
    },
    Up {
        host: HostId,
    },
}

impl Fault {
    /// The same fault with its end on a clock that runs ahead by `shift`.
    pub fn later(self, shift: Micros) -> Self {
        match self {
            Self::Hang { until } => Self::Hang {
                until: until + shift,
            },
            Self::Lose { share, until } => Self::Lose {
                share,
                until: until + shift,
            },
            Self::Cut { share, until } => Self::Cut {
                share,
                until: until + shift,
            },
            Self::Refuse { until } => Self::Refuse {
                until: until + shift,
            },
            Self::Err { share, until } => Self::Err {
                share,
                until: until + shift,
            },
            Self::Slow { factor, until } => Self::Slow {
                factor,
                until: until + shift,
            },
            Self::Die | Self::Return => self,
        }
    }
}
