//! The events of the simulation.
use pointspindle::Micros;
use pointspindle_audit::trace::{ClientAttemptId, ClientOutcome};
use pointspindle_cache_model::{HostId, JobId, ModelRequest, ModelResponse};
use pointspindle_protocol::{LeaseHead, WireCacheStatus, WireStatus};

/// An event that is scheduled for a time of the virtual clock.
pub(crate) enum Event {
    /// A call of the traffic begins.
    CallStarts(usize),
    /// A client sends an attempt.
    ClientSends(ClientAttemptId),
    /// A client's request arrives at its dispatcher.
    RequestArrives(ClientAttemptId),
    /// A client cancels its request.
    ClientCancels(ClientAttemptId),
    /// A client closes the connection of a request that received no response.
    ClientTimesOut(ClientAttemptId),
    /// A final response arrives at its client.
    ResponseArrives(ClientAttemptId, ClientOutcome),
    /// The setup of the connection that an attempt waits for ends, successfully or not.
    AttemptConnected {
        job: JobId,
        request: ModelRequest,
        /// Incarnation of the host that the dispatcher knew when it chose the host for the attempt.
        known_incarnation: Option<u64>,
    },
    /// An attempt or a fill arrives at its host.
    JobArrives(JobId, ModelRequest),
    /// A cancellation arrives at a host.
    JobCancelled(JobId),
    /// The head of a host's response arrives at the job's owner.
    JobResponds(JobId, ModelResponse),
    /// The end of a job arrives at its owner.
    JobEnds(JobId, JobEnd),
    /// A step of the script is due.
    ScriptStep(usize),
    /// A host drops its copies after a purge.
    DropCopies {
        host: HostId,
        object: Option<u64>,
        group: u64,
        purged_at: Micros,
    },
    /// A connection that no request waits for is established.
    Connected {
        dispatcher: DispatcherIncarnation,
        host: HostId,
    },
    /// A dispatcher's work request arrives at a host.
    WorkRequested {
        dispatcher: DispatcherIncarnation,
        host: HostId,
        work_us: u64,
    },
    /// The next slot of a warming host's leases begins.
    LeaseSlotStarts { host: HostId, incarnation: u64 },
    /// A work lease arrives at a dispatcher.
    LeaseArrives {
        dispatcher: DispatcherIncarnation,
        host: HostId,
        lease: LeaseHead,
    },
}

/// One incarnation of a dispatcher's process. Messages that are addressed to an earlier one are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct DispatcherIncarnation {
    pub dispatcher: usize,
    pub incarnation: u32,
}

/// The end of a job at a host.
pub(crate) enum JobEnd {
    /// The response is complete.
    Completed,
    /// The host reported an error.
    Rejected {
        status: WireStatus,
        cache_status: WireCacheStatus,
        may_have_run: bool,
    },
    /// The connection broke.
    ConnectionLost,
    /// No connection could be made.
    ConnectionRefused,
}
