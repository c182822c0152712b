//! Runs a dispatcher as a task of this process on the simulated network.
use super::dispatcher_files::{dispatcher_file, unbound_listen_addresses, BoundAddresses};
use super::error::{DispatcherFailure, TestbedError};
use crate::addresses::{dispatcher_listen_ip, dispatcher_source_ip};
use pointspindle_dispatcher::Dispatcher;
use pointspindle_fleet_model::dispatcher_settings::{dispatcher_ini, ListenAddresses};
use pointspindle_scenario::Scenario;
use pointspindle_transport::simulated::SimulatedNetwork;
use pointspindle_transport::Network;
use std::path::{Path, PathBuf};

/// A dispatcher task, which may be stopped at the moment.
pub(super) struct DispatcherTask {
    number: usize,
    folder: PathBuf,
    network: SimulatedNetwork,
    /// The addresses of the listeners, unchanged by restarts.
    pub listen_addresses: ListenAddresses,
    running: Option<RunningDispatcher>,
}

struct RunningDispatcher {
    dispatcher: Dispatcher,
    /// This incarnation's access to the network, which ends with the incarnation.
    network: SimulatedNetwork,
}

impl DispatcherTask {
    /// Creates a task that has not started yet.
    pub fn new(network: SimulatedNetwork, folder: &Path, number: usize) -> Self {
        Self {
            number,
            folder: folder.into(),
            network,
            listen_addresses: unbound_listen_addresses(number),
            running: None,
        }
    }

    fn error(&self, failure: DispatcherFailure) -> TestbedError {
        TestbedError::Dispatcher {
            dispatcher: self.number,
            failure,
        }
    }

    fn not_started(&self, cause: impl std::fmt::Display) -> TestbedError {
        self.error(DispatcherFailure::NotStarted(cause.to_string()))
    }

    /// Returns the error for an attempt to pause the task.
    pub fn pause_unsupported(&self) -> TestbedError {
        self.error(DispatcherFailure::PauseUnsupported)
    }

    /// Returns the error for an attempt to shut the task down during a run.
    pub fn shutdown_unsupported(&self) -> TestbedError {
        self.error(DispatcherFailure::ShutdownUnsupported)
    }

    /// Starts the dispatcher and waits until it listens.
    pub async fn start(&mut self, scenario: &Scenario) -> Result<(), TestbedError> {
        let text = dispatcher_ini(
            scenario,
            self.number,
            &self.listen_addresses,
            &dispatcher_source_ip(self.number).to_string(),
            &dispatcher_file(&self.folder, self.number, "state"),
            None,
        );
        let settings =
            pointspindle_config::parse("settings", &text).map_err(|e| self.not_started(e))?;
        let network = self.network.new_process();
        let seed = scenario.seed ^ self.number as u64;
        let dispatcher = Dispatcher::start_on(Network::Simulated(network.clone()), settings, seed)
            .await
            .map_err(|e| self.not_started(e))?;
        let bound = dispatcher.bound_addresses();
        let bound = BoundAddresses {
            http: bound.http,
            framed: bound.framed,
            control: bound.control,
            metrics: bound.metrics,
        };
        if let Some(addresses) = bound.complete() {
            self.listen_addresses = addresses;
        }
        self.running = Some(RunningDispatcher {
            dispatcher,
            network,
        });
        Ok(())
    }

    /// Whether the dispatcher runs.
    pub fn is_up(&self) -> bool {
        self.running.is_some()
    }

    /// Stops the dispatcher in the way of a killed process: its connections break and it opens no new ones.
    pub fn kill(&mut self) {
        if let Some(running) = self.running.take() {
            running.network.end_process();
            drop(running.dispatcher);
            self.network
                .break_connections(dispatcher_source_ip(self.number));
            self.network
                .break_connections(dispatcher_listen_ip(self.number));
        }
    }

    /// Shuts the dispatcher down gracefully; returns an error if requests were left unanswered.
    pub async fn stop(&mut self) -> Result<(), TestbedError> {
        let Some(running) = self.running.take() else {
            return Ok(());
        };
        let drained = running.dispatcher.stop().await;
        running.network.end_process();
        if !drained {
            return Err(self.error(DispatcherFailure::UnansweredRequests));
        }
        Ok(())
    }
}
