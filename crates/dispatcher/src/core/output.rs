//! Commands of the core to the shell.
use super::EndpointListChange;
use pointspindle::{FetchDirective, Micros};

/// How a cache miss is to be filled, with the fill's source by address.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressedFetch {
    /// Endpoint to fill from; `None` if the receiving endpoint itself is the source.
    pub source: Option<String>,
    /// Rank of the object in the cache's eviction order.
    pub retention_rank: u8,
    /// Age of the oldest acceptable copy; 0 stands for the limit of the request's class.
    pub max_age: Micros,
    /// Whether the request may join a fill that is in progress.
    pub coalesce: bool,
    /// Whether the endpoint must report a miss instead of filling.
    pub only_if_cached: bool,
    /// Whether the cached copy must be revalidated at the source before it is served.
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

/// A command to the shell, which carries out commands in their order.
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
        /// How a miss is to be filled; `None` if the endpoint executes the request itself.
        fetch: Option<AddressedFetch>,
    },
    /// Cancel the attempt at its endpoint. The core expects no further inputs for it.
    CancelAttempt {
        /// Number of the request.
        request: u64,
        /// Number of the attempt within the request.
        attempt: u32,
    },
    /// Forward the response to the client, starting with its head.
    ForwardResponse {
        /// Number of the request.
        request: u64,
        /// Number of the attempt within the request.
        attempt: u32,
    },
    /// Send the final response that the request was not executed, so that a retry is safe.
    Reject {
        /// Number of the request.
        request: u64,
        /// Time after which the client should retry.
        retry_after: Option<Micros>,
    },
    /// Send the final response that the request failed and may have been executed.
    Fail {
        /// Number of the request.
        request: u64,
    },
    /// Abort a response whose head has been forwarded, so that the client detects that it is incomplete.
    AbortResponse {
        /// Number of the request.
        request: u64,
    },
    /// The endpoint list in force after [`Input::EndpointList`](super::Input::EndpointList).
    EndpointListApplied(EndpointListChange),
    /// The effect of [`Input::Hello`](super::Input::Hello).
    HelloApplied {
        /// Whether the process has replaced another one at the same address.
        replaced: bool,
    },
    /// Request work from an endpoint in slow start, which replies with an [`Input::Lease`](super::Input::Lease).
    RequestWork {
        /// Address or id of the endpoint.
        endpoint: String,
        /// Requested work, in microseconds of processing.
        work_us: u64,
    },
    /// Connect to an endpoint ahead of its first request, so that its hello and its lease arrive before that request.
    Connect {
        /// Address or id of the endpoint.
        endpoint: String,
    },
}
