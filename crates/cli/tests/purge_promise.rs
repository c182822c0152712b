//! The time limit for purges (`purge_within_ms`), tested with processes. Dispatchers that are partitioned from etcd, paused,
//! or started during a partition limit the age of the copies that they accept; and `purge --wait` reports when a purge is
//! in force everywhere.
use pointspindle_etcd::layout::{EndpointState, MemberRecord};
use pointspindle_etcd::{writer, Etcd, EtcdAccess};
use pointspindle_etcd_emulator::EtcdEmulator;
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::*;
use pointspindle_transport::{ConnectionOptions, FramedConnection, Inbound};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

const TEST_TIMEOUT: Duration = Duration::from_secs(15);
const ETCD_PREFIX: &str = "/promise";
/// Value of `purge_within_ms`: time within which purges must be in force.
const PURGE_WITHIN_MS: u64 = 1_500;
/// Maximum age of a copy, in microseconds, that a dispatcher accepts while it has no proof that it knows all purges: half
/// of [`PURGE_WITHIN_MS`].
const MAX_UNPROVEN_AGE_US: u64 = 750_000;

/// Starts a cache host that answers every request and reports each requested object with the maximum age of the copy that
/// the dispatcher accepts.
async fn cache_host() -> (SocketAddr, mpsc::UnboundedReceiver<(String, u64)>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    let (requests, received) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let requests = requests.clone();
            tokio::spawn(async move {
                let (_link, mut incoming) =
                    FramedConnection::start(socket, Side::Responder, ConnectionOptions::default());
                while let Some(inbound) = incoming.next().await {
                    let Inbound::Request(head, mut responder) = inbound else {
                        continue;
                    };
                    let age = head.fetch.as_ref().map_or(0, |f| f.max_age_us);
                    let _ = requests.send((head.object.clone(), age));
                    let answer = ResponseHead {
                        size: Some(2),
                        cache_status: WireCacheStatus::Hit as i32,
                        ..Default::default()
                    };
                    let _ = responder.head(answer).await;
                    let _ = responder.data("ok".into()).await;
                    let _ = responder.end(None).await;
                }
            });
        }
    });
    (at, received)
}

struct Dispatcher {
    child: Child,
    http: SocketAddr,
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Dispatcher {
    async fn start(folder: &Path, name: &str, etcd: SocketAddr, limit_ms: u64) -> Self {
        let file = folder.join(format!("{name}.ini"));
        let ready: PathBuf = folder.join(format!("{name}.ready"));
        let state = folder.join("state");
        let text = format!(
            "[dispatcher]\nname = {name}\nzone = b\nstate_file = {}\n[listen]\nhttp = 127.0.0.1:0\n\
             [zone b]\ndispatchers = 1\n\
             [etcd]\nendpoints = http://{etcd}\nprefix = {ETCD_PREFIX}\nstart_wait_ms = 500\npurge_within_ms = {limit_ms}\n\
             [class page]\npath_prefix = /page/\nfresh_ms = 60000\ngrace_ms = 60000\n\
             [class spared]\npath_prefix = /spared/\nfresh_ms = 60000\ngrace_ms = 60000\npurge_exempt = yes\n",
            state.display()
        );
        std::fs::write(&file, text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_pointspindle"))
            .args(["--log", "error", "serve"])
            .arg(&file)
            .arg("--ready-file")
            .arg(&ready)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let ready_report = async {
            loop {
                if let Ok(text) = std::fs::read(&ready) {
                    return serde_json::from_slice::<serde_json::Value>(&text).unwrap();
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let ready_report = timeout(TEST_TIMEOUT, ready_report)
            .await
            .expect("the dispatcher did not listen in time");
        Self {
            child,
            http: ready_report["http"].as_str().unwrap().parse().unwrap(),
        }
    }

    async fn get(&self, path: &str) -> String {
        let mut socket = TcpStream::connect(self.http).await.unwrap();
        send_get(&mut socket, path).await;
        let mut text = String::new();
        timeout(TEST_TIMEOUT, socket.read_to_string(&mut text))
            .await
            .expect("no response in time")
            .unwrap();
        text
    }

    fn signal(&self, name: &str) {
        assert!(Command::new("kill")
            .arg(name)
            .arg(self.child.id().to_string())
            .status()
            .unwrap()
            .success());
    }
}

async fn send_get(socket: &mut TcpStream, path: &str) {
    let text = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    socket.write_all(text.as_bytes()).await.unwrap();
}

/// Requested objects with the maximum accepted age of a copy in microseconds.
type AcceptedAges = mpsc::UnboundedReceiver<(String, u64)>;

/// Requests a new object each time until `is_wanted` holds for the accepted age.
async fn request_until(
    name: &str,
    dispatcher: &Dispatcher,
    ages: &mut AcceptedAges,
    is_wanted: impl Fn(u64) -> bool,
) {
    let age_reached = async {
        for n in 0.. {
            if dispatcher
                .get(&format!("/page/{name}-{n}"))
                .await
                .starts_with("HTTP/1.1 200")
            {
                let (_, age) = ages.recv().await.unwrap();
                if is_wanted(age) {
                    return;
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TEST_TIMEOUT, age_reached)
        .await
        .unwrap_or_else(|_| panic!("{name}: the accepted age was not as expected in time"));
}

async fn purge(etcd: SocketAddr) -> Output {
    let at = format!("http://{etcd}");
    let run = move || {
        let args = [
            "purge",
            "--etcd",
            &at,
            "--prefix",
            ETCD_PREFIX,
            "--object",
            "/page/x",
            "--wait",
        ];
        Command::new(env!("CARGO_BIN_EXE_pointspindle"))
            .args(args)
            .output()
            .unwrap()
    };
    tokio::task::spawn_blocking(run).await.unwrap()
}

/// Purges until a dispatcher is registered: after a partition, a dispatcher may have its proof before its registration.
async fn purge_once_registered(etcd: SocketAddr) -> Output {
    loop {
        let output = purge(etcd).await;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        if !text.contains("0 of 0 dispatchers") {
            return output;
        }
    }
}

/// A dispatcher with a purge time limit of 1.5 s, the etcd that it watches, and its cache host.
struct Platform {
    etcd: EtcdEmulator,
    etcd_address: SocketAddr,
    ages: AcceptedAges,
    folder: tempfile::TempDir,
    dispatcher: Dispatcher,
}

impl Platform {
    async fn start() -> Self {
        let etcd = EtcdEmulator::new(None);
        let etcd_address = etcd.listen().await.unwrap();
        let (cache_host, ages) = cache_host().await;
        register(etcd_address, cache_host).await;
        let folder = tempfile::tempdir().unwrap();
        let dispatcher =
            Dispatcher::start(folder.path(), "one", etcd_address, PURGE_WITHIN_MS).await;
        Self {
            etcd,
            etcd_address,
            ages,
            folder,
            dispatcher,
        }
    }

    /// Requests until the accepted age shows that the dispatcher has proof of knowing all purges.
    async fn wait_until_proven(&mut self, name: &str) {
        let is_proven = |age| age > MAX_UNPROVEN_AGE_US;
        request_until(name, &self.dispatcher, &mut self.ages, is_proven).await;
    }

    fn partition(&self) {
        self.etcd.set_faults(|faults| faults.silent = true);
    }

    fn heal(&self) {
        self.etcd.set_faults(|faults| faults.silent = false);
    }
}

/// Registers a cache host in etcd.
async fn register(etcd: SocketAddr, cache_host: SocketAddr) {
    let access = EtcdAccess {
        endpoints: vec![format!("http://{etcd}")],
        ..Default::default()
    };
    let client = Etcd::new(&access, Duration::from_secs(5)).unwrap();
    let record = MemberRecord {
        state: EndpointState::Ready,
        weight: 50.0,
        zone: "b".into(),
        kind: "cache".into(),
        cell: 0,
        start: 1,
        started_unix_ms: None,
    };
    writer::update_member(&client, ETCD_PREFIX, &cache_host.to_string(), |_| {
        Ok(Some(record.clone()))
    })
    .await
    .unwrap();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn dispatcher_without_proof_of_purges_limits_copy_ages_by_itself() {
    let mut platform = Platform::start().await;
    platform.wait_until_proven("proven").await;
    check_partition(&mut platform).await;
    check_pause_during_partition(&mut platform).await;
    check_start_during_partition(&mut platform).await;
    check_purge_confirmation(&mut platform).await;
}

/// During a partition the connections to etcd stay open and carry no data.
async fn check_partition(platform: &mut Platform) {
    platform.partition();
    request_until("cut", &platform.dispatcher, &mut platform.ages, |age| {
        age > 0 && age <= MAX_UNPROVEN_AGE_US
    })
    .await;
    let exempt = platform.dispatcher.get("/spared/1").await;
    assert!(exempt.starts_with("HTTP/1.1 200"), "{exempt}");
    assert!(
        platform.ages.recv().await.unwrap().1 > MAX_UNPROVEN_AGE_US,
        "a class with `purge_exempt` must not limit the age"
    );
    platform.heal();
    platform.wait_until_proven("back").await;
}

/// The dispatcher is stopped for longer than its proof is valid. The first request afterwards accepts no older copy.
async fn check_pause_during_partition(platform: &mut Platform) {
    let mut first = TcpStream::connect(platform.dispatcher.http).await.unwrap();
    platform.dispatcher.signal("-STOP");
    platform.partition();
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    send_get(&mut first, "/page/woken").await;
    platform.dispatcher.signal("-CONT");
    let mut text = String::new();
    timeout(TEST_TIMEOUT, first.read_to_string(&mut text))
        .await
        .expect("no response in time")
        .unwrap();
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    let (object, age) = platform.ages.recv().await.unwrap();
    assert!(
        object.contains("woken") && age > 0 && age <= MAX_UNPROVEN_AGE_US,
        "{object} {age}"
    );
}

/// A dispatcher is started during a partition, with the endpoint list of its state file.
async fn check_start_during_partition(platform: &mut Platform) {
    let late = Dispatcher::start(
        platform.folder.path(),
        "late",
        platform.etcd_address,
        PURGE_WITHIN_MS,
    )
    .await;
    request_until("late", &late, &mut platform.ages, |age| age > 0).await;
    let answer = late.get("/page/late").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let (_, age) = platform.ages.recv().await.unwrap();
    assert!(age > 0 && age <= MAX_UNPROVEN_AGE_US, "{age}");
    platform.heal();
    request_until("late-back", &late, &mut platform.ages, |age| {
        age > MAX_UNPROVEN_AGE_US
    })
    .await;
}

/// `purge --wait` reports when a purge is in force everywhere, and names a dispatcher without a time limit for purges.
async fn check_purge_confirmation(platform: &mut Platform) {
    let output = timeout(TEST_TIMEOUT, purge_once_registered(platform.etcd_address))
        .await
        .expect("no dispatcher was registered in time");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
        output.status.success() && text.contains("in force everywhere"),
        "{text}"
    );
    assert!(text.contains("within 1500 ms"), "{text}");
    let old = Dispatcher::start(platform.folder.path(), "old", platform.etcd_address, 0).await;
    request_until("old", &old, &mut platform.ages, |age| {
        age > MAX_UNPROVEN_AGE_US
    })
    .await;
    let registered = async {
        loop {
            let output = purge(platform.etcd_address).await;
            let text = String::from_utf8_lossy(&output.stdout).into_owned();
            if output.status.code() == Some(1) {
                return text;
            }
            assert!(text.contains("in force everywhere"), "{text}");
        }
    };
    let text = timeout(TEST_TIMEOUT, registered)
        .await
        .expect("the dispatcher did not register in time");
    assert!(
        text.contains("no time can be told") && text.contains("old"),
        "{text}"
    );
}
