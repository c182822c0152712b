//! Plays a scale run: starts the processes of a fleet of one size, plays the phases, and measures each.
mod fleet;
mod lag;
mod measurement;
mod node_process;
mod phases;
mod usage;

pub use usage::machine_mb;

use crate::results::Step;
use crate::Target;
use fleet::Fleet;
use phases::PhaseRunner;
use std::path::Path;

/// Why a scale run ended early.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// A process of the run, or the run itself, failed; this says nothing of the product.
    #[error("the rig: {0}")]
    Run(#[from] RunError),
    /// The fleet has outgrown the machine.
    #[error(
        "the fleet holds {used_mb:.0} MB, over half of the machine's memory ({limit_mb:.0} MB): stopped here"
    )]
    MemoryLimit {
        /// Memory of all processes, MB.
        used_mb: f64,
        /// The limit, MB.
        limit_mb: f64,
    },
}

/// A failure of the run itself.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A process could not be started, reached or ended.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A process has no standard input or output.
    #[error("a process without pipes")]
    NoPipes,
    /// A message cannot be written or parsed.
    #[error(transparent)]
    Message(#[from] serde_json::Error),
    /// A process did not report in time.
    #[error("a process says nothing")]
    NoReport,
    /// A process ended.
    #[error("a process of the rig died; what it stood for is not judged")]
    ProcessDied,
    /// A process sent another report than its role's.
    #[error("not {0}")]
    UnexpectedReport(String),
    /// The control store's client cannot be made.
    #[error(transparent)]
    Etcd(#[from] pointspindle_etcd::EtcdError),
    /// A write to the control store failed.
    #[error(transparent)]
    Write(#[from] pointspindle_etcd::writer::WriteError),
    /// Views were not current in time.
    #[error(
        "{current} of {dispatchers} views current, {registrations} registrations known in all, after a minute"
    )]
    NotCurrent {
        /// Dispatchers with a current view.
        current: usize,
        /// All dispatchers.
        dispatchers: usize,
        /// Registrations known, summed over all dispatchers.
        registrations: usize,
    },
}

/// Plays all phases at one size. `on_phase` is called with the name of each phase when it is over.
pub async fn play_step(
    program: &Path,
    target: &Target,
    dispatchers: usize,
    on_phase: impl FnMut(&str),
) -> Result<Step, ScaleError> {
    let fleet = Fleet::start(program, target, dispatchers).await?;
    let mut runner = PhaseRunner::new(fleet, target.clone(), dispatchers, on_phase);
    let played = runner.play().await;
    let step = runner.end().await;
    played.map(|()| step)
}
