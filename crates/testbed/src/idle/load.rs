//! The steady open-loop load that runs while connections are idle.
use super::connections::{connect, request_is_served};
use super::plan::IdlePlan;
use crate::http_client::HttpConnection;
use hdrhistogram::Histogram;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

const LOAD_CONNECTIONS: usize = 16;
/// Time for the connections of the load to open before the first request is due.
const START_DELAY: Duration = Duration::from_millis(20);
const MIN_REQUESTS_PER_SECOND: f64 = 0.1;
const MAX_RESPONSE_TIME_US: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// The result of a steady load.
pub(super) struct LoadResult {
    /// Response times of served requests in microseconds, counted from when each request was due, so that the time that
    /// a request waits for its connection is included.
    pub response_times: Histogram<u64>,
    /// Requests that were not served.
    pub failed: u64,
}

/// The times at which a connection of the load sends its requests.
#[derive(Clone, Copy)]
struct Schedule {
    first: Instant,
    interval: Duration,
    end: Instant,
}

enum RequestResult {
    Served { response_time_us: u64 },
    Failed,
}

/// Runs the plan's steady load to its end.
pub(super) async fn run_load(plan: &Arc<IdlePlan>) -> LoadResult {
    let (sender, mut results) = mpsc::unbounded_channel();
    let rate = plan.requests_per_second.max(MIN_REQUESTS_PER_SECOND);
    let interval = Duration::from_secs_f64(LOAD_CONNECTIONS as f64 / rate);
    let started_at = Instant::now() + START_DELAY;
    let mut connections = JoinSet::new();
    for number in 0..LOAD_CONNECTIONS {
        let schedule = Schedule {
            first: started_at + interval.mul_f64(number as f64 / LOAD_CONNECTIONS as f64),
            interval,
            end: started_at + plan.load_duration,
        };
        connections.spawn(run_load_connection(
            number,
            plan.clone(),
            schedule,
            sender.clone(),
        ));
    }
    drop(sender);
    let mut response_times =
        Histogram::<u64>::new_with_bounds(1, MAX_RESPONSE_TIME_US, SIGNIFICANT_DIGITS)
            .expect("the histogram bounds are valid constants");
    let mut failed = 0;
    while let Some(result) = results.recv().await {
        match result {
            RequestResult::Served { response_time_us } => {
                // Recording fails for a response time above the upper bound; it is left out.
                let _ = response_times.record(response_time_us.max(1));
            }
            RequestResult::Failed => failed += 1,
        }
    }
    LoadResult {
        response_times,
        failed,
    }
}

async fn run_load_connection(
    number: usize,
    plan: Arc<IdlePlan>,
    schedule: Schedule,
    results: mpsc::UnboundedSender<RequestResult>,
) {
    let Ok(socket) = connect(number, plan.http_address).await else {
        return;
    };
    let mut connection = HttpConnection::new(socket);
    let mut due = schedule.first;
    while due < schedule.end {
        tokio::time::sleep_until(due.into()).await;
        if !request_is_served(&mut connection, &plan.path).await {
            let _ = results.send(RequestResult::Failed);
            return;
        }
        let response_time_us = due.elapsed().as_micros() as u64;
        let _ = results.send(RequestResult::Served { response_time_us });
        due += schedule.interval;
    }
}
