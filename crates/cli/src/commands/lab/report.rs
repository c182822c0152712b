//! `pointspindle lab report`.
use crate::exit::CommandResult;
use pointspindle_report::{folder, html};
use std::path::PathBuf;

/// Arguments of `lab report`.
#[derive(clap::Args)]
pub struct ReportArguments {
    /// A run's folder, as `lab run --out` keeps it.
    run: PathBuf,
    /// Another one, to set beside it.
    beside: Option<PathBuf>,
    /// Where the page goes; report.html (or beside.html) in the first folder by default.
    #[arg(long)]
    out: Option<PathBuf>,
}

/// Writes the page of a kept run, or of two.
pub fn report(arguments: ReportArguments) -> CommandResult {
    let run = folder::load(&arguments.run)?;
    let (page, name) = match &arguments.beside {
        Some(other) => (
            html::comparison(&run, &folder::load(other)?)?,
            "beside.html",
        ),
        None => (html::run(&run)?, "report.html"),
    };
    let out = arguments.out.unwrap_or_else(|| arguments.run.join(name));
    std::fs::write(&out, page)?;
    println!("{}", out.display());
    Ok(())
}
