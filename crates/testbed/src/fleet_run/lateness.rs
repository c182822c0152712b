//! Measures how late the testbed's own timers fire.
use pointspindle::Micros;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;

const TIMER_INTERVAL: Duration = Duration::from_millis(5);

/// A task that measures lateness until it is stopped.
pub(super) struct LatenessMonitor {
    longest: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl LatenessMonitor {
    /// Begins to measure.
    pub fn start() -> Self {
        let longest = Arc::new(AtomicU64::new(0));
        let task = tokio::spawn(measure(longest.clone()));
        Self { longest, task }
    }

    /// Stops measuring.
    pub fn stop(&self) {
        self.task.abort();
    }

    /// The longest delay of a timer, in microseconds.
    pub fn longest(&self) -> Micros {
        self.longest.load(Ordering::Relaxed)
    }
}

async fn measure(longest: Arc<AtomicU64>) {
    loop {
        let due = Instant::now() + TIMER_INTERVAL;
        tokio::time::sleep_until(due).await;
        let late = due.elapsed().as_micros() as u64;
        longest.fetch_max(late, Ordering::Relaxed);
    }
}
