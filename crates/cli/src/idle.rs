//! `pointspindle lab idle`.
use crate::Failure;
use pointspindle_report::html;
use pointspindle_testbed::demo;
use pointspindle_testbed::idle::{expiry, measure, slope, Plan, Step};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Of the embedded fleet.
const OBJECT: &str = "/page/welcome";
/// Descriptors that a process needs beside its connections.
const SPARE: usize = 400;

#[derive(clap::Args)]
pub struct IdleArguments {
    /// Connections at each step; the last one is what the limit of descriptors leaves, if that is less.
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "0,1000,5000,10000,20000,50000,100000"
    )]
    steps: Vec<usize>,
    /// Requests a second beside them.
    #[arg(long, default_value_t = 1_000.0)]
    rate: f64,
    /// Seconds of that at each step.
    #[arg(long, default_value_t = 4.0)]
    seconds: f64,
    /// Worker threads of the dispatcher.
    #[arg(long, default_value_t = 1)]
    threads: usize,
    /// Figures and a page with plots go here.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Measure another HTTP server at this address instead, with --pid and --path.
    #[arg(long, requires_all = ["pid", "path"])]
    server: Option<SocketAddr>,
    #[arg(long)]
    pid: Option<u32>,
    #[arg(long)]
    path: Option<String>,
}

/// The dispatcher under measure; ends with its handle.
struct Server {
    child: Child,
    http: SocketAddr,
    framed: SocketAddr,
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

async fn start(
    folder: &Path,
    members: &str,
    threads: usize,
    idle_ms: u64,
) -> Result<Server, Failure> {
    let (file, ready) = (
        folder.join(format!("idle-{idle_ms}.ini")),
        folder.join(format!("ready-{idle_ms}")),
    );
    let text = format!(
        "[dispatcher]\nzone = branch\nnumber = 0\n[listen]\nhttp = 127.0.0.1:0\nframed = 127.0.0.1:0\n\
         max_connections = 1000000\nidle_ms = {idle_ms}\n[zone hub]\n[zone branch]\ndispatchers = 1\n\
         [class lesson-video]\npath_prefix = /video/\n[class test-page]\npath_prefix = /\n{members}"
    );
    std::fs::write(&file, text)?;
    let _ = std::fs::remove_file(&ready);
    let mut command = Command::new(std::env::current_exe()?);
    command.env("TOKIO_WORKER_THREADS", threads.max(1).to_string());
    command
        .args(["--log", "error", "serve"])
        .arg(&file)
        .arg("--ready-file")
        .arg(&ready);
    let mut child = command.stdout(Stdio::null()).spawn()?;
    let began = std::time::Instant::now();
    while !ready.exists() {
        if began.elapsed() > Duration::from_secs(10) || child.try_wait()?.is_some() {
            let _ = child.kill();
            return Err(Failure::CannotRun("the dispatcher does not start".into()));
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let bound: serde_json::Value = serde_json::from_slice(&std::fs::read(&ready)?)?;
    let at = |door: &str| bound[door].as_str().and_then(|a| a.parse().ok());
    match (at("http"), at("framed")) {
        (Some(http), Some(framed)) => Ok(Server {
            child,
            http,
            framed,
        }),
        _ => Err(Failure::CannotRun(
            "the dispatcher does not tell its doors".into(),
        )),
    }
}

fn line(s: &Step) {
    println!(
        "{:<7} {:>8} {:>9.0} {:>9.1} {:>10.1} {:>9.3} {:>9} {:>7} {:>8} {:>8}",
        s.protocol,
        s.idle,
        s.made_per_s,
        s.program as f64 / 1048576.0,
        s.kernel as f64 / 1048576.0,
        s.idle_cpu,
        s.requests,
        s.failed,
        s.p50_us,
        s.p99_us
    );
}

pub async fn idle(a: IdleArguments) -> Result<(), Failure> {
    crate::serve::descriptors();
    let (soft, _) = rlimit::getrlimit(rlimit::Resource::NOFILE)?;
    let most = (soft as usize).saturating_sub(SPARE);
    let mut steps: Vec<usize> = a.steps.iter().copied().filter(|n| *n <= most).collect();
    if steps.len() < a.steps.len() {
        println!("{soft} descriptors a process: the last step is {most} connections");
        steps.push(most);
    }
    let length = Duration::from_secs_f64(a.seconds.clamp(0.5, 600.0));
    let folder = tempfile::tempdir()?;
    let (_stage, lines) = demo::start(["lesson-video", "test-page"], ["hub", "branch"]).await?;
    let members = crate::serve::sections(&lines);
    println!(
        "{:<7} {:>8} {:>9} {:>9} {:>10} {:>9} {:>9} {:>7} {:>8} {:>8}",
        "door",
        "idle",
        "made/s",
        "program",
        "kernel MiB",
        "idle CPU",
        "requests",
        "failed",
        "p50 us",
        "p99 us"
    );
    let plan = |http, framed, pid, path: &str| Plan {
        http,
        framed,
        pid,
        path: path.to_owned(),
        steps: steps.clone(),
        rate: a.rate,
        length,
    };
    let mut all: Vec<Vec<Step>> = Vec::new();
    if let (Some(http), Some(pid), Some(path)) = (a.server, a.pid, &a.path) {
        let (steps, stopped) = measure(plan(http, None, pid, path), line).await;
        say(&steps, stopped.as_deref());
        all.push(steps);
    } else {
        for framed in [false, true] {
            let server = start(folder.path(), &members, a.threads, 3_600_000).await?;
            let door = framed.then(|| (server.framed, "test-page".to_owned()));
            let (steps, stopped) =
                measure(plan(server.http, door, server.child.id(), OBJECT), line).await;
            say(&steps, stopped.as_deref());
            all.push(steps);
        }
        let crowd = steps.iter().copied().max().unwrap_or(0).clamp(1, 10_000);
        let idle_ms = 3_000 + crowd as u64 / 2;
        let server = start(folder.path(), &members, a.threads, idle_ms).await?;
        let plan = Plan {
            length: Duration::from_millis(idle_ms + 3_000),
            ..plan(server.http, None, 0, OBJECT)
        };
        let e = expiry(plan, crowd, Duration::from_millis(idle_ms)).await?;
        println!(
            "{} fell idle within moments: closed at most {:.0} ms after their time (99 of 100 within {:.0}); {} requests meanwhile, {} failed, p99 {} us, longest {} us",
            e.connections, e.latest_ms, e.late_p99_ms, e.requests, e.failed, e.p99_us, e.most_us
        );
    }
    if let Some(out) = &a.out {
        std::fs::create_dir_all(out)?;
        std::fs::write(out.join("idle.json"), serde_json::to_vec_pretty(&all)?)?;
        std::fs::write(out.join("idle.html"), html::idle(&all)?)?;
        println!("{}", out.join("idle.html").display());
    }
    Ok(())
}

fn say(steps: &[Step], stopped: Option<&str>) {
    if let Some(why) = stopped {
        println!("stopped {why}");
    }
    if let (Some(first), Some(last)) = (steps.first(), steps.last()) {
        let (program, kernel) = (slope(steps, |s| s.program), slope(steps, |s| s.kernel));
        println!(
            "a line through the steps: {program:.0} bytes of the program and {kernel:.0} of the kernel's buffers a connection; p99 with the most {:.2} times that with the fewest",
            last.p99_us as f64 / first.p99_us.max(1) as f64
        );
    }
}
