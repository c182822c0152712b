//! Measures how late a server closes many connections that reach their idle timeout at the same time.
use super::connections::{connect, MAX_CONCURRENT_OPENS};
use super::load::{run_load, LoadResult};
use super::plan::IdlePlan;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// The longest wait for the server to close the last connection, counted from the end of the load.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// The measurement of the expiry of idle connections. The serialized names are those of the report's JSON.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ExpiryMeasurement {
    /// Number of connections.
    pub connections: usize,
    /// Greatest delay between the idle timeout of a connection and its close, in milliseconds.
    #[serde(rename = "latest_ms")]
    pub max_lateness_ms: f64,
    /// 99th percentile of the delay between idle timeout and close, in milliseconds.
    #[serde(rename = "late_p99_ms")]
    pub lateness_p99_ms: f64,
    /// Requests of the steady load that were served.
    pub requests: u64,
    /// Requests of the steady load that were not served.
    pub failed: u64,
    /// 99th percentile of the response time of the steady load, in microseconds.
    pub p99_us: u64,
    /// Longest response time of the steady load, in microseconds.
    #[serde(rename = "most_us")]
    pub max_us: u64,
}

/// Opens connections without requests as fast as possible and runs the plan's steady load while the server closes them.
/// `idle_timeout` is that of the server; it must be longer than it takes to open the connections and shorter than the
/// load.
pub async fn measure_expiry(
    plan: IdlePlan,
    connections: usize,
    idle_timeout: Duration,
) -> std::io::Result<ExpiryMeasurement> {
    let plan = Arc::new(plan);
    let open_connection_tasks = open_connections(&plan, connections).await?;
    let lifetimes = tokio::spawn(collect_lifetimes(open_connection_tasks));
    let LoadResult {
        response_times,
        failed,
    } = run_load(&plan).await;
    let lifetimes = tokio::time::timeout(CLOSE_TIMEOUT, lifetimes)
        .await
        .map_err(|_| {
            std::io::Error::other(
                "the server did not close all idle connections within 5 s after the load",
            )
        })?
        .map_err(std::io::Error::other)?;
    let mut lateness: Vec<Duration> = lifetimes
        .into_iter()
        .map(|lifetime| lifetime.saturating_sub(idle_timeout))
        .collect();
    lateness.sort_unstable();
    Ok(ExpiryMeasurement {
        connections,
        max_lateness_ms: milliseconds(lateness.last()),
        lateness_p99_ms: milliseconds(lateness.get(lateness.len() * 99 / 100)),
        requests: response_times.len(),
        failed,
        p99_us: response_times.value_at_quantile(0.99),
        max_us: response_times.max(),
    })
}

fn milliseconds(duration: Option<&Duration>) -> f64 {
    duration.map_or(0.0, |duration| duration.as_secs_f64() * 1e3)
}

/// Opens the connections; each returned task ends when the server closes one of them, with the lifetime of the
/// connection.
async fn open_connections(
    plan: &IdlePlan,
    connections: usize,
) -> std::io::Result<JoinSet<Duration>> {
    let mut open_connection_tasks = JoinSet::new();
    let mut opening = JoinSet::new();
    for number in 0..connections {
        if opening.len() >= MAX_CONCURRENT_OPENS {
            watch_next_opened(&mut opening, &mut open_connection_tasks).await?;
        }
        opening.spawn(connect(number, plan.http_address));
    }
    while !opening.is_empty() {
        watch_next_opened(&mut opening, &mut open_connection_tasks).await?;
    }
    Ok(open_connection_tasks)
}

async fn watch_next_opened(
    opening: &mut JoinSet<std::io::Result<TcpStream>>,
    open_connection_tasks: &mut JoinSet<Duration>,
) -> std::io::Result<()> {
    let Some(opened) = opening.join_next().await else {
        return Ok(());
    };
    let socket = opened.map_err(std::io::Error::other)??;
    let opened_at = Instant::now();
    open_connection_tasks.spawn(async move {
        let _ = socket.readable().await;
        opened_at.elapsed()
    });
    Ok(())
}

async fn collect_lifetimes(mut open_connection_tasks: JoinSet<Duration>) -> Vec<Duration> {
    let mut lifetimes = Vec::new();
    while let Some(lifetime) = open_connection_tasks.join_next().await {
        lifetimes.extend(lifetime);
    }
    lifetimes
}
