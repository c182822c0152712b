//! Entry point of the `pointspindle` program: parses the arguments, starts logging and sets the exit status. The
//! libraries do the work.
mod commands;
mod embedded_fleet;
mod output;
mod process;

/// Bodies pass through buffers of 64 KiB that are allocated and freed for each frame. The system's allocator maps and
/// unmaps them, which costs a page fault for every 4 KiB transferred; mimalloc retains them for reuse. It is built without
/// transparent huge pages: 2 MiB would count as resident memory for each page of which one byte is used.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

use clap::Parser;
use commands::Command;
use pointspindle_cli::exit::{start_error, ExitStatus, EXIT_STATUS_HELP};
use pointspindle_cli::logging;
use std::process::ExitCode;

/// A caching edge for web objects: dispatchers, edge and parent caches, and gateways to an origin.
#[derive(Parser)]
#[command(name = "pointspindle", version, about, after_help = EXIT_STATUS_HELP)]
struct Arguments {
    /// Log level: error, warn, info, debug or trace. Without this option, the level is info, but `run` does not log individual
    /// requests.
    #[arg(long, global = true)]
    log: Option<tracing::Level>,
    /// Write the log as JSON, one object per line.
    #[arg(long, global = true)]
    log_json: bool,
    #[command(subcommand)]
    command: Command,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    // `run` is given a fraction of one core: it uses one thread and does not log individual requests.
    let is_cpu_limited = matches!(arguments.command, Command::Run(_));
    logging::start(arguments.log, is_cpu_limited, arguments.log_json);
    let mut builder = if is_cpu_limited {
        tokio::runtime::Builder::new_current_thread()
    } else {
        tokio::runtime::Builder::new_multi_thread()
    };
    match builder.enable_all().build() {
        Ok(runtime) => ExitStatus::of(runtime.block_on(arguments.command.run())).into(),
        Err(error) => start_error(&error).into(),
    }
}
