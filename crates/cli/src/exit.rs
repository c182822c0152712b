//! How the program ends: its exit statuses, and what a command reports that has not done what was asked.
use std::process::ExitCode;

/// Exit status of the program; `docs/operations.md` lists them for each command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// Done as asked.
    Success = 0,
    /// It ran, and the result is negative: a rule is broken, settings are wrong, a request was rejected or failed.
    Negative = 1,
    /// It could not run; the reason is on standard error.
    CannotRun = 2,
}

/// Shown below the help of the program.
pub const EXIT_STATUS_HELP: &str = "Exit status:\n  \
    0  done as asked\n  \
    1  the result is negative: a rule is broken, settings are wrong, a request was rejected or failed\n  \
    2  it could not run; the reason is on standard error";

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// Why a command has not done what was asked.
#[derive(Debug)]
pub enum CommandError {
    /// The result is negative; it has been printed.
    Negative,
    /// It could not run, for this reason.
    CannotRun(String),
}

/// Every library's error is a reason why a command could not run.
impl<E: std::fmt::Display> From<E> for CommandError {
    fn from(error: E) -> Self {
        Self::CannotRun(error.to_string())
    }
}

/// What a command comes to.
pub type CommandResult = Result<(), CommandError>;

/// The result of a check: negative if anything was found.
pub fn negative_if(found: bool) -> CommandResult {
    if found {
        Err(CommandError::Negative)
    } else {
        Ok(())
    }
}
