//! What one watcher has reported, and when.
use pointspindle_etcd::{Output, View};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::time::Instant;

/// The reports of one watcher.
#[derive(Debug, Default)]
pub(super) struct WatcherLog {
    /// Purges by object.
    purges: HashMap<String, Instant>,
    /// Reports of missed updates, but for the initial one.
    pub(super) gaps: Vec<Instant>,
    /// Endpoint lists.
    pub(super) endpoint_lists: Vec<Instant>,
    /// The latest report of a current view.
    pub(super) current: Option<Instant>,
}

/// A log shared with its watcher's task.
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
            Output::View(View::Current) => self.current = Some(now),
            _ => {}
        }
    }

    /// When the watcher reported this purge, or that it has missed updates since.
    pub(super) fn learned_of(&self, object: &str, written: Instant) -> Option<Instant> {
        let purge = self.purges.get(object);
        let gap = || self.gaps.iter().find(|gap| **gap >= written);
        purge.or_else(gap).copied()
    }
}
