//! The processes of a scale run. Each reads its role as one line of JSON, reports when it is ready, then answers each
//! command with one report; it ends when its standard input does.
mod cache_hosts;
mod dispatchers;
mod lag_recorder;
mod store;

pub use cache_hosts::record;
pub use dispatchers::dispatcher_settings;

use crate::messages::{Command, NodeRole, Report};
use pointspindle_cache_host::HostError;
use pointspindle_config::ConfigErrors;
use pointspindle_etcd::EtcdError;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncBufReadExt, BufReader, Lines, Stdin};

/// All keys of a scale run begin with this.
pub const PREFIX: &str = "/scale";

/// Why a process ends early.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// Standard input ended before the role.
    #[error("nothing was asked for")]
    NoRole,
    /// The role cannot be parsed.
    #[error("{line}: {source}")]
    InvalidRole {
        /// What was read.
        line: String,
        /// Why not.
        source: serde_json::Error,
    },
    /// A socket or standard input failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The settings of a hollow node are invalid.
    #[error(transparent)]
    Config(#[from] ConfigErrors),
    /// The control store cannot be reached.
    #[error(transparent)]
    Etcd(#[from] EtcdError),
    /// A hollow dispatcher's settings name no control store.
    #[error("no control store")]
    NoControlStore,
    /// A hollow cache host cannot start.
    #[error(transparent)]
    CacheHost(#[from] HostError),
    /// The histogram's bounds are invalid.
    #[error(transparent)]
    Histogram(#[from] hdrhistogram::CreationError),
}

/// Runs the role that the first line of standard input names, until standard input ends.
pub async fn run() -> Result<(), NodeError> {
    let mut commands = CommandStream(BufReader::new(tokio::io::stdin()).lines());
    match commands.read_role().await? {
        NodeRole::Store => store::run(commands).await,
        NodeRole::Dispatchers(nodes) => dispatchers::run(commands, nodes).await,
        NodeRole::CacheHosts { nodes } => cache_hosts::run(commands, nodes).await,
    }
}

/// The commands on standard input.
struct CommandStream(Lines<BufReader<Stdin>>);

impl CommandStream {
    async fn read_role(&mut self) -> Result<NodeRole, NodeError> {
        let line = self.0.next_line().await?.ok_or(NodeError::NoRole)?;
        serde_json::from_str(&line).map_err(|source| NodeError::InvalidRole { line, source })
    }

    /// The next command; none at the end, or where it cannot be parsed.
    async fn next(&mut self) -> Option<Command> {
        let line = self.0.next_line().await.ok()??;
        serde_json::from_str(&line).ok()
    }
}

fn send_report(report: &Report) {
    println!("{}", serde_json::to_string(report).unwrap_or_default());
}

/// Microseconds since 1970: all processes of a scale run are on one machine.
pub fn now_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_micros() as u64)
}

/// The object of a purge that is written now: it carries its time.
pub fn purge_object(number: usize) -> String {
    format!("/scale/{number}/{}", now_us())
}

/// When a purge was written, by its object.
fn written_us(object: &str) -> Option<u64> {
    let number_and_time = object.strip_prefix("/scale/")?;
    let (_, time) = number_and_time.split_once('/')?;
    time.parse().ok()
}
