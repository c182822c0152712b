//! The commands, one module each: the arguments and the call of the library that does the work.
mod cache;
mod check;
mod client_arguments;
mod completions;
mod control_client;
mod endpoints;
mod etcd_access;
mod get;
mod lab;
mod load;
mod manual;
mod purge;
mod serve;
mod store;

pub use load::FinishedCall;
use pointspindle_cli::exit::CommandResult;
use pointspindle_cli::run::{run, RunArguments};
use std::path::PathBuf;

/// Command of the program.
#[derive(clap::Subcommand)]
pub enum Command {
    /// Run a dispatcher; without a settings file, run an embedded fleet with sample objects on loopback.
    Serve(serve::ServeArguments),
    /// Run a dispatcher on the operators' platform: FastCGI clients, cache hosts with a line protocol, a discovery
    /// stream.
    Run(RunArguments),
    /// Run a cache host: an edge or parent cache with a store on disk, or a gateway to an HTTP origin.
    Cache(cache::CacheArguments),
    /// Inspect the store of a cache host, whether the host is running or not.
    #[command(subcommand)]
    Store(store::StoreCommand),
    /// Check a settings file and print file, line, key and reason of each error.
    Check {
        /// Settings file.
        file: PathBuf,
    },
    /// Show the endpoint list of a running dispatcher, or change it.
    Members(endpoints::EndpointsArguments),
    /// Purge an object, or a group of objects, at running dispatchers.
    Purge(purge::PurgeArguments),
    /// Get an object from a dispatcher over either protocol, with retries. Exit status 1: rejected or failed.
    Get(get::GetArguments),
    /// Call a dispatcher at a steady rate and show the response times. Exit status 1: no call was served.
    Load(load::LoadArguments),
    /// Run scenarios with faults on loopback and check the rules against the traffic on the sockets.
    #[command(subcommand)]
    Lab(lab::LabCommand),
    /// Write the completions of a shell to standard output.
    Completions {
        /// Name of the shell.
        shell: clap_complete::Shell,
    },
    /// Write the manual page, in roff, to standard output.
    Manual,
}

impl Command {
    /// Runs the command.
    pub async fn run(self) -> CommandResult {
        match self {
            Self::Serve(arguments) => serve::serve(arguments).await,
            // The allocator of this program releases free memory by itself.
            Self::Run(arguments) => run(arguments, || {}).await,
            Self::Cache(arguments) => cache::cache(arguments).await,
            Self::Store(command) => store::store(command),
            Self::Check { file } => check::check(&file),
            Self::Members(arguments) => endpoints::endpoints(arguments).await,
            Self::Purge(arguments) => purge::purge(arguments).await,
            Self::Get(arguments) => get::get(arguments).await,
            Self::Load(arguments) => load::load(arguments).await,
            Self::Lab(command) => lab::lab(command).await,
            Self::Completions { shell } => completions::completions(shell),
            Self::Manual => manual::manual(),
        }
    }
}
