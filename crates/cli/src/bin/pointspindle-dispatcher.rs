//! Entry point of `pointspindle-dispatcher`, the dispatcher on the operators' platform. It does what `pointspindle run`
//! does, in a program of its own: the pages of the program's file count as memory, and the other commands are not in it.
use clap::Parser;
use pointspindle_cli::exit::{start_error, ExitStatus};
use pointspindle_cli::logging;
use pointspindle_cli::run::{run, RunArguments};
use pointspindle_cli::system_allocator;
use std::process::ExitCode;

/// A dispatcher on the operators' platform.
#[derive(Parser)]
#[command(name = "pointspindle-dispatcher", version, about)]
struct Arguments {
    /// Log level: error, warn, info, debug or trace. Without this option, the level is info, and individual requests are
    /// not logged.
    #[arg(long)]
    log: Option<tracing::Level>,
    /// Write the log as JSON, one object per line.
    #[arg(long)]
    log_json: bool,
    #[command(flatten)]
    run: RunArguments,
}

fn main() -> ExitCode {
    system_allocator::configure();
    let arguments = Arguments::parse();
    logging::start(arguments.log, true, arguments.log_json);
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    match runtime.enable_all().build() {
        Ok(runtime) => {
            let dispatcher = run(arguments.run, system_allocator::release_free_memory);
            ExitStatus::of(runtime.block_on(dispatcher)).into()
        }
        Err(error) => start_error(&error).into(),
    }
}
