//! Records the updates that the hollow dispatchers of one process receive, and their lags.
use super::{now_us, written_us, NodeError};
use crate::messages::LagCount;
use hdrhistogram::Histogram;
use pointspindle_dispatcher::ControlUpdate;
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::time::Instant;

/// Longest lag that is recorded, microseconds.
const MAX_LAG_US: u64 = 3_600_000_000;
const LAG_SIGNIFICANT_DIGITS: u8 = 3;
/// Smallest incarnation that is read as a time in microseconds since 1970. The runner writes such an incarnation with
/// each change of a record.
const MIN_TIMESTAMP_US: u64 = 1_000_000_000_000_000;

/// Lags and freshness of the views of one process's hollow dispatchers.
pub(super) struct LagRecorder {
    started_at: Instant,
    /// Time from the recorder's creation to each dispatcher's first current view, milliseconds.
    pub(super) ready_ms: Vec<f64>,
    /// Numbers of the dispatchers that have had a current view at least once.
    ever_current: HashSet<usize>,
    /// Whether the view is current, by the dispatcher's number.
    current: HashMap<usize, bool>,
    purges: Histogram<u64>,
    changes: Histogram<u64>,
}

/// A [`LagRecorder`] shared by the dispatchers of one process.
#[derive(Clone)]
pub(super) struct SharedRecorder(Arc<Mutex<LagRecorder>>);

impl SharedRecorder {
    pub(super) fn new() -> Result<Self, NodeError> {
        Ok(Self(Arc::new(Mutex::new(LagRecorder::new()?))))
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, LagRecorder> {
        self.0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl LagRecorder {
    fn new() -> Result<Self, NodeError> {
        Ok(Self {
            started_at: Instant::now(),
            ready_ms: Vec::new(),
            ever_current: HashSet::new(),
            current: HashMap::new(),
            purges: Histogram::new_with_bounds(1, MAX_LAG_US, LAG_SIGNIFICANT_DIGITS)?,
            changes: Histogram::new_with_bounds(1, MAX_LAG_US, LAG_SIGNIFICANT_DIGITS)?,
        })
    }

    /// Records an update that has just come into force at `dispatcher`.
    pub(super) fn record(&mut self, dispatcher: usize, update: ControlUpdate) {
        let now = now_us();
        match update {
            ControlUpdate::Purge(purge) => {
                if let Some(written) = purge.object.as_deref().and_then(written_us) {
                    record_lag(&mut self.purges, now, written);
                }
            }
            // The runner changes one record at a time and writes the time of the change as its incarnation.
            ControlUpdate::EndpointList(list) if list.endpoints.len() == 1 => {
                let written = list.endpoints[0].incarnation;
                if written > MIN_TIMESTAMP_US {
                    record_lag(&mut self.changes, now, written);
                }
            }
            ControlUpdate::EndpointList(_) => {}
            ControlUpdate::Freshness(current) => self.record_freshness(dispatcher, current),
        }
    }

    fn record_freshness(&mut self, dispatcher: usize, current: bool) {
        self.current.insert(dispatcher, current);
        if current && self.ever_current.insert(dispatcher) {
            let ready_ms = self.started_at.elapsed().as_secs_f64() * 1e3;
            self.ready_ms.push(ready_ms);
        }
    }

    pub(super) fn reset_lags(&mut self) {
        self.purges.clear();
        self.changes.clear();
    }

    /// Returns the number of dispatchers with a current view.
    pub(super) fn current(&self) -> usize {
        self.current.values().filter(|current| **current).count()
    }

    pub(super) fn purges(&self) -> Vec<LagCount> {
        lag_counts(&self.purges)
    }

    pub(super) fn changes(&self) -> Vec<LagCount> {
        lag_counts(&self.changes)
    }
}

fn record_lag(lags: &mut Histogram<u64>, now: u64, written: u64) {
    // Recording fails for a lag above the histogram's bound; the update then counts as missing.
    let _ = lags.record(now.saturating_sub(written).max(1));
}

fn lag_counts(lags: &Histogram<u64>) -> Vec<LagCount> {
    let recorded = lags.iter_recorded().map(|value| LagCount {
        micros: value.value_iterated_to(),
        count: value.count_since_last_iteration(),
    });
    recorded.collect()
}
