//! Periodic confirmation that all acknowledged purges are in the view.
//!
//! A linearizable read of the purge mark returns at least the revision of the last purge that was acknowledged before the read was
//! requested. Once the view has reached that revision, it contains all of these purges. Watch responses cannot confirm this,
//! because a partitioned etcd node continues to send progress notifications.
use super::store_view::StoreView;
use super::{Micros, Output, Revision};

/// Number of intervals after which a read without a response is abandoned.
const READ_TIMEOUT_INTERVALS: u64 = 3;

/// Response to a purge mark read that the view has not reached yet.
#[derive(Debug)]
struct PurgeMark {
    requested_at: Micros,
    cluster: u64,
    revision: Revision,
}

/// Requests and evaluates purge mark reads. At most one read is in flight, and at most one response is pending.
#[derive(Debug)]
pub(super) struct PurgeConfirmation {
    /// Interval between reads; 0 disables them.
    interval_us: Micros,
    next_read_at: Micros,
    /// Time at which the read in flight was requested; none if no read is in flight.
    pending_since: Option<Micros>,
    unconfirmed: Option<PurgeMark>,
}

impl PurgeConfirmation {
    pub(super) fn new(interval_us: Micros, now: Micros) -> Self {
        Self {
            interval_us,
            next_read_at: now,
            pending_since: None,
            unconfirmed: None,
        }
    }

    /// Returns when [`Self::request_read`] is next due; none if reads are disabled.
    pub(super) fn next_deadline(&self) -> Option<Micros> {
        if self.interval_us == 0 {
            return None;
        }
        let deadline = self
            .pending_since
            .map_or(self.next_read_at, |at| self.read_deadline(at));
        Some(deadline)
    }

    fn read_deadline(&self, requested_at: Micros) -> Micros {
        requested_at + READ_TIMEOUT_INTERVALS * self.interval_us
    }

    /// Stores the response to the read in flight. Responses to abandoned reads are ignored.
    pub(super) fn handle_response(&mut self, requested_at: Micros, mark: Option<(u64, Revision)>) {
        if self.pending_since != Some(requested_at) {
            return;
        }
        self.pending_since = None;
        self.unconfirmed = mark.map(|(cluster, revision)| PurgeMark {
            requested_at,
            cluster,
            revision,
        });
    }

    /// Reports the confirmation once the view of the same cluster has reached the last mark. If history was lost, the view may
    /// lack purges, so a new snapshot must be read first.
    pub(super) fn confirm(
        &mut self,
        now: Micros,
        view: &StoreView,
        history_lost: bool,
        out: &mut Vec<Output>,
    ) {
        if self.interval_us == 0 || history_lost || view.is_empty() {
            return;
        }
        let reached = |mark: &mut PurgeMark| {
            mark.cluster == view.cluster() && mark.revision <= view.revision()
        };
        if let Some(mark) = self.unconfirmed.take_if(reached) {
            out.push(Output::PurgesConfirmed {
                age_us: now.saturating_sub(mark.requested_at),
            });
        }
    }

    /// Requests the next read when it is due.
    pub(super) fn request_read(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.interval_us == 0 || now < self.next_read_at {
            return;
        }
        let in_flight = self
            .pending_since
            .is_some_and(|at| now < self.read_deadline(at));
        if in_flight {
            return;
        }
        self.pending_since = Some(now);
        self.next_read_at = now + self.interval_us;
        out.push(Output::ReadPurgeMark { requested_at: now });
    }
}
