//! `pointspindle cache` and `pointspindle store`.
use crate::serve::{descriptors, write_whole};
use crate::Failure;
use pointspindle_cache_host::Host;
use pointspindle_store::{check, Folder};
use pointspindle_transport::Network;
use std::io::Write;
use std::path::{Path, PathBuf};
use tokio::signal::unix::{signal, SignalKind};

#[derive(clap::Args)]
pub struct Arguments {
    /// Settings; see examples/cache.ini.
    pub file: PathBuf,
    /// Write the addresses that it listens on to this file, as JSON, once it does.
    #[arg(long)]
    pub ready_file: Option<PathBuf>,
}

pub async fn run(a: Arguments) -> Result<(), Failure> {
    descriptors();
    let mut stop = signal(SignalKind::terminate())?;
    let host = Host::start(pointspindle_config::load_cache_host(&a.file)?, Network::Tcp).await?;
    if let Some(file) = &a.ready_file {
        write_whole(file, &serde_json::to_vec(&host.bound())?)?;
    }
    tokio::select! {
        _ = stop.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    tracing::info!(counts = ?host.counts(), store = ?host.store(), "cache host stops");
    if !host.stop().await {
        return Err(Failure::CannotRun(
            "some requests had no answer when the time to stop was over".into(),
        ));
    }
    Ok(())
}

#[derive(clap::Subcommand)]
pub enum StoreCommand {
    /// Read everything, compare every checksum, and say what is wrong. Exit status 1: something is.
    Check { folder: PathBuf },
    /// The copies that are held.
    List { folder: PathBuf },
    /// Counts and bytes.
    Stats { folder: PathBuf },
}

pub fn store(command: StoreCommand) -> Result<(), Failure> {
    let look = |folder: &Path, blocks: bool| -> Result<check::Report, Failure> {
        let named = |e: std::io::Error| Failure::CannotRun(format!("{}: {e}", folder.display()));
        check::check(&Folder::look(folder).map_err(named)?, blocks).map_err(named)
    };
    let mut out = std::io::stdout().lock();
    match command {
        StoreCommand::Check { folder } => {
            let report = look(&folder, true)?;
            for wrong in &report.wrong {
                let _ = writeln!(out, "{wrong}");
            }
            let (copies, blocks) = (report.copies.len(), report.blocks);
            let _ = writeln!(
                out,
                "{}: {} segments, {copies} copies, {blocks} blocks read, {} things wrong",
                folder.display(),
                report.segments,
                report.wrong.len()
            );
            report.wrong.is_empty().then_some(()).ok_or(Failure::No)
        }
        StoreCommand::List { folder } => {
            for copy in look(&folder, false)?.copies {
                let m = copy.meta;
                // A reader that has seen enough is no failure.
                if writeln!(
                    out,
                    "{:>12} rank {} group {:016x} {} part {} {}",
                    m.size, m.rank, m.group, m.object, m.part, m.validator
                )
                .is_err()
                {
                    break;
                }
            }
            Ok(())
        }
        StoreCommand::Stats { folder } => {
            let r = look(&folder, false)?;
            let held: u64 = r.copies.iter().map(|c| c.meta.size).sum();
            let _ = writeln!(
                out,
                "{} segments, {} bytes on disk, {held} bytes of {} copies held; {} commits and {} purges in the log",
                r.segments,
                r.bytes,
                r.copies.len(),
                r.commits,
                r.purges
            );
            for rank in 0..=3 {
                let of: Vec<u64> = r
                    .copies
                    .iter()
                    .filter(|c| c.meta.rank == rank)
                    .map(|c| c.meta.size)
                    .collect();
                if !of.is_empty() {
                    let _ = writeln!(
                        out,
                        "  rank {rank}: {} copies, {} bytes",
                        of.len(),
                        of.iter().sum::<u64>()
                    );
                }
            }
            Ok(())
        }
    }
}
