//! A log of one watcher's reports with their times.
use pointspindle_etcd::{Output, ViewFreshness};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::time::Instant;

/// Reports of one watcher.
#[derive(Debug, Default)]
pub(super) struct WatcherLog {
    /// Time of the report of each purge, by object.
    purges: HashMap<String, Instant>,
    /// Times of the reports of missed updates, without the initial one.
    pub(super) gaps: Vec<Instant>,
    /// Times of the endpoint lists.
    pub(super) endpoint_lists: Vec<Instant>,
    /// Time of the latest report of a current view.
    pub(super) current: Option<Instant>,
}

/// A log that is shared with its watcher's task.
#[derive(Clone, Debug, Default)]
pub(super) struct SharedLog(Arc<Mutex<WatcherLog>>);

impl SharedLog {
    pub(super) fn lock(&self) -> MutexGuard<'_, WatcherLog> {
        self.0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl WatcherLog {
    pub(super) fn record(&mut self, output: Output) {
        let now = Instant::now();
        match output {
            Output::Purge(head) => {
                self.purges.insert(head.object.unwrap_or_default(), now);
            }
            Output::UpdatesMissed { initial: false, .. } => self.gaps.push(now),
            Output::EndpointList(_) => self.endpoint_lists.push(now),
            Output::Freshness(ViewFreshness::Current) => self.current = Some(now),
            _ => {}
        }
    }

    /// Returns when the watcher reported this purge, or else first reported missed updates after it was written.
    pub(super) fn reported_at(&self, object: &str, written: Instant) -> Option<Instant> {
        let purge = self.purges.get(object);
        let gap = || self.gaps.iter().find(|gap| **gap >= written);
        purge.or_else(gap).copied()
    }
}
