//! The `pointspindle manual` command.
use crate::Arguments;
use clap::CommandFactory;
use clap_mangen::Man;
use pointspindle_cli::exit::CommandResult;
use std::io::Write;

/// Writes the manual page to standard output, in roff.
pub fn manual() -> CommandResult {
    let mut page = Vec::new();
    Man::new(Arguments::command()).render(&mut page)?;
    Ok(std::io::stdout().write_all(&page)?)
}
