//! Detects pauses of the process: what arrived meanwhile was buffered by the system, and its deadlines went on.
//!
//! A task that wakes every [`TICK_INTERVAL`] finds out when it is late: the process was stopped, had no processor, or was
//! busy with one thing. A pause concerns what is read right after it, and is forgotten after [`CATCH_UP_ROUNDS`].
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// A tick that is late by less is no pause: the slack on a client's deadline covers it.
const TICK_TOLERANCE: Duration = Duration::from_millis(50);
/// Rounds of the runtime after a pause by which connections in the listener's queue are accepted and what had arrived on
/// all connections is read.
const CATCH_UP_ROUNDS: u32 = 8;
/// The most rounds that a request waits for that, however busy the process is.
const MAX_CATCH_UP_ROUNDS: u32 = 64;

#[derive(Debug)]
struct Ticks {
    last: Instant,
    /// The last tick before the latest pause, until what arrived during it is read.
    paused_since: Option<Instant>,
}

/// See the module's documentation.
#[derive(Debug)]
pub struct PauseDetector(Mutex<Ticks>);

impl PauseDetector {
    /// A detector whose first tick is now.
    pub fn new(now: Instant) -> Arc<Self> {
        Arc::new(Self(Mutex::new(Ticks {
            last: now,
            paused_since: None,
        })))
    }

    fn lock(&self) -> MutexGuard<'_, Ticks> {
        self.0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Records a tick. True: the process was paused before it.
    fn tick(&self, now: Instant) -> bool {
        let mut ticks = self.lock();
        let was_paused = now > ticks.last + TICK_INTERVAL + TICK_TOLERANCE;
        if was_paused {
            ticks.paused_since = Some(ticks.last);
        }
        ticks.last = now;
        was_paused
    }

    /// What arrived during the pause is read.
    fn finish_catch_up(&self) {
        self.lock().paused_since = None;
    }

    /// Returns once what arrived during a pause is read; at once where there was none. Called before something begins
    /// that a client may have cancelled meanwhile.
    pub async fn caught_up(&self) {
        for _ in 0..MAX_CATCH_UP_ROUNDS {
            if self.unread_time(Instant::now()).is_zero() {
                return;
            }
            tokio::task::yield_now().await;
        }
    }

    /// The longest that something read now may have been buffered; zero where there was no pause.
    ///
    /// All that is read in the first rounds after a pause counts as having been buffered through it. When a connection
    /// was last found empty is no better sign: a task that goes on after the pause finds it empty until the runtime has
    /// polled its sockets.
    pub fn unread_time(&self, now: Instant) -> Duration {
        let ticks = self.lock();
        // The tick that is due may come after what is read now.
        let is_tick_late = now > ticks.last + TICK_INTERVAL + TICK_TOLERANCE;
        let pause_in_progress = is_tick_late.then_some(ticks.last);
        ticks
            .paused_since
            .or(pause_in_progress)
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}

/// Ticks for as long as the dispatcher runs.
pub async fn run_ticks(detector: Arc<PauseDetector>) {
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        if detector.tick(Instant::now()) {
            for _ in 0..CATCH_UP_ROUNDS {
                tokio::task::yield_now().await;
            }
            detector.finish_catch_up();
        }
    }
}

#[cfg(test)]
mod tests;
