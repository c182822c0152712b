//! Errors of a fleet run.
use std::process::ExitStatus;

/// The testbed could not run, or was itself too late: the run says nothing of the dispatchers.
#[derive(Debug, thiserror::Error)]
pub enum TestbedError {
    /// A dispatcher could not be controlled.
    #[error("dispatcher {dispatcher}: {failure}")]
    Dispatcher {
        /// The dispatcher's number.
        dispatcher: usize,
        /// What failed.
        failure: DispatcherFailure,
    },
    /// The testbed's own timers fired too late for the run's timing to be judged.
    #[error(
        "the rig was {lateness_ms:.0} ms late and may be {tolerance_ms:.0} ms: \
         this machine cannot play the day"
    )]
    Late {
        /// The longest delay of a timer, in milliseconds.
        lateness_ms: f64,
        /// The timing tolerance of the scenario, in milliseconds.
        tolerance_ms: f64,
    },
    /// The scenario or the injected fault cannot run in the chosen environment.
    #[error("the rig: {0}")]
    Unsupported(String),
    /// A socket or a file of the testbed failed.
    #[error("the rig: {0}")]
    Io(#[from] std::io::Error),
}

/// Why a dispatcher could not be started, signalled or stopped.
#[derive(Debug, thiserror::Error)]
pub enum DispatcherFailure {
    /// The process ended before it listened.
    #[error("{status}: {last_log_line}")]
    ExitedAtStart {
        /// How it ended.
        status: ExitStatus,
        /// The last line of its log.
        last_log_line: String,
    },
    /// The dispatcher rejected its settings or could not bind its addresses.
    #[error("{0}")]
    NotStarted(String),
    /// The process did not listen within the timeout.
    #[error("does not listen")]
    StartTimeout,
    /// A signal could not be delivered.
    #[error("cannot be sent {0}")]
    SignalNotSent(&'static str),
    /// The process stopped with an error.
    #[error("ended with {0}")]
    UncleanExit(ExitStatus),
    /// The process did not stop within the timeout.
    #[error("did not stop when told to")]
    StopTimeout,
    /// The dispatcher stopped with requests in flight.
    #[error("some requests had no answer when it stopped")]
    UnansweredRequests,
    /// A dispatcher task cannot be paused.
    #[error("cannot be held still")]
    PauseUnsupported,
    /// A dispatcher task cannot shut down gracefully during a run.
    #[error("cannot be stopped while the day goes on")]
    ShutdownUnsupported,
}
