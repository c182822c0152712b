//! Fault injection into one dispatcher process, below its own code: system calls that fail and clocks that
//! step. A small library (`injected_faults.c`) is compiled here and loaded into the process.
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::process::Command;
use std::sync::OnceLock;
use std::time::Duration;

/// Indices of the numbers in the control file, in the order of `struct control`.
const WALL_OFFSET_NS: u64 = 0;
const SHORT_IO: u64 = 1;
const ELAPSED_NS: u64 = 14;
const CONTROL_NUMBERS: usize = 15;
const NUMBER_BYTES: usize = 8;

/// A system call that may fail, by the index of its error in the control file; its count follows.
#[derive(Clone, Copy, Debug)]
pub enum SystemCall {
    Accept = 2,
    Connect = 4,
    Socket = 6,
    Read = 8,
    Write = 10,
    Wait = 12,
}

/// Linux error numbers that the tests use; they are the same on all common architectures.
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

/// Faults of one process, which can be set while it runs.
pub struct InjectedFaults {
    control: std::fs::File,
    control_path: PathBuf,
    _folder: tempfile::TempDir,
}

/// Path of the library, which is compiled once per run.
fn library() -> &'static PathBuf {
    static BUILT: OnceLock<(PathBuf, tempfile::TempDir)> = OnceLock::new();
    let (path, _) = BUILT.get_or_init(|| {
        let folder = tempfile::tempdir().unwrap();
        let library = folder.path().join("injected_faults.so");
        let source = concat!(
            env!("CARGO_MANIFEST_DIR"),
            "/tests/platform/support/injected_faults.c"
        );
        let built = Command::new("cc")
            .args(["-shared", "-fPIC", "-O1", "-o"])
            .arg(&library)
            .arg(source)
            .status();
        assert!(built.expect("the C compiler cannot be started").success());
        (library, folder)
    });
    path
}

impl InjectedFaults {
    pub fn new() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let control_path = folder.path().join("control");
        std::fs::write(&control_path, [0; CONTROL_NUMBERS * NUMBER_BYTES]).unwrap();
        let control = std::fs::OpenOptions::new()
            .read(true)
            .write(true)
            .open(&control_path)
            .unwrap();
        Self {
            control,
            control_path,
            _folder: folder,
        }
    }

    /// Returns the environment variables of a process that gets these faults.
    pub fn environment(&self) -> [(&'static str, PathBuf); 2] {
        [
            ("LD_PRELOAD", library().clone()),
            ("FAULTS_CONTROL", self.control_path.clone()),
        ]
    }

    fn set(&self, index: u64, number: i64) {
        self.control
            .write_all_at(&number.to_ne_bytes(), index * NUMBER_BYTES as u64)
            .unwrap();
    }

    fn get(&self, index: u64) -> i64 {
        let mut bytes = [0; NUMBER_BYTES];
        self.control
            .read_exact_at(&mut bytes, index * NUMBER_BYTES as u64)
            .unwrap();
        i64::from_ne_bytes(bytes)
    }

    /// Sets the offset of the process's wall clock from now on, in seconds.
    pub fn step_wall_clock(&self, seconds: f64) {
        self.set(WALL_OFFSET_NS, (seconds * 1e9) as i64);
    }

    /// Advances all clocks of the process at once.
    pub fn advance_time(&self, time: Duration) {
        self.set(ELAPSED_NS, self.get(ELAPSED_NS) + time.as_nanos() as i64);
    }

    /// Limits the bytes that a read or write transfers; 0 removes the limit.
    pub fn limit_transfer_size(&self, bytes: i64) {
        self.set(SHORT_IO, bytes);
    }

    /// Makes the next `count` calls fail with this error.
    pub fn fail_next(&self, call: SystemCall, error: i64, count: i64) {
        self.set(call as u64, error);
        self.set(call as u64 + 1, count);
    }

    /// Waits until all planned failures of a call have happened.
    pub async fn wait_until_failed(&self, call: SystemCall) {
        let all_failed = async {
            while self.get(call as u64 + 1) > 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(super::TEST_TIMEOUT, all_failed)
            .await
            .expect("the failing calls were not made in time");
    }
}
