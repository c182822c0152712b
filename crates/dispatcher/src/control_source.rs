//! The interface of control sources, which supply a dispatcher with endpoint lists, purges and fleet counts. The control
//! listener and etcd are control sources.
use crate::core::{EndpointListChange, Input};
use crate::dispatcher_registry::Roster;
use crate::net::FramedCore;
use pointspindle::Micros;
use pointspindle_protocol::{EndpointListHead, PurgeHead};
use std::sync::Arc;

/// Supplies a dispatcher with updates for as long as it runs.
pub trait ControlSource: Send + 'static {
    /// Applies updates to the sink until the returned future is dropped.
    fn run(self, sink: ControlSink) -> impl std::future::Future<Output = ()> + Send;
}

/// An update that has just come into force, passed to a [`ControlObserver`] to measure a source.
#[derive(Clone, Copy, Debug)]
pub enum ControlUpdate<'a> {
    /// A full endpoint list or a delta.
    EndpointList(&'a EndpointListHead),
    /// A purge of an object or a group.
    Purge(&'a PurgeHead),
    /// Whether the source is current: `true` if the endpoint list, the purges and the roster are as current as they should
    /// be. While it is `false`, this dispatcher takes no share of the warm-up budget; the use of cached copies does not depend
    /// on it.
    Freshness(bool),
}

/// Called with each update once it is in force, on the task that applied it.
pub type ControlObserver = Arc<dyn Fn(ControlUpdate<'_>) + Send + Sync>;

/// A source's access to its dispatcher. An update is in force when the method that applies it returns.
#[derive(Clone)]
pub struct ControlSink {
    pub(crate) core: Arc<FramedCore>,
    pub(crate) observer: Option<ControlObserver>,
}

impl std::fmt::Debug for ControlSink {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ControlSink")
            .field("core", &self.core)
            .finish_non_exhaustive()
    }
}

impl ControlSink {
    fn notify_observer(&self, update: ControlUpdate<'_>) {
        if let Some(observer) = &self.observer {
            observer(update);
        }
    }

    /// Applies a full endpoint list or a delta.
    pub fn apply_endpoint_list(&self, head: EndpointListHead) -> EndpointListChange {
        let observed = self.observer.is_some().then(|| head.clone());
        let change = self.core.apply_endpoint_list(head);
        if let Some(head) = &observed {
            self.notify_observer(ControlUpdate::EndpointList(head));
        }
        change
    }

    /// Applies a purge.
    pub fn apply_purge(&self, head: PurgeHead) {
        let observed = self.observer.is_some().then(|| head.clone());
        self.core.apply_purge(head);
        if let Some(head) = &observed {
            self.notify_observer(ControlUpdate::Purge(head));
        }
    }

    /// Records that an unknown set of purges may have been missed: every copy stored before this call is treated as purged.
    pub fn record_missed_updates(&self) {
        self.core.metrics.control_source.gaps.inc();
        self.core.apply(Input::UpdatesMissed);
    }

    /// Sets the registered dispatchers.
    pub fn apply_roster(&self, roster: Roster) {
        self.core
            .metrics
            .control_source
            .registered_dispatchers
            .set(roster.len() as i64);
        self.core.apply(Input::Roster(roster));
    }

    /// Records that this dispatcher's registration was renewed `age_us` microseconds ago, for `lease_duration_us` microseconds.
    pub fn record_registration_renewal(&self, age_us: Micros, lease_duration_us: Micros) {
        self.core.apply(Input::RegistrationRenewed {
            age_us,
            lease_duration_us,
        });
    }

    /// Sets whether the applied updates are as current as they should be.
    pub fn set_current(&self, current: bool) {
        self.core.metrics.control_source.current.set(current.into());
        self.core.apply(Input::SourceFreshness(current));
        self.core.source_is_current.send_replace(current);
        self.notify_observer(ControlUpdate::Freshness(current));
    }

    /// Confirms that all purges acknowledged up to `age_us` microseconds ago are in force.
    pub fn confirm_purges(&self, age_us: Micros) {
        self.core.confirm_purges(age_us);
    }

    /// Counts an update of the source that could not be used.
    pub fn count_rejected_record(&self) {
        self.core.metrics.control_source.rejected_keys.inc();
    }

    /// Returns the endpoint list in force.
    pub fn endpoint_list(&self) -> EndpointListHead {
        self.core.endpoint_list()
    }
}
