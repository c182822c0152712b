//! Requests in progress at a host.
use super::shared_link::TransferKey;
use super::{FillId, JobId, ModelRequest, ModelResponse};
use pointspindle::Micros;

/// A request in progress.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) request: ModelRequest,
    /// Time at which the request arrived or last changed its state, microseconds.
    pub(crate) arrived: Micros,
    pub(crate) state: JobState,
}

#[derive(Debug)]
pub(crate) enum JobState {
    /// The request waits for the head of a fill's response.
    AwaitingFill(FillId),
    /// The response waits for a free slot.
    Queued {
        response: ModelResponse,
        fill: Option<FillId>,
    },
    /// The origin processes the request until its service timer is due.
    InService(ModelResponse),
    /// The response is being transferred over the host's link.
    Transferring {
        transfer: TransferKey,
        fill: Option<FillId>,
        /// Whether the connection breaks at the end of the transfer.
        truncated: bool,
    },
    /// The transfer over the host's link has ended before the fill that the response forwards.
    AwaitingFillEnd(FillId),
    /// The request is never answered.
    Dropped,
}

/// A request whose response is ready to be sent.
pub(crate) struct ReadyResponse {
    pub(crate) job: JobId,
    pub(crate) request: ModelRequest,
    pub(crate) response: ModelResponse,
    /// The fill that the response forwards.
    pub(crate) fill: Option<FillId>,
}
