//! Runs the phases of a scale run at one fleet size: starts the fleet's processes, then runs and measures each phase.
mod fleet;
mod lag;
mod measurement;
mod node_process;
mod phases;
mod usage;

pub use usage::machine_memory_mb;

use crate::results::Step;
use crate::Target;
use fleet::Fleet;
use phases::PhaseRunner;
use std::path::Path;

/// The error that ended a scale run early.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// A process of the run, or the run itself, failed. This is no failure of the product.
    #[error("the scale run failed: {0}")]
    Run(#[from] RunError),
    /// The fleet's processes use more memory than the machine can spare.
    #[error(
        "the fleet uses {used_mb:.0} MB of memory, more than the limit of {limit_mb:.0} MB (half of the machine's memory); the scale run was stopped"
    )]
    MemoryLimit {
        /// Memory used by all processes, MB.
        used_mb: f64,
        /// Limit on the memory of all processes, MB.
        limit_mb: f64,
    },
}

/// A failure of the run itself.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A process could not be started or ended, or its standard input or output failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The standard input or output of a process is not connected to a pipe.
    #[error("the standard input or output of a process is not connected to a pipe")]
    MissingPipe,
    /// A message to or from a process cannot be serialized or parsed.
    #[error(transparent)]
    Message(#[from] serde_json::Error),
    /// A process did not report within the time limit.
    #[error("a process did not report within 60 s")]
    ReportTimeout,
    /// A process ended early, or there is no process left to kill.
    #[error("a process of the scale run ended early; the run gives no result for its nodes")]
    ProcessDied,
    /// A process sent a report that does not belong to its role.
    #[error("unexpected report from a process: expected {0}")]
    UnexpectedReport(String),
    /// The client of the control store cannot be created.
    #[error(transparent)]
    Etcd(#[from] pointspindle_etcd::EtcdError),
    /// A write to the control store failed.
    #[error(transparent)]
    Write(#[from] pointspindle_etcd::writer::WriteError),
    /// The views of some dispatchers were not current within the time limit.
    #[error(
        "not all views are current and complete after 60 s: {current} of {dispatchers} views current, {registrations} registrations known in total"
    )]
    NotCurrent {
        /// Number of dispatchers with a current view.
        current: usize,
        /// Number of dispatchers.
        dispatchers: usize,
        /// Number of known registrations, summed over all dispatchers.
        registrations: usize,
    },
}

/// Runs all phases at one fleet size. Calls `on_phase` with the name of each phase when the phase has ended.
pub async fn run_step(
    program: &Path,
    target: &Target,
    dispatchers: usize,
    on_phase: impl FnMut(&str),
) -> Result<Step, ScaleError> {
    let fleet = Fleet::start(program, target, dispatchers).await?;
    let mut runner = PhaseRunner::new(fleet, target.clone(), dispatchers, on_phase);
    let result = runner.run_all_phases().await;
    let step = runner.end().await;
    result.map(|()| step)
}
