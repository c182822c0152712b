//! `pointspindle lab explain`.
use crate::exit::{CommandError, CommandResult};
use crate::output::run_report::print_trace;
use pointspindle_audit::trace::ClientAttemptId;
use pointspindle_report::folder;
use std::path::PathBuf;

/// Arguments of `lab explain`.
#[derive(clap::Args)]
pub struct ExplainArguments {
    /// A run's folder, as `lab run --out` keeps it.
    run: PathBuf,
    /// Such as c12.0.
    request: String,
}

/// Prints everything that happened to a request of a kept run.
pub fn explain(arguments: ExplainArguments) -> CommandResult {
    let request = &arguments.request;
    let id = ClientAttemptId::parse(request)
        .ok_or(format!("{request} names no request; one is called c12.0"))?;
    let entries = folder::explain(&arguments.run, id)?;
    if entries.is_empty() {
        return Err(CommandError::CannotRun(format!(
            "nothing was seen of {request} in this run"
        )));
    }
    print_trace(entries);
    Ok(())
}
