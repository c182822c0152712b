//! The events of a run as observed by clients, hosts and the control plane: the audit's only evidence.
//!
//! Serialised names must not change, so that stored runs can still be read; they differ from many of the Rust names.
use pointspindle::Micros;
use serde::{Deserialize, Serialize};

/// Identifies a client's attempt across all events, by the call and the number of the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClientAttemptId {
    /// Number of the call within the run's traffic.
    pub call: u64,
    /// Number of the attempt within the call, from 0.
    #[serde(rename = "try_no")]
    pub attempt: u32,
}

impl ClientAttemptId {
    /// Returns the identifier in the form of a request's trace field.
    pub fn trace(self) -> String {
        format!("c{}.{}", self.call, self.attempt)
    }

    /// Parses the form that [`Self::trace`] returns.
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
        /// Version of the object, determined from the bytes; `None` if they are not the object's.
        version: Option<u64>,
        /// Size of the body, in bytes.
        bytes: u64,
        /// Whether the dispatcher marked the response as stale.
        #[serde(rename = "old")]
        stale: bool,
    },
    /// The request was rejected to shed load.
    #[serde(rename = "Refused")]
    Rejected {
        /// Time that the client is to wait before it retries, in microseconds; `None` if none was given.
        #[serde(rename = "come_back")]
        retry_after: Option<Micros>,
    },
    /// An error response.
    Failed,
    /// The response was truncated, and the client detected it.
    #[serde(rename = "Broken")]
    Truncated,
    /// The connection was lost before any response, or could not be established.
    #[serde(rename = "Lost")]
    ConnectionLost,
    /// The client cancelled the attempt.
    #[serde(rename = "LeftEarly")]
    Cancelled,
}

impl ClientOutcome {
    /// Whether the outcome is a complete response with the bytes of the object.
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
    /// The dispatcher cancelled the attempt.
    Cancelled,
    /// The host's process ended, or the connection was lost.
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
        /// The dispatcher that the request was sent to.
        dispatcher: usize,
        /// Class of the request.
        class: usize,
        /// Number of the object.
        #[serde(rename = "number")]
        object_number: u64,
        /// Purge group of the object.
        group: u64,
        /// Number of the requested part of the object.
        part: u64,
        /// Deadline of the response, since the start of the run.
        deadline: Micros,
    },
    /// A request ended for its client.
    #[serde(rename = "Ended")]
    RequestEnded {
        /// The client's attempt.
        id: ClientAttemptId,
        /// Outcome for the client.
        #[serde(rename = "end")]
        outcome: ClientOutcome,
    },
    /// A dispatcher sent a response that belongs to no open request.
    #[serde(rename = "Stray")]
    UnexpectedResponse {
        /// The dispatcher that sent the response.
        dispatcher: usize,
    },
    /// An attempt, or a fill, arrived at a host.
    #[serde(rename = "Reached")]
    AttemptArrived {
        /// The host at which the attempt or fill arrived.
        host: String,
        /// The dispatcher that sent the attempt; `None` for a fill by another host.
        #[serde(rename = "by")]
        dispatcher: Option<usize>,
        /// The client's attempt that is served, if it is known.
        id: Option<ClientAttemptId>,
        /// Number of the dispatcher's attempt within the request.
        attempt: u32,
        /// The host from which a miss is to be filled.
        source: Option<String>,
        /// Class of the request.
        class: usize,
    },
    /// An attempt, or a fill, ended at a host.
    #[serde(rename = "Gone")]
    AttemptEnded {
        /// The host at which the attempt or fill ended.
        host: String,
        /// The client's attempt that was served, if it is known.
        id: Option<ClientAttemptId>,
        /// Number of the dispatcher's attempt within the request.
        attempt: u32,
        /// The dispatcher that sent the attempt; `None` for a fill by another host.
        #[serde(rename = "by")]
        dispatcher: Option<usize>,
        /// Outcome at the host's socket.
        #[serde(rename = "how")]
        outcome: AttemptOutcome,
    },
    /// The control plane delivered a full endpoint list, or changes to it, to a dispatcher.
    #[serde(rename = "ToldList")]
    EndpointListDelivered {
        /// The dispatcher that received the list.
        dispatcher: usize,
        /// Whether the list is full: hosts that it does not contain have been removed.
        #[serde(rename = "whole")]
        full: bool,
        /// Hosts that are ready for requests.
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
        /// The dispatcher that received the purge.
        dispatcher: usize,
        /// Number of the object; `None` if the whole group is purged.
        object: Option<u64>,
        /// The purge group.
        group: u64,
        /// Minimum version of copies made after the purge.
        version_from: u64,
    },
    /// A host of the run, declared once, so that a trace can be judged without the scenario's addresses.
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
        /// Whether the host starts with an empty cache; false at the start of the run.
        cold: bool,
        /// The host's incarnation.
        #[serde(rename = "start")]
        incarnation: u64,
    },
    /// A host's process ended.
    #[serde(rename = "Fell")]
    HostCrashed {
        /// The host that crashed.
        host: String,
        /// Human-readable reason; it contains the word "cold" if the host was overloaded during warm-up.
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
        /// The dispatcher that was paused or resumed.
        dispatcher: usize,
        /// Whether the pause begins.
        #[serde(rename = "hung")]
        paused: bool,
    },
    /// A dispatcher began its graceful shutdown: it accepts no new requests and answers those that it has accepted.
    #[serde(rename = "Stopping")]
    DispatcherStopping {
        /// The dispatcher that is stopping.
        dispatcher: usize,
    },
    /// A dispatcher's process restarted.
    #[serde(rename = "Born")]
    DispatcherStarted {
        /// The dispatcher that restarted.
        dispatcher: usize,
    },
    /// A human-readable note on a step of the run's script.
    #[serde(rename = "Trouble")]
    ScriptNote {
        /// Text of the note.
        text: String,
    },
}

impl TraceEvent {
    /// Returns the client's attempt that the event belongs to.
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
