//! Client behaviour: the choice of a dispatcher for each attempt, retries and backoff.
use crate::{PlannedCall, Scenario};
use pointspindle::Micros;

/// Settings of the clients' behaviour.
#[derive(Clone, Copy, Debug)]
pub struct ClientSettings {
    /// Maximum number of retries of a call.
    pub retries: u32,
    /// Backoff before the first retry, microseconds. It doubles with each further retry.
    pub backoff: Micros,
    /// Share of calls that use HTTP; the others use the framed protocol.
    pub http_share: f64,
    /// Share of calls that the client cancels before the response.
    pub cancel_share: f64,
    /// Share of calls whose client honours the Retry-After header.
    pub retry_after_share: f64,
    /// Whether a client whose connection fails tries a dispatcher of the next branch.
    pub fails_over: bool,
}

impl Scenario {
    /// Returns the dispatcher for an attempt. Attempts rotate over the dispatchers of the call's branch. If clients
    /// fail over, each failed connection moves the call to the next branch.
    pub fn dispatcher_for(
        &self,
        call: &PlannedCall,
        call_number: u64,
        attempt: u32,
        failed_connections: u32,
    ) -> usize {
        let per_branch = self.fleet.dispatchers_per_branch.max(1);
        let branches_skipped = if self.clients.fails_over {
            failed_connections as usize
        } else {
            0
        };
        let branch = (call.branch + branches_skipped) % self.fleet.branches.max(1);
        branch * per_branch + (call_number as usize + attempt as usize) % per_branch
    }

    /// Returns the delay before a client's next attempt, microseconds: its backoff, or `retry_after` if that is longer.
    pub fn retry_delay(
        &self,
        call: &PlannedCall,
        attempt: u32,
        retry_after: Option<Micros>,
    ) -> Micros {
        let backoff = (self.clients.backoff << attempt) as f64 * (0.5 + call.jitter);
        (backoff as Micros).max(retry_after.unwrap_or(0))
    }
}
