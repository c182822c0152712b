//! Report on a steady load.
use crate::commands::FinishedCall;
use hdrhistogram::{CreationError, Histogram};
use pointspindle_client::Outcome;
use std::time::Duration;

/// Bounds of the recorded durations, in microseconds.
const MIN_DURATION_US: u64 = 1;
const MAX_DURATION_US: u64 = 3_600_000_000;
/// Number of significant digits of a recorded duration.
const DURATION_DIGITS: u8 = 3;

/// Counts of calls by outcome, and the durations of served ones.
pub struct LoadReport {
    calls: u64,
    served: u64,
    rejected: u64,
    failed: u64,
    not_begun: u64,
    attempts: u64,
    durations_us: Histogram<u64>,
}

impl LoadReport {
    /// Creates a report on this number of calls, none of which has ended.
    pub fn new(calls: u64) -> Result<Self, CreationError> {
        Ok(Self {
            calls,
            served: 0,
            rejected: 0,
            failed: 0,
            not_begun: 0,
            attempts: 0,
            durations_us: Histogram::new_with_bounds(
                MIN_DURATION_US,
                MAX_DURATION_US,
                DURATION_DIGITS,
            )?,
        })
    }

    /// Counts a finished call.
    pub fn add(&mut self, call: &FinishedCall) {
        self.attempts += u64::from(call.attempts);
        match call.outcome {
            Outcome::Served => {
                self.served += 1;
                let duration_us = call.duration.as_micros() as u64;
                let _ = self.durations_us.record(duration_us.max(MIN_DURATION_US));
            }
            Outcome::Rejected { .. } => self.rejected += 1,
            Outcome::Failed { .. } => self.failed += 1,
        }
    }

    /// Counts a call that was not made because too many were in flight.
    pub fn count_not_begun(&mut self) {
        self.not_begun += 1;
    }

    /// Returns the number of served calls.
    pub fn served(&self) -> u64 {
        self.served
    }

    /// Prints the report. `elapsed` is the time from the start of the load to the end of the last call.
    pub fn print(&self, elapsed: Duration, json: bool) {
        let seconds = elapsed.as_secs_f64();
        let served_per_s = self.served as f64 / seconds;
        let at = |quantile: f64| self.durations_us.value_at_quantile(quantile);
        if json {
            let figures = serde_json::json!({
                "calls": self.calls,
                "served": self.served,
                "refused": self.rejected,
                "failed": self.failed,
                "not_begun": self.not_begun,
                "tries": self.attempts,
                "served_per_s": served_per_s,
                "p50_us": at(0.5),
                "p90_us": at(0.9),
                "p99_us": at(0.99),
                "p999_us": at(0.999),
                "most_us": self.durations_us.max(),
            });
            println!("{figures}");
            return;
        }
        println!(
            "{} calls in {seconds:.1} s: {} served, {} rejected, {} failed, {} not begun; {} attempts",
            self.calls, self.served, self.rejected, self.failed, self.not_begun, self.attempts
        );
        println!(
            "{served_per_s:.0} served per second; p50 {} us, p90 {} us, p99 {} us, p99.9 {} us, longest {} us",
            at(0.5),
            at(0.9),
            at(0.99),
            at(0.999),
            self.durations_us.max()
        );
    }
}
