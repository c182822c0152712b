//! The errors of this crate.
use std::path::Path;

/// Why a run could not be made, kept, read or shown.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// A file could not be read or written.
    #[error("{what} {path}: {source}")]
    File {
        /// What failed, such as "cannot read".
        what: &'static str,
        /// The file.
        path: String,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The scenario is invalid.
    #[error("{0}")]
    Scenario(#[from] pointspindle_config::ConfigErrors),
    /// The scenario could not be run.
    #[error("{0}")]
    Run(String),
    /// A file of a run's folder is of another format.
    #[error("{path} is not a run that this program can read: {why}")]
    InvalidRun {
        /// The file.
        path: String,
        /// What is wrong with it.
        why: String,
    },
    /// A plot could not be drawn.
    #[error("a plot cannot be drawn: {0}")]
    Plot(String),
    /// A page could not be rendered.
    #[error("a template: {0}")]
    Template(#[from] minijinja::Error),
}

impl ReportError {
    pub(crate) fn file(what: &'static str, path: &Path, source: std::io::Error) -> Self {
        Self::File {
            what,
            path: path.display().to_string(),
            source,
        }
    }

    pub(crate) fn invalid_run(path: &Path, why: impl std::fmt::Display) -> Self {
        Self::InvalidRun {
            path: path.display().to_string(),
            why: why.to_string(),
        }
    }
}
