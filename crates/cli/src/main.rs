//! The `pointspindle` program: arguments, logs and exit statuses; the work is done by the libraries.
mod commands;
mod embedded_fleet;
mod exit;
mod logging;
mod output;
mod process;

/// Bodies pass through buffers of 64 KiB that are made and given back for each frame. The system's allocator maps and
/// unmaps them, which costs a page fault for every 4 KiB that goes through; this one keeps them.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

use clap::Parser;
use commands::Command;
use exit::{CommandError, ExitStatus, EXIT_STATUS_HELP};
use std::process::ExitCode;

/// A caching edge for web objects, with parent caches and an origin.
#[derive(Parser)]
#[command(name = "pointspindle", version, about, after_help = EXIT_STATUS_HELP)]
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

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    // `run` has a part of one core: one thread, and few log lines.
    let has_part_of_a_core = matches!(arguments.command, Command::Run(_));
    logging::start(arguments.log, has_part_of_a_core, arguments.log_json);
    let mut builder = if has_part_of_a_core {
        tokio::runtime::Builder::new_current_thread()
    } else {
        tokio::runtime::Builder::new_multi_thread()
    };
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("pointspindle: no runtime: {error}");
            return ExitStatus::CannotRun.into();
        }
    };
    match runtime.block_on(arguments.command.run()) {
        Ok(()) => ExitStatus::Success.into(),
        Err(CommandError::Negative) => ExitStatus::Negative.into(),
        Err(CommandError::CannotRun(reason)) => {
            eprintln!("pointspindle: {reason}");
            ExitStatus::CannotRun.into()
        }
    }
}
