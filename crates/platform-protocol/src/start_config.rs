//! The start configuration: name, limits and settings of the dispatcher, and the discovery state at its start. Unknown
//! keys are skipped.
use crate::discovery::DiscoverySnapshot;
use crate::settings::SettingsDocument;
use serde::Deserialize;
use std::path::Path;

/// The start configuration.
#[derive(Debug, Deserialize)]
pub struct StartConfig {
    /// Name of the dispatcher.
    pub name: String,
    /// Address on which client connections are accepted.
    pub listen: String,
    /// Seed of the random numbers: 16 hex digits that differ with each start.
    #[serde(default)]
    pub seed: String,
    /// Resource limits of the process.
    pub limits: ResourceLimits,
    /// Address of the server of the discovery stream.
    #[serde(rename = "board")]
    pub discovery_address: String,
    /// Highest transfer rate of one response on a connection.
    #[serde(default, rename = "flow_bytes_per_s")]
    pub response_bytes_per_s: f64,
    /// Discovery state at the start.
    #[serde(default, rename = "known")]
    pub known_state: DiscoverySnapshot,
    /// Settings of the router.
    pub settings: SettingsDocument,
}

/// Resource limits of the process.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct ResourceLimits {
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Number of open sockets.
    pub sockets: usize,
}

/// Error reading the start configuration.
#[derive(Debug, thiserror::Error)]
pub enum StartConfigError {
    /// The file cannot be read.
    #[error("cannot read {file}: {source}")]
    File {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not a valid start configuration.
    #[error("invalid start configuration {file}: {source}")]
    Json {
        /// Path of the file.
        file: String,
        /// Error with the key, the line and the column.
        source: serde_json::Error,
    },
}

/// Reads the start configuration from a file.
pub fn read(path: &Path) -> Result<StartConfig, StartConfigError> {
    let file = path.display().to_string();
    let text = match std::fs::read(path) {
        Ok(text) => text,
        Err(source) => return Err(StartConfigError::File { file, source }),
    };
    serde_json::from_slice(&text).map_err(|source| StartConfigError::Json { file, source })
}
