//! Events that the shell reports to the core.
use crate::dispatcher_registry::Roster;
use pointspindle::{IdempotencyKey, Micros};
use pointspindle_protocol::{
    EndpointListHead, HelloHead, LeaseHead, PurgeHead, WireCacheStatus, WireStatus,
};

/// A client's request as decoded by a frontend.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClientRequest {
    /// Index of the request's class in the settings.
    pub class: usize,
    /// Name of the requested object.
    pub object: String,
    /// Part of the object, for objects that are stored in parts.
    pub part: u64,
    /// Purge group of the object.
    pub group: u64,
    /// Remaining time until the client's deadline.
    pub time_left: Micros,
    /// Size of the response in bytes, if it is known in advance.
    pub size: Option<u64>,
    /// Idempotency key, if the request has one.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// How an attempt ended, as observed by the shell.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptEnd {
    /// The complete response was received.
    Complete,
    /// The endpoint reported an error.
    ErrorReported {
        /// Status of the error frame.
        status: WireStatus,
        /// What the endpoint's cache did.
        cache_status: WireCacheStatus,
        /// Whether the request may have been executed.
        may_have_run: bool,
    },
    /// No connection could be established, so the request was not sent.
    ConnectFailed,
    /// The request was not sent: the connection had no free stream, or [`Core::begin`](super::Core::begin) denied the attempt.
    NotSent,
    /// The connection was lost; the request may have been executed.
    ConnectionLost,
}

/// An event for [`Core::handle`](super::Core::handle).
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A new request. The shell chooses its number and never reuses one.
    Request(u64, ClientRequest),
    /// The response head of an attempt has arrived; no part of the response has been forwarded yet.
    ResponseStarted {
        /// Number of the request.
        request: u64,
        /// Number of the attempt within the request.
        attempt: u32,
        /// What the endpoint's cache did.
        cache_status: WireCacheStatus,
        /// Size of the response in bytes, if the head states it.
        size: Option<u64>,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// Number of the request.
        request: u64,
        /// Number of the attempt within the request.
        attempt: u32,
        /// How the attempt ended.
        end: AttemptEnd,
    },
    /// An endpoint has sent something that is not read yet: it is not silent, although no response of it has arrived.
    EndpointActive {
        /// Name of the endpoint, as in [`Input::Hello`].
        endpoint: String,
    },
    /// The client has disconnected, or its response ended with an error on the client's side.
    ClientDisconnected(u64),
    /// The process is shutting down: every request whose response is not being forwarded yet gets its final response now.
    FinishAll,
    /// A full endpoint list or a delta.
    EndpointList(EndpointListHead),
    /// An object or a group was purged.
    Purge(PurgeHead),
    /// An endpoint's first message on a connection, which identifies its process. It precedes all other inputs of that
    /// connection. If [`Output::HelloApplied`](super::Output::HelloApplied) reports a replaced process, the shell ends all
    /// attempts that still wait to be sent on the connection with [`AttemptEnd::NotSent`], since the router chose the previous
    /// process for them.
    Hello {
        /// Name of the endpoint exactly as its record in the endpoint list states it, usually its address: the endpoint's id is
        /// a hash of this text.
        endpoint: String,
        /// Content of the message.
        hello: HelloHead,
    },
    /// A work lease that an endpoint in slow start grants to this dispatcher.
    Lease {
        /// Name of the endpoint, as in [`Input::Hello`].
        endpoint: String,
        /// The granted work.
        lease: LeaseHead,
    },
    /// An unknown set of purges may have been missed: every copy stored before this input is treated as purged.
    UpdatesMissed,
    /// The set of registered dispatchers.
    Roster(Roster),
    /// This dispatcher's registration was renewed.
    RegistrationRenewed {
        /// Time since the renewal, in microseconds.
        age_us: Micros,
        /// Duration of the registration's lease in microseconds, counted from the renewal.
        lease_duration_us: Micros,
    },
    /// Whether endpoint lists, purges and the roster are as current as they should be.
    SourceFreshness(bool),
    /// All purges that were acknowledged up to a given time are in force here.
    PurgesConfirmed {
        /// Time elapsed since then, in microseconds.
        age_us: Micros,
    },
    /// Time has passed; due timers fire.
    Tick,
}
