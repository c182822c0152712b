//! Start of the process: its configuration, its first health check and the resources that it uses.
use crate::support::*;
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::timeout;

/// The health check succeeds once there is an endpoint to forward to.
#[tokio::test]
async fn health_check_succeeds_once_an_endpoint_list_is_known() {
    let mut discovery = DiscoveryServer::start().await;
    let without_endpoints =
        |address| with_known(&configuration(address, discovery.address, &[]), "");
    let dispatcher = DispatcherProcess::spawn(without_endpoints).await;
    assert_eq!(dispatcher.health_status().await, 503);
    let cache = ScriptedCacheHost::start_serving("good").await;
    let stream = discovery.next_poll().await;
    assert_eq!(stream.last_event_id, 0);
    let endpoints = [endpoint_entry("s-1", cache.address, "box", "Ready")];
    let complete_list = endpoint_list(1, true, &endpoints);
    stream.send(discovery_event(1, &complete_list));
    let ready = async {
        while dispatcher.health_status().await != 200 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(TEST_TIMEOUT, ready)
        .await
        .expect("the dispatcher was not ready in time");
}

/// The dispatcher uses nothing that the platform forbids, as far as this is visible from outside while requests
/// are served: other processes, further listeners, named Unix sockets, IPv6, io_uring, a program that is not
/// linked against the system's C library. (The result of a forbidden call can only be tested on the platform.)
#[tokio::test]
async fn dispatcher_is_one_process_with_one_listener_and_no_forbidden_resource() {
    let platform = TwoEndpointPlatform::start(|id, _| served_reply(id, "good")).await;
    let mut client = FastCgiClient::connect(platform.dispatcher.address).await;
    for id in 1..50 {
        client.request_page(id, &[]).await;
        assert_eq!(client.response(id).await.status, 200);
    }
    let process = ProcessFiles::of(&platform.dispatcher);
    process.assert_linked_against_the_c_library();
    process.assert_one_thread_and_no_children();
    let sockets = process.socket_inodes();
    let tcp = process.sockets_in("net/tcp", TCP_INODE_COLUMN, &sockets);
    let listening = tcp
        .iter()
        .filter(|row| row[TCP_STATE_COLUMN] == TCP_STATE_LISTEN)
        .count();
    assert!(listening == 1 && tcp.len() >= 4, "{tcp:?}");
    let tcp6 = process.sockets_in("net/tcp6", TCP_INODE_COLUMN, &sockets);
    let udp6 = process.sockets_in("net/udp6", TCP_INODE_COLUMN, &sockets);
    assert!(tcp6.is_empty() && udp6.is_empty());
    let unix = process.sockets_in("net/unix", UNIX_INODE_COLUMN, &sockets);
    assert!(
        unix.iter().all(|row| row.len() <= UNIX_NAME_COLUMN),
        "a Unix socket has a name"
    );
}

// Columns of the tables of proc_pid_net(5), from 0.
const TCP_STATE_COLUMN: usize = 3;
const TCP_INODE_COLUMN: usize = 9;
const UNIX_INODE_COLUMN: usize = 6;
const UNIX_NAME_COLUMN: usize = 7;
/// The state of a listening socket in `net/tcp`.
const TCP_STATE_LISTEN: &str = "0A";

/// The files of a process under `/proc`.
struct ProcessFiles {
    folder: PathBuf,
}

impl ProcessFiles {
    fn of(dispatcher: &DispatcherProcess) -> Self {
        let folder = dispatcher.proc_path("");
        Self { folder }
    }

    /// Returns a file's text; empty if the file does not exist.
    fn read(&self, name: &str) -> String {
        std::fs::read_to_string(self.folder.join(name)).unwrap_or_default()
    }

    fn assert_linked_against_the_c_library(&self) {
        let maps = self.read("maps");
        assert!(
            maps.contains("/libc.so") && maps.contains("/ld-linux"),
            "not linked against the C library: {maps}"
        );
    }

    fn assert_one_thread_and_no_children(&self) {
        let mut threads = 0;
        for task in std::fs::read_dir(self.folder.join("task")).unwrap() {
            let id = task.unwrap().file_name().into_string().unwrap();
            assert_eq!(
                self.read(&format!("task/{id}/children")).trim(),
                "",
                "the dispatcher has started another process"
            );
            threads += 1;
        }
        assert_eq!(threads, 1, "more than one thread");
    }

    /// Returns the inodes of all open sockets, and asserts that no descriptor belongs to io_uring.
    fn socket_inodes(&self) -> BTreeSet<String> {
        let mut inodes = BTreeSet::new();
        for descriptor in std::fs::read_dir(self.folder.join("fd")).unwrap() {
            // A descriptor that was closed meanwhile is skipped.
            let Ok(link) = std::fs::read_link(descriptor.unwrap().path()) else {
                continue;
            };
            let link = link.to_string_lossy().into_owned();
            assert!(!link.contains("io_uring"), "{link}");
            let inode = link.strip_prefix("socket:[");
            inodes.extend(inode.map(|inode| inode.trim_end_matches(']').to_owned()));
        }
        inodes
    }

    /// Returns the rows of a table of proc_pid_net(5) that belong to these sockets, split into columns.
    fn sockets_in(
        &self,
        table: &str,
        inode_column: usize,
        inodes: &BTreeSet<String>,
    ) -> Vec<Vec<String>> {
        let text = self.read(table);
        let rows = text
            .lines()
            .skip(1)
            .map(|line| line.split_whitespace().map(str::to_owned).collect());
        rows.filter(|row: &Vec<String>| {
            row.get(inode_column)
                .is_some_and(|inode| inodes.contains(inode))
        })
        .collect()
    }
}

/// A start with an invalid configuration fails with an error that names the file and, where one applies, the key.
#[test]
fn configuration_error_names_the_file_and_the_key() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let start_error = |text: Option<&str>| {
        let _ = std::fs::remove_file(&file);
        if let Some(text) = text {
            std::fs::write(&file, text).unwrap();
        }
        let out = Command::new(env!("CARGO_BIN_EXE_pointspindle"))
            .arg("run")
            .env("BALANCER_CONFIG", &file)
            .output()
            .unwrap();
        assert!(!out.status.success());
        let text = String::from_utf8(out.stderr).unwrap();
        assert!(
            text.contains("config.json") && !text.contains("panicked"),
            "{text}"
        );
        text
    };
    start_error(None);
    assert!(start_error(Some("{\"name\":\"n0\"}")).contains("listen"));
    let address = ([127, 0, 0, 1], 1).into();
    let valid = configuration(address, address, &[]);
    assert!(
        start_error(Some(&valid.replace("\"Zone\":1", "\"Zone\":9"))).contains("settings.Zone")
    );
    assert!(start_error(Some(
        &valid.replace("127.0.0.1:1\",\"seed", "nowhere\",\"seed")
    ))
    .contains("listen"));
}

/// Dispatchers are started while discovery is down, silent or behind, with a revision in `known` ahead of the
/// server's. Each passes its health check and serves. The start times are printed and not checked.
#[tokio::test]
async fn restarted_dispatcher_becomes_ready_while_discovery_is_unavailable() {
    let silent = ManualCacheHost::start().await;
    let behind = DiscoveryServer::start().await;
    let cache = ScriptedCacheHost::start_serving("good").await;
    let endpoints = [endpoint_entry("s-1", cache.address, "box", "Ready")];
    let servers = [
        ("down", refusing_address()),
        ("silent", silent.address),
        ("behind", behind.address),
    ];
    for (state, discovery) in servers {
        let mut starting = JoinSet::new();
        for _ in 0..10 {
            let endpoints = endpoints.clone();
            starting.spawn(async move {
                let started_at = Instant::now();
                // The revision is ahead of the events that the server will send.
                let known = |address| {
                    configuration(address, discovery, &endpoints).replace("\"rev\":1", "\"rev\":7")
                };
                let dispatcher = DispatcherProcess::spawn(known).await;
                while dispatcher.health_status().await != 200 {}
                let ready = started_at.elapsed();
                let mut client = FastCgiClient::connect(dispatcher.address).await;
                client.request_page(1, &[]).await;
                assert_eq!(client.response(1).await.body, b"good");
                ready
            });
        }
        let mut ready = Vec::new();
        while let Some(result) = timeout(TEST_TIMEOUT, starting.join_next())
            .await
            .expect("a dispatcher was not ready in time")
        {
            ready.push(result.unwrap().as_millis());
        }
        ready.sort();
        println!("discovery {state}: start to ready, ms: {ready:?}");
        assert_eq!(ready.len(), 10);
    }
}

/// Guards against health checks that a socket of the test itself accepts: no connection reaches an address that was only
/// just chosen, while child processes, which inherit open sockets until their exec, are being started.
#[test]
fn unused_addresses_refuse_connections_while_processes_are_started() {
    const THREADS: usize = 8;
    const PROBES: usize = 50;
    let probe = || {
        let is_accepted = || std::net::TcpStream::connect(unused_address()).is_ok();
        (0..PROBES)
            .filter(|_| {
                let mut child = start_short_process();
                let is_accepted = (0..CONNECTS_PER_PROCESS).any(|_| is_accepted());
                child.wait().unwrap();
                is_accepted
            })
            .count()
    };
    let accepted: usize = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(probe)).collect();
        threads.into_iter().map(|t| t.join().unwrap()).sum()
    });
    assert_eq!(accepted, 0, "connections to addresses without a listener");
}

const CONNECTS_PER_PROCESS: usize = 20;

/// Starts a process that ends at once.
fn start_short_process() -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pointspindle"));
    command.arg("--version").stdout(Stdio::null());
    command.spawn().unwrap()
}
