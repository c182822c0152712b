//! Actions that a [`Router`](crate::Router) requests from its host.
use crate::ids::{EndpointId, Micros, RequestId};

/// Directs what a cache does on a miss, and which copies it may serve.
#[derive(Clone, Debug, PartialEq)]
pub struct FetchDirective {
    /// Endpoint from which a miss is filled. If it is the endpoint of the attempt itself, a miss is not filled.
    pub source: EndpointId,
    /// Retention rank of the copy, from 1 to 3; 0 if no copy is to be stored.
    pub retention_rank: u8,
    /// Maximum age of an acceptable copy; 0 stands for the fresh time of the class.
    pub max_age: Micros,
    /// Whether the request may join a fill in progress.
    pub coalesce: bool,
    /// Whether the source may serve only what it has cached.
    pub only_if_cached: bool,
    /// Whether the cache may serve an ageing copy and revalidate it in the background.
    pub revalidate: bool,
}

/// An action for the host to take. Actions are to be taken in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends an attempt. The attempts of a request are numbered from 0 in the order of these actions.
    Send {
        /// The request.
        request: RequestId,
        /// Endpoint to which the attempt is sent.
        endpoint: EndpointId,
        /// Maximum time to wait for the response.
        timeout: Micros,
        /// Directive for the cache; `None` if the request is forwarded to the origin.
        fetch: Option<FetchDirective>,
    },
    /// Rejects the request, as its final response: it did not run, or a retry is safe.
    Reject {
        /// The request.
        request: RequestId,
        /// Time after which the client may retry.
        retry_after: Option<Micros>,
    },
    /// Fails the request, as its final response: it may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancels an attempt; its outcome is still reported.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Sets a timer whose expiry is reported as [`Event::Timer`](crate::Event::Timer).
    SetTimer {
        /// Time until the timer expires.
        after: Micros,
        /// Value returned with the event.
        token: u64,
    },
}
