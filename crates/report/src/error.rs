//! The errors of this crate.
use std::path::Path;

/// An error while making, saving, loading or rendering a run.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// A file could not be read or written.
    #[error("{failure} {path}: {source}")]
    File {
        /// The failed operation, such as "cannot read".
        failure: &'static str,
        /// Path of the file.
        path: String,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The scenario is invalid.
    #[error("{0}")]
    Scenario(#[from] pointspindle_config::ConfigErrors),
    /// A run could not be made or repeated.
    #[error("{0}")]
    Run(String),
    /// A file of a run's folder has an unknown format.
    #[error("cannot load a run from {path}: {reason}")]
    InvalidRun {
        /// Path of the file.
        path: String,
        /// Why the file was rejected.
        reason: String,
    },
    /// A plot could not be drawn.
    #[error("cannot draw a plot: {0}")]
    Plot(String),
    /// A page could not be rendered.
    #[error("cannot render a page template: {0}")]
    Template(#[from] minijinja::Error),
}

impl ReportError {
    pub(crate) fn file(failure: &'static str, path: &Path, source: std::io::Error) -> Self {
        Self::File {
            failure,
            path: path.display().to_string(),
            source,
        }
    }

    pub(crate) fn invalid_run(path: &Path, reason: impl std::fmt::Display) -> Self {
        Self::InvalidRun {
            path: path.display().to_string(),
            reason: reason.to_string(),
        }
    }
}
