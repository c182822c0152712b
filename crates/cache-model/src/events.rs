//! Inputs and outputs of the model.
use super::{FillId, HostId, JobId, ModelRequest, ModelResponse};
use pointspindle::Micros;
use pointspindle_protocol::{LoadReport, WireCacheStatus, WireStatus};

/// How the source's response to a fill ended.
#[derive(Clone, Debug, PartialEq)]
pub enum FillOutcome {
    /// All of it was received.
    Complete,
    /// The source rejected the fill.
    Rejected {
        /// The source's status.
        status: WireStatus,
        /// The source's cache status.
        cache_status: WireCacheStatus,
    },
    /// The source was not reached, or the connection broke.
    Unreachable,
}

/// A fault of a host.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// It accepts requests and answers none.
    Hang {
        /// End of the fault, microseconds.
        until: Micros,
    },
    /// It never answers a share of the requests.
    DropResponses {
        /// Share of the requests.
        share: f64,
        /// End of the fault, microseconds.
        until: Micros,
    },
    /// It breaks the connection at the end of a share of the responses.
    TruncateResponses {
        /// Share of the responses.
        share: f64,
        /// End of the fault, microseconds.
        until: Micros,
    },
    /// It rejects all requests.
    RejectRequests {
        /// End of the fault, microseconds.
        until: Micros,
    },
    /// It fails a share of the requests at once.
    FailRequests {
        /// Share of the requests.
        share: f64,
        /// End of the fault, microseconds.
        until: Micros,
    },
    /// Its link and its service are slower.
    SlowDown {
        /// By this factor.
        factor: f64,
        /// End of the fault, microseconds.
        until: Micros,
    },
    /// Its process ends; connections break.
    Crash,
    /// A new process starts at the same address with an empty store; no effect on a running host.
    Restart,
}

impl Fault {
    /// The same fault with its end on a clock that is ahead by `offset` microseconds.
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
    /// The source's response has ended, or will not come.
    FillEnded {
        /// The host that fills.
        host: HostId,
        /// The fill.
        fill: FillId,
        /// How it ended.
        outcome: FillOutcome,
    },
    /// A host receives a purge and removes copies that were validated before it.
    Purge {
        /// The host.
        host: HostId,
        /// The purged object; `None`: the whole group.
        object: Option<u64>,
        /// The purged group.
        group: u64,
        /// When the purge was made, microseconds.
        at: Micros,
    },
    /// The origin serves a new version from now on.
    OriginUpdate {
        /// The updated object; `None`: the whole group.
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
    /// Time passes.
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
    /// A request is rejected, or fails, perhaps after its response has begun.
    Reject {
        /// The host.
        host: HostId,
        /// Id of the request.
        job: JobId,
        /// The response's status.
        status: WireStatus,
        /// The response's cache status.
        cache_status: WireCacheStatus,
        /// The origin may have run the request.
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
    /// A fill's request goes to its source, whose response comes back as [`ModelInput::FillResponse`] and
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
    /// A host's process has ended, with its requests and fills.
    HostDown {
        /// The host.
        host: HostId,
        /// Why it ended.
        reason: &'static str,
    },
    /// A host's process has started.
    HostUp {
        /// The host.
        host: HostId,
    },
}
