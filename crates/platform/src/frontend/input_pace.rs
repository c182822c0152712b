//! Bounds the work that the input of clients causes, counted in records; a reply counts as several. This module performs no I/O and reads no clock.
//!
//! A session handles a limited number of records before other tasks run ([`SessionPace::is_turn_over`]). After a pause of
//! the process, a session with an allowance handles all of its input at once, since time-outs wait for it. Each session has
//! an allowance of records, which complete requests restore. What sessions handle beyond it comes at a limited rate for
//! all of them together, so that clients whose records lead to no request cannot take the thread from the others.
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// Number of records that a session handles before other tasks run.
const TURN_RECORDS: usize = 64;
/// Number of reads from the socket that a session makes before other tasks run.
const TURN_READS: usize = 4;
/// The same after a pause of the process, during which more input arrives than usual.
const CATCH_UP_TURN_READS: usize = 64;
/// Number of records that a reply to a record counts for: it is a message of its own for the writer.
const REPLY_RECORDS: usize = 16;
/// Number of records of a session that may lead to no request: several requests with their parameters in tiny records.
const MAX_ALLOWANCE: usize = 1_024;
/// Number of records that each complete request restores.
const RESTORED_BY_REQUEST: usize = 128;
/// Time between two records that sessions without an allowance handle, all together: 200,000 records per second.
const RECORD_INTERVAL: Duration = Duration::from_micros(5);

/// The records of all sessions without an allowance.
#[derive(Debug, Default)]
pub(super) struct SharedPace {
    /// Time at which the next record may be handled.
    next_at: Mutex<Option<Instant>>,
}

impl SharedPace {
    fn lock(&self) -> MutexGuard<'_, Option<Instant>> {
        self.next_at
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Records that a session has handled records without an allowance. Returns when it may handle the next ones.
    fn take(&self, records: usize, now: Instant) -> Instant {
        let mut next_at = self.lock();
        let from = next_at.map_or(now, |at| at.max(now));
        let until = from + RECORD_INTERVAL * records as u32;
        *next_at = Some(until);
        until
    }
}

/// The records of one session.
#[derive(Debug)]
pub(super) struct SessionPace {
    shared: Arc<SharedPace>,
    allowance: usize,
    turn_records: usize,
    turn_reads: usize,
    /// Number of records of this turn without an allowance.
    excess_records: usize,
}

impl SessionPace {
    /// Creates the pace of a new session.
    pub fn new(shared: Arc<SharedPace>) -> Self {
        Self {
            shared,
            allowance: MAX_ALLOWANCE,
            turn_records: 0,
            turn_reads: 0,
            excess_records: 0,
        }
    }

    /// Counts a record that was handled.
    pub fn count_record(&mut self) {
        self.count_records(1);
    }

    /// Counts a reply to a record that leads to no request.
    pub fn count_reply(&mut self) {
        self.count_records(REPLY_RECORDS);
    }

    fn count_records(&mut self, records: usize) {
        self.turn_records += records;
        let allowed = records.min(self.allowance);
        self.allowance -= allowed;
        self.excess_records += records - allowed;
    }

    /// Counts reads from the socket.
    pub fn count_reads(&mut self, reads: usize) {
        self.turn_reads += reads;
    }

    /// Counts a request that is complete and valid.
    pub fn count_request(&mut self) {
        self.allowance = (self.allowance + RESTORED_BY_REQUEST).min(MAX_ALLOWANCE);
    }

    /// Returns whether other tasks must run before the session handles further input. `is_catching_up`: input that has
    /// arrived during a pause of the process is being read.
    pub fn is_turn_over(&self, is_catching_up: bool) -> bool {
        if is_catching_up && self.allowance > 0 {
            return self.turn_reads >= CATCH_UP_TURN_READS;
        }
        self.turn_records >= TURN_RECORDS || self.turn_reads >= TURN_READS
    }

    /// Ends a turn. Returns the time before which no further input may be handled, if there is one.
    pub fn end_turn(&mut self, now: Instant) -> Option<Instant> {
        self.turn_records = 0;
        self.turn_reads = 0;
        match std::mem::take(&mut self.excess_records) {
            0 => None,
            records => Some(self.shared.take(records, now)),
        }
    }
}

#[cfg(test)]
mod tests;
