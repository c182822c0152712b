//! A process of a scale run, as the runner controls it.
use super::RunError;
use crate::messages::{Command, NodeRole, Report};
use serde::Serialize;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::process::{Child, ChildStdin, ChildStdout};
use tokio::time::timeout;

/// Longest wait for a report or for current views.
pub(super) const REPORT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time for a process to end by itself before it is killed.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);
/// Command line arguments that make the program run a [`NodeRole`].
const NODE_ARGUMENTS: [&str; 4] = ["--log", "error", "lab", "scale-part"];

/// A child process, and the pipes for its commands and reports.
pub(super) struct NodeProcess {
    child: Child,
    commands: ChildStdin,
    reports: Lines<BufReader<ChildStdout>>,
}

/// A process that has started, and its first report.
pub(super) struct StartedProcess {
    pub(super) process: NodeProcess,
    pub(super) report: Report,
}

impl NodeProcess {
    pub(super) async fn start(program: &Path, role: &NodeRole) -> Result<StartedProcess, RunError> {
        let mut child = tokio::process::Command::new(program)
            .args(NODE_ARGUMENTS)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let commands = child.stdin.take().ok_or(RunError::MissingPipe)?;
        let reports = child.stdout.take().ok_or(RunError::MissingPipe)?;
        let mut process = Self {
            child,
            commands,
            reports: BufReader::new(reports).lines(),
        };
        process.send(role).await?;
        let report = process.receive().await?;
        Ok(StartedProcess { process, report })
    }

    async fn send(&mut self, message: &impl Serialize) -> Result<(), RunError> {
        let line = serde_json::to_string(message)? + "\n";
        self.commands.write_all(line.as_bytes()).await?;
        Ok(())
    }

    async fn receive(&mut self) -> Result<Report, RunError> {
        let line = timeout(REPORT_TIMEOUT, self.reports.next_line())
            .await
            .map_err(|_| RunError::ReportTimeout)??;
        let line = line.ok_or(RunError::ProcessDied)?;
        Ok(serde_json::from_str(&line)?)
    }

    /// Sends a command and returns the report that answers it.
    pub(super) async fn command(&mut self, command: &Command) -> Result<Report, RunError> {
        self.send(command).await?;
        self.receive().await
    }

    pub(super) fn pid(&self) -> u32 {
        self.child.id().unwrap_or_default()
    }

    pub(super) async fn kill(mut self) -> Result<(), RunError> {
        Ok(self.child.kill().await?)
    }

    /// Ends the process by closing its standard input.
    pub(super) async fn end(mut self) {
        drop(self.commands);
        if timeout(SHUTDOWN_TIMEOUT, self.child.wait()).await.is_err() {
            // A failure to kill it here is ignored: dropping the child kills it too.
            let _ = self.child.kill().await;
        }
    }
}
