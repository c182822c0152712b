//! Where dispatcher processes of a run keep settings, states and logs.
use std::path::{Path, PathBuf};

/// A folder that was asked for and stays, or a temporary one that is removed with its guard.
pub struct RunFolder {
    path: PathBuf,
    is_temporary: bool,
}

impl RunFolder {
    /// The folder that was asked for, or a temporary one with this name.
    pub fn new(wanted: Option<PathBuf>, name: &str) -> Self {
        let is_temporary = wanted.is_none();
        let path = wanted
            .unwrap_or_else(|| std::env::temp_dir().join(format!("{name}-{}", std::process::id())));
        Self { path, is_temporary }
    }

    /// Its path.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for RunFolder {
    fn drop(&mut self) {
        if self.is_temporary {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}
