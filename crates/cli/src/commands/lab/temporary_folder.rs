//! Folder for the settings, states and logs of the dispatcher processes of a run.
use std::path::{Path, PathBuf};

/// Folder given by the user, or a temporary one that is removed on drop.
pub struct RunFolder {
    path: PathBuf,
    is_temporary: bool,
}

impl RunFolder {
    /// Returns the requested folder, or a temporary one whose name begins with `name`.
    pub fn new(requested: Option<PathBuf>, name: &str) -> Self {
        let is_temporary = requested.is_none();
        let path = requested
            .unwrap_or_else(|| std::env::temp_dir().join(format!("{name}-{}", std::process::id())));
        Self { path, is_temporary }
    }

    /// Returns the path of the folder.
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
