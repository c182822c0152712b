//! The emulated control plane that connects to the dispatchers: delivers the updates of the control plane model at the
//! times that the model determines.
use super::control_plane_change::{ControlPlaneChange, PurgeTarget};
use super::endpoint_attributes::EndpointAttributesByHost;
use crate::emulated_hosts::EmulatedHosts;
use pointspindle::Micros;
use pointspindle_audit::recorder::Recorder;
use pointspindle_audit::trace::TraceEvent;
use pointspindle_fleet_model::control_plane::{self, ControlPlane, ControlUpdate, ListedEndpoint};
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::{EndpointListForm, Frame, PurgeHead};
use pointspindle_scenario::fault_injection::InjectedFault;
use pointspindle_transport::{ConnectionOptions, FramedConnection, Network};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest wait for a change when no update is due.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

/// The parts of the run that the control plane needs.
pub(super) struct DirectControlPlaneParts {
    pub model: ControlPlane,
    pub hosts: EmulatedHosts,
    pub recorder: Recorder,
    pub attributes: EndpointAttributesByHost,
    pub injected_fault: Option<InjectedFault>,
    pub network: Network,
}

/// The control plane with its connections to dispatchers.
pub(super) struct DirectControlPlane {
    parts: DirectControlPlaneParts,
    connections: HashMap<usize, FramedConnection>,
    awaiting_first_list: HashMap<usize, oneshot::Sender<()>>,
}

/// An update that is delivered to a dispatcher.
struct Delivery {
    frame: Frame,
    event: TraceEvent,
    /// Whether an injected fault withholds the update: it is recorded as delivered but not sent.
    withheld: bool,
}

impl DirectControlPlane {
    /// Creates a control plane without connections.
    pub fn new(parts: DirectControlPlaneParts) -> Self {
        Self {
            parts,
            connections: HashMap::new(),
            awaiting_first_list: HashMap::new(),
        }
    }

    /// Applies changes and delivers updates when they are due, until the run's handle is dropped.
    pub async fn run(mut self, mut changes: mpsc::UnboundedReceiver<ControlPlaneChange>) {
        loop {
            let now = self.parts.recorder.now();
            self.deliver_due(now).await;
            let wait = match self.parts.model.next_due() {
                Some(due) => Duration::from_micros(due.saturating_sub(now)),
                None => MAX_WAIT,
            };
            let change = tokio::select! {
                change = changes.recv() => change,
                _ = tokio::time::sleep(wait) => continue,
            };
            match change {
                Some(change) => self.apply(change).await,
                None => return,
            }
        }
    }

    async fn deliver_due(&mut self, now: Micros) {
        for (dispatcher, update) in self.parts.model.take_due(now) {
            if let Some(connection) = self.connections.get(&dispatcher) {
                self.deliver(dispatcher, connection, update).await;
            }
            if let Some(delivered) = self.awaiting_first_list.remove(&dispatcher) {
                let _ = delivered.send(());
            }
        }
    }

    async fn apply(&mut self, change: ControlPlaneChange) {
        let now = self.parts.recorder.now();
        let model = &mut self.parts.model;
        match change {
            ControlPlaneChange::EndpointUpdate(endpoint) => model.update_endpoint(now, endpoint),
            ControlPlaneChange::Purge(target) => model.purge(now, target.object, target.group),
            ControlPlaneChange::EndpointUpdateDelay { extra, until } => {
                model.delay_updates(extra, until)
            }
            ControlPlaneChange::DispatcherDown { dispatcher } => self.disconnect(dispatcher),
            ControlPlaneChange::DispatcherUp {
                dispatcher,
                control_address,
                list_delivered,
            } => {
                if self.connect(dispatcher, control_address).await {
                    self.awaiting_first_list.insert(dispatcher, list_delivered);
                    self.parts.model.connect(now, dispatcher);
                }
            }
        }
    }

    fn disconnect(&mut self, dispatcher: usize) {
        self.parts.model.disconnect(dispatcher);
        if let Some(connection) = self.connections.remove(&dispatcher) {
            connection.close("the dispatcher is down");
        }
    }

    /// Connects to a dispatcher; returns whether that succeeded.
    async fn connect(&mut self, dispatcher: usize, address: SocketAddr) -> bool {
        let connect = self.parts.network.connect(None, address);
        let Ok(Ok(socket)) = tokio::time::timeout(CONNECT_TIMEOUT, connect).await else {
            tracing::error!(dispatcher, "control plane failed to connect to dispatcher");
            return false;
        };
        let (connection, mut incoming) =
            FramedConnection::start(socket, Side::Caller, ConnectionOptions::default());
        tokio::spawn(async move { while incoming.next().await.is_some() {} });
        self.connections.insert(dispatcher, connection);
        true
    }

    async fn deliver(
        &self,
        dispatcher: usize,
        connection: &FramedConnection,
        update: ControlUpdate,
    ) {
        let delivery = match update {
            ControlUpdate::Purge { object, group, at } => {
                self.purge(dispatcher, PurgeTarget { object, group }, at)
            }
            ControlUpdate::Delta(seq, endpoints) => {
                self.endpoint_list(dispatcher, EndpointListForm::Delta, seq, &endpoints)
            }
            ControlUpdate::Full(seq, endpoints) => {
                self.endpoint_list(dispatcher, EndpointListForm::Full, seq, &endpoints)
            }
        };
        // The delivery is recorded before it can take effect.
        self.parts.recorder.record(delivery.event);
        if !delivery.withheld {
            let _ = connection.control(delivery.frame).await;
        }
    }

    fn purge(&self, dispatcher: usize, target: PurgeTarget, purged_at: Micros) -> Delivery {
        let age_us = self.parts.recorder.now().saturating_sub(purged_at);
        let version_from = target.current_version(&self.parts.hosts);
        let event = target.delivered_event(dispatcher, version_from);
        let head = PurgeHead {
            object: target.object,
            group: target.group,
            age_us,
            seq: 0,
        };
        Delivery {
            frame: Frame::Purge(head),
            event,
            withheld: false,
        }
    }

    fn endpoint_list(
        &self,
        dispatcher: usize,
        form: EndpointListForm,
        seq: u64,
        endpoints: &[ListedEndpoint],
    ) -> Delivery {
        let attributes = |host| {
            let attributes = self.parts.attributes.get(&host)?;
            Some((
                attributes.kind.as_str(),
                attributes.zone.as_str(),
                attributes.weight,
            ))
        };
        let update = control_plane::list_update(
            dispatcher,
            form,
            seq,
            endpoints,
            self.parts.recorder.now(),
            self.parts.injected_fault,
            attributes,
        );
        Delivery {
            frame: Frame::EndpointList(update.head),
            event: update.event,
            withheld: update.withheld,
        }
    }
}
