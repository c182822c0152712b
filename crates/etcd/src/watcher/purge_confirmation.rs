//! Periodic confirmation that all acknowledged purges are in the view.
//!
//! A linearizable read of the purge mark returns the revision of the last purge acknowledged before the read was requested. Once
//! the view has reached that revision, all of those purges are known. Watch responses cannot confirm this: a partitioned etcd
//! node keeps sending progress notifications.
use super::store_view::StoreView;
use super::{Micros, Output, Revision};

/// A read that takes more than this many intervals is abandoned.
const READ_TIMEOUT_INTERVALS: u64 = 3;

/// The last response to a mark read, until the view has reached it.
#[derive(Debug)]
struct PurgeMark {
    requested_at: Micros,
    cluster: u64,
    revision: Revision,
}

/// At most one read in flight and one response that the view has not reached.
#[derive(Debug)]
pub(super) struct PurgeConfirmation {
    /// 0: disabled.
    interval_us: Micros,
    next_read_at: Micros,
    /// When the read in flight was requested.
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

    /// When [`Self::request_read`] next has something to do; none if disabled.
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

    /// Takes the response to the read in flight; responses to abandoned reads are ignored.
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

    /// Reports the last response once the view of the same cluster has reached it. After lost history the view has to be read
    /// anew first: purges may be missing from it.
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
                ago: now.saturating_sub(mark.requested_at),
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
