//! Runs the dispatcher as the operators' platform starts it: `pointspindle run` and `pointspindle-dispatcher`.
use crate::exit::CommandResult;
use pointspindle_platform::memory::ReleaseFreeMemory;
use std::path::PathBuf;

/// Arguments of a dispatcher on the operators' platform.
#[derive(clap::Args)]
pub struct RunArguments {
    /// Startup configuration in JSON; read again at SIGHUP.
    #[arg(long, env = "BALANCER_CONFIG")]
    config: PathBuf,
    /// Listening address for clients, in place of the configured one.
    #[arg(long, env = "BALANCER_LISTEN")]
    listen: Option<String>,
}

/// Runs the dispatcher until SIGTERM. `release_free_memory` is called while memory is short.
pub async fn run(arguments: RunArguments, release_free_memory: ReleaseFreeMemory) -> CommandResult {
    let RunArguments { config, listen } = arguments;
    Ok(pointspindle_platform::run(config, listen, release_free_memory).await?)
}
