//! How a server closes many connections that became idle at the same moment.
use super::connections::{connect, MAX_CONCURRENT_OPENS};
use super::load::{run_load, LoadResult};
use super::plan::IdlePlan;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// The longest wait after the load for the server to close the last connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// What was measured while the connections expired. The field names are those of the report's JSON.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ExpiryMeasurement {
    /// The connections.
    pub connections: usize,
    /// How late after its idle timeout the last connection was closed, in milliseconds.
    pub latest_ms: f64,
    /// The 99th percentile of that lateness, in milliseconds.
    pub late_p99_ms: f64,
    /// Requests of the steady load meanwhile that were served.
    pub requests: u64,
    /// Requests of the steady load that were not served.
    pub failed: u64,
    /// 99th percentile of the response time, in microseconds.
    pub p99_us: u64,
    /// Longest response time, in microseconds.
    pub most_us: u64,
}

/// Opens connections that request nothing, as fast as possible, and loads the server until it has closed all of them.
/// Its idle timeout must be longer than it takes to open them and shorter than the plan's length.
pub async fn measure_expiry(
    plan: IdlePlan,
    connections: usize,
    idle_timeout: Duration,
) -> std::io::Result<ExpiryMeasurement> {
    let plan = Arc::new(plan);
    let closing = open_connections(&plan, connections).await?;
    let lifetimes = tokio::spawn(collect_lifetimes(closing));
    let LoadResult {
        response_times,
        failed,
    } = run_load(&plan).await;
    let lifetimes = tokio::time::timeout(CLOSE_TIMEOUT, lifetimes)
        .await
        .map_err(|_| std::io::Error::other("some were not closed by the end of the load"))?
        .map_err(std::io::Error::other)?;
    let mut lateness: Vec<Duration> = lifetimes
        .into_iter()
        .map(|lifetime| lifetime.saturating_sub(idle_timeout))
        .collect();
    lateness.sort_unstable();
    Ok(ExpiryMeasurement {
        connections,
        latest_ms: milliseconds(lateness.last()),
        late_p99_ms: milliseconds(lateness.get(lateness.len() * 99 / 100)),
        requests: response_times.len(),
        failed,
        p99_us: response_times.value_at_quantile(0.99),
        most_us: response_times.max(),
    })
}

fn milliseconds(duration: Option<&Duration>) -> f64 {
    duration.map_or(0.0, |duration| duration.as_secs_f64() * 1e3)
}

/// Opens the connections; each task ends with the lifetime of one, when the server closes it.
async fn open_connections(
    plan: &IdlePlan,
    connections: usize,
) -> std::io::Result<JoinSet<Duration>> {
    let mut closing = JoinSet::new();
    let mut opening = JoinSet::new();
    for number in 0..connections {
        if opening.len() >= MAX_CONCURRENT_OPENS {
            watch_next_opened(&mut opening, &mut closing).await?;
        }
        opening.spawn(connect(number, plan.http_address));
    }
    while !opening.is_empty() {
        watch_next_opened(&mut opening, &mut closing).await?;
    }
    Ok(closing)
}

async fn watch_next_opened(
    opening: &mut JoinSet<std::io::Result<TcpStream>>,
    closing: &mut JoinSet<Duration>,
) -> std::io::Result<()> {
    let Some(opened) = opening.join_next().await else {
        return Ok(());
    };
    let socket = opened.map_err(std::io::Error::other)??;
    let opened_at = Instant::now();
    closing.spawn(async move {
        let _ = socket.readable().await;
        opened_at.elapsed()
    });
    Ok(())
}

async fn collect_lifetimes(mut closing: JoinSet<Duration>) -> Vec<Duration> {
    let mut lifetimes = Vec::new();
    while let Some(lifetime) = closing.join_next().await {
        lifetimes.extend(lifetime);
    }
    lifetimes
}
