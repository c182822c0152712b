//! The emulated control plane that writes endpoints and purges to etcd.
//!
//! A write counts as delivered to all dispatchers at once: they must receive it within the tolerances of the rules,
//! over watch streams that break.
use super::control_plane_change::{ControlPlaneChange, PurgeTarget};
use super::endpoint_attributes::EndpointAttributesByHost;
use crate::emulated_hosts::EmulatedHosts;
use pointspindle_audit::recorder::Recorder;
use pointspindle_cache_model::{HostId, HostSpec};
use pointspindle_etcd::layout::{EndpointState, MemberRecord, PurgeRecord};
use pointspindle_etcd::{writer, Etcd};
use pointspindle_fleet_model::control_plane::{self, ListedEndpoint};
use pointspindle_fleet_model::dispatcher_settings::ETCD_PREFIX;
use pointspindle_protocol::EndpointListForm;
use pointspindle_scenario::script::ListedState;
use tokio::sync::mpsc;

/// The parts of the run that the control plane needs.
pub(super) struct EtcdControlPlaneParts {
    pub etcd: Etcd,
    pub hosts: EmulatedHosts,
    pub recorder: Recorder,
    pub attributes: EndpointAttributesByHost,
    /// Number of dispatchers.
    pub dispatchers: usize,
}

/// The control plane and the endpoints that it has written.
pub(super) struct EtcdControlPlane {
    parts: EtcdControlPlaneParts,
    endpoints: Vec<ListedEndpoint>,
}

impl EtcdControlPlane {
    /// Creates the control plane and writes the hosts that run from the start.
    pub async fn new(
        parts: EtcdControlPlaneParts,
        initial_hosts: &[HostSpec],
    ) -> std::io::Result<Self> {
        let control_plane = Self {
            parts,
            endpoints: initial_hosts
                .iter()
                .enumerate()
                .map(initial_endpoint)
                .collect(),
        };
        for endpoint in &control_plane.endpoints {
            control_plane
                .write_endpoint(endpoint)
                .await
                .map_err(std::io::Error::other)?;
        }
        Ok(control_plane)
    }

    /// Applies changes until the run's handle is dropped.
    pub async fn run(mut self, mut changes: mpsc::UnboundedReceiver<ControlPlaneChange>) {
        while let Some(change) = changes.recv().await {
            match change {
                ControlPlaneChange::EndpointUpdate(endpoint) => self.update(endpoint).await,
                ControlPlaneChange::Purge(target) => self.purge(target).await,
                // A dispatcher has read all endpoints before it listens.
                ControlPlaneChange::DispatcherUp {
                    dispatcher,
                    list_delivered,
                    ..
                } => {
                    self.record_delivery(dispatcher, EndpointListForm::Full, &self.endpoints);
                    let _ = list_delivered.send(());
                }
                ControlPlaneChange::DispatcherDown { .. }
                | ControlPlaneChange::EndpointUpdateDelay { .. } => {}
            }
        }
    }

    async fn update(&mut self, endpoint: ListedEndpoint) {
        self.endpoints.retain(|known| known.host != endpoint.host);
        self.endpoints.push(endpoint.clone());
        let written = self.write_endpoint(&endpoint).await;
        let changed = std::slice::from_ref(&endpoint);
        for dispatcher in 0..self.parts.dispatchers {
            self.record_delivery(dispatcher, EndpointListForm::Delta, changed);
        }
        if let Err(e) = written {
            tracing::error!(error = %e, "endpoint not written to etcd");
        }
    }

    async fn purge(&self, target: PurgeTarget) {
        let version_from = target.current_version(&self.parts.hosts);
        let record = PurgeRecord {
            object: target.object.clone(),
            group: target.group,
        };
        let written = writer::write_purge(&self.parts.etcd, ETCD_PREFIX, &record).await;
        for dispatcher in 0..self.parts.dispatchers {
            let event = target.delivered_event(dispatcher, version_from);
            self.parts.recorder.record(event);
        }
        if let Err(e) = written {
            tracing::error!(error = %e, "purge not written to etcd");
        }
    }

    async fn write_endpoint(&self, endpoint: &ListedEndpoint) -> Result<(), writer::WriteError> {
        let record = self.endpoint_record(endpoint);
        let replace = |_| Ok(record.clone());
        writer::update_member(&self.parts.etcd, ETCD_PREFIX, &endpoint.address, replace)
            .await
            .map(drop)
    }

    /// Returns the record of an endpoint, or `None` if the endpoint is removed.
    fn endpoint_record(&self, endpoint: &ListedEndpoint) -> Option<MemberRecord> {
        let state = match endpoint.state {
            ListedState::Ready => EndpointState::Ready,
            ListedState::Draining => EndpointState::Draining,
            ListedState::Removed => return None,
        };
        let attributes = self.parts.attributes.get(&endpoint.host);
        let attributes = attributes.cloned().unwrap_or_default();
        let started_unix_ms = endpoint.started_at.map(|started_at| {
            let running_us = self.parts.recorder.now().saturating_sub(started_at);
            pointspindle_clock::wall_clock_unix_ms().saturating_sub(running_us / 1_000)
        });
        Some(MemberRecord {
            state,
            weight: attributes.weight,
            zone: attributes.zone,
            kind: attributes.kind,
            cell: 0,
            start: endpoint.incarnation,
            started_unix_ms,
        })
    }

    fn record_delivery(
        &self,
        dispatcher: usize,
        form: EndpointListForm,
        endpoints: &[ListedEndpoint],
    ) {
        let now = self.parts.recorder.now();
        let no_attributes = |_| None;
        let update =
            control_plane::list_update(dispatcher, form, 0, endpoints, now, None, no_attributes);
        self.parts.recorder.record(update.event);
    }
}

fn initial_endpoint((host, spec): (HostId, &HostSpec)) -> ListedEndpoint {
    ListedEndpoint {
        host,
        address: spec.address.clone(),
        state: ListedState::Ready,
        incarnation: 1,
        started_at: None,
    }
}
