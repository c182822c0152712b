//! The `pointspindle lab explain` command.
use crate::output::run_report::print_trace;
use pointspindle_audit::trace::ClientAttemptId;
use pointspindle_cli::exit::{CommandError, CommandResult};
use pointspindle_report::folder;
use std::path::PathBuf;

/// Arguments of `lab explain`.
#[derive(clap::Args)]
pub struct ExplainArguments {
    /// Folder of a run saved by `lab run --out`.
    run: PathBuf,
    /// Request, such as c12.0.
    request: String,
}

/// Prints the history of a request of a saved run.
pub fn explain(arguments: ExplainArguments) -> CommandResult {
    let request = &arguments.request;
    let id = ClientAttemptId::parse(request).ok_or(format!(
        "invalid request {request}; expected a form such as c12.0"
    ))?;
    let entries = folder::explain(&arguments.run, id)?;
    if entries.is_empty() {
        return Err(CommandError::CannotRun(format!(
            "request {request} does not occur in this run"
        )));
    }
    print_trace(entries);
    Ok(())
}
