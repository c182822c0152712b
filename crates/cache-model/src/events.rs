//! Inputs and outputs of the model.
use super::{FillId, HostId, JobId, ModelRequest, ModelResponse};
use pointspindle::Micros;
use pointspindle_protocol::{LoadReport, WireCacheStatus, WireStatus};

/// Outcome of a fill's request to its source.
#[derive(Clone, Debug, PartialEq)]
pub enum FillOutcome {
    /// The whole response was received.
    Complete,
    /// The source rejected the fill.
    Rejected {
        /// The source's status.
        status: WireStatus,
        /// The source's cache status.
        cache_status: WireCacheStatus,
    },
    /// The source could not be reached, or the connection broke.
    Unreachable,
}

/// A fault that is injected into a host.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The host accepts requests and answers none of them.
    Hang {
        /// End of the fault, microseconds.
        until: Micros,
    },
    /// The host never answers a share of the requests.
    DropResponses {
        /// Share of the requests that are affected, 0 to 1.
        share: f64,
        /// End of the fault, microseconds.
        until: Micros,
    },
    /// The host breaks the connection at the end of a share of the responses.
    TruncateResponses {
        /// Share of the responses that are affected, 0 to 1.
        share: f64,
        /// End of the fault, microseconds.
        until: Micros,
    },
    /// The host rejects all requests.
    RejectRequests {
        /// End of the fault, microseconds.
        until: Micros,
    },
    /// The host fails a share of the requests immediately.
    FailRequests {
        /// Share of the requests that are affected, 0 to 1.
        share: f64,
        /// End of the fault, microseconds.
        until: Micros,
    },
    /// The host's link and its service are slower.
    SlowDown {
        /// Factor by which they are slower.
        factor: f64,
        /// End of the fault, microseconds.
        until: Micros,
    },
    /// The host's process ends, and its connections break.
    Crash,
    /// A new process starts at the host's address with an empty store; this has no effect on a running host.
    Restart,
}

impl Fault {
    /// Returns the fault with its end delayed by `offset` microseconds.
    pub fn delayed_by(mut self, offset: Micros) -> Self {
        match &mut self {
            Self::Hang { until }
            | Self::DropResponses { until, .. }
            | Self::TruncateResponses { until, .. }
            | Self::RejectRequests { until }
            | Self::FailRequests { until, .. }
            | Self::SlowDown { until, .. } => *until += offset,
            Self::Crash | Self::Restart => {}
        }
        self
    }
}

/// An input of the model.
#[derive(Clone, Debug, PartialEq)]
pub enum ModelInput {
    /// A request arrives at a host.
    Arrive {
        /// The host.
        host: HostId,
        /// Id of the request.
        job: JobId,
        /// The request.
        request: ModelRequest,
    },
    /// A request is cancelled.
    Cancel {
        /// The host.
        host: HostId,
        /// Id of the request.
        job: JobId,
    },
    /// The source of a fill has begun to respond.
    FillResponse {
        /// The host that fills.
        host: HostId,
        /// The fill.
        fill: FillId,
        /// The head of the response.
        response: ModelResponse,
    },
    /// The source's response has ended, or the request to the source has failed.
    FillEnded {
        /// The host that fills.
        host: HostId,
        /// The fill.
        fill: FillId,
        /// The outcome of the fill.
        outcome: FillOutcome,
    },
    /// A host receives a purge and removes the copies that were validated before the purge.
    Purge {
        /// The host.
        host: HostId,
        /// The purged object; `None` purges the whole group.
        object: Option<u64>,
        /// The purged group.
        group: u64,
        /// Time of the purge, microseconds.
        at: Micros,
    },
    /// The origin begins to serve a new version.
    OriginUpdate {
        /// The updated object; `None` updates the whole group.
        object: Option<u64>,
        /// The updated group.
        group: u64,
    },
    /// A fault begins at a host.
    Fault {
        /// The host.
        host: HostId,
        /// The fault.
        fault: Fault,
    },
    /// Only handles the events that are due.
    Tick,
}

/// An output of the model; the driver performs them in order.
#[derive(Clone, Debug, PartialEq)]
pub enum ModelOutput {
    /// The head of a response is sent; the body ends with [`ModelOutput::ResponseEnd`].
    ResponseStart {
        /// The host.
        host: HostId,
        /// Id of the request.
        job: JobId,
        /// The head of the response.
        response: ModelResponse,
    },
    /// A response has been sent.
    ResponseEnd {
        /// The host.
        host: HostId,
        /// Id of the request.
        job: JobId,
    },
    /// A request is rejected, or fails; its response may have begun already.
    Reject {
        /// The host.
        host: HostId,
        /// Id of the request.
        job: JobId,
        /// The response's status.
        status: WireStatus,
        /// The response's cache status.
        cache_status: WireCacheStatus,
        /// Whether the origin may have run the request.
        may_have_run: bool,
        /// The host's load.
        load: LoadReport,
    },
    /// The connection of a request breaks.
    Disconnect {
        /// The host.
        host: HostId,
        /// Id of the request.
        job: JobId,
    },
    /// A fill's request is sent to its source. The driver returns the response as [`ModelInput::FillResponse`] and
    /// [`ModelInput::FillEnded`].
    StartFill {
        /// The host that fills.
        host: HostId,
        /// The fill.
        fill: FillId,
        /// Address of the source.
        source: String,
        /// The request.
        request: ModelRequest,
    },
    /// A fill's request to its source is cancelled.
    CancelFill {
        /// The host that fills.
        host: HostId,
        /// The fill.
        fill: FillId,
    },
    /// A host's process has ended; its requests and fills are lost.
    HostDown {
        /// The host.
        host: HostId,
        /// Reason for the end of the process.
        reason: &'static str,
    },
    /// A host's process has started.
    HostUp {
        /// The host.
        host: HostId,
    },
}
