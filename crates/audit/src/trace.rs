//! What crossed the sockets, as clients, members and the control stand-in saw it: the auditor's only evidence.
use pointspindle::Micros;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::time::Instant;

/// Names a client's try wherever it goes: the call and the number of the try.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClientAttemptId {
    pub call: u64,
    #[serde(rename = "try_no")]
    pub attempt: u32,
}

impl ClientAttemptId {
    pub fn trace(self) -> String {
        format!("c{}.{}", self.call, self.attempt)
    }

    pub fn parse(trace: &str) -> Option<Self> {
        let (call, try_no) = trace.strip_prefix('c')?.split_once('.')?;
        Some(Self {
            call: call.parse().ok()?,
            attempt: try_no.parse().ok()?,
        })
    }
}

/// How a try ended for its client.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClientOutcome {
    /// Complete; with the version that its bytes prove, none if they are wrong.
    Served {
        version: Option<u64>,
        bytes: u64,
        #[serde(rename = "old")]
        stale: bool,
    },
    #[serde(rename = "Refused")]
    Rejected {
        #[serde(rename = "come_back")]
        retry_after: Option<Micros>,
    },
    Failed,
    /// The answer broke off and the client could tell.
    #[serde(rename = "Broken")]
    Truncated,
    /// The connection was lost, or never made, before any answer.
    #[serde(rename = "Lost")]
    ConnectionLost,
    /// The client left by itself.
    #[serde(rename = "LeftEarly")]
    Cancelled,
}

/// How an attempt ended at a member's socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    #[serde(rename = "Answered")]
    Completed,
    Cancelled,
    /// The member's process went, or the connection.
    #[serde(rename = "Lost")]
    ConnectionLost,
}

/// One thing seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TraceEvent {
    #[serde(rename = "Asked")]
    RequestSent {
        id: ClientAttemptId,
        dispatcher: usize,
        class: usize,
        #[serde(rename = "number")]
        object_number: u64,
        group: u64,
        part: u64,
        deadline: Micros,
    },
    #[serde(rename = "Ended")]
    RequestEnded {
        id: ClientAttemptId,
        #[serde(rename = "end")]
        outcome: ClientOutcome,
    },
    /// Something came from a dispatcher that belongs to no open request.
    #[serde(rename = "Stray")]
    UnexpectedResponse { dispatcher: usize },
    /// An attempt, or a fill, arrived at a member.
    #[serde(rename = "Reached")]
    AttemptArrived {
        host: String,
        /// Which dispatcher sent it; none: a member, for a fill.
        #[serde(rename = "by")]
        dispatcher: Option<usize>,
        id: Option<ClientAttemptId>,
        attempt: u32,
        source: Option<String>,
        class: usize,
    },
    #[serde(rename = "Gone")]
    AttemptEnded {
        host: String,
        id: Option<ClientAttemptId>,
        attempt: u32,
        #[serde(rename = "by")]
        dispatcher: Option<usize>,
        #[serde(rename = "how")]
        outcome: AttemptOutcome,
    },
    /// Control has told a dispatcher; `whole`: who is absent has left.
    #[serde(rename = "ToldList")]
    EndpointListDelivered {
        dispatcher: usize,
        #[serde(rename = "whole")]
        full: bool,
        ready: Vec<String>,
        /// Which start of each that is ready, in the same order.
        #[serde(rename = "starts")]
        incarnations: Vec<u64>,
        #[serde(rename = "out")]
        not_ready: Vec<String>,
    },
    #[serde(rename = "ToldPurge")]
    PurgeDelivered {
        dispatcher: usize,
        object: Option<u64>,
        group: u64,
        version_from: u64,
    },
    /// A member of the run, told once by the rig, so that the evidence stands alone.
    #[serde(rename = "Member")]
    HostDeclared {
        host: String,
        role: pointspindle_cache_model::Role,
        zone: usize,
        weight: f64,
    },
    /// A member's process began; `cold`: not at the run's start.
    #[serde(rename = "Started")]
    HostStarted {
        host: String,
        cold: bool,
        /// Which start of this member it is.
        #[serde(rename = "start")]
        incarnation: u64,
    },
    #[serde(rename = "Fell")]
    HostCrashed {
        host: String,
        #[serde(rename = "why")]
        reason: String,
    },
    /// Nothing passes between it and dispatchers, in silence; or it does again.
    #[serde(rename = "Parted")]
    HostPartitioned {
        host: String,
        #[serde(rename = "parted")]
        partitioned: bool,
    },
    /// Nothing passes between a zone and the others, in silence; or it does again.
    #[serde(rename = "Walled")]
    ZonePartitioned {
        zone: usize,
        #[serde(rename = "walled")]
        partitioned: bool,
    },
    #[serde(rename = "Killed")]
    DispatcherKilled { dispatcher: usize },
    /// It stands still, or goes on.
    #[serde(rename = "Hung")]
    DispatcherPaused {
        dispatcher: usize,
        #[serde(rename = "hung")]
        paused: bool,
    },
    /// It was told to stop: nothing new is taken, what was taken is answered.
    #[serde(rename = "Stopping")]
    DispatcherStopping { dispatcher: usize },
    #[serde(rename = "Born")]
    DispatcherStarted { dispatcher: usize },
    /// For people: what the script did.
    #[serde(rename = "Trouble")]
    ScriptNote { text: String },
}

/// One sight with its time, microseconds since the run's start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TraceEntry {
    pub at: Micros,
    #[serde(rename = "saw")]
    pub event: TraceEvent,
}

/// Shared by all who see. Grows with the run: about ten sights a request.
#[derive(Clone, Debug)]
pub struct Recorder {
    born: Instant,
    sights: Arc<Mutex<Vec<TraceEntry>>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self {
            born: Instant::now(),
            sights: Arc::default(),
        }
    }
}

impl Recorder {
    pub fn now(&self) -> Micros {
        self.born.elapsed().as_micros() as Micros
    }

    fn lock(&self) -> MutexGuard<'_, Vec<TraceEntry>> {
        self.sights
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn record(&self, saw: TraceEvent) {
        self.record_at(self.now(), saw);
    }

    pub fn record_at(&self, at: Micros, saw: TraceEvent) {
        self.lock().push(TraceEntry { at, event: saw });
    }

    /// What was seen since the first `known` sights, in the order of its coming.
    pub fn entries_since(&self, known: usize) -> Vec<TraceEntry> {
        self.lock()
            .get(known..)
            .map_or(Vec::new(), <[TraceEntry]>::to_vec)
    }

    /// Everything seen so far, by time.
    pub fn take_entries(&self) -> Vec<TraceEntry> {
        let mut sights = std::mem::take(&mut *self.lock());
        sights.sort_by_key(|s| s.at);
        sights
    }
}

impl TraceEvent {
    /// The try that a sight is about.
    pub fn attempt_id(&self) -> Option<ClientAttemptId> {
        match self {
            Self::RequestSent { id, .. } | Self::RequestEnded { id, .. } => Some(*id),
            Self::AttemptArrived { id, .. } | Self::AttemptEnded { id, .. } => *id,
            _ => None,
        }
    }
}

/// Everything that happened to a call, in order, with what happened to the members that its attempts reached.
pub fn request_history(sights: &[TraceEntry], call: u64) -> Vec<&TraceEntry> {
    let mine = |s: &TraceEntry| s.event.attempt_id().is_some_and(|id| id.call == call);
    let span = sights
        .iter()
        .filter(|s| mine(s))
        .fold((Micros::MAX, 0), |(a, b), s| (a.min(s.at), b.max(s.at)));
    let reached = |s: &TraceEntry| match &s.event {
        TraceEvent::AttemptArrived { host, .. } if mine(s) => Some(host.clone()),
        _ => None,
    };
    let hosts: std::collections::BTreeSet<String> = sights.iter().filter_map(reached).collect();
    let about = |s: &TraceEntry| match &s.event {
        TraceEvent::HostCrashed { host, .. } | TraceEvent::HostStarted { host, .. } => {
            hosts.contains(host)
        }
        TraceEvent::EndpointListDelivered {
            ready,
            not_ready: out,
            full: false,
            ..
        } => ready.iter().chain(out).any(|h| hosts.contains(h)),
        TraceEvent::DispatcherKilled { .. }
        | TraceEvent::DispatcherStarted { .. }
        | TraceEvent::ScriptNote { .. } => true,
        TraceEvent::DispatcherPaused { .. }
        | TraceEvent::DispatcherStopping { .. }
        | TraceEvent::ZonePartitioned { .. } => true,
        _ => false,
    };
    let near = |s: &TraceEntry| s.at + 2_000_000 >= span.0 && s.at <= span.1 + 500_000;
    sights
        .iter()
        .filter(|s| mine(s) || (near(s) && about(s)))
        .collect()
}
