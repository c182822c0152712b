//! Pending notifications to a dispatcher.
use super::{ControlUpdate, ListedEndpoint};
use pointspindle::Micros;
use std::collections::VecDeque;

#[derive(Debug)]
struct Notification {
    due: Micros,
    update: ControlUpdate,
}

/// A dispatcher that receives notifications of the control plane.
#[derive(Debug, Default)]
pub(super) struct Subscriber {
    /// Sequence number of the latest list update scheduled for the dispatcher.
    sequence: u64,
    /// Pending notifications, sorted by the times at which they are due.
    pending: VecDeque<Notification>,
    disconnected: bool,
}

impl Subscriber {
    pub(super) fn is_connected(&self) -> bool {
        !self.disconnected
    }

    /// Schedules a notification. Notifications that are due at the same time stay in the order of scheduling.
    pub(super) fn schedule(&mut self, due: Micros, update: ControlUpdate) {
        let position = self.pending.partition_point(|pending| pending.due <= due);
        self.pending.insert(position, Notification { due, update });
    }

    /// Schedules an update of one endpoint; it is not due before an update scheduled earlier.
    pub(super) fn notify_endpoint_update(&mut self, due: Micros, endpoint: ListedEndpoint) {
        let is_delta = |pending: &&Notification| matches!(pending.update, ControlUpdate::Delta(..));
        let latest = self.pending.iter().rev().find(is_delta);
        let due = due.max(latest.map_or(0, |pending| pending.due));
        self.sequence += 1;
        self.schedule(due, ControlUpdate::Delta(self.sequence, vec![endpoint]));
    }

    pub(super) fn disconnect(&mut self) {
        self.disconnected = true;
        self.pending.clear();
    }

    /// Connects the dispatcher. Purges and the full endpoint list are due immediately.
    pub(super) fn connect(
        &mut self,
        now: Micros,
        purges: impl Iterator<Item = ControlUpdate>,
        endpoints: Vec<ListedEndpoint>,
    ) {
        self.disconnected = false;
        self.sequence += 1;
        let list = ControlUpdate::Full(self.sequence, endpoints);
        for update in purges.chain([list]) {
            self.pending.push_back(Notification { due: now, update });
        }
    }

    pub(super) fn next_due(&self) -> Option<Micros> {
        self.pending.front().map(|first| first.due)
    }

    pub(super) fn pop_due(&mut self, now: Micros) -> Option<ControlUpdate> {
        self.pending.front().filter(|first| first.due <= now)?;
        self.pending.pop_front().map(|first| first.update)
    }
}
