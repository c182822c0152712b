//! Where a dispatcher's lists, purges and counts come from: the control door is one source, etcd another.
use crate::core::{Input, ListNews};
use crate::net::Hub;
use crate::peers::Roster;
use pointspindle::Micros;
use pointspindle_protocol::{EndpointListHead, PurgeHead};
use std::sync::Arc;

/// Tells a dispatcher what it learns, for as long as that runs.
pub trait Source: Send + 'static {
    fn run(self, teller: Teller) -> impl std::future::Future<Output = ()> + Send;
}

/// What has just come into force: for who measures a source.
#[derive(Clone, Copy, Debug)]
pub enum Told<'a> {
    Members(&'a EndpointListHead),
    Purge(&'a PurgeHead),
    View(bool),
}

/// Hears each word once it is in force, on the task that told it.
pub type Ears = Arc<dyn Fn(Told<'_>) + Send + Sync>;

/// The way into a dispatcher. What is told is in force when the method returns.
#[derive(Clone)]
pub struct Teller {
    pub(crate) hub: Arc<Hub>,
    pub(crate) ears: Option<Ears>,
}

impl std::fmt::Debug for Teller {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Teller")
            .field("hub", &self.hub)
            .finish_non_exhaustive()
    }
}

impl Teller {
    fn told(&self, told: Told<'_>) {
        if let Some(ears) = &self.ears {
            ears(told);
        }
    }

    pub fn members(&self, head: EndpointListHead) -> ListNews {
        let heard = self.ears.is_some().then(|| head.clone());
        let news = self.hub.members(head);
        if let Some(head) = &heard {
            self.told(Told::Members(head));
        }
        news
    }

    pub fn purge(&self, head: PurgeHead) {
        let heard = self.ears.is_some().then(|| head.clone());
        self.hub.purge(head);
        if let Some(head) = &heard {
            self.told(Told::Purge(head));
        }
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
        self.told(Told::View(current));
    }

    /// All purges that were acknowledged up to so long ago are in force.
    pub fn proven(&self, ago: Micros) {
        self.hub.proven(ago);
    }

    /// Something of the source could not be used.
    pub fn bad(&self) {
        self.hub.metrics.source_bad.inc();
    }

    /// The whole list in force.
    pub fn list(&self) -> EndpointListHead {
        self.hub.list()
    }
}
