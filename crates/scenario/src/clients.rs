//! Client behaviour: the dispatcher that an attempt goes to, retries and backoff.
use crate::{PlannedCall, Scenario};
use pointspindle::Micros;

/// How clients behave.
#[derive(Clone, Copy, Debug)]
pub struct ClientSettings {
    /// Retries of a call after its first attempt.
    pub retries: u32,
    /// Backoff before the first retry, microseconds; it doubles with each further one.
    pub backoff: Micros,
    /// Share of calls over HTTP; the others use the framed protocol.
    pub http_share: f64,
    /// Share of calls whose client cancels before the response.
    pub cancel_share: f64,
    /// Share of calls whose client honours Retry-After.
    pub retry_after_share: f64,
    /// A client whose connection fails tries a dispatcher of the next branch.
    pub fails_over: bool,
}

impl Scenario {
    /// The dispatcher that an attempt goes to: those of the call's branch in rotation. Each failed connection moves
    /// a client that fails over to the next branch.
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

    /// How long a client waits before its next attempt, microseconds: its backoff, or `retry_after` if that is longer.
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
