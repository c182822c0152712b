//! Times in which the process did not run: what came meanwhile waited in the system, and its time went on.
//!
//! A task that wakes every [`BEAT`] notices when it is late: the process was stopped, had no processor, or was busy with one
//! thing. Such a time concerns what is read right after it, and is forgotten after [`ROUNDS`].
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

const BEAT: Duration = Duration::from_millis(50);
/// A wake-up that is late by less is no stall: the slack on the time that a host is told covers both.
const LATE: Duration = Duration::from_millis(50);
/// Times that the runtime has looked at its sockets and run what was ready since: connections in the listener's queue are accepted
/// by then, and what had come on all of them is read.
const ROUNDS: u32 = 8;

/// More rounds than this are not waited for: whatever keeps the process busy, its clients' time goes on.
const SETTLED_MOST: u32 = 64;

#[derive(Debug)]
struct Beats {
    last: Instant,
    /// The newest stall: it began after this.
    stall: Option<Instant>,
}

/// See the module's documentation.
#[derive(Debug)]
pub struct Stalls(Mutex<Beats>);

impl Stalls {
    pub fn new(now: Instant) -> Arc<Self> {
        Arc::new(Self(Mutex::new(Beats {
            last: now,
            stall: None,
        })))
    }

    fn lock(&self) -> MutexGuard<'_, Beats> {
        self.0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// True: it was late.
    fn beat(&self, now: Instant) -> bool {
        let mut beats = self.lock();
        let late = now > beats.last + BEAT + LATE;
        if late {
            beats.stall = Some(beats.last);
        }
        beats.last = now;
        late
    }

    /// What waited is read.
    fn over(&self) {
        self.lock().stall = None;
    }

    /// Returns once what had come during a stall is read: at once where the process has run. For whoever is about to begin
    /// something that a client may have taken back meanwhile.
    pub async fn settled(&self) {
        for _ in 0..SETTLED_MOST {
            if self.waited(Instant::now()).is_zero() {
                return;
            }
            tokio::task::yield_now().await;
        }
    }

    /// The longest that something read now may have waited unread; zero where the process has run.
    ///
    /// All that is read in the first rounds after a stall counts as having waited through it. When a connection was last found
    /// empty would not tell: a task that goes on after the stall finds it so until the runtime has looked at its sockets.
    pub fn waited(&self, now: Instant) -> Duration {
        let beats = self.lock();
        // The beat that is due may only come after what is read now.
        let under_way = (now > beats.last + BEAT + LATE).then_some(beats.last);
        beats
            .stall
            .or(under_way)
            .map_or(Duration::ZERO, |begin| now.saturating_duration_since(begin))
    }
}

/// Keeps the beat.
pub async fn watch(stalls: Arc<Stalls>) {
    loop {
        tokio::time::sleep(BEAT).await;
        if stalls.beat(Instant::now()) {
            for _ in 0..ROUNDS {
                tokio::task::yield_now().await;
            }
            stalls.over();
        }
    }
}

#[cfg(test)]
mod tests;
