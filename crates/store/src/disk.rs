//! File system operations that the store needs, and their implementation for a local folder.
use std::fs::{File, OpenOptions};
use std::io::{Error, ErrorKind, Result};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// A folder of files. Every method may fail; the effect of a failed call is unknown.
pub trait Disk: Send + Sync {
    /// Returns the names of all files.
    fn list(&self) -> Result<Vec<String>>;
    /// Creates a file; an error if a file of that name exists.
    fn create(&self, name: &str) -> Result<Arc<dyn DiskFile>>;
    /// Opens an existing file for reading and, unless the folder was opened read-only, for writing.
    fn open(&self, name: &str) -> Result<Arc<dyn DiskFile>>;
    /// Removes a file; an error if it does not exist.
    fn remove(&self, name: &str) -> Result<()>;
    /// Renames a file, replacing a file that has the new name.
    fn rename(&self, from: &str, to: &str) -> Result<()>;
    /// Makes created, removed and renamed file names durable.
    fn sync_names(&self) -> Result<()>;
}

/// An open file of a [`Disk`]. It stays readable after its name was removed.
pub trait DiskFile: Send + Sync {
    /// Writes all bytes, extending the file if needed.
    fn write_at(&self, offset: u64, bytes: &[u8]) -> Result<()>;
    /// Reads bytes until the buffer is full; an error if the file ends before.
    fn read_at(&self, offset: u64, buffer: &mut [u8]) -> Result<()>;
    /// Returns the length in bytes.
    fn len(&self) -> Result<u64>;
    /// Makes the content durable (fsync).
    fn sync(&self) -> Result<()>;
    /// Truncates the file to `len` bytes.
    fn truncate(&self, len: u64) -> Result<()>;

    /// Whether the file is empty.
    fn is_empty(&self) -> Result<bool> {
        Ok(self.len()? == 0)
    }
}

/// A folder of the local file system. Its lock is released when this value is dropped.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// Locked file; `None` if the folder was opened read-only.
    _lock: Option<File>,
}

impl Folder {
    /// Opens the folder for writing and creates it if needed. Fails if another process holds the lock.
    pub fn open_locked(path: &Path) -> Result<Self> {
        std::fs::create_dir_all(path)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join("LOCK"))?;
        lock.try_lock().map_err(|e| {
            Error::new(
                ErrorKind::WouldBlock,
                format!(
                    "{}: folder is locked by another process ({e})",
                    path.display()
                ),
            )
        })?;
        Ok(Self {
            path: path.into(),
            _lock: Some(lock),
        })
    }

    /// Opens the folder read-only, even while another process holds the lock.
    pub fn open_read_only(path: &Path) -> Result<Self> {
        std::fs::read_dir(path)?;
        Ok(Self {
            path: path.into(),
            _lock: None,
        })
    }
}

impl Disk for Folder {
    fn list(&self) -> Result<Vec<String>> {
        let names = std::fs::read_dir(&self.path)?
            .map(|e| e.map(|e| e.file_name().to_string_lossy().into_owned()));
        names
            .filter(|name| !matches!(name, Ok(n) if n == "LOCK"))
            .collect()
    }

    fn create(&self, name: &str) -> Result<Arc<dyn DiskFile>> {
        let file = OpenOptions::new()
            .create_new(true)
            .read(true)
            .write(true)
            .open(self.path.join(name))?;
        Ok(Arc::new(LocalFile(file)))
    }

    fn open(&self, name: &str) -> Result<Arc<dyn DiskFile>> {
        let write = self._lock.is_some();
        let file = OpenOptions::new()
            .read(true)
            .write(write)
            .open(self.path.join(name))?;
        Ok(Arc::new(LocalFile(file)))
    }

    fn remove(&self, name: &str) -> Result<()> {
        std::fs::remove_file(self.path.join(name))
    }

    fn rename(&self, from: &str, to: &str) -> Result<()> {
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn sync_names(&self) -> Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

struct LocalFile(File);

impl DiskFile for LocalFile {
    fn write_at(&self, offset: u64, bytes: &[u8]) -> Result<()> {
        self.0.write_all_at(bytes, offset)
    }

    fn read_at(&self, offset: u64, buffer: &mut [u8]) -> Result<()> {
        self.0.read_exact_at(buffer, offset)
    }

    fn len(&self) -> Result<u64> {
        Ok(self.0.metadata()?.len())
    }

    fn sync(&self) -> Result<()> {
        self.0.sync_data()
    }

    fn truncate(&self, len: u64) -> Result<()> {
        self.0.set_len(len)
    }
}
