//! The events of a run as clients, hosts and the control plane observed them: the audit's only evidence.
//!
//! Serialised names are those of kept runs and stay as they are; the types have the field's names.
use pointspindle::Micros;
use serde::{Deserialize, Serialize};

/// Identifies a client's attempt wherever it goes: the call, and the number of the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClientAttemptId {
    /// Number of the call within the run's traffic.
    pub call: u64,
    /// Number of the attempt within the call, from 0.
    #[serde(rename = "try_no")]
    pub attempt: u32,
}

impl ClientAttemptId {
    /// The identifier as the trace field of a request carries it.
    pub fn trace(self) -> String {
        format!("c{}.{}", self.call, self.attempt)
    }

    /// Reads what [`Self::trace`] wrote.
    pub fn parse(trace: &str) -> Option<Self> {
        let (call, attempt) = trace.strip_prefix('c')?.split_once('.')?;
        Some(Self {
            call: call.parse().ok()?,
            attempt: attempt.parse().ok()?,
        })
    }
}

/// How an attempt ended for its client.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClientOutcome {
    /// A complete response.
    Served {
        /// The version that the bytes prove; none if they are wrong.
        version: Option<u64>,
        /// Size of the body.
        bytes: u64,
        /// Whether the dispatcher said that the response is stale.
        #[serde(rename = "old")]
        stale: bool,
    },
    /// Load was shed.
    #[serde(rename = "Refused")]
    Rejected {
        /// How long the client was asked to wait before it retries, in microseconds.
        #[serde(rename = "come_back")]
        retry_after: Option<Micros>,
    },
    /// An error response.
    Failed,
    /// The response was cut short, and the client could tell.
    #[serde(rename = "Broken")]
    Truncated,
    /// The connection was lost, or never made, before any response.
    #[serde(rename = "Lost")]
    ConnectionLost,
    /// The client cancelled it.
    #[serde(rename = "LeftEarly")]
    Cancelled,
}

impl ClientOutcome {
    /// Whether it is a complete response with the bytes of the object.
    pub fn is_served_correctly(&self) -> bool {
        matches!(
            self,
            Self::Served {
                version: Some(_),
                ..
            }
        )
    }
}

/// How an attempt ended at a host's socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The host responded, with an object or an error.
    #[serde(rename = "Answered")]
    Completed,
    /// The dispatcher cancelled it.
    Cancelled,
    /// The host's process ended, or the connection broke.
    #[serde(rename = "Lost")]
    ConnectionLost,
}

/// An observed event.
///
/// Dispatchers, classes and zones are given by their index in the scenario, hosts by their address, times in
/// microseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TraceEvent {
    /// A client sent a request.
    #[serde(rename = "Asked")]
    RequestSent {
        /// The client's attempt.
        id: ClientAttemptId,
        /// The dispatcher that it was sent to.
        dispatcher: usize,
        /// Class of the request.
        class: usize,
        /// The object, by its number.
        #[serde(rename = "number")]
        object_number: u64,
        /// Purge group of the object.
        group: u64,
        /// The part of the object.
        part: u64,
        /// When the response is due, since the start of the run.
        deadline: Micros,
    },
    /// A request ended for its client.
    #[serde(rename = "Ended")]
    RequestEnded {
        /// The client's attempt.
        id: ClientAttemptId,
        /// How it ended.
        #[serde(rename = "end")]
        outcome: ClientOutcome,
    },
    /// A dispatcher sent something that belongs to no open request.
    #[serde(rename = "Stray")]
    UnexpectedResponse {
        /// The dispatcher that sent it.
        dispatcher: usize,
    },
    /// An attempt, or a fill, arrived at a host.
    #[serde(rename = "Reached")]
    AttemptArrived {
        /// The host that it arrived at.
        host: String,
        /// The dispatcher that sent it; none: another host, for a fill.
        #[serde(rename = "by")]
        dispatcher: Option<usize>,
        /// The client's attempt that it serves, if one is known.
        id: Option<ClientAttemptId>,
        /// The dispatcher's number of the attempt within the request.
        attempt: u32,
        /// The host that a miss is to be filled from.
        source: Option<String>,
        /// Class of the request.
        class: usize,
    },
    /// An attempt, or a fill, ended at a host.
    #[serde(rename = "Gone")]
    AttemptEnded {
        /// The host that it ended at.
        host: String,
        /// The client's attempt that it served, if one is known.
        id: Option<ClientAttemptId>,
        /// The dispatcher's number of the attempt within the request.
        attempt: u32,
        /// The dispatcher that sent it; none: another host, for a fill.
        #[serde(rename = "by")]
        dispatcher: Option<usize>,
        /// How it ended.
        #[serde(rename = "how")]
        outcome: AttemptOutcome,
    },
    /// The control plane delivered an endpoint list, or a change of it, to a dispatcher.
    #[serde(rename = "ToldList")]
    EndpointListDelivered {
        /// The dispatcher that received it.
        dispatcher: usize,
        /// Whether it is the whole list: hosts that it does not name have been removed.
        #[serde(rename = "whole")]
        full: bool,
        /// Hosts that take requests.
        ready: Vec<String>,
        /// The incarnation of each ready host, in the same order.
        #[serde(rename = "starts")]
        incarnations: Vec<u64>,
        /// Hosts that are draining or removed.
        #[serde(rename = "out")]
        not_ready: Vec<String>,
    },
    /// The control plane delivered a purge to a dispatcher.
    #[serde(rename = "ToldPurge")]
    PurgeDelivered {
        /// The dispatcher that received it.
        dispatcher: usize,
        /// The object's number; none: the whole group.
        object: Option<u64>,
        /// The purge group.
        group: u64,
        /// Copies made from then on have at least this version.
        version_from: u64,
    },
    /// A host of the run, declared once, so that the trace can be judged without the scenario's addresses.
    #[serde(rename = "Member")]
    HostDeclared {
        /// The host's address.
        host: String,
        /// Its role.
        role: pointspindle_cache_model::Role,
        /// Its zone.
        zone: usize,
        /// Its capacity relative to a host of weight 1.
        weight: f64,
    },
    /// A host's process started.
    #[serde(rename = "Started")]
    HostStarted {
        /// The host that started.
        host: String,
        /// Whether it starts with an empty cache; false at the start of the run.
        cold: bool,
        /// Which start of this host it is.
        #[serde(rename = "start")]
        incarnation: u64,
    },
    /// A host's process ended.
    #[serde(rename = "Fell")]
    HostCrashed {
        /// The host that crashed.
        host: String,
        /// Why, for people; overload during warm-up contains the word "cold".
        #[serde(rename = "why")]
        reason: String,
    },
    /// A silent partition between a host and the dispatchers began or ended.
    #[serde(rename = "Parted")]
    HostPartitioned {
        /// The host that is partitioned.
        host: String,
        /// Whether the partition begins.
        #[serde(rename = "parted")]
        partitioned: bool,
    },
    /// A silent partition between a zone and the other zones began or ended.
    #[serde(rename = "Walled")]
    ZonePartitioned {
        /// The zone that is partitioned.
        zone: usize,
        /// Whether the partition begins.
        #[serde(rename = "walled")]
        partitioned: bool,
    },
    /// A dispatcher's process ended.
    #[serde(rename = "Killed")]
    DispatcherKilled {
        /// The dispatcher that was killed.
        dispatcher: usize,
    },
    /// A dispatcher was paused or resumed.
    #[serde(rename = "Hung")]
    DispatcherPaused {
        /// The dispatcher.
        dispatcher: usize,
        /// Whether it is paused from now on.
        #[serde(rename = "hung")]
        paused: bool,
    },
    /// A dispatcher began its graceful shutdown: it accepts nothing new and answers what it has accepted.
    #[serde(rename = "Stopping")]
    DispatcherStopping {
        /// The dispatcher.
        dispatcher: usize,
    },
    /// A dispatcher's process started again.
    #[serde(rename = "Born")]
    DispatcherStarted {
        /// The dispatcher.
        dispatcher: usize,
    },
    /// What the script did, for people.
    #[serde(rename = "Trouble")]
    ScriptNote {
        /// The note.
        text: String,
    },
}

impl TraceEvent {
    /// The client's attempt that an event is about.
    pub fn attempt_id(&self) -> Option<ClientAttemptId> {
        match self {
            Self::RequestSent { id, .. } | Self::RequestEnded { id, .. } => Some(*id),
            Self::AttemptArrived { id, .. } | Self::AttemptEnded { id, .. } => *id,
            _ => None,
        }
    }
}

/// An event with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TraceEntry {
    /// Microseconds since the start of the run.
    pub at: Micros,
    /// What happened.
    #[serde(rename = "saw")]
    pub event: TraceEvent,
}
