//! A dispatcher of a run, as a process or as a task.
use super::dispatcher_process::DispatcherProcess;
use super::dispatcher_task::DispatcherTask;
use super::error::TestbedError;
use pointspindle_fleet_model::dispatcher_settings::ListenAddresses;
use pointspindle_scenario::Scenario;

/// A dispatcher that the run starts, faults and stops.
pub(super) enum DispatcherInstance {
    /// A process on real sockets.
    Process(DispatcherProcess),
    /// A task of this process on the simulated network.
    Task(DispatcherTask),
}

impl DispatcherInstance {
    /// The addresses of its listeners, once it has started.
    pub fn listen_addresses(&self) -> ListenAddresses {
        match self {
            Self::Process(process) => process.listen_addresses,
            Self::Task(task) => task.listen_addresses,
        }
    }

    /// Starts it and waits until it listens.
    pub async fn start(&mut self, scenario: &Scenario) -> Result<(), TestbedError> {
        match self {
            Self::Process(process) => process.start(scenario).await,
            Self::Task(task) => task.start(scenario).await,
        }
    }

    /// Whether it runs and is not shutting down.
    pub fn is_up(&self) -> bool {
        match self {
            Self::Process(process) => process.is_up(),
            Self::Task(task) => task.is_up(),
        }
    }

    /// Whether it was asked to shut down and has not been started again.
    pub fn is_shutting_down(&self) -> bool {
        matches!(self, Self::Process(process) if process.is_shutting_down())
    }

    /// Ends it in the middle of everything.
    pub async fn kill(&mut self) -> Result<(), TestbedError> {
        match self {
            Self::Process(process) => process.kill().await,
            Self::Task(task) => {
                task.kill();
                Ok(())
            }
        }
    }

    /// Pauses the process, or lets it continue; a task cannot be paused.
    pub async fn set_paused(&mut self, paused: bool) -> Result<(), TestbedError> {
        match self {
            Self::Process(process) => process.set_paused(paused).await,
            Self::Task(task) => Err(task.pause_unsupported()),
        }
    }

    /// Begins a graceful shutdown without waiting for its end; a task cannot do so during a run.
    pub async fn begin_shutdown(&mut self) -> Result<(), TestbedError> {
        match self {
            Self::Process(process) => process.begin_shutdown().await,
            Self::Task(task) => Err(task.shutdown_unsupported()),
        }
    }

    /// Shuts it down gracefully; its exit must be clean.
    pub async fn stop(&mut self) -> Result<(), TestbedError> {
        match self {
            Self::Process(process) => process.stop().await,
            Self::Task(task) => task.stop().await,
        }
    }
}
