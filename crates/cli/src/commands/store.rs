//! The `pointspindle store` command.
use crate::output::store_report;
use pointspindle_cli::exit::{negative_if, CommandError, CommandResult};
use pointspindle_store::check::{self, Report};
use pointspindle_store::Folder;
use std::path::{Path, PathBuf};

/// Subcommand of `store`.
#[derive(clap::Subcommand)]
pub enum StoreCommand {
    /// Read the whole store, verify every checksum, and print all errors. Exit status 1: errors were found.
    Check {
        /// Folder of the store.
        folder: PathBuf,
    },
    /// List the cached copies.
    List {
        /// Folder of the store.
        folder: PathBuf,
    },
    /// Show the numbers of segments, copies and log records, and their bytes.
    Stats {
        /// Folder of the store.
        folder: PathBuf,
    },
}

/// Part of a store that is read.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Depth {
    /// Only the index of the copies.
    Index,
    /// The index and all blocks.
    Blocks,
}

/// Reads a store and prints the result of the subcommand.
pub fn store(command: StoreCommand) -> CommandResult {
    match command {
        StoreCommand::Check { folder } => {
            let report = read(&folder, Depth::Blocks)?;
            store_report::print_check(&folder, &report);
            negative_if(!report.faults.is_empty())
        }
        StoreCommand::List { folder } => {
            store_report::print_copies(&read(&folder, Depth::Index)?);
            Ok(())
        }
        StoreCommand::Stats { folder } => {
            store_report::print_statistics(&read(&folder, Depth::Index)?);
            Ok(())
        }
    }
}

fn read(folder: &Path, depth: Depth) -> Result<Report, CommandError> {
    let with_folder =
        |error: std::io::Error| CommandError::CannotRun(format!("{}: {error}", folder.display()));
    let opened = Folder::open_read_only(folder).map_err(with_folder)?;
    check::check(&opened, depth == Depth::Blocks).map_err(with_folder)
}
