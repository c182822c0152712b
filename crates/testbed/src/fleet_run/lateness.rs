//! Measures how late the testbed's own timers fire.
use pointspindle::Micros;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;

const TIMER_INTERVAL: Duration = Duration::from_millis(5);

/// A task that measures the delay of timers until it is stopped.
pub(super) struct LatenessMonitor {
    max_lateness: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl LatenessMonitor {
    /// Starts measuring.
    pub fn start() -> Self {
        let max_lateness = Arc::new(AtomicU64::new(0));
        let task = tokio::spawn(measure(max_lateness.clone()));
        Self { max_lateness, task }
    }

    /// Stops measuring.
    pub fn stop(&self) {
        self.task.abort();
    }

    /// Returns the longest delay of a timer, in microseconds.
    pub fn max_lateness(&self) -> Micros {
        self.max_lateness.load(Ordering::Relaxed)
    }
}

async fn measure(max_lateness: Arc<AtomicU64>) {
    loop {
        let due = Instant::now() + TIMER_INTERVAL;
        tokio::time::sleep_until(due).await;
        let late = due.elapsed().as_micros() as u64;
        max_lateness.fetch_max(late, Ordering::Relaxed);
    }
}
