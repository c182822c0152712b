//! Many idle connections at one server, and what requests beside them pay.
//!
//! Opens connections step by step, each used once as a learner's page is and then left; at each step measures the server's
//! memory, the kernel's, the CPU that idling takes, and the times of a steady open-loop load. Any HTTP server whose
//! process number is known can be measured, so that a plain one can stand beside the dispatcher in the same run.
use crate::day::http_client::Connection;
use hdrhistogram::Histogram;
use pointspindle_protocol::http::HttpEvent;
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::RequestHead;
use pointspindle_transport::{CallEnd, ConnectionOptions, FramedConnection, ResponsePart};
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;

/// Connections made at once: more would meet the limits of the members behind, which are not what is measured.
const AT_ONCE: usize = 24;
/// Connections of the steady load.
const ACTIVE: usize = 16;
/// Source addresses in use, so that ports do not run out.
const SOURCES: usize = 8;

/// A first request is tried so often, so long apart.
const TRIES: u32 = 20;
const COME_BACK: Duration = Duration::from_millis(50);

/// What is measured, and how.
#[derive(Clone, Debug)]
pub struct Plan {
    pub http: SocketAddr,
    /// The framed door, and the class that the object is of: then the idle connections are framed.
    pub framed: Option<(SocketAddr, String)>,
    /// The server's process.
    pub pid: u32,
    /// An object that it serves.
    pub path: String,
    /// Idle connections at each step, growing.
    pub steps: Vec<usize>,
    /// Requests a second beside them, and for how long at each step.
    pub rate: f64,
    pub length: Duration,
}

/// One step.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    pub protocol: String,
    /// Idle connections that are really open.
    pub idle: usize,
    /// Connections a second while they were made, each with one request.
    pub made_per_s: f64,
    /// Resident memory of the process, and what the kernel holds for TCP on the whole machine, in bytes.
    pub program: u64,
    pub kernel: u64,
    /// Share of a core while nothing is asked.
    pub idle_cpu: f64,
    pub requests: u64,
    pub failed: u64,
    pub p50_us: u64,
    pub p99_us: u64,
    pub most_us: u64,
}

/// Why it stopped before its last step, if it did.
pub type Stopped = Option<String>;

fn source(n: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 60, (n % SOURCES) as u8, 1))
}

async fn connect(n: usize, to: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(source(n), 0))?;
    socket.connect(to).await
}

/// A connection that was used once, and how many bytes of program and kernel it costs is what is asked.
enum Held {
    Http(Connection),
    Framed(FramedConnection),
}

impl Held {
    async fn open(n: usize, plan: &Plan) -> std::io::Result<Self> {
        let unserved = || std::io::Error::other("its first request was not served");
        let Some((to, class)) = &plan.framed else {
            let mut connection = Connection::over(connect(n, plan.http).await?);
            return ask(&mut connection, &plan.path)
                .await
                .then_some(Self::Http(connection))
                .ok_or_else(unserved);
        };
        let socket = connect(n, *to).await?;
        let (link, mut incoming) =
            FramedConnection::start(socket, Side::Caller, ConnectionOptions::default());
        tokio::spawn(async move { while incoming.next().await.is_some() {} });
        let (object, class) = (plan.path.clone(), class.clone());
        let head = RequestHead {
            object,
            class,
            time_left_us: 10_000_000,
            ..Default::default()
        };
        for _ in 0..TRIES {
            let mut call = link.call(head.clone()).map_err(std::io::Error::other)?;
            while let Some(part) = call.next().await {
                match part {
                    ResponsePart::End(CallEnd::Complete(_)) => return Ok(Self::Framed(link)),
                    ResponsePart::End(_) => break,
                    _ => {}
                }
            }
            tokio::time::sleep(COME_BACK).await;
        }
        Err(unserved())
    }

    fn close(self) {
        match self {
            Self::Http(connection) => drop(connection),
            Self::Framed(link) => link.close("measured"),
        }
    }
}

/// True if it was served whole.
async fn ask(connection: &mut Connection, path: &str) -> bool {
    if connection.ask(path, "idle", 10_000).await.is_err() {
        return false;
    }
    let mut well = false;
    loop {
        match connection.next().await {
            Some(Ok(HttpEvent::Head { status, .. })) => well = status == 200,
            Some(Ok(HttpEvent::Data(_))) => {}
            Some(Ok(HttpEvent::End)) => return well,
            _ => return false,
        }
    }
}

/// Opens so many more; why it stopped, if it did.
async fn open_to(held: &mut Vec<Held>, wanted: usize, plan: &Arc<Plan>) -> Stopped {
    let mut making = JoinSet::new();
    let mut next = held.len();
    loop {
        while making.len() < AT_ONCE && next < wanted {
            let (n, plan) = (next, plan.clone());
            making.spawn(async move {
                let opening = tokio::time::timeout(Duration::from_secs(10), Held::open(n, &plan));
                opening
                    .await
                    .unwrap_or_else(|_| Err(std::io::Error::other("no answer in ten seconds")))
            });
            next += 1;
        }
        match making.join_next().await {
            None => return None,
            Some(Ok(Ok(one))) => held.push(one),
            Some(Ok(Err(e))) => return Some(format!("at {} connections: {e}", held.len())),
            Some(Err(e)) => return Some(e.to_string()),
        }
    }
}

/// A steady load, open loop: times count from when a request was due, so that one that waits for its turn on a connection
/// is not left out.
async fn load(plan: &Arc<Plan>) -> (Histogram<u64>, u64) {
    let (done, mut results) = tokio::sync::mpsc::unbounded_channel::<Option<u64>>();
    let each = Duration::from_secs_f64(ACTIVE as f64 / plan.rate.max(0.1));
    let began = Instant::now() + Duration::from_millis(20);
    let mut loops = JoinSet::new();
    for n in 0..ACTIVE {
        let (plan, done) = (plan.clone(), done.clone());
        loops.spawn(async move {
            let Ok(socket) = connect(n, plan.http).await else {
                return;
            };
            let mut connection = Connection::over(socket);
            let mut due = began + each.mul_f64(n as f64 / ACTIVE as f64);
            while due < began + plan.length {
                tokio::time::sleep_until(due.into()).await;
                let well = ask(&mut connection, &plan.path).await;
                let _ = done.send(well.then(|| due.elapsed().as_micros() as u64));
                if !well {
                    return;
                }
                due += each;
            }
        });
    }
    drop(done);
    let mut times = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("fixed bounds");
    let mut failed = 0;
    while let Some(result) = results.recv().await {
        match result {
            Some(us) => drop(times.record(us.max(1))),
            None => failed += 1,
        }
    }
    (times, failed)
}

fn status_kb(pid: u32, key: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with(key));
    line.and_then(|l| l.split_whitespace().nth(1)?.parse().ok())
        .unwrap_or(0)
}

/// User and system time so far.
fn cpu(pid: u32) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = text
        .rsplit(") ")
        .next()
        .unwrap_or_default()
        .split(' ')
        .collect();
    let ticks = |n: usize| {
        fields
            .get(n)
            .and_then(|f| f.parse::<u64>().ok())
            .unwrap_or(0)
    };
    Duration::from_millis((ticks(11) + ticks(12)) * 10)
}

/// User and system time of a process so far, and its resident memory in bytes.
pub fn usage(pid: u32) -> (Duration, u64) {
    (cpu(pid), status_kb(pid, "VmRSS") * 1024)
}

/// What the kernel holds for sockets: buffers of TCP, in pages of 4 KiB, of the whole machine.
fn kernel() -> u64 {
    let text = std::fs::read_to_string("/proc/net/sockstat").unwrap_or_default();
    let tcp = text
        .lines()
        .find(|l| l.starts_with("TCP:"))
        .unwrap_or_default();
    let pages = tcp.split_whitespace().skip_while(|w| *w != "mem").nth(1);
    pages.and_then(|p| p.parse::<u64>().ok()).unwrap_or(0) * 4096
}

/// All steps, until one cannot be reached; and why not. `told` hears of each step as it is done.
pub async fn measure(plan: Plan, mut told: impl FnMut(&Step)) -> (Vec<Step>, Stopped) {
    let plan = Arc::new(plan);
    let (mut held, mut steps) = (Vec::new(), Vec::new());
    let mut stopped = None;
    for wanted in plan.steps.clone() {
        let (before, began) = (held.len(), Instant::now());
        stopped = open_to(&mut held, wanted, &plan).await;
        let made_per_s = (held.len() - before) as f64 / began.elapsed().as_secs_f64().max(1e-6);
        // What was made has settled when nothing moves any more.
        tokio::time::sleep(Duration::from_millis(300)).await;
        let (program, kernel) = (usage(plan.pid).1, kernel());
        let (at, used) = (Instant::now(), cpu(plan.pid));
        tokio::time::sleep(Duration::from_secs(1)).await;
        let idle_cpu = (cpu(plan.pid) - used).as_secs_f64() / at.elapsed().as_secs_f64();
        let (times, failed) = load(&plan).await;
        let step = Step {
            protocol: if plan.framed.is_some() {
                "framed"
            } else {
                "HTTP"
            }
            .into(),
            idle: held.len(),
            made_per_s,
            program,
            kernel,
            idle_cpu,
            requests: times.len(),
            failed,
            p50_us: times.value_at_quantile(0.5),
            p99_us: times.value_at_quantile(0.99),
            most_us: times.max(),
        };
        told(&step);
        steps.push(step);
        if stopped.is_some() {
            break;
        }
    }
    held.into_iter().for_each(Held::close);
    (steps, stopped)
}

/// Bytes of program memory for each further connection: the slope of a line through the steps, by least squares.
pub fn slope(steps: &[Step], of: impl Fn(&Step) -> u64) -> f64 {
    let n = steps.len() as f64;
    let mean = |f: &dyn Fn(&Step) -> f64| steps.iter().map(f).sum::<f64>() / n.max(1.0);
    let (x, y) = (mean(&|s| s.idle as f64), mean(&|s| of(s) as f64));
    let over: f64 = steps
        .iter()
        .map(|s| (s.idle as f64 - x) * (of(s) as f64 - y))
        .sum();
    let under: f64 = steps.iter().map(|s| (s.idle as f64 - x).powi(2)).sum();
    over / under.max(1e-9)
}

/// How a crowd that fell idle in one moment is worked off.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Expiry {
    pub connections: usize,
    /// How late after its own idle time a connection was closed: the last one of all, and all but one in a hundred.
    pub latest_ms: f64,
    pub late_p99_ms: f64,
    /// Of requests that were asked for meanwhile and just before and after.
    pub requests: u64,
    pub failed: u64,
    pub p99_us: u64,
    pub most_us: u64,
}

/// Opens connections that ask for nothing, as fast as can be, and loads the server until all of them have been closed by
/// it. Its idle time must be longer than it takes to open them and shorter than the plan's length.
pub async fn expiry(plan: Plan, connections: usize, idle: Duration) -> std::io::Result<Expiry> {
    let plan = Arc::new(plan);
    let mut closing = JoinSet::new();
    let mut opening = JoinSet::new();
    for n in 0..connections {
        while opening.len() >= AT_ONCE {
            watch(opening.join_next().await, &mut closing)?;
        }
        opening.spawn(connect(n, plan.http));
    }
    while !opening.is_empty() {
        watch(opening.join_next().await, &mut closing)?;
    }
    let watching = tokio::spawn(async move {
        let mut lives = Vec::new();
        while let Some(life) = closing.join_next().await {
            lives.extend(life);
        }
        lives
    });
    let (times, failed) = load(&plan).await;
    let lives = tokio::time::timeout(Duration::from_secs(5), watching).await;
    let lives =
        lives.map_err(|_| std::io::Error::other("some were not closed by the end of the load"))?;
    let mut late: Vec<Duration> = lives
        .map_err(std::io::Error::other)?
        .into_iter()
        .map(|life| life.saturating_sub(idle))
        .collect();
    late.sort_unstable();
    let ms = |d: Option<&Duration>| d.map_or(0.0, |d| d.as_secs_f64() * 1e3);
    Ok(Expiry {
        connections,
        latest_ms: ms(late.last()),
        late_p99_ms: ms(late.get(late.len() * 99 / 100)),
        requests: times.len(),
        failed,
        p99_us: times.value_at_quantile(0.99),
        most_us: times.max(),
    })
}

type Opened = Option<Result<std::io::Result<TcpStream>, tokio::task::JoinError>>;

/// Waits in the background until the server closes it; how long it lived.
fn watch(opened: Opened, closing: &mut JoinSet<Duration>) -> std::io::Result<()> {
    let Some(opened) = opened else { return Ok(()) };
    let socket = opened.map_err(std::io::Error::other)??;
    let since = Instant::now();
    closing.spawn(async move {
        let _ = socket.readable().await;
        since.elapsed()
    });
    Ok(())
}
