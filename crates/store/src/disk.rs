//! What the store asks of a file system, and the machine's own.
use std::fs::{File, OpenOptions};
use std::io::{Error, ErrorKind, Result};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// A folder of files. Every method may fail; what a failed one has done is unknown.
pub trait Disk: Send + Sync {
    fn list(&self) -> Result<Vec<String>>;
    /// A new file; an error if there is one of that name.
    fn create(&self, name: &str) -> Result<Arc<dyn DiskFile>>;
    fn open(&self, name: &str) -> Result<Arc<dyn DiskFile>>;
    fn remove(&self, name: &str) -> Result<()>;
    /// Replaces what was there.
    fn rename(&self, from: &str, to: &str) -> Result<()>;
    /// Names are durable after this.
    fn sync_names(&self) -> Result<()>;
}

pub trait DiskFile: Send + Sync {
    fn write_at(&self, offset: u64, bytes: &[u8]) -> Result<()>;
    /// Fills the buffer or fails.
    fn read_at(&self, offset: u64, buffer: &mut [u8]) -> Result<()>;
    fn len(&self) -> Result<u64>;
    /// Content is durable after this.
    fn sync(&self) -> Result<()>;
    /// What stands behind `len` is gone.
    fn truncate(&self, len: u64) -> Result<()>;

    fn is_empty(&self) -> Result<bool> {
        Ok(self.len()? == 0)
    }
}

/// A folder of the machine, locked for as long as this lives.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// None: looked at without a lock, for reading only.
    _lock: Option<File>,
}

impl Folder {
    /// Makes the folder where there is none. An error if another process has it.
    pub fn lock(path: &Path) -> Result<Self> {
        std::fs::create_dir_all(path)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join("LOCK"))?;
        lock.try_lock().map_err(|e| {
            Error::new(
                ErrorKind::WouldBlock,
                format!("{}: another process has it ({e})", path.display()),
            )
        })?;
        Ok(Self {
            path: path.into(),
            _lock: Some(lock),
        })
    }

    /// To look at only, also while another process has it.
    pub fn look(path: &Path) -> Result<Self> {
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
        Ok(Arc::new(RealFile(file)))
    }

    fn open(&self, name: &str) -> Result<Arc<dyn DiskFile>> {
        let write = self._lock.is_some();
        let file = OpenOptions::new()
            .read(true)
            .write(write)
            .open(self.path.join(name))?;
        Ok(Arc::new(RealFile(file)))
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

struct RealFile(File);

impl DiskFile for RealFile {
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
