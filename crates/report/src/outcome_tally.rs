//! Numbers of requests by outcome.
use pointspindle_audit::trace::ClientOutcome;
use serde::{Deserialize, Serialize};

/// Number of requests by outcome, as their clients saw it. Cancelled requests are not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeTally {
    /// Number of requests served, stale responses included.
    pub served: u64,
    /// Number of requests served with a stale response.
    #[serde(rename = "old")]
    pub stale: u64,
    /// Number of requests rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Number of requests that failed in any other way.
    pub failed: u64,
}

impl OutcomeTally {
    pub(crate) fn count(&mut self, outcome: &ClientOutcome) {
        match outcome {
            ClientOutcome::Served {
                version: Some(_),
                stale,
                ..
            } => {
                self.served += 1;
                self.stale += u64::from(*stale);
            }
            ClientOutcome::Rejected { .. } => self.rejected += 1,
            ClientOutcome::Cancelled => {}
            _ => self.failed += 1,
        }
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.served += other.served;
        self.stale += other.stale;
        self.rejected += other.rejected;
        self.failed += other.failed;
    }
}
