//! Wall-clock moments converted to spans of real time.
//!
//! Other machines timestamp events (purges, process starts, cached copies) with their wall clocks. This crate is the one
//! place that converts such a timestamp to an age: a wall clock may be stepped at any time, by seconds or by an hour, while
//! the monotonic clock advances steadily. Ages of this process's own events never come from a wall clock.
//!
//! A wall clock that is wrong when the process starts and stays wrong cannot be detected.
#![forbid(unsafe_code)]
#![warn(missing_docs, missing_debug_implementations)]

mod boot;

pub use boot::BootMoment;

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Smaller differences between the two clocks may come from reading them one after the other.
const MIN_REPORTED_STEP: Duration = Duration::from_millis(100);

/// Both clocks of the machine, read at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Wall clock: time since 1970; zero if it is set to an earlier moment.
    pub wall: Duration,
    /// Monotonic clock: time since [`WallClock::start`].
    pub elapsed: Duration,
}

/// The wall clock as read when the process started, advanced by the monotonic clock. Holds no other state.
#[derive(Clone, Copy, Debug)]
pub struct WallClock {
    at_start: Duration,
    started: Instant,
}

impl WallClock {
    /// Reads both clocks. Call it once, early in the process.
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

    /// Time since 1970, without the steps of the wall clock since the start.
    pub fn steady(&self) -> Duration {
        self.steady_at(self.read())
    }

    /// [`WallClock::steady`] in whole milliseconds.
    pub fn steady_ms(&self) -> u64 {
        self.steady().as_millis() as u64
    }

    /// The earlier of the wall clock and the steady time, in milliseconds: ages computed from it are the shorter ones, as
    /// in [`WallClock::age_of_ms`].
    pub fn earlier_ms(&self) -> u64 {
        self.earlier_at(self.read()).as_millis() as u64
    }

    /// The age of a timestamp from another machine's wall clock (milliseconds since 1970).
    ///
    /// If this machine's clock has been stepped since the start, it is unknown which of its two times is right, and the
    /// shorter age is returned. An age that is too short only rejects copies that are still fresh, or spares an endpoint
    /// that could take more load.
    pub fn age_of_ms(&self, unix_ms: f64) -> Duration {
        self.age_at(self.read(), unix_ms)
    }

    /// How far the wall clock has been stepped since the start, in milliseconds; `None` if it has not.
    pub fn step_ms(&self) -> Option<i64> {
        self.step_at(self.read())
    }

    fn steady_at(&self, now: ClockReading) -> Duration {
        self.at_start + now.elapsed
    }

    fn age_at(&self, now: ClockReading, unix_ms: f64) -> Duration {
        // A moment before 1970, or not a number, counts as 1970: the longest age that can be expressed.
        let moment = Duration::try_from_secs_f64(unix_ms / 1_000.0).unwrap_or_default();
        self.earlier_at(now).saturating_sub(moment)
    }

    fn earlier_at(&self, now: ClockReading) -> Duration {
        now.wall.min(self.steady_at(now))
    }

    fn step_at(&self, now: ClockReading) -> Option<i64> {
        let step = now.wall.as_millis() as i64 - self.steady_at(now).as_millis() as i64;
        (step.unsigned_abs() >= MIN_REPORTED_STEP.as_millis() as u64).then_some(step)
    }
}

/// The wall clock now, in milliseconds since 1970: for timestamps that other machines read.
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
