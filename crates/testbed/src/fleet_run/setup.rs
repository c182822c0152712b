//! Starts the parts of a run: emulated hosts, control plane and dispatchers.
use super::clients::Target;
use super::control_plane_change::ControlPlaneHandle;
use super::direct_control_plane::{DirectControlPlane, DirectControlPlaneParts};
use super::dispatcher_instance::DispatcherInstance;
use super::duplicating_relay::start_duplicating_relay;
use super::endpoint_attributes::{endpoint_attributes, EndpointAttributesByHost};
use super::environment::Environment;
use super::error::TestbedError;
use super::etcd_control_plane::{EtcdControlPlane, EtcdControlPlaneParts};
use super::plan::RunPlan;
use super::response_relay::{start_response_relay, ResponseFault};
use super::unreliable_etcd::UnreliableEtcd;
use crate::addresses::{dispatcher_source_ip, fill_source_ip, host_relay_ip};
use crate::emulated_hosts::{
    EmulatedHosts, EmulatedHostsOptions, LedgerFactory, ZonePartitionPlan, ZonePartitions,
};
use pointspindle_audit::recorder::Recorder;
use pointspindle_audit::trace::TraceEvent;
use pointspindle_cache_model::{CacheModel, Role};
use pointspindle_fleet_model::control_plane::ControlPlane;
use pointspindle_scenario::derive_seed;
use pointspindle_scenario::fault_injection::InjectedFault;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// Delay of responses in addition to the shortest deadline and the timing tolerance.
const DELAY_BEYOND_DEADLINE: Duration = Duration::from_millis(400);
/// A response relay begins to inject its fault after the duration of the run divided by this number.
const FAULT_FREE_DIVISOR: u64 = 3;
/// The dispatcher whose responses a relay drops or delays.
const FAULTY_DISPATCHER: usize = 0;
/// The host in front of which attempts are duplicated.
const DUPLICATED_HOST: usize = 0;

/// The inputs for starting the parts of a run.
pub(super) struct Setup<'a> {
    pub plan: &'a RunPlan,
    pub environment: &'a Environment<'a>,
    pub folder: &'a Path,
    pub recorder: &'a Recorder,
}

/// The running parts of a fleet.
pub(super) struct Fleet {
    pub hosts: EmulatedHosts,
    pub zone_partitions: ZonePartitions,
    pub control_plane: ControlPlaneHandle,
    /// The dispatchers, by number.
    pub dispatchers: Vec<DispatcherInstance>,
    /// How clients reach the dispatchers, by number.
    pub targets: Vec<Target>,
}

struct StartedDispatchers {
    instances: Vec<DispatcherInstance>,
    targets: Vec<Target>,
}

impl Setup<'_> {
    /// Starts all parts and waits until each dispatcher has its endpoint list.
    pub async fn start(&self) -> Result<Fleet, TestbedError> {
        let zone_partitions = ZonePartitions::default();
        let hosts = self.start_hosts(&zone_partitions).await?;
        let control_plane = self.start_control_plane(&hosts).await?;
        let dispatchers = self.start_dispatchers(&control_plane).await?;
        Ok(Fleet {
            hosts,
            zone_partitions,
            control_plane,
            dispatchers: dispatchers.instances,
            targets: dispatchers.targets,
        })
    }

    /// Starts the emulated hosts and records their role, zone and weight.
    async fn start_hosts(
        &self,
        zone_partitions: &ZonePartitions,
    ) -> Result<EmulatedHosts, TestbedError> {
        self.record_hosts();
        let scenario = &self.plan.scenario;
        let hosts = EmulatedHosts::new(
            self.cache_model(),
            scenario.class_models(),
            self.recorder.clone(),
            self.host_options(zone_partitions),
        );
        hosts.start().await?;
        Ok(hosts)
    }

    fn host_options(&self, zone_partitions: &ZonePartitions) -> EmulatedHostsOptions {
        let scenario = &self.plan.scenario;
        let dispatchers = 0..scenario.dispatcher_count();
        let sources = dispatchers.clone().map(|n| (dispatcher_source_ip(n), n));
        let zone_partitions = self.plan.partitions_zones().then(|| ZonePartitionPlan {
            partitions: zone_partitions.clone(),
            dispatcher_zones: dispatchers
                .map(|dispatcher| scenario.branch_of_dispatcher(dispatcher))
                .collect(),
        });
        let ledger_factory = scenario.dispatchers.uses_hello.then(|| {
            let scenario = scenario.clone();
            LedgerFactory(Arc::new(move |role, weight, started| {
                scenario.work_ledger(role, weight, started)
            }))
        });
        let mut options = EmulatedHostsOptions {
            dispatchers: sources.collect(),
            fill_source: Some(fill_source_ip()),
            ledger_factory,
            network: self.environment.network(),
            zone_partitions,
            ..Default::default()
        };
        if self.plan.injected_fault == Some(InjectedFault::IgnorePurge) {
            let all_hosts = self.plan.all_hosts();
            let caches = all_hosts.iter().filter(|host| host.role == Role::Cache);
            options.ignores_max_age = caches.map(|host| host.address.clone()).collect();
        }
        options
    }

    fn record_hosts(&self) {
        for host in self.plan.all_hosts() {
            let declared = TraceEvent::HostDeclared {
                host: host.address,
                role: host.role,
                zone: host.zone,
                weight: host.weight,
            };
            self.recorder.record_at(0, declared);
        }
    }

    fn cache_model(&self) -> CacheModel {
        let scenario = &self.plan.scenario;
        let mut model = CacheModel::new(
            scenario.cache_model_settings(),
            self.plan.initial_hosts.clone(),
            scenario.size_catalogue(),
            derive_seed(scenario.seed, "world"),
        );
        for added in &self.plan.script.added_hosts {
            model.add_host(added.clone());
        }
        model
    }

    /// Starts the control plane.
    async fn start_control_plane(
        &self,
        hosts: &EmulatedHosts,
    ) -> Result<ControlPlaneHandle, TestbedError> {
        let model = self.control_plane_model().await?;
        let zones = self.plan.scenario.zones();
        let attributes = endpoint_attributes(&self.plan.all_hosts(), &zones);
        let (handle, changes) = ControlPlaneHandle::new();
        match self.environment {
            Environment::Processes {
                etcd: Some(etcd), ..
            } => {
                let control_plane = self.etcd_control_plane(etcd, hosts, attributes).await?;
                tokio::spawn(control_plane.run(changes));
            }
            _ => {
                let control_plane = DirectControlPlane::new(DirectControlPlaneParts {
                    model,
                    hosts: hosts.clone(),
                    recorder: self.recorder.clone(),
                    attributes,
                    injected_fault: self.plan.injected_fault,
                    network: self.environment.network(),
                });
                tokio::spawn(control_plane.run(changes));
            }
        }
        Ok(handle)
    }

    async fn control_plane_model(&self) -> Result<ControlPlane, TestbedError> {
        let scenario = &self.plan.scenario;
        let initial_hosts = &self.plan.initial_hosts;
        let mut model = ControlPlane::new(
            scenario.limits.rules,
            initial_hosts,
            scenario.dispatcher_count(),
            scenario.seed,
        );
        if self.plan.injected_fault == Some(InjectedFault::DuplicateAttempts) {
            let host: SocketAddr = initial_hosts[DUPLICATED_HOST]
                .address
                .parse()
                .map_err(std::io::Error::other)?;
            let relay = start_duplicating_relay(host, host_relay_ip()).await?;
            model.set_address(DUPLICATED_HOST, relay.to_string());
        }
        Ok(model)
    }

    async fn etcd_control_plane(
        &self,
        etcd: &UnreliableEtcd,
        hosts: &EmulatedHosts,
        attributes: EndpointAttributesByHost,
    ) -> Result<EtcdControlPlane, TestbedError> {
        let parts = EtcdControlPlaneParts {
            etcd: etcd.client.clone(),
            hosts: hosts.clone(),
            recorder: self.recorder.clone(),
            attributes,
            dispatchers: self.plan.scenario.dispatcher_count(),
        };
        Ok(EtcdControlPlane::new(parts, &self.plan.initial_hosts).await?)
    }

    /// Starts the dispatchers, with a relay in front of one of them if the injected fault needs it, and waits until
    /// each has its endpoint list.
    async fn start_dispatchers(
        &self,
        control_plane: &ControlPlaneHandle,
    ) -> Result<StartedDispatchers, TestbedError> {
        let mut instances = Vec::new();
        let mut targets = Vec::new();
        for number in 0..self.plan.scenario.dispatcher_count() {
            let mut instance = self.environment.new_dispatcher(self.folder, number);
            instance.start(&self.plan.scenario).await?;
            let listen_addresses = instance.listen_addresses();
            let http_address = match self.response_fault(number) {
                Some(fault) => self.start_relay(listen_addresses.http, fault).await?,
                None => listen_addresses.http,
            };
            targets.push(Target::new(number, http_address, listen_addresses.framed));
            instances.push(instance);
        }
        for (number, instance) in instances.iter().enumerate() {
            let control_address = instance.listen_addresses().control;
            control_plane.dispatcher_up(number, control_address).await;
        }
        Ok(StartedDispatchers { instances, targets })
    }

    fn response_fault(&self, dispatcher: usize) -> Option<ResponseFault> {
        if dispatcher != FAULTY_DISPATCHER {
            return None;
        }
        match self.plan.injected_fault? {
            InjectedFault::DropResponses => Some(ResponseFault::Drop),
            InjectedFault::DelayResponses => Some(ResponseFault::Delay(self.response_delay())),
            _ => None,
        }
    }

    fn response_delay(&self) -> Duration {
        let scenario = &self.plan.scenario;
        let deadlines = scenario.workload.classes.iter().map(|class| class.deadline);
        let shortest = deadlines.min().unwrap_or(0);
        let tolerated = shortest + scenario.limits.rules.timing_tolerance;
        Duration::from_micros(tolerated) + DELAY_BEYOND_DEADLINE
    }

    async fn start_relay(
        &self,
        dispatcher: SocketAddr,
        fault: ResponseFault,
    ) -> std::io::Result<SocketAddr> {
        // The first part of the run has no fault.
        let from = self.recorder.now() + self.plan.scenario.duration() / FAULT_FREE_DIVISOR;
        start_response_relay(dispatcher, fault, from, self.recorder.clone()).await
    }
}
