//! `pointspindle run`: runs the dispatcher as the operators' platform starts it.
use crate::exit::CommandResult;
use std::path::PathBuf;

/// Arguments of `run`.
#[derive(clap::Args)]
pub struct RunArguments {
    /// Startup configuration in JSON; read again at SIGHUP.
    #[arg(long, env = "BALANCER_CONFIG")]
    config: PathBuf,
    /// Listening address for clients, in place of the configured one.
    #[arg(long, env = "BALANCER_LISTEN")]
    listen: Option<String>,
}

/// Runs the dispatcher until SIGTERM.
pub async fn run(arguments: RunArguments) -> CommandResult {
    Ok(pointspindle_platform::run(arguments.config, arguments.listen).await?)
}
