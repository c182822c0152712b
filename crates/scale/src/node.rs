//! The code of a scale run's processes. A process reads its role as one line of JSON, reports when it is ready, then
//! answers each command with one report. It ends when its standard input is closed.
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

/// Prefix of all keys of a scale run in the control store.
pub const PREFIX: &str = "/scale";

/// The error that ends a process of a scale run early.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// Standard input ended before the role was received.
    #[error("standard input ended before a role was received")]
    NoRole,
    /// The role cannot be parsed.
    #[error("cannot parse the role {line}: {source}")]
    InvalidRole {
        /// The line that was read.
        line: String,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// Reading standard input or using a socket failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The settings of a hollow node are invalid.
    #[error(transparent)]
    Config(#[from] ConfigErrors),
    /// The control store cannot be reached.
    #[error(transparent)]
    Etcd(#[from] EtcdError),
    /// A hollow dispatcher's settings name no control store.
    #[error("the settings of a hollow dispatcher name no control store")]
    NoControlStore,
    /// A hollow cache host cannot start.
    #[error(transparent)]
    CacheHost(#[from] HostError),
    /// The bounds of a lag histogram are invalid.
    #[error(transparent)]
    Histogram(#[from] hdrhistogram::CreationError),
}

/// Reads a role from the first line of standard input and runs it until standard input ends.
pub async fn run() -> Result<(), NodeError> {
    let mut commands = CommandStream(BufReader::new(tokio::io::stdin()).lines());
    match commands.read_role().await? {
        NodeRole::Store => store::run(commands).await,
        NodeRole::Dispatchers(nodes) => dispatchers::run(commands, nodes).await,
        NodeRole::CacheHosts { nodes } => cache_hosts::run(commands, nodes).await,
    }
}

/// The stream of commands on standard input.
struct CommandStream(Lines<BufReader<Stdin>>);

impl CommandStream {
    async fn read_role(&mut self) -> Result<NodeRole, NodeError> {
        let line = self.0.next_line().await?.ok_or(NodeError::NoRole)?;
        serde_json::from_str(&line).map_err(|source| NodeError::InvalidRole { line, source })
    }

    /// Returns the next command, or `None` when the input has ended or the command cannot be parsed.
    async fn next(&mut self) -> Option<Command> {
        let line = self.0.next_line().await.ok()??;
        serde_json::from_str(&line).ok()
    }
}

fn send_report(report: &Report) {
    println!("{}", serde_json::to_string(report).unwrap_or_default());
}

/// Returns the wall-clock time in microseconds since 1970. Times of different processes can be compared because a scale
/// run uses one machine only.
pub fn now_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_micros() as u64)
}

/// Returns the object of a purge that is written now. It holds the purge's number and the time of the write.
pub fn purge_object(number: usize) -> String {
    format!("/scale/{number}/{}", now_us())
}

/// Returns the time at which a purge was written, as its object holds it, microseconds since 1970.
fn written_us(object: &str) -> Option<u64> {
    let number_and_time = object.strip_prefix("/scale/")?;
    let (_, time) = number_and_time.split_once('/')?;
    time.parse().ok()
}
