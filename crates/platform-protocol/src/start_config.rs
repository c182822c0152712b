//! The start configuration: the dispatcher's name, its limits, its settings and the discovery state at its start. Keys
//! that are not known are skipped.
use crate::discovery::KnownState;
use crate::settings::SettingsDocument;
use serde::Deserialize;
use std::path::Path;

/// The start configuration.
#[derive(Debug, Deserialize)]
pub struct StartConfig {
    /// The dispatcher's name.
    pub name: String,
    /// Address on which clients are accepted.
    pub listen: String,
    /// Seed of the random numbers: 16 hex digits, new with each start.
    #[serde(default)]
    pub seed: String,
    /// Bounds of the process.
    pub limits: ResourceLimits,
    /// Address of the discovery stream.
    #[serde(rename = "board")]
    pub discovery_address: String,
    /// The highest rate of one response on a connection.
    #[serde(default, rename = "flow_bytes_per_s")]
    pub response_bytes_per_s: f64,
    /// The discovery state at the start.
    #[serde(default, rename = "known")]
    pub known_state: KnownState,
    /// The router's settings.
    pub settings: SettingsDocument,
}

/// What the process may use.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct ResourceLimits {
    /// Memory.
    pub memory_mb: u64,
    /// Open sockets.
    pub sockets: usize,
}

/// Why the start configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum StartConfigError {
    /// The file cannot be read.
    #[error("{file}: {source}")]
    File {
        /// Its path.
        file: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// The file is not such a configuration; the text names the key, the line and the column.
    #[error("{file}: {source}")]
    Json {
        /// Its path.
        file: String,
        /// What is wrong and where.
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
