//! The `pointspindle serve` command.
use crate::embedded_fleet;
use crate::process::{raise_descriptor_limit, write_atomically};
use pointspindle_cli::exit::{CommandError, CommandResult};
use pointspindle_config::DispatcherSettings;
use pointspindle_dispatcher::{Dispatcher, PreparedDispatcher};
use pointspindle_etcd::EtcdSource;
use pointspindle_transport::Network;
use std::path::PathBuf;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Arguments of `serve`.
#[derive(clap::Args)]
pub struct ServeArguments {
    /// Settings file; see examples/edge.ini. Without one, an embedded fleet is started.
    file: Option<PathBuf>,
    /// Write the listening addresses to this file, as JSON, once the listeners are open.
    #[arg(long)]
    ready_file: Option<PathBuf>,
    /// Seed of the random number generator, which only timers use.
    #[arg(long)]
    seed: Option<u64>,
    /// HTTP port of the embedded fleet; 0 selects a free port.
    #[arg(long, default_value_t = 8080)]
    port: u16,
}

/// Runs a dispatcher until SIGTERM.
pub async fn serve(arguments: ServeArguments) -> CommandResult {
    raise_descriptor_limit();
    let terminate = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    let seed = arguments.seed.unwrap_or(u64::from(std::process::id()));
    let (settings, embedded_hosts) = match &arguments.file {
        Some(file) => (pointspindle_config::load(file)?, None),
        None => {
            let (settings, hosts) = embedded_fleet::start(arguments.port).await?;
            (settings, Some(hosts))
        }
    };
    let dispatcher = open(settings, seed).await?;
    if let Some(file) = &arguments.ready_file {
        write_atomically(file, &serde_json::to_vec(dispatcher.bound_addresses())?)?;
    }
    if embedded_hosts.is_some() {
        embedded_fleet::print_suggestions(dispatcher.bound_addresses());
    }
    run_until_terminated(&dispatcher, terminate, hangup).await;
    if !dispatcher.stop().await {
        return Err(CommandError::CannotRun(
            "shutdown timed out before all requests were answered".into(),
        ));
    }
    Ok(())
}

/// Opens the listeners once the state in etcd is known, at the latest after the configured wait.
async fn open(settings: DispatcherSettings, seed: u64) -> Result<Dispatcher, CommandError> {
    let source = EtcdSource::from_settings(&settings, seed)?;
    let start_wait_us = settings.etcd.as_ref().map_or(0, |etcd| etcd.start_wait_us);
    let mut prepared = PreparedDispatcher::new(Network::Tcp, settings, seed).await;
    if let Some(source) = source {
        prepared.follow(source);
        let start_wait = Duration::from_micros(start_wait_us);
        if !prepared.wait_until_current(start_wait).await {
            tracing::warn!(
                "etcd did not answer in time; listeners open with the endpoint list of the last run"
            );
        }
    }
    Ok(prepared.open().await?)
}

/// Reloads certificates at each SIGHUP; returns at SIGTERM or SIGINT.
async fn run_until_terminated(dispatcher: &Dispatcher, mut terminate: Signal, mut hangup: Signal) {
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = tokio::signal::ctrl_c() => return,
            _ = hangup.recv() => match dispatcher.reload_tls() {
                Ok(()) => tracing::info!("certificates and keys reloaded"),
                Err(error) => tracing::error!(%error, "certificates and keys not reloaded; the previous ones stay in use"),
            },
        }
    }
}
