//! Measures the delay with which watchers receive purges while their streams break, and the time to read a large view again after
//! a compaction.
mod dataset;
mod watcher_log;

use crate::EtcdEmulator;
use dataset::PREFIX;
use hdrhistogram::Histogram;
use pointspindle_etcd::layout::PurgeRecord;
use pointspindle_etcd::writer::WriteError;
use pointspindle_etcd::{feed, writer, Etcd, EtcdAccess, EtcdError, Watcher, WatcherSettings};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use tokio::time::Instant;
use watcher_log::{SharedLog, WatcherLog};

const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Response time-out of the watchers. Reading a large view takes longer than the default time-out.
const RESPONSE_TIMEOUT_US: u64 = 10_000_000;
const VIEW_TIMEOUT: Duration = Duration::from_secs(60);
const VIEW_CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Time after the last write from which watch events that have not arrived count as missing.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Time between the start of the outage and the compaction.
const OUTAGE_BEFORE_COMPACTION: Duration = Duration::from_millis(100);
/// Upper bound of the lag histogram in microseconds.
const MAX_LAG_US: u64 = 60_000_000;
/// Precision of the lag histogram.
const LAG_SIGNIFICANT_DIGITS: u8 = 3;

/// Parameters of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct MeasurementPlan {
    /// Number of watchers, each with a separate connection.
    pub watchers: usize,
    /// Number of purges written per second.
    pub purges_per_second: f64,
    /// Duration of the writing in seconds.
    pub seconds: f64,
    /// Mean time between breaks of all streams; none if they do not break.
    pub mean_drop_interval: Option<Duration>,
    /// Number of endpoint records in the store at the start.
    pub initial_endpoints: usize,
    /// Number of purge records in the store at the start.
    pub initial_purges: usize,
    /// Seed of the stream breaks and of the watchers' backoff jitter.
    pub seed: u64,
}

/// Results of a measurement.
#[derive(Clone, Debug)]
pub struct Measurement {
    /// Time from the acknowledgement of a write to the output of a watcher in microseconds, over all watchers and writes.
    pub lag: Histogram<u64>,
    /// Number of purges written.
    pub writes: usize,
    /// Number of purges that were not reported, over all watchers. A report of missed updates after the write counts as a report
    /// of the purge.
    pub unreported: usize,
    /// Number of reports of missed updates, over all watchers.
    pub missed_update_reports: usize,
    /// Number of times that all streams were broken.
    pub drops: usize,
    /// Time from the start of the watchers until the last one has a current view.
    pub first_view: Duration,
    /// Time from the end of an outage, in which all history was compacted, until the last watcher has a new view.
    pub view_after_compaction: Duration,
}

/// An error that prevented a measurement.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// The emulator cannot listen.
    #[error(transparent)]
    Listen(#[from] std::io::Error),
    /// A client cannot be created.
    #[error(transparent)]
    Etcd(#[from] EtcdError),
    /// A purge cannot be written.
    #[error(transparent)]
    Write(#[from] WriteError),
    /// The histogram's bounds are invalid.
    #[error(transparent)]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A watcher had no current view in time at the start.
    #[error("at least one watcher had no current view within {} s of the start", VIEW_TIMEOUT.as_secs())]
    NoFirstView,
    /// A watcher had no new view in time after the outage.
    #[error("at least one watcher had no new view within {} s of the end of the outage", VIEW_TIMEOUT.as_secs())]
    NoViewAfterOutage,
}

/// A purge that was written, and the time of its acknowledgement.
struct WrittenPurge {
    object: String,
    acknowledged: Instant,
}

/// Runs a measurement with an emulator in this process.
pub async fn measure_watch_lag(plan: MeasurementPlan) -> Result<Measurement, MeasureError> {
    let emulator = EtcdEmulator::new(None);
    let endpoint = format!("http://{}", emulator.listen().await?);
    let client = Etcd::new(&access(&endpoint), CALL_TIMEOUT)?;
    dataset::write_initial_records(&emulator, plan);
    let began = Instant::now();
    let watchers = start_watchers(&endpoint, plan)?;
    let is_current = || watchers.iter().all(|log| log.lock().current.is_some());
    let first_view = wait_until(began, is_current)
        .await
        .ok_or(MeasureError::NoFirstView)?;

    let drop_task = plan
        .mean_drop_interval
        .map(|mean| tokio::spawn(drop_streams(emulator.clone(), mean, plan.seed)));
    let writes = write_purges(&client, plan).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    if let Some(task) = drop_task {
        task.abort();
    }
    let drops = *emulator.inner.dropped.borrow() as usize;
    let lags = measure_lags(&watchers, &writes)?;
    let missed_update_reports = watchers.iter().map(|log| log.lock().gaps.len()).sum();
    let view_after_compaction = measure_compaction(&emulator, &watchers).await?;
    Ok(Measurement {
        lag: lags.lag,
        writes: writes.len(),
        unreported: lags.unreported,
        missed_update_reports,
        drops,
        first_view,
        view_after_compaction,
    })
}

fn access(endpoint: &str) -> EtcdAccess {
    EtcdAccess {
        endpoints: vec![endpoint.to_owned()],
        ..Default::default()
    }
}

/// Starts the watchers, each with a separate connection like that of a dispatcher.
fn start_watchers(endpoint: &str, plan: MeasurementPlan) -> Result<Vec<SharedLog>, MeasureError> {
    let settings = WatcherSettings {
        response_timeout_us: RESPONSE_TIMEOUT_US,
        ..WatcherSettings::default()
    };
    let mut logs = Vec::new();
    for number in 0..plan.watchers {
        let log = SharedLog::default();
        logs.push(log.clone());
        let etcd = Etcd::new(&access(endpoint), CALL_TIMEOUT)?;
        let watcher = Watcher::new(PREFIX, settings, 0, plan.seed + number as u64);
        tokio::spawn(feed::run(etcd, PREFIX.to_owned(), watcher, move |output| {
            log.lock().record(output);
            true
        }));
    }
    Ok(logs)
}

/// Waits until a condition is met. Returns the time since `began`, or none if the condition is not met within [`VIEW_TIMEOUT`].
async fn wait_until(began: Instant, is_met: impl Fn() -> bool) -> Option<Duration> {
    while !is_met() {
        if began.elapsed() > VIEW_TIMEOUT {
            return None;
        }
        tokio::time::sleep(VIEW_CHECK_INTERVAL).await;
    }
    Some(began.elapsed())
}

async fn drop_streams(emulator: EtcdEmulator, mean: Duration, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    loop {
        tokio::time::sleep(mean.mul_f64(random.gen_range(0.5..1.5))).await;
        emulator.drop_streams();
    }
}

async fn write_purges(
    client: &Etcd,
    plan: MeasurementPlan,
) -> Result<Vec<WrittenPurge>, MeasureError> {
    let interval = Duration::from_secs_f64(1.0 / plan.purges_per_second);
    let mut writes = Vec::new();
    let start = Instant::now();
    while start.elapsed().as_secs_f64() < plan.seconds {
        let due = start + interval.mul_f64(writes.len() as f64);
        tokio::time::sleep_until(due).await;
        let object = format!("/o/{}", writes.len());
        let record = PurgeRecord {
            object: Some(object.clone()),
            group: 1,
        };
        writer::write_purge(client, PREFIX, &record).await?;
        writes.push(WrittenPurge {
            object,
            acknowledged: Instant::now(),
        });
    }
    Ok(writes)
}

/// Lags of all writes at all watchers.
struct Lags {
    /// Lag in microseconds.
    lag: Histogram<u64>,
    /// Number of writes that were not reported, over all watchers.
    unreported: usize,
}

fn measure_lags(watchers: &[SharedLog], writes: &[WrittenPurge]) -> Result<Lags, MeasureError> {
    let mut lag = Histogram::new_with_bounds(1, MAX_LAG_US, LAG_SIGNIFICANT_DIGITS)?;
    let mut unreported = 0;
    for log in watchers {
        let log = log.lock();
        for write in writes {
            let Some(reported_at) = log.reported_at(&write.object, write.acknowledged) else {
                unreported += 1;
                continue;
            };
            let delay = reported_at.saturating_duration_since(write.acknowledged);
            // The histogram rejects a lag above its bound, which is then not counted.
            let _ = lag.record((delay.as_micros() as u64).max(1));
        }
    }
    Ok(Lags { lag, unreported })
}

/// Compacts all history during an outage in which purges are written. Returns the time from the end of the outage until every
/// watcher has a new view.
async fn measure_compaction(
    emulator: &EtcdEmulator,
    watchers: &[SharedLog],
) -> Result<Duration, MeasureError> {
    emulator.set_faults(|faults| faults.unavailable = true);
    tokio::time::sleep(OUTAGE_BEFORE_COMPACTION).await;
    dataset::write_during_outage(emulator);
    emulator.compact();
    let gaps_before: Vec<usize> = watchers.iter().map(|log| log.lock().gaps.len()).collect();
    let outage_over = Instant::now();
    emulator.set_faults(|faults| faults.unavailable = false);
    let has_view = |log: &WatcherLog, gaps_before: usize| {
        let gap = log.gaps.get(gaps_before);
        gap.is_some_and(|gap| log.endpoint_lists.last() >= Some(gap))
    };
    let all_have_views = || {
        let mut logs = watchers.iter().zip(&gaps_before);
        logs.all(|(log, gaps_before)| has_view(&log.lock(), *gaps_before))
    };
    wait_until(outage_over, all_have_views)
        .await
        .ok_or(MeasureError::NoViewAfterOutage)
}
