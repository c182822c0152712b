//! The `pointspindle lab report` command.
use pointspindle_cli::exit::CommandResult;
use pointspindle_report::{folder, html};
use std::path::PathBuf;

/// Arguments of `lab report`.
#[derive(clap::Args)]
pub struct ReportArguments {
    /// Folder of a run saved by `lab run --out`.
    run: PathBuf,
    /// Folder of a second run, for a comparison.
    beside: Option<PathBuf>,
    /// File for the page; report.html (or beside.html for a comparison) in the first folder by default.
    #[arg(long)]
    out: Option<PathBuf>,
}

/// Writes the page of a saved run, or a comparison of two.
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
