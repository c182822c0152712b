//! `pointspindle store`.
use crate::exit::{negative_if, CommandError, CommandResult};
use crate::output::store_report;
use pointspindle_store::check::{self, Report};
use pointspindle_store::Folder;
use std::path::{Path, PathBuf};

/// What is done with a store.
#[derive(clap::Subcommand)]
pub enum StoreCommand {
    /// Read everything, compare every checksum, and say what is wrong. Exit status 1: something is.
    Check {
        /// Folder of the store.
        folder: PathBuf,
    },
    /// The cached copies.
    List {
        /// Folder of the store.
        folder: PathBuf,
    },
    /// Counts and bytes.
    Stats {
        /// Folder of the store.
        folder: PathBuf,
    },
}

/// What of a store is read.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Depth {
    /// The index of the copies.
    Index,
    /// That and all blocks.
    Blocks,
}

/// Reads a store and prints what was asked for.
pub fn store(command: StoreCommand) -> CommandResult {
    match command {
        StoreCommand::Check { folder } => {
            let report = read(&folder, Depth::Blocks)?;
            store_report::print_check(&folder, &report);
            negative_if(!report.wrong.is_empty())
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
    let named =
        |error: std::io::Error| CommandError::CannotRun(format!("{}: {error}", folder.display()));
    let opened = Folder::look(folder).map_err(named)?;
    check::check(&opened, depth == Depth::Blocks).map_err(named)
}
