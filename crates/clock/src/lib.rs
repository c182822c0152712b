//! Converts wall-clock timestamps to ages.
//!
//! Other machines timestamp events (purges, process starts, cached copies) with their wall clocks. Only this crate
//! converts such a timestamp to an age, because a wall clock may be stepped at any time, by seconds or by an hour,
//! while the monotonic clock advances steadily. Ages of events within this process are measured with the monotonic
//! clock alone.
//!
//! A wall clock that is wrong when the process starts and stays wrong cannot be detected.
#![forbid(unsafe_code)]
#![warn(missing_docs, missing_debug_implementations)]

mod boot;

pub use boot::BootMoment;

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Smallest difference that counts as a step. The two clocks are read one after the other, which alone causes small
/// differences.
const MIN_REPORTED_STEP: Duration = Duration::from_millis(100);

/// The machine's wall clock and monotonic clock, read at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Wall clock: time since the Unix epoch; zero if the clock is set to an earlier time.
    pub wall: Duration,
    /// Monotonic clock: time since [`WallClock::start`].
    pub elapsed: Duration,
}

/// The wall clock as read at the start of the process, advanced by the monotonic clock since then.
#[derive(Clone, Copy, Debug)]
pub struct WallClock {
    at_start: Duration,
    started: Instant,
}

impl WallClock {
    /// Reads both clocks; to be called once, early in the process.
    pub fn start() -> Self {
        Self {
            at_start: wall_clock_now(),
            started: Instant::now(),
        }
    }

    /// Reads both clocks now.
    pub fn read(&self) -> ClockReading {
        ClockReading {
            wall: wall_clock_now(),
            elapsed: self.started.elapsed(),
        }
    }

    /// Returns the time since the Unix epoch, without the steps that the wall clock has made since the start.
    pub fn steady(&self) -> Duration {
        self.steady_at(self.read())
    }

    /// Returns [`WallClock::steady`] in whole milliseconds.
    pub fn steady_ms(&self) -> u64 {
        self.steady().as_millis() as u64
    }

    /// Returns the earlier of the wall clock and the steady time, in milliseconds since the Unix epoch. Ages computed
    /// from it are the shorter ones, as in [`WallClock::age_of_ms`].
    pub fn earlier_ms(&self) -> u64 {
        self.earlier_at(self.read()).as_millis() as u64
    }

    /// Returns the age of a timestamp from another machine's wall clock, in milliseconds since the Unix epoch.
    ///
    /// If this machine's wall clock has been stepped since the start, it is unknown whether the wall clock or the steady
    /// time is right, and the shorter age is returned. An age that is too short does limited harm: copies that are still
    /// fresh are rejected, or an endpoint receives less load than it could take.
    pub fn age_of_ms(&self, unix_ms: f64) -> Duration {
        self.age_at(self.read(), unix_ms)
    }

    /// Returns how far the wall clock has been stepped since the start, in milliseconds; `None` if it has not been
    /// stepped.
    pub fn step_ms(&self) -> Option<i64> {
        self.step_at(self.read())
    }

    fn steady_at(&self, now: ClockReading) -> Duration {
        self.at_start + now.elapsed
    }

    fn age_at(&self, now: ClockReading, unix_ms: f64) -> Duration {
        // A negative timestamp, or one that is not a number, is treated as the Unix epoch, which gives the longest age.
        let timestamp = Duration::try_from_secs_f64(unix_ms / 1_000.0).unwrap_or_default();
        self.earlier_at(now).saturating_sub(timestamp)
    }

    fn earlier_at(&self, now: ClockReading) -> Duration {
        now.wall.min(self.steady_at(now))
    }

    fn step_at(&self, now: ClockReading) -> Option<i64> {
        let step = now.wall.as_millis() as i64 - self.steady_at(now).as_millis() as i64;
        (step.unsigned_abs() >= MIN_REPORTED_STEP.as_millis() as u64).then_some(step)
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch, for timestamps that other machines read.
pub fn wall_clock_unix_ms() -> u64 {
    wall_clock_now().as_millis() as u64
}

fn wall_clock_now() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

#[cfg(test)]
mod tests;
