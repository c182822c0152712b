//! `pointspindle run`: the dispatcher as the operators' platform starts it.
use crate::exit::CommandResult;
use std::path::PathBuf;

/// Arguments of `run`.
#[derive(clap::Args)]
pub struct RunArguments {
    /// The start configuration, JSON. Read again at SIGHUP.
    #[arg(long, env = "BALANCER_CONFIG")]
    config: PathBuf,
    /// Where clients connect; as the configuration says without it.
    #[arg(long, env = "BALANCER_LISTEN")]
    listen: Option<String>,
}

/// Runs the dispatcher until SIGTERM.
pub async fn run(arguments: RunArguments) -> CommandResult {
    Ok(pointspindle_platform::run(arguments.config, arguments.listen).await?)
}
