//! Detection of clients that read their response so slowly that they would occupy an endpoint for too long. This module
//! performs no I/O.
//!
//! Only time spent waiting for the client counts, and the pace is measured over windows: a slow connection or a short pause is
//! tolerated; a client that reads a few bytes at a time is not.
use pointspindle::Micros;

/// The minimum pace that is required of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceRule {
    /// Required bytes per second; 0 stands for no minimum.
    pub min_bytes_per_s: u64,
    /// Waiting time over which the pace is measured; the first window is a grace period.
    pub window: Micros,
}

/// The pace of one client in the current window. It exists as long as the response.
#[derive(Clone, Copy, Debug)]
pub struct ClientPace {
    rule: PaceRule,
    /// Time spent waiting for the client in this window.
    waited: Micros,
    /// Bytes that the client has read in this window.
    bytes_read: u64,
}

impl ClientPace {
    /// Starts the first window.
    pub fn new(rule: PaceRule) -> Self {
        Self {
            rule,
            waited: 0,
            bytes_read: 0,
        }
    }

    /// Returns the longest wait before [`ClientPace::record_read`] should be called with the bytes read so far; `None` if there is no
    /// minimum pace.
    pub fn max_wait(&self) -> Option<Micros> {
        (self.rule.min_bytes_per_s > 0).then(|| self.rule.window.saturating_sub(self.waited).max(1))
    }

    /// Records that the client read `bytes` after a wait of `waited`. Returns whether it reads fast enough.
    pub fn record_read(&mut self, bytes: u64, waited: Micros) -> bool {
        if self.rule.min_bytes_per_s == 0 {
            return true;
        }
        self.waited += waited;
        self.bytes_read += bytes;
        if self.waited < self.rule.window {
            return true;
        }
        let required_bytes = self.rule.min_bytes_per_s as f64 * self.waited as f64 / 1e6;
        let is_fast_enough = self.bytes_read as f64 >= required_bytes;
        self.waited = 0;
        self.bytes_read = 0;
        is_fast_enough
    }
}

#[cfg(test)]
mod tests;
