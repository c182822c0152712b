//! Actions that a [`Router`](crate::Router) requests from its host.
use crate::ids::{EndpointId, Micros, RequestId};

/// What a cache does on a miss, and which copies it may serve.
#[derive(Clone, Debug, PartialEq)]
pub struct FetchDirective {
    /// Where a miss is filled from; the endpoint itself: a miss is not filled.
    pub source: EndpointId,
    /// 0: store no copy; 1 to 3: the retention rank of the copy.
    pub retention_rank: u8,
    /// The oldest acceptable copy; 0: the fresh time of the class.
    pub max_age: Micros,
    /// Join a fill in progress.
    pub coalesce: bool,
    /// The source serves only what it has cached.
    pub only_if_cached: bool,
    /// Revalidation in the background: serve an ageing copy and renew it.
    pub revalidate: bool,
}

/// What the host is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make an attempt. The attempts of a request are numbered from 0 in the order of these actions.
    Send {
        /// The request.
        request: RequestId,
        /// Where to send it.
        endpoint: EndpointId,
        /// How long to wait for the response.
        timeout: Micros,
        /// What a cache does on a miss; `None`: forwarded to the origin.
        fetch: Option<FetchDirective>,
    },
    /// Final response: nothing ran, or a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// When the client may retry.
        retry_after: Option<Micros>,
    },
    /// Final response: failed, and the request may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt; its outcome is still reported.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Report [`Event::Timer`](crate::Event::Timer) later.
    SetTimer {
        /// Time until then.
        after: Micros,
        /// Passed back with the event.
        token: u64,
    },
}
