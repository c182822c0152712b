//! Collects the events of a run from the tasks that observe them.
use crate::trace::{TraceEntry, TraceEvent};
use pointspindle::Micros;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::time::Instant;

/// A trace shared by all observers of a run. It grows by about ten events per request.
#[derive(Clone, Debug)]
pub struct Recorder {
    started: Instant,
    entries: Arc<Mutex<Vec<TraceEntry>>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            entries: Arc::default(),
        }
    }
}

impl Recorder {
    /// Returns the microseconds since the recorder was created.
    pub fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    /// Records an event that happened just now.
    pub fn record(&self, event: TraceEvent) {
        self.record_at(self.now(), event);
    }

    /// Records an event that happened at `at`, in microseconds since the recorder was created.
    pub fn record_at(&self, at: Micros, event: TraceEvent) {
        self.lock().push(TraceEntry { at, event });
    }

    /// Returns the entries from index `start` on, in the order in which they were recorded.
    pub fn entries_since(&self, start: usize) -> Vec<TraceEntry> {
        self.lock()
            .get(start..)
            .map_or(Vec::new(), <[TraceEntry]>::to_vec)
    }

    /// Removes and returns all entries recorded so far, sorted by time.
    pub fn take_entries(&self) -> Vec<TraceEntry> {
        let mut entries = std::mem::take(&mut *self.lock());
        entries.sort_by_key(|entry| entry.at);
        entries
    }

    fn lock(&self) -> MutexGuard<'_, Vec<TraceEntry>> {
        self.entries
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
