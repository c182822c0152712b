//! Executes the steps of a run's script.
use super::control_plane_change::{ControlPlaneChange, ControlPlaneHandle, PurgeTarget};
use super::dispatcher_instance::DispatcherInstance;
use super::environment::Environment;
use super::error::TestbedError;
use super::run_clock::RunClock;
use crate::addresses::dispatcher_source_ip;
use crate::emulated_hosts::{EmulatedHosts, ZonePartitions, EPOCH};
use pointspindle_audit::recorder::Recorder;
use pointspindle_audit::trace::TraceEvent;
use pointspindle_cache_model::{Fault, HostId, ModelInput};
use pointspindle_fleet_model::control_plane::ListedEndpoint;
use pointspindle_fleet_model::purge_propagation::purge_drop_delay;
use pointspindle_scenario::fault_injection::InjectedFault;
use pointspindle_scenario::script::{purge_groups, ListedState, PartitionDirections};
use pointspindle_scenario::{Scenario, Script, ScriptStep};
use std::net::SocketAddr;
use std::time::Duration;

/// The parts of a run on which the script acts.
pub(super) struct ScriptPlayer<'a> {
    pub scenario: &'a Scenario,
    pub environment: &'a Environment<'a>,
    pub injected_fault: Option<InjectedFault>,
    pub hosts: &'a EmulatedHosts,
    pub zone_partitions: &'a ZonePartitions,
    pub control_plane: &'a ControlPlaneHandle,
    /// The dispatchers, by number.
    pub dispatchers: &'a mut [DispatcherInstance],
    pub recorder: &'a Recorder,
    pub clock: &'a RunClock,
}

impl ScriptPlayer<'_> {
    /// Executes each step at its scheduled time.
    pub async fn play(&mut self, script: &Script) -> Result<(), TestbedError> {
        for (at, step) in &script.steps {
            self.clock.sleep_until(*at).await;
            self.execute_step(step).await?;
        }
        Ok(())
    }

    async fn execute_step(&mut self, step: &ScriptStep) -> Result<(), TestbedError> {
        match step {
            ScriptStep::Note(text) => {
                self.recorder
                    .record(TraceEvent::ScriptNote { text: text.clone() });
            }
            ScriptStep::Fault { host, fault } => self.inject_fault(*host, fault.clone()),
            ScriptStep::EndpointUpdate { host, state } => self.update_endpoint(*host, *state),
            ScriptStep::PurgeGroup { group } => {
                for group in purge_groups(self.scenario, *group) {
                    self.purge(PurgeTarget {
                        object: None,
                        group,
                    });
                }
            }
            ScriptStep::PurgeObject { object, group } => self.purge(PurgeTarget {
                object: Some(object.clone()),
                group: *group,
            }),
            ScriptStep::KillDispatcher { dispatcher } => self.kill_dispatcher(*dispatcher).await?,
            ScriptStep::StartDispatcher { dispatcher } => {
                self.start_dispatcher(*dispatcher).await?
            }
            ScriptStep::PauseDispatcher { dispatcher, paused } => {
                self.pause_dispatcher(*dispatcher, *paused).await?
            }
            ScriptStep::StopDispatcher { dispatcher } => self.stop_dispatcher(*dispatcher).await?,
            ScriptStep::ZonePartition {
                zone, directions, ..
            } => self.partition_zone(*zone, *directions),
            ScriptStep::Reachability {
                host,
                reachable: true,
            } => self.hosts.accept_connections(*host).await?,
            ScriptStep::Reachability {
                host,
                reachable: false,
            } => self.hosts.refuse_connections(*host),
            ScriptStep::Partition { host, partitioned } => self.partition_host(*host, *partitioned),
            ScriptStep::EndpointUpdateDelay { extra, until } => {
                self.control_plane
                    .send(ControlPlaneChange::EndpointUpdateDelay {
                        extra: *extra,
                        until: self.clock.run_start + until,
                    });
            }
        }
        Ok(())
    }

    fn inject_fault(&self, host: HostId, fault: Fault) {
        // The script gives the end of a fault relative to the start of the run, the model expects it on its own clock.
        let model_clock_offset = EPOCH + self.clock.run_start;
        self.hosts.apply(ModelInput::Fault {
            host,
            fault: fault.delayed_by(model_clock_offset),
        });
    }

    fn update_endpoint(&self, host: HostId, state: ListedState) {
        let (incarnation, started_at) = self.hosts.with_model(|model| model.incarnation(host));
        let endpoint = ListedEndpoint {
            host,
            address: self.hosts.address_of(host),
            state,
            incarnation,
            started_at: started_at.map(|at| at - EPOCH),
        };
        // A host that has gone down again in the meantime is not announced.
        if state != ListedState::Ready || self.hosts.with_model(|model| model.is_up(host)) {
            self.control_plane
                .send(ControlPlaneChange::EndpointUpdate(endpoint));
        }
    }

    /// Purges an object or group: the origin has new versions at once, the control plane notifies the dispatchers, and
    /// each host drops its older copies after its own delay.
    fn purge(&self, target: PurgeTarget) {
        let purged_at = self.hosts.now();
        let group = target.group;
        let object = target.object_number();
        self.hosts.apply(ModelInput::OriginUpdate { object, group });
        self.control_plane.send(ControlPlaneChange::Purge(target));
        if self.injected_fault == Some(InjectedFault::IgnorePurge) {
            return;
        }
        let all_hosts: Vec<HostId> = self
            .hosts
            .with_model(|model| model.hosts().map(|(host, _)| host).collect());
        for host in all_hosts {
            let purged = object.unwrap_or(group);
            let delay = purge_drop_delay(self.scenario, purged, host, purged_at);
            let hosts = self.hosts.clone();
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_micros(delay)).await;
                hosts.apply(ModelInput::Purge {
                    host,
                    object,
                    group,
                    at: purged_at,
                });
            });
        }
    }

    // Faults may overlap: faults on a dispatcher that is down and starts of a dispatcher that is up are ignored.

    async fn kill_dispatcher(&mut self, dispatcher: usize) -> Result<(), TestbedError> {
        if !self.dispatchers[dispatcher].is_up() {
            return Ok(());
        }
        self.recorder
            .record(TraceEvent::DispatcherKilled { dispatcher });
        self.control_plane
            .send(ControlPlaneChange::DispatcherDown { dispatcher });
        self.dispatchers[dispatcher].kill().await
    }

    async fn start_dispatcher(&mut self, dispatcher: usize) -> Result<(), TestbedError> {
        let instance = &mut self.dispatchers[dispatcher];
        if instance.is_up() {
            return Ok(());
        }
        if instance.is_shutting_down() {
            // The old process has ended by now, and with it the updates that it had received.
            self.recorder
                .record(TraceEvent::DispatcherKilled { dispatcher });
        }
        instance.start(self.scenario).await?;
        let control_address = instance.listen_addresses().control;
        self.control_plane
            .dispatcher_up(dispatcher, control_address)
            .await;
        self.recorder
            .record(TraceEvent::DispatcherStarted { dispatcher });
        Ok(())
    }

    async fn pause_dispatcher(
        &mut self,
        dispatcher: usize,
        paused: bool,
    ) -> Result<(), TestbedError> {
        if !self.dispatchers[dispatcher].is_up() {
            return Ok(());
        }
        self.dispatchers[dispatcher].set_paused(paused).await?;
        self.recorder
            .record(TraceEvent::DispatcherPaused { dispatcher, paused });
        Ok(())
    }

    async fn stop_dispatcher(&mut self, dispatcher: usize) -> Result<(), TestbedError> {
        if !self.dispatchers[dispatcher].is_up() {
            return Ok(());
        }
        self.recorder
            .record(TraceEvent::DispatcherStopping { dispatcher });
        self.control_plane
            .send(ControlPlaneChange::DispatcherDown { dispatcher });
        self.dispatchers[dispatcher].begin_shutdown().await
    }

    fn partition_zone(&self, zone: usize, directions: Option<PartitionDirections>) {
        self.recorder.record(TraceEvent::ZonePartitioned {
            zone,
            partitioned: directions.is_some(),
        });
        self.zone_partitions.set(zone, directions);
    }

    /// Partitions a host from all dispatchers, or heals the partition. Has an effect only on the simulated network.
    fn partition_host(&self, host: HostId, partitioned: bool) {
        let Environment::Simulated(network) = self.environment else {
            return;
        };
        let address = self.hosts.address_of(host);
        let Ok(socket_address) = address.parse::<SocketAddr>() else {
            return;
        };
        self.recorder.record(TraceEvent::HostPartitioned {
            host: address,
            partitioned,
        });
        for dispatcher in 0..self.dispatchers.len() {
            let source = dispatcher_source_ip(dispatcher);
            if partitioned {
                network.partition(source, socket_address.ip());
            } else {
                network.heal(source, socket_address.ip());
            }
        }
    }
}
