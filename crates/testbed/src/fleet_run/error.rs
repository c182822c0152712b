//! Errors of a fleet run.
use std::process::ExitStatus;

/// The testbed could not run, or its own timers were too late. Such a run gives no verdict on the dispatchers.
#[derive(Debug, thiserror::Error)]
pub enum TestbedError {
    /// A dispatcher could not be controlled, or ended in an unexpected way.
    #[error("dispatcher {dispatcher}: {failure}")]
    Dispatcher {
        /// The dispatcher's number.
        dispatcher: usize,
        /// What failed.
        failure: DispatcherFailure,
    },
    /// The testbed's own timers fired too late for the run's timing to be judged.
    #[error(
        "testbed: timers fired up to {lateness_ms:.0} ms late, tolerance {tolerance_ms:.0} ms: \
         this machine is too slow to judge the run"
    )]
    LateTimers {
        /// The longest delay of a timer, in milliseconds.
        lateness_ms: f64,
        /// The timing tolerance of the scenario, in milliseconds.
        tolerance_ms: f64,
    },
    /// The scenario or the injected fault cannot run in the chosen environment.
    #[error("testbed: not supported: {0}")]
    Unsupported(String),
    /// A socket or a file of the testbed failed.
    #[error("testbed: {0}")]
    Io(#[from] std::io::Error),
}

/// The reason for which a dispatcher could not be started, signalled or stopped.
#[derive(Debug, thiserror::Error)]
pub enum DispatcherFailure {
    /// The process ended before it listened.
    #[error("exited before it listened ({status}); last log line: {last_log_line}")]
    ExitedAtStart {
        /// The exit status of the process.
        status: ExitStatus,
        /// The last line of the process's log.
        last_log_line: String,
    },
    /// The dispatcher rejected its settings or could not bind its addresses.
    #[error("not started: {0}")]
    NotStarted(String),
    /// The process did not listen within the timeout.
    #[error("did not listen within 15 s")]
    StartTimeout,
    /// A signal could not be delivered.
    #[error("signal {0} could not be sent")]
    SignalNotSent(&'static str),
    /// The process exited with an error after a graceful shutdown.
    #[error("did not exit cleanly: {0}")]
    UncleanExit(ExitStatus),
    /// The process did not stop within the timeout.
    #[error("did not stop within 15 s of the shutdown signal; killed")]
    StopTimeout,
    /// The dispatcher stopped with requests in flight.
    #[error("stopped with unanswered requests")]
    UnansweredRequests,
    /// A dispatcher task cannot be paused.
    #[error("a dispatcher on the simulated network cannot be paused")]
    PauseUnsupported,
    /// A dispatcher task cannot shut down gracefully during a run.
    #[error("a dispatcher on the simulated network cannot be shut down during a run")]
    ShutdownUnsupported,
}
