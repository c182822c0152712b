//! `pointspindle lab`: rehearses runs with faults and judges them.
mod capacity;
mod check;
mod compare;
mod etcd_lag;
mod explain;
mod fleet;
mod hunt;
mod idle;
mod import;
mod report;
mod run;
mod scale;
mod scenario_arguments;
mod seeds;
mod sweep;
mod temporary_folder;
mod watch;

use crate::exit::CommandResult;
use std::path::PathBuf;

/// What is rehearsed or measured.
#[derive(clap::Subcommand)]
pub enum LabCommand {
    /// Play a scenario on loopback sockets, dispatchers as processes. Exit status 1: a rule broke; 2: the testbed
    /// could not run, or was itself what was late.
    Run(run::RunArguments),
    /// Play a run of several sites and dispatchers, and judge what all of them do together: sums at each host, second
    /// attempts, fairness, and sites that were not hit beside the same run without the loss. Exit status as for run.
    Fleet(fleet::FleetArguments),
    /// Look at a run as it goes, on the terminal. Exit status as for run.
    Watch(watch::WatchArguments),
    /// Play many runs in virtual time: seeds, and values of one or two settings. Exit status 1: a rule broke.
    Sweep(sweep::SweepArguments),
    /// Two settings, or two builds, on the same runs: difference, noise, verdict. Exit status 1: B broke more rules.
    Compare(compare::CompareArguments),
    /// Search mixes of faults for the worst run, a broken rule or crashed hosts, and cut the find down.
    Hunt(hunt::HuntArguments),
    /// Write the page of a kept run, or of two beside each other.
    Report(report::ReportArguments),
    /// Open many idle connections, and show what each costs and what requests beside them pay.
    Idle(idle::IdleArguments),
    /// Measure how late watchers of an emulated etcd learn of purges while its streams break. Exit status 1: one never did.
    Etcd(etcd_lag::EtcdLagArguments),
    /// Measure what control costs by the fleet's size: hollow dispatchers and cache hosts as processes. Exit status 1: over a
    /// budget, or an update never came; 2: it could not run.
    Scale(scale::ScaleArguments),
    /// A process of a scale run.
    #[command(hide = true)]
    ScalePart,
    /// Write the capacity page from measured slopes, on standard output.
    Capacity(capacity::CapacityArguments),
    /// Show everything that happened to a request of a kept run.
    Explain(explain::ExplainArguments),
    /// Check a scenario; names line and reason of everything that is wrong.
    Check {
        /// The scenario.
        file: PathBuf,
    },
    /// Turn a day drawn by a dispatcher bench (JSON) into a scenario, on standard output.
    Import {
        /// The day.
        day: PathBuf,
        /// At the day's own size, for virtual time; else at loopback size, for sockets.
        #[arg(long)]
        full: bool,
    },
}

/// Carries a command out.
pub async fn lab(command: LabCommand) -> CommandResult {
    match command {
        LabCommand::Run(arguments) => run::run(arguments).await,
        LabCommand::Fleet(arguments) => fleet::fleet(arguments).await,
        LabCommand::Watch(arguments) => watch::watch(arguments).await,
        LabCommand::Sweep(arguments) => sweep::sweep(arguments),
        LabCommand::Compare(arguments) => compare::compare(arguments),
        LabCommand::Hunt(arguments) => hunt::hunt(arguments),
        LabCommand::Report(arguments) => report::report(arguments),
        LabCommand::Explain(arguments) => explain::explain(arguments),
        LabCommand::Scale(arguments) => scale::scale(arguments).await,
        LabCommand::ScalePart => scale::node_process().await,
        LabCommand::Capacity(arguments) => capacity::capacity(arguments),
        LabCommand::Etcd(arguments) => etcd_lag::etcd_lag(arguments).await,
        LabCommand::Idle(arguments) => idle::idle(arguments).await,
        LabCommand::Import { day, full } => import::import(&day, full),
        LabCommand::Check { file } => check::check(&file),
    }
}
