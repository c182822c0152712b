//! Counts of requests by how they ended.
use pointspindle_audit::trace::ClientOutcome;
use serde::{Deserialize, Serialize};

/// How requests ended for their clients. Cancelled ones are not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeTally {
    /// Served, stale responses included.
    pub served: u64,
    /// Served with a stale response.
    #[serde(rename = "old")]
    pub stale: u64,
    /// Rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Failed otherwise.
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
