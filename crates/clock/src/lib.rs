//! Moments of wall clocks as spans of real time.
//!
//! Other machines stamp events (purges, starts of members, copies) with their wall clocks. Here such a moment becomes an age,
//! in this one place, since a machine's wall clock may be stepped at any time, by seconds or by an hour, while its monotonic
//! clock runs on. Ages of this process's own events are never taken from a wall clock.
//!
//! Nothing can be known of a wall clock that is wrong when the process starts and stays so.
#![forbid(unsafe_code)]
#![warn(missing_docs, missing_debug_implementations)]

mod boot;

pub use boot::BootMoment;

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A difference between the two ways to tell the time that is worth a word: less may be the clocks' own reading.
const STEP_LEAST: Duration = Duration::from_millis(100);

/// What both clocks of the machine say at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// The wall clock, since 1970; zero if it is set before that.
    pub wall: Duration,
    /// The monotonic clock, since the start.
    pub elapsed: Duration,
}

/// The wall clock as it was at the start of the process, carried on by the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct WallClock {
    at_start: Duration,
    started: Instant,
}

impl WallClock {
    /// Reads both clocks. To be done once, early in a process.
    pub fn start() -> Self {
        Self {
            at_start: wall(),
            started: Instant::now(),
        }
    }

    /// What both clocks say now.
    pub fn read(&self) -> Reading {
        Reading {
            wall: wall(),
            elapsed: self.started.elapsed(),
        }
    }

    /// Time since 1970, without the steps that the wall clock has made since the start.
    pub fn steady(&self) -> Duration {
        self.steady_at(self.read())
    }

    /// [`WallClock::steady`] in whole milliseconds.
    pub fn steady_ms(&self) -> u64 {
        self.steady().as_millis() as u64
    }

    /// The earlier of what the wall clock and the steady time say, in milliseconds: ages taken from it are the shorter ones, as
    /// [`WallClock::age_of_ms`] tells them.
    pub fn earlier_ms(&self) -> u64 {
        self.earlier_at(self.read()).as_millis() as u64
    }

    /// How long ago a moment of another machine's wall clock was (milliseconds since 1970).
    ///
    /// Where this machine's clock has been stepped since the start it is not known which of its two times is right: the shorter
    /// age is told. An age that is too short only forbids copies that might do, or spares a member that might take more.
    pub fn age_of_ms(&self, unix_ms: f64) -> Duration {
        self.age_at(self.read(), unix_ms)
    }

    /// How far the wall clock has been stepped since the start, in milliseconds; none: it has not.
    pub fn step_ms(&self) -> Option<i64> {
        self.step_at(self.read())
    }

    fn steady_at(&self, now: Reading) -> Duration {
        self.at_start + now.elapsed
    }

    fn age_at(&self, now: Reading, unix_ms: f64) -> Duration {
        // A moment before 1970, or none at all, is as long ago as the clock can say.
        let moment = Duration::try_from_secs_f64(unix_ms / 1_000.0).unwrap_or_default();
        self.earlier_at(now).saturating_sub(moment)
    }

    fn earlier_at(&self, now: Reading) -> Duration {
        now.wall.min(self.steady_at(now))
    }

    fn step_at(&self, now: Reading) -> Option<i64> {
        let step = now.wall.as_millis() as i64 - self.steady_at(now).as_millis() as i64;
        (step.unsigned_abs() >= STEP_LEAST.as_millis() as u64).then_some(step)
    }
}

/// Milliseconds since 1970 by the wall clock of now: for a stamp that other machines read.
pub fn stamp_ms() -> u64 {
    wall().as_millis() as u64
}

fn wall() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

#[cfg(test)]
mod tests;
