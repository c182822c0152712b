//! The `pointspindle completions` command.
use crate::Arguments;
use clap::CommandFactory;
use clap_complete::Shell;
use pointspindle_cli::exit::CommandResult;
use std::io::Write;

/// Writes the completions of a shell to standard output.
pub fn completions(shell: Shell) -> CommandResult {
    let mut script = Vec::new();
    clap_complete::generate(
        shell,
        &mut Arguments::command(),
        "pointspindle",
        &mut script,
    );
    Ok(std::io::stdout().write_all(&script)?)
}
