//! Measures a server at each step of the number of idle connections.
use super::connections::{open_up_to, IdleConnection};
use super::load::{run_load, LoadResult};
use super::plan::IdlePlan;
use super::process_usage::{cpu_time, kernel_tcp_bytes, resident_bytes};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The time for new connections to settle before memory is read.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// How long processor time is measured while there are no requests.
const IDLE_CPU_WINDOW: Duration = Duration::from_secs(1);

/// The measurement of one step. The serialized names are those of the report's JSON.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct IdleStep {
    /// The protocol of the idle connections.
    pub protocol: String,
    /// Number of open idle connections.
    #[serde(rename = "idle")]
    pub idle_connections: usize,
    /// Connections opened per second, including one request on each.
    #[serde(rename = "made_per_s")]
    pub opened_per_s: f64,
    /// Resident memory of the server's process, in bytes.
    #[serde(rename = "program")]
    pub process_memory_bytes: u64,
    /// Memory of all TCP buffers in the kernel of this machine, in bytes.
    #[serde(rename = "kernel")]
    pub kernel_tcp_bytes: u64,
    /// Share of a processor core that the server uses while there are no requests.
    #[serde(rename = "idle_cpu")]
    pub idle_cpu_share: f64,
    /// Requests of the steady load that were served.
    pub requests: u64,
    /// Requests of the steady load that were not served.
    pub failed: u64,
    /// Median response time of the steady load, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the response time of the steady load, in microseconds.
    pub p99_us: u64,
    /// Longest response time of the steady load, in microseconds.
    #[serde(rename = "most_us")]
    pub max_us: u64,
}

/// The reason for which a measurement ended before its last step, if it did.
pub type StopReason = Option<String>;

/// Measures each step; ends after a step whose number of connections could not be opened. Calls `on_step` after each
/// step.
pub async fn measure(
    plan: IdlePlan,
    mut on_step: impl FnMut(&IdleStep),
) -> (Vec<IdleStep>, StopReason) {
    let plan = Arc::new(plan);
    let mut connections = Vec::new();
    let mut steps = Vec::new();
    let mut stopped = None;
    for target_count in plan.steps.clone() {
        let open_before = connections.len();
        let started_at = Instant::now();
        stopped = open_up_to(&mut connections, target_count, &plan)
            .await
            .err();
        let opened = connections.len() - open_before;
        let opened_per_s = opened as f64 / started_at.elapsed().as_secs_f64().max(1e-6);
        let step = measure_step(&plan, connections.len(), opened_per_s).await;
        on_step(&step);
        steps.push(step);
        if stopped.is_some() {
            break;
        }
    }
    connections.into_iter().for_each(IdleConnection::close);
    (steps, stopped)
}

async fn measure_step(
    plan: &Arc<IdlePlan>,
    idle_connections: usize,
    opened_per_s: f64,
) -> IdleStep {
    tokio::time::sleep(SETTLE_TIME).await;
    let process_memory_bytes = resident_bytes(plan.pid);
    let kernel_tcp_bytes = kernel_tcp_bytes();
    let idle_cpu_share = idle_cpu_share(plan.pid).await;
    let LoadResult {
        response_times,
        failed,
    } = run_load(plan).await;
    let protocol = match plan.framed {
        Some(_) => "framed",
        None => "HTTP",
    };
    IdleStep {
        protocol: protocol.into(),
        idle_connections,
        opened_per_s,
        process_memory_bytes,
        kernel_tcp_bytes,
        idle_cpu_share,
        requests: response_times.len(),
        failed,
        p50_us: response_times.value_at_quantile(0.5),
        p99_us: response_times.value_at_quantile(0.99),
        max_us: response_times.max(),
    }
}

async fn idle_cpu_share(pid: u32) -> f64 {
    let started_at = Instant::now();
    let used_before = cpu_time(pid);
    tokio::time::sleep(IDLE_CPU_WINDOW).await;
    let used = cpu_time(pid) - used_before;
    used.as_secs_f64() / started_at.elapsed().as_secs_f64()
}

/// Returns the growth of a measured value for each further connection: the slope of the least-squares line through the
/// steps.
pub fn growth_per_connection(steps: &[IdleStep], value: impl Fn(&IdleStep) -> u64) -> f64 {
    let count = (steps.len() as f64).max(1.0);
    let mean_idle = steps
        .iter()
        .map(|step| step.idle_connections as f64)
        .sum::<f64>()
        / count;
    let mean_value = steps.iter().map(|step| value(step) as f64).sum::<f64>() / count;
    let mut covariance = 0.0;
    let mut variance = 0.0;
    for step in steps {
        let idle_deviation = step.idle_connections as f64 - mean_idle;
        covariance += idle_deviation * (value(step) as f64 - mean_value);
        variance += idle_deviation.powi(2);
    }
    covariance / f64::max(variance, 1e-9)
}
