//! The `pointspindle cache` command.
use crate::process::{raise_descriptor_limit, write_atomically};
use pointspindle_cache_host::Host;
use pointspindle_cli::exit::{CommandError, CommandResult};
use pointspindle_transport::Network;
use std::path::PathBuf;
use tokio::signal::unix::{signal, SignalKind};

/// Arguments of `cache`.
#[derive(clap::Args)]
pub struct CacheArguments {
    /// Settings file; see examples/cache.ini.
    file: PathBuf,
    /// Write the listening addresses to this file, as JSON, once the listeners are open.
    #[arg(long)]
    ready_file: Option<PathBuf>,
}

/// Runs a cache host until SIGTERM.
pub async fn cache(arguments: CacheArguments) -> CommandResult {
    raise_descriptor_limit();
    let mut terminate = signal(SignalKind::terminate())?;
    let settings = pointspindle_config::load_cache_host(&arguments.file)?;
    let host = Host::start(settings, Network::Tcp).await?;
    if let Some(file) = &arguments.ready_file {
        write_atomically(file, &serde_json::to_vec(&host.bound())?)?;
    }
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    tracing::info!(counts = ?host.counters(), store = ?host.store(), "cache host stops");
    if !host.stop().await {
        return Err(CommandError::CannotRun(
            "shutdown timed out before all requests were answered".into(),
        ));
    }
    Ok(())
}
