//! System calls that fail and clocks that step, in one dispatcher: a small library (`faults.c`) that is compiled here
//! and loaded into the process.
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::process::Command;
use std::sync::OnceLock;
use std::time::Duration;

/// Numbers of the control file, by their place in `struct control`.
const WALL_OFFSET_NS: u64 = 0;
const SHORT_IO: u64 = 1;
const ELAPSED_NS: u64 = 14;
const NUMBERS: usize = 15;

/// A system call that may fail.
#[derive(Clone, Copy, Debug)]
pub enum Call {
    Accept = 2,
    Connect = 4,
    Socket = 6,
    Read = 8,
    Write = 10,
    Wait = 12,
}

/// Linux' numbers of the errors that the tests use (the same on all its common machines).
pub mod errno {
    pub const EINTR: i64 = 4;
    pub const ENOMEM: i64 = 12;
    pub const ENFILE: i64 = 23;
    pub const ECONNABORTED: i64 = 103;
    pub const EADDRNOTAVAIL: i64 = 99;
    pub const ENETUNREACH: i64 = 101;
    pub const ENOBUFS: i64 = 105;
    pub const ETIMEDOUT: i64 = 110;
    pub const EHOSTUNREACH: i64 = 113;
}

/// The controls of one process.
pub struct Faults {
    file: std::fs::File,
    path: PathBuf,
    _folder: tempfile::TempDir,
}

fn library() -> &'static PathBuf {
    static BUILT: OnceLock<(PathBuf, tempfile::TempDir)> = OnceLock::new();
    let (path, _) = BUILT.get_or_init(|| {
        let folder = tempfile::tempdir().unwrap();
        let library = folder.path().join("faults.so");
        let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/platform/faults.c");
        let built = Command::new("cc")
            .args(["-shared", "-fPIC", "-O1", "-o"])
            .arg(&library)
            .arg(source)
            .status();
        assert!(built.expect("a C compiler").success());
        (library, folder)
    });
    path
}

impl Faults {
    pub fn new() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("control");
        std::fs::write(&path, [0; NUMBERS * 8]).unwrap();
        let file = std::fs::OpenOptions::new()
            .read(true)
            .write(true)
            .open(&path)
            .unwrap();
        Self {
            file,
            path,
            _folder: folder,
        }
    }

    /// What a process that is to have them is started with.
    pub fn environment(&self) -> [(&'static str, PathBuf); 2] {
        [
            ("LD_PRELOAD", library().clone()),
            ("FAULTS_CONTROL", self.path.clone()),
        ]
    }

    fn set(&self, place: u64, number: i64) {
        self.file
            .write_all_at(&number.to_ne_bytes(), place * 8)
            .unwrap();
    }

    fn get(&self, place: u64) -> i64 {
        let mut bytes = [0; 8];
        self.file.read_exact_at(&mut bytes, place * 8).unwrap();
        i64::from_ne_bytes(bytes)
    }

    /// The process's wall clock is off by so much from now on.
    pub fn step_wall(&self, seconds: f64) {
        self.set(WALL_OFFSET_NS, (seconds * 1e9) as i64);
    }

    /// So much time passes at once.
    pub fn pass(&self, time: Duration) {
        self.set(ELAPSED_NS, self.get(ELAPSED_NS) + time.as_nanos() as i64);
    }

    /// No read or write takes more bytes than this.
    pub fn short_io(&self, bytes: i64) {
        self.set(SHORT_IO, bytes);
    }

    /// The next calls fail so.
    pub fn fail(&self, call: Call, error: i64, count: i64) {
        self.set(call as u64, error);
        self.set(call as u64 + 1, count);
    }

    /// Returns once all of those have failed.
    pub async fn spent(&self, call: Call) {
        let spent = async {
            while self.get(call as u64 + 1) > 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(crate::stage::PATIENCE, spent)
            .await
            .expect("the calls are made");
    }
}
