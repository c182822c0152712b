//! A dispatcher of a run, either a process or a task.
use super::dispatcher_process::DispatcherProcess;
use super::dispatcher_task::DispatcherTask;
use super::error::TestbedError;
use pointspindle_fleet_model::dispatcher_settings::ListenAddresses;
use pointspindle_scenario::Scenario;

/// A dispatcher that the run starts, injects faults into and stops.
pub(super) enum DispatcherInstance {
    /// A process on real sockets.
    Process(DispatcherProcess),
    /// A task of this process on the simulated network.
    Task(DispatcherTask),
}

impl DispatcherInstance {
    /// Returns the addresses of the listeners, once the dispatcher has started.
    pub fn listen_addresses(&self) -> ListenAddresses {
        match self {
            Self::Process(process) => process.listen_addresses,
            Self::Task(task) => task.listen_addresses,
        }
    }

    /// Starts the dispatcher and waits until it listens.
    pub async fn start(&mut self, scenario: &Scenario) -> Result<(), TestbedError> {
        match self {
            Self::Process(process) => process.start(scenario).await,
            Self::Task(task) => task.start(scenario).await,
        }
    }

    /// Whether the dispatcher runs and is not shutting down.
    pub fn is_up(&self) -> bool {
        match self {
            Self::Process(process) => process.is_up(),
            Self::Task(task) => task.is_up(),
        }
    }

    /// Whether the dispatcher was signalled to shut down and has not been started again.
    pub fn is_shutting_down(&self) -> bool {
        matches!(self, Self::Process(process) if process.is_shutting_down())
    }

    /// Stops the dispatcher abruptly, without a shutdown.
    pub async fn kill(&mut self) -> Result<(), TestbedError> {
        match self {
            Self::Process(process) => process.kill().await,
            Self::Task(task) => {
                task.kill();
                Ok(())
            }
        }
    }

    /// Pauses or resumes a process; returns an error for a task.
    pub async fn set_paused(&mut self, paused: bool) -> Result<(), TestbedError> {
        match self {
            Self::Process(process) => process.set_paused(paused).await,
            Self::Task(task) => Err(task.pause_unsupported()),
        }
    }

    /// Begins a graceful shutdown of a process without waiting for its exit; returns an error for a task.
    pub async fn begin_shutdown(&mut self) -> Result<(), TestbedError> {
        match self {
            Self::Process(process) => process.begin_shutdown().await,
            Self::Task(task) => Err(task.shutdown_unsupported()),
        }
    }

    /// Shuts the dispatcher down gracefully; returns an error if the shutdown is not clean.
    pub async fn stop(&mut self) -> Result<(), TestbedError> {
        match self {
            Self::Process(process) => process.stop().await,
            Self::Task(task) => task.stop().await,
        }
    }
}
