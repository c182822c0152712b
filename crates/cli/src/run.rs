//! `pointspindle run`: the dispatcher as the operators' platform starts it.
use crate::Failure;
use std::path::PathBuf;

#[derive(clap::Args)]
pub struct Arguments {
    /// The start configuration, JSON. Read again at SIGHUP.
    #[arg(long, env = "BALANCER_CONFIG")]
    config: PathBuf,
    /// Where clients connect; the configuration's own word without it.
    #[arg(long, env = "BALANCER_LISTEN")]
    listen: Option<String>,
}

pub async fn run(arguments: Arguments) -> Result<(), Failure> {
    Ok(pointspindle_platform::run(arguments.config, arguments.listen).await?)
}
