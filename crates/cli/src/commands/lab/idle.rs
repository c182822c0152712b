//! The `pointspindle lab idle` command.
use crate::embedded_fleet;
use crate::output::idle_table::{print_expiry, print_header, print_step, print_summary};
use crate::process::raise_descriptor_limit;
use pointspindle_cli::exit::{CommandError, CommandResult};
use pointspindle_report::html;
use pointspindle_testbed::idle::{measure, measure_expiry, IdlePlan, IdleStep};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Requested object of the embedded fleet, and its class.
const OBJECT: &str = "/page/welcome";
const CLASS: &str = "test-page";
/// Number of file descriptors that a process needs besides its connections.
const SPARE_DESCRIPTORS: usize = 400;
/// Bounds of the duration of the requests at each step, in seconds.
const MIN_SECONDS: f64 = 0.5;
const MAX_SECONDS: f64 = 600.0;
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle timeout of a dispatcher whose idle connections must not expire, in milliseconds.
const NO_EXPIRY_MS: u64 = 3_600_000;
/// Maximum number of connections that expire together.
const MAX_EXPIRING: usize = 10_000;
/// Time beyond the idle timeout for which expiry is observed, in milliseconds.
const EXPIRY_MARGIN_MS: u64 = 3_000;

/// Arguments of `lab idle`.
#[derive(clap::Args)]
pub struct IdleArguments {
    /// Numbers of connections, one for each step; the descriptor limit replaces those above it by one last step.
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "0,1000,5000,10000,20000,50000,100000"
    )]
    steps: Vec<usize>,
    /// Requests per second beside the idle connections.
    #[arg(long, default_value_t = 1_000.0)]
    rate: f64,
    /// Duration of the requests at each step, in seconds.
    #[arg(long, default_value_t = 4.0)]
    seconds: f64,
    /// Number of worker threads of the dispatcher.
    #[arg(long, default_value_t = 1)]
    threads: usize,
    /// Folder for the figures and a page with plots.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Measure another HTTP server at this address instead; requires --pid and --path.
    #[arg(long, requires_all = ["pid", "path"])]
    server: Option<SocketAddr>,
    /// Process ID of that server.
    #[arg(long)]
    pid: Option<u32>,
    /// Path to request from that server.
    #[arg(long)]
    path: Option<String>,
}

/// Measures idle connections step by step and, for a dispatcher, how they expire.
pub async fn idle(arguments: IdleArguments) -> CommandResult {
    raise_descriptor_limit();
    let measurement = Measurement {
        steps: allowed_steps(&arguments.steps)?,
        rate: arguments.rate,
        step_length: Duration::from_secs_f64(arguments.seconds.clamp(MIN_SECONDS, MAX_SECONDS)),
    };
    let other_server = arguments
        .server
        .zip(arguments.pid)
        .zip(arguments.path.clone());
    let measured = match other_server {
        Some(((http, pid), path)) => {
            print_header();
            let plan = measurement.plan(http, None, pid, path);
            vec![measure_steps(plan).await]
        }
        None => measure_dispatcher(&measurement, arguments.threads).await?,
    };
    if let Some(out) = &arguments.out {
        std::fs::create_dir_all(out)?;
        std::fs::write(out.join("idle.json"), serde_json::to_vec_pretty(&measured)?)?;
        std::fs::write(out.join("idle.html"), html::idle(&measured)?)?;
        println!("{}", out.join("idle.html").display());
    }
    Ok(())
}

/// Returns the steps that the limit of file descriptors allows.
fn allowed_steps(requested: &[usize]) -> std::io::Result<Vec<usize>> {
    let (soft_limit, _) = rlimit::getrlimit(rlimit::Resource::NOFILE)?;
    let max_connections = (soft_limit as usize).saturating_sub(SPARE_DESCRIPTORS);
    let mut steps: Vec<usize> = requested
        .iter()
        .copied()
        .filter(|connections| *connections <= max_connections)
        .collect();
    if steps.len() < requested.len() {
        println!("descriptor limit {soft_limit}: the last step has {max_connections} connections");
        steps.push(max_connections);
    }
    Ok(steps)
}

/// Parameters of the measurement of each server.
struct Measurement {
    steps: Vec<usize>,
    /// Requests per second.
    rate: f64,
    step_length: Duration,
}

impl Measurement {
    fn plan(
        &self,
        http: SocketAddr,
        framed: Option<(SocketAddr, String)>,
        pid: u32,
        path: String,
    ) -> IdlePlan {
        IdlePlan {
            http_address: http,
            framed,
            pid,
            path,
            steps: self.steps.clone(),
            requests_per_second: self.rate,
            load_duration: self.step_length,
        }
    }
}

/// Measures a dispatcher over both protocols, then how its idle connections expire.
async fn measure_dispatcher(
    measurement: &Measurement,
    threads: usize,
) -> Result<Vec<Vec<IdleStep>>, CommandError> {
    let folder = tempfile::tempdir()?;
    let (_hosts, endpoints) = embedded_fleet::start_hosts().await?;
    let sections = embedded_fleet::endpoint_sections(&endpoints);
    let start = |idle_ms| DispatcherProcess::start(folder.path(), &sections, threads, idle_ms);
    print_header();
    let mut measured = Vec::new();
    for is_framed in [false, true] {
        let dispatcher = start(NO_EXPIRY_MS).await?;
        let framed = is_framed.then(|| (dispatcher.framed, CLASS.to_owned()));
        let pid = dispatcher.child.id();
        let plan = measurement.plan(dispatcher.http, framed, pid, OBJECT.to_owned());
        measured.push(measure_steps(plan).await);
    }
    let largest_step = measurement.steps.iter().copied().max().unwrap_or(0);
    let connections = largest_step.clamp(1, MAX_EXPIRING);
    let idle_ms = 3_000 + connections as u64 / 2;
    let dispatcher = start(idle_ms).await?;
    let plan = IdlePlan {
        load_duration: Duration::from_millis(idle_ms + EXPIRY_MARGIN_MS),
        ..measurement.plan(dispatcher.http, None, 0, OBJECT.to_owned())
    };
    let expired = measure_expiry(plan, connections, Duration::from_millis(idle_ms)).await?;
    print_expiry(&expired);
    Ok(measured)
}

async fn measure_steps(plan: IdlePlan) -> Vec<IdleStep> {
    let (steps, stopped) = measure(plan, print_step).await;
    print_summary(&steps, stopped.as_deref());
    steps
}

/// Process of the measured dispatcher; dropping it kills the process.
struct DispatcherProcess {
    child: Child,
    http: SocketAddr,
    framed: SocketAddr,
}

impl Drop for DispatcherProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl DispatcherProcess {
    /// Starts a dispatcher that closes connections after they have been idle for `idle_ms`.
    async fn start(
        folder: &Path,
        endpoint_sections: &str,
        threads: usize,
        idle_ms: u64,
    ) -> Result<Self, CommandError> {
        let settings = folder.join(format!("idle-{idle_ms}.ini"));
        let ready = folder.join(format!("ready-{idle_ms}"));
        let text = format!(
            "[dispatcher]\nzone = branch\nnumber = 0\n[listen]\nhttp = 127.0.0.1:0\nframed = 127.0.0.1:0\n\
             max_connections = 1000000\nidle_ms = {idle_ms}\n[zone hub]\n[zone branch]\ndispatchers = 1\n\
             [class lesson-video]\npath_prefix = /video/\n[class {CLASS}]\npath_prefix = /\n{endpoint_sections}"
        );
        std::fs::write(&settings, text)?;
        let _ = std::fs::remove_file(&ready);
        let mut child = Command::new(std::env::current_exe()?)
            .env("TOKIO_WORKER_THREADS", threads.max(1).to_string())
            .args(["--log", "error", "serve"])
            .arg(&settings)
            .arg("--ready-file")
            .arg(&ready)
            .stdout(Stdio::null())
            .spawn()?;
        wait_until_ready(&mut child, &ready).await?;
        let bound: serde_json::Value = serde_json::from_slice(&std::fs::read(&ready)?)?;
        let address = |listener: &str| bound[listener].as_str().and_then(|text| text.parse().ok());
        match (address("http"), address("framed")) {
            (Some(http), Some(framed)) => Ok(Self {
                child,
                http,
                framed,
            }),
            _ => Err(CommandError::CannotRun(
                "the ready file of the dispatcher lacks the http or framed address".into(),
            )),
        }
    }
}

async fn wait_until_ready(child: &mut Child, ready: &Path) -> CommandResult {
    let started = Instant::now();
    while !ready.exists() {
        if started.elapsed() > START_TIMEOUT || child.try_wait()?.is_some() {
            let _ = child.kill();
            return Err(CommandError::CannotRun(
                "the dispatcher exited or did not become ready in time".into(),
            ));
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}
