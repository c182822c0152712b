//! Rehearsed days kept, compared, searched and shown.
//!
//! A day is a scenario, a seed and changes of single values; in virtual time these alone decide every byte of a
//! [`record::Run`], whatever the machine and the number of threads. So what is kept of a run is small, and what
//! happened to one of its requests can be played again.
#![forbid(unsafe_code)]

pub mod compare;
pub mod folder;
pub mod html;
pub mod hunt;
mod plots;
pub mod record;
pub mod sweep;
pub mod terminal;
pub mod watch;

/// Why a run could not be made, kept, read or shown.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    #[error("{what} {path}: {source}")]
    File {
        what: &'static str,
        path: String,
        source: std::io::Error,
    },
    #[error("{0}")]
    Scenario(#[from] pointspindle_config::ConfigErrors),
    #[error("{0}")]
    Run(String),
    #[error("{path} is not a run that this program can read: {why}")]
    Foreign { path: String, why: String },
    #[error("a plot cannot be drawn: {0}")]
    Plot(String),
    #[error("a template: {0}")]
    Template(#[from] minijinja::Error),
}

impl ReportError {
    pub(crate) fn file(what: &'static str, path: &std::path::Path, source: std::io::Error) -> Self {
        Self::File {
            what,
            path: path.display().to_string(),
            source,
        }
    }
}
