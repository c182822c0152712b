//! Exit statuses of the program, and the result type of its commands.
use std::process::ExitCode;

/// Exit status of the program; `docs/operations.md` lists the statuses of each command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// The command ran and its result is negative: a rule was violated, settings are invalid, or a request was rejected
    /// or failed.
    Negative = 1,
    /// The command could not run; the reason is on standard error.
    CannotRun = 2,
}

impl ExitStatus {
    /// Returns the status of a command with this result. The reason of a command that could not run is printed.
    pub fn of(result: CommandResult) -> Self {
        match result {
            Ok(()) => Self::Success,
            Err(CommandError::Negative) => Self::Negative,
            Err(CommandError::CannotRun(reason)) => {
                eprintln!("pointspindle: {reason}");
                Self::CannotRun
            }
        }
    }
}

/// Prints that the async runtime cannot be started.
pub fn start_error(error: &std::io::Error) -> ExitStatus {
    eprintln!("pointspindle: cannot start the async runtime: {error}");
    ExitStatus::CannotRun
}

/// Shown below the help of the program.
pub const EXIT_STATUS_HELP: &str = "Exit status:\n  \
    0  the command succeeded\n  \
    1  the result is negative: a rule was violated, settings are invalid, or a request was rejected or failed\n  \
    2  the command could not run; the reason is on standard error";

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// Reason for which a command did not succeed.
#[derive(Debug)]
pub enum CommandError {
    /// The result is negative and has been printed.
    Negative,
    /// The command could not run, for this reason.
    CannotRun(String),
}

/// Converts an error of any library: the command could not run.
impl<E: std::fmt::Display> From<E> for CommandError {
    fn from(error: E) -> Self {
        Self::CannotRun(error.to_string())
    }
}

/// Result of a command.
pub type CommandResult = Result<(), CommandError>;

/// Returns the result of a check, which is negative if `found` is true.
pub fn negative_if(found: bool) -> CommandResult {
    if found {
        Err(CommandError::Negative)
    } else {
        Ok(())
    }
}
