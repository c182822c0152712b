//! `pointspindle purge`.
use super::control_client::apply;
use super::etcd_access::EtcdArguments;
use crate::exit::{CommandError, CommandResult};
use pointspindle::ObjectId;
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
    /// The object, as its path.
    #[arg(long, required_unless_present_any = ["group", "group_of"])]
    object: Option<String>,
    /// A group by its number.
    #[arg(long, conflicts_with = "object")]
    group: Option<u64>,
    /// The group of all paths that begin so, such as /video/12.
    #[arg(long, conflicts_with_all = ["object", "group"])]
    group_of: Option<String>,
    /// How long ago it was purged, milliseconds.
    #[arg(long, default_value_t = 0, conflicts_with = "etcd")]
    age_ms: u64,
    /// Return once it is in force everywhere, by all dispatchers' promise. Exit status 1: one of them promises nothing.
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

/// Purges at each dispatcher, or through etcd.
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
        // Each dispatcher keeps a purge by itself: it is sent to all, whatever becomes of one.
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
