//! The dispatcher as a process: its start, the signals sent to it, and the system's figures about it.
use super::{configuration, unused_address, with_replacements};
use super::{FastCgiClient, InjectedFaults, TEST_TIMEOUT};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Number of rounds of its runtime after which the dispatcher has read all input that arrived during a pause.
const CATCH_UP_ROUNDS: usize = 8;
const LISTENER_POLL_INTERVAL: Duration = Duration::from_millis(10);
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Environment variable that, when set, shows the dispatcher's log.
const SHOW_LOG_VARIABLE: &str = "SHOW";

/// A dispatcher process that is killed when the test ends.
pub struct DispatcherProcess {
    child: Child,
    pub address: SocketAddr,
    configuration_file: PathBuf,
    _folder: tempfile::TempDir,
}

/// Options for the start of a process, in addition to its configuration.
#[derive(Default)]
struct SpawnOptions<'a> {
    /// Address to listen on; an unused address if `None`.
    address: Option<SocketAddr>,
    /// The system's limit of open descriptors, independent of the configured one.
    descriptor_limit: Option<u64>,
    faults: Option<&'a InjectedFaults>,
}

impl DispatcherProcess {
    /// Starts a dispatcher and checks that it passes its health check.
    pub async fn start(discovery: SocketAddr, endpoints: &[String]) -> Self {
        Self::start_with_replacements(discovery, endpoints, &[]).await
    }

    /// As [`Self::start`], with replacements in the configuration.
    pub async fn start_with_replacements(
        discovery: SocketAddr,
        endpoints: &[String],
        replacements: &[(&str, &str)],
    ) -> Self {
        let started = Self::spawn(|address| {
            with_replacements(configuration(address, discovery, endpoints), replacements)
        })
        .await;
        assert_eq!(started.health_status().await, 200);
        started
    }

    /// Starts a dispatcher and waits until it listens; `configuration` gets its address.
    pub async fn spawn(configuration: impl FnOnce(SocketAddr) -> String) -> Self {
        Self::spawn_with(SpawnOptions::default(), configuration).await
    }

    /// As [`Self::spawn`], with a system limit of open descriptors, independent of the configured one.
    pub async fn spawn_with_descriptor_limit(
        descriptor_limit: u64,
        configuration: impl FnOnce(SocketAddr) -> String,
    ) -> Self {
        let options = SpawnOptions {
            descriptor_limit: Some(descriptor_limit),
            ..SpawnOptions::default()
        };
        Self::spawn_with(options, configuration).await
    }

    /// As [`Self::spawn_with_faults`], at the address of an earlier process.
    pub async fn spawn_at(
        address: SocketAddr,
        faults: &InjectedFaults,
        configuration: String,
    ) -> Self {
        let options = SpawnOptions {
            address: Some(address),
            faults: Some(faults),
            ..SpawnOptions::default()
        };
        Self::spawn_with(options, |_| configuration).await
    }

    /// As [`Self::spawn`], with system calls that may fail and clocks that may be stepped.
    pub async fn spawn_with_faults(
        faults: &InjectedFaults,
        configuration: impl FnOnce(SocketAddr) -> String,
    ) -> Self {
        let options = SpawnOptions {
            faults: Some(faults),
            ..SpawnOptions::default()
        };
        Self::spawn_with(options, configuration).await
    }

    async fn spawn_with(
        options: SpawnOptions<'_>,
        configuration: impl FnOnce(SocketAddr) -> String,
    ) -> Self {
        // The loopback address is used by this process alone, so that no other socket of this run can take the
        // port before the process listens.
        let address = match options.address {
            Some(address) => address,
            None => unused_address(),
        };
        let folder = tempfile::tempdir().unwrap();
        let configuration_file = folder.path().join("config.json");
        std::fs::write(&configuration_file, configuration(address)).unwrap();
        let child = command(&options, address, &configuration_file)
            .spawn()
            .unwrap();
        let listening = async {
            while TcpStream::connect(address).await.is_err() {
                tokio::time::sleep(LISTENER_POLL_INTERVAL).await;
            }
        };
        timeout(TEST_TIMEOUT, listening)
            .await
            .expect("the dispatcher did not listen in time");
        Self {
            child,
            address,
            configuration_file,
            _folder: folder,
        }
    }

    /// Returns the status of a health check on a new connection.
    pub async fn health_status(&self) -> u16 {
        let mut client = FastCgiClient::connect(self.address).await;
        client.send_request(1, "/alive", &[], b"").await;
        client.response(1).await.status
    }

    /// Waits until the dispatcher's runtime has gone through the rounds in which it reads input that arrived
    /// during a pause and counts it as buffered for the pause. Each health check takes at least one round.
    pub async fn catch_up(&self) {
        for _ in 0..CATCH_UP_ROUNDS {
            assert_eq!(self.health_status().await, 200);
        }
    }

    /// Opens new connections and sends a request for a page on each.
    pub async fn connect_with_requests(&self, count: usize) -> Vec<FastCgiClient> {
        let mut clients = Vec::new();
        for _ in 0..count {
            let mut client = FastCgiClient::connect(self.address).await;
            client.request_page(1, &[]).await;
            clients.push(client);
        }
        clients
    }

    /// Writes the configuration file; the dispatcher reads it at the next SIGHUP.
    pub fn write_configuration(&self, text: impl AsRef<[u8]>) {
        std::fs::write(&self.configuration_file, text).unwrap();
    }

    /// Writes the configuration file and sends SIGHUP.
    pub fn reload(&self, text: impl AsRef<[u8]>) {
        self.write_configuration(text);
        self.signal("-HUP");
    }

    /// Sends a signal, named as an argument of `kill`.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .arg(name)
            .arg(self.child.id().to_string())
            .status()
            .unwrap();
        assert!(sent.success());
    }

    /// Returns the path of a file or folder of the process under `/proc`.
    pub fn proc_path(&self, name: &str) -> PathBuf {
        format!("/proc/{}/{name}", self.child.id()).into()
    }

    /// Returns the number of open descriptors.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(self.proc_path("fd")).unwrap().count()
    }

    /// Returns the peak resident memory in kB.
    pub fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(self.proc_path("status")).unwrap();
        let peak = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .unwrap();
        peak.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// Returns the processor time used so far, as the scheduler counts it for the only thread.
    pub fn cpu_time_us(&self) -> u64 {
        let statistics = std::fs::read_to_string(self.proc_path("schedstat")).unwrap();
        let running_ns: u64 = statistics.split(' ').next().unwrap().parse().unwrap();
        running_ns / 1_000
    }

    /// Returns the exit code if the process has ended; -1 if a signal ended it.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child
            .try_wait()
            .unwrap()
            .map(|status| status.code().unwrap_or(-1))
    }

    pub fn is_running(&mut self) -> bool {
        self.exit_code().is_none()
    }

    /// Waits until the process has ended and returns its exit code.
    pub async fn wait_for_exit(mut self) -> i32 {
        let exit = async {
            loop {
                match self.exit_code() {
                    Some(code) => return code,
                    None => tokio::time::sleep(EXIT_POLL_INTERVAL).await,
                }
            }
        };
        timeout(TEST_TIMEOUT, exit)
            .await
            .expect("the dispatcher did not exit in time")
    }
}

impl Drop for DispatcherProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the command that starts the dispatcher. A shell sets the descriptor limit and then executes the
/// dispatcher in its place.
fn command(
    options: &SpawnOptions<'_>,
    address: SocketAddr,
    configuration_file: &PathBuf,
) -> Command {
    let limit = match options.descriptor_limit {
        Some(limit) => format!("ulimit -n {limit} && "),
        None => String::new(),
    };
    let shows_log = std::env::var_os(SHOW_LOG_VARIABLE).is_some();
    let arguments: &[&str] = match shows_log {
        true => &["--log", "debug"],
        false => &[],
    };
    let log = match shows_log {
        true => Stdio::inherit(),
        false => Stdio::null(),
    };
    let faults = options.faults.map(InjectedFaults::environment);
    let mut command = Command::new("sh");
    command
        .args(["-c", &format!("{limit} exec \"$0\" \"$@\"")])
        .arg(env!("CARGO_BIN_EXE_pointspindle-dispatcher"))
        .args(arguments)
        .env("BALANCER_CONFIG", configuration_file)
        .env("BALANCER_LISTEN", address.to_string())
        .envs(faults.into_iter().flatten())
        .stderr(log);
    command
}
