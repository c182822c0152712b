//! Where a dispatcher's lists, purges and counts come from: the control door is one source, etcd another.
use crate::core::{Input, ListNews};
use crate::net::Hub;
use crate::peers::Roster;
use pointspindle::Micros;
use pointspindle_wire::{ListHead, PurgeHead};
use std::sync::Arc;

/// Tells a dispatcher what it learns, for as long as that runs.
pub trait Source: Send + 'static {
    fn run(self, teller: Teller) -> impl std::future::Future<Output = ()> + Send;
}

/// The way into a dispatcher. What is told is in force when the method returns.
#[derive(Clone, Debug)]
pub struct Teller {
    pub(crate) hub: Arc<Hub>,
}

impl Teller {
    pub fn members(&self, head: ListHead) -> ListNews {
        self.hub.members(head)
    }

    pub fn purge(&self, head: PurgeHead) {
        self.hub.purge(head);
    }

    /// Purges may have been missed, nobody knows which: every copy from before now counts as purged.
    pub fn missed(&self) {
        self.hub.metrics.source_gaps.inc();
        self.hub.tell(Input::Missed);
    }

    /// Which dispatchers there are.
    pub fn roster(&self, roster: Roster) {
        self.hub.metrics.peers.set(roster.len() as i64);
        self.hub.tell(Input::Roster(roster));
    }

    /// This dispatcher's own registration was kept, `ago` ago for so long.
    pub fn kept(&self, ago: Micros, lasts: Micros) {
        self.hub.tell(Input::Kept { ago, lasts });
    }

    /// Whether what was told is as new as it should be.
    pub fn view(&self, current: bool) {
        self.hub.metrics.source_current.set(current.into());
        self.hub.tell(Input::View(current));
        self.hub.view.send_replace(current);
    }

    /// Something of the source could not be used.
    pub fn bad(&self) {
        self.hub.metrics.source_bad.inc();
    }

    /// The whole list in force.
    pub fn list(&self) -> ListHead {
        self.hub.list()
    }
}
