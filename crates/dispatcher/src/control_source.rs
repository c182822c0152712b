//! Where a dispatcher's lists, purges and counts come from: the control door is one source, etcd another.
use crate::core::{EndpointListChange, Input};
use crate::dispatcher_registry::Roster;
use crate::net::FramedCore;
use pointspindle::Micros;
use pointspindle_protocol::{EndpointListHead, PurgeHead};
use std::sync::Arc;

/// Tells a dispatcher what it learns, for as long as that runs.
pub trait ControlSource: Send + 'static {
    fn run(self, teller: ControlSink) -> impl std::future::Future<Output = ()> + Send;
}

/// What has just come into force: for who measures a source.
#[derive(Clone, Copy, Debug)]
pub enum ControlUpdate<'a> {
    EndpointList(&'a EndpointListHead),
    Purge(&'a PurgeHead),
    Freshness(bool),
}

/// Hears each word once it is in force, on the task that told it.
pub type ControlObserver = Arc<dyn Fn(ControlUpdate<'_>) + Send + Sync>;

/// The way into a dispatcher. What is told is in force when the method returns.
#[derive(Clone)]
pub struct ControlSink {
    pub(crate) hub: Arc<FramedCore>,
    pub(crate) ears: Option<ControlObserver>,
}

impl std::fmt::Debug for ControlSink {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Teller")
            .field("hub", &self.hub)
            .finish_non_exhaustive()
    }
}

impl ControlSink {
    fn told(&self, told: ControlUpdate<'_>) {
        if let Some(ears) = &self.ears {
            ears(told);
        }
    }

    pub fn apply_endpoint_list(&self, head: EndpointListHead) -> EndpointListChange {
        let heard = self.ears.is_some().then(|| head.clone());
        let news = self.hub.apply_endpoint_list(head);
        if let Some(head) = &heard {
            self.told(ControlUpdate::EndpointList(head));
        }
        news
    }

    pub fn apply_purge(&self, head: PurgeHead) {
        let heard = self.ears.is_some().then(|| head.clone());
        self.hub.apply_purge(head);
        if let Some(head) = &heard {
            self.told(ControlUpdate::Purge(head));
        }
    }

    /// Purges may have been missed, nobody knows which: every copy from before now counts as purged.
    pub fn updates_missed(&self) {
        self.hub.metrics.source_gaps.inc();
        self.hub.apply(Input::UpdatesMissed);
    }

    /// Which dispatchers there are.
    pub fn roster(&self, roster: Roster) {
        self.hub.metrics.peers.set(roster.len() as i64);
        self.hub.apply(Input::Roster(roster));
    }

    /// This dispatcher's own registration was kept, `ago` ago for so long.
    pub fn registration_renewed(&self, ago: Micros, lasts: Micros) {
        self.hub.apply(Input::RegistrationRenewed {
            ago,
            duration: lasts,
        });
    }

    /// Whether what was told is as new as it should be.
    pub fn set_current(&self, current: bool) {
        self.hub.metrics.source_current.set(current.into());
        self.hub.apply(Input::SourceFreshness(current));
        self.hub.view.send_replace(current);
        self.told(ControlUpdate::Freshness(current));
    }

    /// All purges that were acknowledged up to so long ago are in force.
    pub fn confirm_purges(&self, ago: Micros) {
        self.hub.confirm_purges(ago);
    }

    /// Something of the source could not be used.
    pub fn count_unusable(&self) {
        self.hub.metrics.source_bad.inc();
    }

    /// The whole list in force.
    pub fn endpoint_list(&self) -> EndpointListHead {
        self.hub.endpoint_list()
    }
}
