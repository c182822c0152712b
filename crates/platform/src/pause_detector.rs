//! Detects pauses of the process. Input that arrives during a pause is buffered by the system while its deadlines
//! continue to run.
//!
//! A task wakes every [`TICK_INTERVAL`]. It is late if the process was stopped, was not scheduled, or was busy with one
//! task. A pause concerns input that is read right after it, and ends after [`CATCH_UP_ROUNDS`].
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Lateness up to which a tick does not count as a pause; the slack on a client's deadline covers it.
const TICK_TOLERANCE: Duration = Duration::from_millis(50);
/// Number of rounds of the runtime after a pause within which the connections in the accept queue are accepted and the
/// buffered input of all connections is read.
const CATCH_UP_ROUNDS: u32 = 8;
/// Largest number of rounds for which a request waits until the buffered input is read, however busy the process is.
const MAX_CATCH_UP_ROUNDS: u32 = 64;

#[derive(Debug)]
struct Ticks {
    /// Time of the last tick.
    last: Instant,
    /// Time of the last tick before the latest pause; `None` once the input buffered during the pause is read.
    paused_since: Option<Instant>,
}

/// Detector of pauses of the process; see the documentation of the module.
#[derive(Debug)]
pub struct PauseDetector(Mutex<Ticks>);

impl PauseDetector {
    /// Creates a detector whose first tick is now.
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

    /// Records a tick. Returns whether the process was paused before it.
    fn tick(&self, now: Instant) -> bool {
        let mut ticks = self.lock();
        let was_paused = now > ticks.last + TICK_INTERVAL + TICK_TOLERANCE;
        if was_paused {
            ticks.paused_since = Some(ticks.last);
        }
        ticks.last = now;
        was_paused
    }

    /// Records that the input buffered during the pause is read.
    fn finish_catch_up(&self) {
        self.lock().paused_since = None;
    }

    /// Waits until the input buffered during a pause is read; returns at once if there was no pause. Must be called
    /// before an action that a client may have cancelled meanwhile.
    pub async fn caught_up(&self) {
        for _ in 0..MAX_CATCH_UP_ROUNDS {
            if self.unread_time(Instant::now()).is_zero() {
                return;
            }
            tokio::task::yield_now().await;
        }
    }

    /// Returns the longest time for which input that is read now may have been buffered; zero if there was no pause.
    ///
    /// All input that is read in the first rounds after a pause counts as having been buffered for the whole pause. The
    /// time at which a connection was last found empty is no better indication: a task that continues after the pause
    /// finds it empty until the runtime has polled its sockets.
    pub fn unread_time(&self, now: Instant) -> Duration {
        let ticks = self.lock();
        // Input may be read before the tick that detects the pause.
        let is_tick_late = now > ticks.last + TICK_INTERVAL + TICK_TOLERANCE;
        let pause_in_progress = is_tick_late.then_some(ticks.last);
        ticks
            .paused_since
            .or(pause_in_progress)
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}

/// Records ticks for as long as the dispatcher runs; never returns.
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
