//! The `pointspindle` program: arguments, logs and exit codes; everything else lives in the libraries.
//!
//! Exit codes: 0 well, 1 the answer is no (a broken rule, wrong settings), 2 it could not run.
mod cache;
mod call;
mod control;
mod etcd;
mod experiments;
mod fleet;
mod idle;
mod lab;
mod logs;
mod run;
mod scale;
mod serve;
mod watch;

/// Bodies pass through buffers of 64 KiB that are made and given back for each frame. The system's allocator maps and
/// unmaps them, which costs a page fault for every 4 KiB that goes through; this one keeps them.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// A caching edge for web objects, with parent caches and an origin.
#[derive(Parser)]
#[command(name = "pointspindle", version, about)]
struct Arguments {
    /// What to log: error, warn, info, debug or trace. Without it: info; of `run` not a line for each request.
    #[arg(long, global = true)]
    log: Option<tracing::Level>,
    /// Logs as JSON, a line each.
    #[arg(long, global = true)]
    log_json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a dispatcher; without a file, an embedded fleet with sample objects on loopback.
    Serve(serve::Arguments),
    /// Run a dispatcher on the operators' platform: FastCGI clients, cache hosts by lines, a notice board.
    Run(run::Arguments),
    /// Run a cache host: edge or parent cache with a store on disk, or a gateway to an HTTP origin.
    Cache(cache::Arguments),
    /// Look into a cache host's store, alive or dead.
    #[command(subcommand)]
    Store(cache::StoreCommand),
    /// Check a settings file; names file, line, key and reason of everything that is wrong.
    Check { file: PathBuf },
    /// Show the member list of a running dispatcher, or tell it changes.
    Members(control::MembersArguments),
    /// Tell running dispatchers that an object, or a group of objects, is purged.
    Purge(control::PurgeArguments),
    /// Get an object from a dispatcher, by either protocol, with retries. Exit status 1: refused or failed.
    Get(call::GetArguments),
    /// Call a dispatcher at a steady rate and show how long answers take. Exit status 1: none was served.
    Load(call::LoadArguments),
    /// Rehearse days on loopback and judge them by what went over the sockets.
    #[command(subcommand)]
    Lab(lab::Command),
}

/// Why a command did not do what was asked.
pub(crate) enum Failure {
    /// The answer is no; it has been printed.
    No,
    /// It could not run.
    CannotRun(String),
}

impl<E: std::fmt::Display> From<E> for Failure {
    fn from(e: E) -> Self {
        Self::CannotRun(e.to_string())
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    // A part of one core is all that `run` has: one thread, and few lines.
    let small = matches!(arguments.command, Command::Run(_));
    logs::start(arguments.log, small, arguments.log_json);
    let mut builder = match small {
        true => tokio::runtime::Builder::new_current_thread(),
        false => tokio::runtime::Builder::new_multi_thread(),
    };
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("pointspindle: no runtime: {e}");
            return ExitCode::from(2);
        }
    };
    let done = runtime.block_on(async {
        match arguments.command {
            Command::Serve(arguments) => serve::run(arguments).await,
            Command::Run(arguments) => run::run(arguments).await,
            Command::Cache(arguments) => cache::run(arguments).await,
            Command::Store(command) => cache::store(command),
            Command::Check { file } => check(&file),
            Command::Members(arguments) => control::members(arguments).await,
            Command::Purge(arguments) => control::purge(arguments).await,
            Command::Get(arguments) => call::get(arguments).await,
            Command::Load(arguments) => call::load(arguments).await,
            Command::Lab(command) => lab::run(command).await,
        }
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::No) => ExitCode::from(1),
        Err(Failure::CannotRun(why)) => {
            eprintln!("pointspindle: {why}");
            ExitCode::from(2)
        }
    }
}

fn check(file: &std::path::Path) -> Result<(), Failure> {
    match pointspindle_config::load(file) {
        Ok(settings) => {
            println!(
                "{}: right; zone {}, {} classes, {} members",
                file.display(),
                settings.zones[settings.router.zone],
                settings.classes.len(),
                settings.endpoints.len()
            );
            Ok(())
        }
        Err(complaints) => {
            println!("{complaints}");
            Err(Failure::No)
        }
    }
}
