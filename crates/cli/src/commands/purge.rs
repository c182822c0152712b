//! The `pointspindle purge` command.
use super::control_client::apply;
use super::etcd_access::EtcdArguments;
use pointspindle::ObjectId;
use pointspindle_cli::exit::{CommandError, CommandResult};
use pointspindle_protocol::{Frame, PurgeHead};
use std::net::SocketAddr;

/// Arguments of `purge`.
#[derive(clap::Args)]
pub struct PurgeArguments {
    /// Control addresses of the dispatchers.
    #[arg(long, required_unless_present = "etcd", conflicts_with = "etcd")]
    at: Vec<SocketAddr>,
    #[command(flatten)]
    etcd: EtcdArguments,
    /// Path of the object.
    #[arg(long, required_unless_present_any = ["group", "group_of"])]
    object: Option<String>,
    /// Number of the group.
    #[arg(long, conflicts_with = "object")]
    group: Option<u64>,
    /// Group of all paths with this prefix, such as /video/12.
    #[arg(long, conflicts_with_all = ["object", "group"])]
    group_of: Option<String>,
    /// Time since the object was purged, in milliseconds.
    #[arg(long, default_value_t = 0, conflicts_with = "etcd")]
    age_ms: u64,
    /// Return once the purge is in force at all dispatchers, by their promises. Exit status 1: a dispatcher makes no
    /// promise.
    #[arg(long, requires = "etcd", conflicts_with = "at")]
    wait: bool,
}

impl PurgeArguments {
    fn group(&self) -> u64 {
        let by_path = self
            .group_of
            .as_deref()
            .map(|path| ObjectId::named(path.trim_end_matches('/')).0);
        by_path.or(self.group).unwrap_or(0)
    }
}

/// Sends a purge to each dispatcher, or writes it to etcd.
pub async fn purge(arguments: PurgeArguments) -> CommandResult {
    let group = arguments.group();
    if arguments.etcd.is_used() {
        return arguments
            .etcd
            .purge(arguments.object, group, arguments.wait)
            .await;
    }
    let head = PurgeHead {
        object: arguments.object,
        group,
        age_us: arguments.age_ms * 1_000,
        seq: 1,
    };
    let mut failures = Vec::new();
    for address in &arguments.at {
        // Each dispatcher records purges independently: the purge is sent to all, even if one fails.
        match apply(*address, Frame::Purge(head.clone())).await {
            Ok(()) => println!("{address}: purged"),
            Err(error) => failures.push(error.to_string()),
        }
    }
    if failures.is_empty() {
        return Ok(());
    }
    Err(CommandError::CannotRun(failures.join("\n")))
}
