//! The start configuration: who the dispatcher is, its limits, what it is told. Keys that are not known are skipped.
use crate::board::Known;
use crate::settings::Config;
use serde::Deserialize;
use std::path::Path;

#[derive(Debug, Deserialize)]
pub struct Start {
    pub name: String,
    pub listen: String,
    /// For random numbers; 16 hex digits, new with each start.
    #[serde(default)]
    pub seed: String,
    pub limits: Limits,
    pub board: String,
    /// Top pace of one answer on a connection.
    #[serde(default)]
    pub flow_bytes_per_s: f64,
    #[serde(default)]
    pub known: Known,
    pub settings: Config,
}

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Limits {
    pub memory_mb: u64,
    pub sockets: usize,
}

#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error("{file}: {source}")]
    File {
        file: String,
        source: std::io::Error,
    },
    /// The text names the key, the line and the column.
    #[error("{file}: {source}")]
    Json {
        file: String,
        source: serde_json::Error,
    },
}

pub fn read(file: &Path) -> Result<Start, StartError> {
    let named = file.display().to_string();
    let text = std::fs::read(file).map_err(|source| StartError::File {
        file: named.clone(),
        source,
    })?;
    serde_json::from_slice(&text).map_err(|source| StartError::Json {
        file: named,
        source,
    })
}
