//! Records what the hollow dispatchers of one process receive, and how late.
use super::{now_us, written_us, NodeError};
use crate::messages::LagCount;
use hdrhistogram::Histogram;
use pointspindle_dispatcher::ControlUpdate;
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::time::Instant;

const MAX_LAG_US: u64 = 3_600_000_000;
const LAG_SIGNIFICANT_DIGITS: u8 = 3;
/// An incarnation from here on is a time, microseconds since 1970: the runner writes one with each change of a record.
const MIN_TIMESTAMP_US: u64 = 1_000_000_000_000_000;

pub(super) struct LagRecorder {
    began: Instant,
    /// How long each dispatcher took to its first current view, milliseconds.
    pub(super) ready_ms: Vec<f64>,
    /// Dispatchers that have had a current view.
    were_current: HashSet<usize>,
    /// Whether each dispatcher's view is current.
    current: HashMap<usize, bool>,
    purges: Histogram<u64>,
    changes: Histogram<u64>,
}

/// A recorder shared by the dispatchers of one process.
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
            began: Instant::now(),
            ready_ms: Vec::new(),
            were_current: HashSet::new(),
            current: HashMap::new(),
            purges: Histogram::new_with_bounds(1, MAX_LAG_US, LAG_SIGNIFICANT_DIGITS)?,
            changes: Histogram::new_with_bounds(1, MAX_LAG_US, LAG_SIGNIFICANT_DIGITS)?,
        })
    }

    /// Records an update that is in force at this dispatcher now.
    pub(super) fn record(&mut self, dispatcher: usize, update: ControlUpdate) {
        let now = now_us();
        match update {
            ControlUpdate::Purge(head) => {
                if let Some(written) = head.object.as_deref().and_then(written_us) {
                    record_lag(&mut self.purges, now, written);
                }
            }
            // A change of one record carries its time as the incarnation.
            ControlUpdate::EndpointList(head) if head.endpoints.len() == 1 => {
                let written = head.endpoints[0].incarnation;
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
        if current && self.were_current.insert(dispatcher) {
            let ready_ms = self.began.elapsed().as_secs_f64() * 1e3;
            self.ready_ms.push(ready_ms);
        }
    }

    pub(super) fn reset_lags(&mut self) {
        self.purges.clear();
        self.changes.clear();
    }

    /// How many dispatchers have a current view.
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
    // A lag above the histogram's bound is not recorded.
    let _ = lags.record(now.saturating_sub(written).max(1));
}

fn lag_counts(lags: &Histogram<u64>) -> Vec<LagCount> {
    let recorded = lags.iter_recorded().map(|value| LagCount {
        micros: value.value_iterated_to(),
        count: value.count_since_last_iteration(),
    });
    recorded.collect()
}
