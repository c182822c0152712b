//! The commands, a module each: arguments, and the call of a library that does the work.
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
mod run;
mod serve;
mod store;

use crate::exit::CommandResult;
pub use load::FinishedCall;
use std::path::PathBuf;

/// What the program is to do.
#[derive(clap::Subcommand)]
pub enum Command {
    /// Run a dispatcher; without a file, an embedded fleet with sample objects on loopback.
    Serve(serve::ServeArguments),
    /// Run a dispatcher on the operators' platform: FastCGI clients, cache hosts by lines, a discovery stream.
    Run(run::RunArguments),
    /// Run a cache host: edge or parent cache with a store on disk, or a gateway to an HTTP origin.
    Cache(cache::CacheArguments),
    /// Look into a cache host's store, whether it runs or not.
    #[command(subcommand)]
    Store(store::StoreCommand),
    /// Check a settings file; names file, line, key and reason of everything that is wrong.
    Check {
        /// The settings.
        file: PathBuf,
    },
    /// Show the endpoint list of a running dispatcher, or change it.
    Members(endpoints::EndpointsArguments),
    /// Tell running dispatchers that an object, or a group of objects, is purged.
    Purge(purge::PurgeArguments),
    /// Get an object from a dispatcher, by either protocol, with retries. Exit status 1: rejected or failed.
    Get(get::GetArguments),
    /// Call a dispatcher at a steady rate and show how long responses take. Exit status 1: none was served.
    Load(load::LoadArguments),
    /// Rehearse runs with faults on loopback and judge them by what went over the sockets.
    #[command(subcommand)]
    Lab(lab::LabCommand),
    /// Write the completions of a shell, on standard output.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
    /// Write the manual page, in roff, on standard output.
    Manual,
}

impl Command {
    /// Carries it out.
    pub async fn run(self) -> CommandResult {
        match self {
            Self::Serve(arguments) => serve::serve(arguments).await,
            Self::Run(arguments) => run::run(arguments).await,
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
