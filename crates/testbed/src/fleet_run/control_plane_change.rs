//! Changes that a run reports to its control plane.
use crate::emulated_hosts::EmulatedHosts;
use pointspindle::{Micros, ObjectId};
use pointspindle_audit::trace::TraceEvent;
use pointspindle_fleet_model::control_plane::ListedEndpoint;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// The longest wait for the control plane to deliver the first endpoint list to a dispatcher.
const INITIAL_LIST_TIMEOUT: Duration = Duration::from_secs(5);

/// A change that the control plane passes on to the dispatchers.
pub(super) enum ControlPlaneChange {
    /// An endpoint has a new entry in the endpoint list.
    EndpointUpdate(ListedEndpoint),
    /// An object or a group was purged.
    Purge(PurgeTarget),
    /// Endpoint updates are delayed further, until a time on the recorder's clock.
    EndpointUpdateDelay {
        /// The extra delay, in microseconds.
        extra: Micros,
        /// The end of the delay, in microseconds.
        until: Micros,
    },
    /// A dispatcher has ended or is shutting down.
    DispatcherDown {
        /// The dispatcher's number.
        dispatcher: usize,
    },
    /// A dispatcher has started and listens.
    DispatcherUp {
        /// The dispatcher's number.
        dispatcher: usize,
        /// The address of the dispatcher's control listener.
        control_address: SocketAddr,
        /// Notified once the complete endpoint list has been delivered to the dispatcher.
        list_delivered: oneshot::Sender<()>,
    },
}

/// The object or group that a purge covers.
#[derive(Clone, Debug)]
pub(super) struct PurgeTarget {
    /// The object, or `None` for every object of the group.
    pub object: Option<String>,
    /// The group.
    pub group: u64,
}

impl PurgeTarget {
    /// Returns the number of the object, or `None` if the purge covers a group.
    pub fn object_number(&self) -> Option<u64> {
        self.object.as_deref().map(|name| ObjectId::named(name).0)
    }

    /// Returns the origin's version of the object; for a group, the minimum version of its objects.
    pub fn current_version(&self, hosts: &EmulatedHosts) -> u64 {
        let object = self.object_number().unwrap_or(0);
        hosts.with_model(|model| model.current_version(object, self.group))
    }

    /// Returns the trace event of the delivery to a dispatcher, with the minimum version that the dispatcher may serve
    /// afterwards.
    pub fn delivered_event(&self, dispatcher: usize, version_from: u64) -> TraceEvent {
        TraceEvent::PurgeDelivered {
            dispatcher,
            object: self.object_number(),
            group: self.group,
            version_from,
        }
    }
}

/// The sending side of the changes.
#[derive(Clone)]
pub(super) struct ControlPlaneHandle {
    changes: mpsc::UnboundedSender<ControlPlaneChange>,
}

impl ControlPlaneHandle {
    /// Creates a handle and the receiver of the changes that it sends.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<ControlPlaneChange>) {
        let (changes, receiver) = mpsc::unbounded_channel();
        (Self { changes }, receiver)
    }

    /// Reports a change. The change is dropped if the control plane has ended.
    pub fn send(&self, change: ControlPlaneChange) {
        let _ = self.changes.send(change);
    }

    /// Reports a dispatcher that listens and waits until the endpoint list has been delivered to it or a timeout has
    /// passed.
    pub async fn dispatcher_up(&self, dispatcher: usize, control_address: SocketAddr) {
        let (list_delivered, delivery) = oneshot::channel();
        self.send(ControlPlaneChange::DispatcherUp {
            dispatcher,
            control_address,
            list_delivered,
        });
        let _ = tokio::time::timeout(INITIAL_LIST_TIMEOUT, delivery).await;
    }
}
