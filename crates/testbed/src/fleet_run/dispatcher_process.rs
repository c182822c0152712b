//! Runs a dispatcher as a process.
use super::dispatcher_files::{dispatcher_file, unbound_listen_addresses, BoundAddresses};
use super::error::{DispatcherFailure, TestbedError};
use crate::addresses::dispatcher_source_ip;
use pointspindle_fleet_model::dispatcher_settings::{dispatcher_ini, ListenAddresses};
use pointspindle_scenario::Scenario;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::process::{Child, Command};

/// The longest wait for a process to listen, and to exit after it was signalled to shut down.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(15);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A dispatcher process, which may be stopped at the moment.
#[derive(Debug)]
pub(super) struct DispatcherProcess {
    number: usize,
    program: PathBuf,
    folder: PathBuf,
    /// The addresses of the listeners, unchanged by restarts.
    pub listen_addresses: ListenAddresses,
    child: Option<Child>,
    /// Whether the process was signalled to shut down; it may not have exited yet.
    shutting_down: bool,
    etcd_endpoint: Option<String>,
}

impl DispatcherProcess {
    /// Creates a process that has not started yet. `etcd_endpoint` is the etcd from which it reads endpoint lists and
    /// purges, if any.
    pub fn new(
        program: &Path,
        folder: &Path,
        number: usize,
        etcd_endpoint: Option<String>,
    ) -> Self {
        Self {
            number,
            program: program.into(),
            folder: folder.into(),
            listen_addresses: unbound_listen_addresses(number),
            child: None,
            shutting_down: false,
            etcd_endpoint,
        }
    }

    fn file(&self, extension: &str) -> PathBuf {
        dispatcher_file(&self.folder, self.number, extension)
    }

    fn error(&self, failure: DispatcherFailure) -> TestbedError {
        TestbedError::Dispatcher {
            dispatcher: self.number,
            failure,
        }
    }

    /// Starts the process and waits until it listens. If the previous process is still shutting down, waits for its
    /// exit first.
    pub async fn start(&mut self, scenario: &Scenario) -> Result<(), TestbedError> {
        self.wait_for_exit().await?;
        self.write_settings(scenario)?;
        let _ = std::fs::remove_file(self.file("ready"));
        let mut child = self.command(scenario)?.spawn()?;
        let ready_file = tokio::time::timeout(PROCESS_TIMEOUT, self.wait_until_ready(&mut child))
            .await
            .map_err(|_| self.error(DispatcherFailure::StartTimeout))??;
        let bound: BoundAddresses =
            serde_json::from_slice(&ready_file).map_err(std::io::Error::other)?;
        if let Some(addresses) = bound.complete() {
            self.listen_addresses = addresses;
        }
        self.child = Some(child);
        Ok(())
    }

    fn write_settings(&self, scenario: &Scenario) -> std::io::Result<()> {
        let text = dispatcher_ini(
            scenario,
            self.number,
            &self.listen_addresses,
            &dispatcher_source_ip(self.number).to_string(),
            &self.file("state"),
            self.etcd_endpoint.as_deref(),
        );
        std::fs::write(self.file("ini"), text)
    }

    fn command(&self, scenario: &Scenario) -> std::io::Result<Command> {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.file("log"))?;
        let seed = scenario.seed ^ self.number as u64;
        let mut command = Command::new(&self.program);
        command
            .arg("--log-json")
            .arg("serve")
            .arg(self.file("ini"))
            .arg("--ready-file")
            .arg(self.file("ready"))
            .arg("--seed")
            .arg(seed.to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true);
        Ok(command)
    }

    /// Waits for the ready file, which the process writes once it listens, and returns its contents.
    async fn wait_until_ready(&self, child: &mut Child) -> Result<Vec<u8>, TestbedError> {
        loop {
            if let Ok(contents) = std::fs::read(self.file("ready")) {
                return Ok(contents);
            }
            if let Some(status) = child.try_wait()? {
                return Err(self.error(DispatcherFailure::ExitedAtStart {
                    status,
                    last_log_line: self.last_log_line(),
                }));
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    }

    fn last_log_line(&self) -> String {
        let log = std::fs::read_to_string(self.file("log")).unwrap_or_default();
        log.lines().last().unwrap_or_default().to_owned()
    }

    /// Whether the process runs and is not shutting down.
    pub fn is_up(&self) -> bool {
        self.child.is_some() && !self.shutting_down
    }

    /// Whether the process was signalled to shut down and has not been started again.
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down
    }

    async fn signal(&self, name: &'static str) -> Result<(), TestbedError> {
        let Some(pid) = self.child.as_ref().and_then(Child::id) else {
            return Ok(());
        };
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(pid.to_string())
            .status()
            .await?;
        if !status.success() {
            return Err(self.error(DispatcherFailure::SignalNotSent(name)));
        }
        Ok(())
    }

    /// Pauses the process, so that it gets no processor time, or resumes it.
    pub async fn set_paused(&self, paused: bool) -> Result<(), TestbedError> {
        self.signal(if paused { "STOP" } else { "CONT" }).await
    }

    /// Begins a graceful shutdown with the signal that an operator would send, without waiting for the exit.
    pub async fn begin_shutdown(&mut self) -> Result<(), TestbedError> {
        self.signal("TERM").await?;
        self.shutting_down = self.child.is_some();
        Ok(())
    }

    /// Waits for the exit of a process that is shutting down; returns an error if the exit is not clean.
    async fn wait_for_exit(&mut self) -> Result<(), TestbedError> {
        if !std::mem::take(&mut self.shutting_down) {
            return Ok(());
        }
        let Some(mut child) = self.child.take() else {
            return Ok(());
        };
        match tokio::time::timeout(PROCESS_TIMEOUT, child.wait()).await {
            Ok(Ok(status)) if status.success() => Ok(()),
            Ok(Ok(status)) => Err(self.error(DispatcherFailure::UncleanExit(status))),
            Ok(Err(e)) => Err(e.into()),
            Err(_) => {
                child.kill().await?;
                Err(self.error(DispatcherFailure::StopTimeout))
            }
        }
    }

    /// Kills the process.
    pub async fn kill(&mut self) -> Result<(), TestbedError> {
        self.shutting_down = false;
        if let Some(mut child) = self.child.take() {
            child.kill().await?;
        }
        Ok(())
    }

    /// Shuts the process down gracefully and waits for its exit; returns an error if the exit is not clean.
    pub async fn stop(&mut self) -> Result<(), TestbedError> {
        if self.is_up() {
            self.set_paused(false).await?;
            self.begin_shutdown().await?;
        }
        self.wait_for_exit().await
    }
}
