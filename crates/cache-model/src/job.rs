//! Requests in progress at a host.
use super::shared_link::TransferKey;
use super::{FillId, JobId, ModelRequest, ModelResponse};
use pointspindle::Micros;

/// A request in progress.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) request: ModelRequest,
    /// When it arrived, or last changed its state.
    pub(crate) arrived: Micros,
    pub(crate) state: JobState,
}

#[derive(Debug)]
pub(crate) enum JobState {
    /// It waits for the head of a fill's response.
    AwaitingFill(FillId),
    /// Its response waits for a free slot.
    Queued {
        response: ModelResponse,
        fill: Option<FillId>,
    },
    /// The origin works on it; its timer ends that.
    InService(ModelResponse),
    /// Its response is on the link.
    Transferring {
        transfer: TransferKey,
        fill: Option<FillId>,
        /// The connection will break at the end.
        truncated: bool,
    },
    /// Its own transfer has ended; the fill that it passes on has not.
    AwaitingFillEnd(FillId),
    /// It is never answered.
    Dropped,
}

/// A request whose response is ready to be sent.
pub(crate) struct ReadyResponse {
    pub(crate) job: JobId,
    pub(crate) request: ModelRequest,
    pub(crate) response: ModelResponse,
    /// The fill that it passes on.
    pub(crate) fill: Option<FillId>,
}
