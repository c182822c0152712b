//! Commands of the core to the shell.
use super::EndpointListChange;
use pointspindle::{FetchDirective, Micros};

/// How a cache miss is to be filled, with the fill's source by address.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressedFetch {
    /// Endpoint to fill from; none: the receiving endpoint itself is the source.
    pub source: Option<String>,
    /// Rank of the object for the cache's eviction order.
    pub retention_rank: u8,
    /// Age of the oldest acceptable copy; 0: the limit of the request's class.
    pub max_age: Micros,
    /// The request may join a fill that is in progress.
    pub coalesce: bool,
    /// Serve from the cache or report a miss; do not fill.
    pub only_if_cached: bool,
    /// Revalidate the cached copy at the source before it is served.
    pub revalidate: bool,
}

impl AddressedFetch {
    pub(super) fn new(directive: &FetchDirective, source: Option<String>) -> Self {
        Self {
            source,
            retention_rank: directive.retention_rank,
            max_age: directive.max_age,
            coalesce: directive.coalesce,
            only_if_cached: directive.only_if_cached,
            revalidate: directive.revalidate,
        }
    }
}

/// A command to be carried out by the shell, in the order of the commands.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send an attempt to an endpoint.
    Send {
        /// Number of the request.
        request: u64,
        /// Number of the attempt within the request.
        attempt: u32,
        /// Address or id of the endpoint.
        endpoint: String,
        /// Time until the core cancels the attempt.
        timeout: Micros,
        /// How a miss is to be filled; none: the endpoint executes the request itself.
        fetch: Option<AddressedFetch>,
    },
    /// Cancel the attempt at its endpoint. The core expects no further events of it.
    CancelAttempt {
        /// Number of the request.
        request: u64,
        /// Number of the attempt within the request.
        attempt: u32,
    },
    /// Forward the response to the client, from its head on.
    ForwardResponse {
        /// Number of the request.
        request: u64,
        /// Number of the attempt within the request.
        attempt: u32,
    },
    /// Final response: the request was not executed, and a retry is harmless.
    Reject {
        /// Number of the request.
        request: u64,
        /// When the client should retry.
        retry_after: Option<Micros>,
    },
    /// Final response: the request may have been executed.
    Fail {
        /// Number of the request.
        request: u64,
    },
    /// Final, after the head was forwarded: the response stays incomplete, visibly for the client.
    AbortResponse {
        /// Number of the request.
        request: u64,
    },
    /// The endpoint list in force after [`Input::EndpointList`](super::Input::EndpointList).
    EndpointListApplied(EndpointListChange),
    /// The effect of [`Input::Hello`](super::Input::Hello).
    HelloApplied {
        /// Another process was at this address before.
        replaced: bool,
    },
    /// Request work from an endpoint in slow start, which replies with an [`Input::Lease`](super::Input::Lease).
    RequestWork {
        /// Address or id of the endpoint.
        endpoint: String,
        /// Requested work, in microseconds of processing.
        work_us: u64,
    },
    /// Connect to an endpoint ahead of its first request, so that its hello and its lease arrive before.
    Connect {
        /// Address or id of the endpoint.
        endpoint: String,
    },
}
