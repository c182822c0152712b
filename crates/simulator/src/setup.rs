//! Construction of a simulation from its scenario.
use crate::clients::Clients;
use crate::dispatcher::SimulatedDispatcher;
use crate::event::Event;
use crate::event_queue::EventQueue;
use crate::host_directory::HostDirectory;
use crate::jobs::JobTable;
use crate::partitions::ZonePartitions;
use crate::simulation::Simulation;
use crate::RunCost;
use pointspindle_audit::trace::TraceEvent;
use pointspindle_cache_model::{CacheModel, HostSpec};
use pointspindle_config::DispatcherSettings;
use pointspindle_fleet_model::control_plane::ControlPlane;
use pointspindle_fleet_model::dispatcher_settings::{dispatcher_ini, ListenAddresses};
use pointspindle_scenario::fault_injection::InjectedFault;
use pointspindle_scenario::{derive_seed, Scenario, Script, Traffic};
use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;

const HOSTS_PER_SUBNET: usize = 250;
const SUBNETS_PER_BLOCK: usize = 250;

/// Returns the address of the host with this number.
fn host_address(number: usize) -> String {
    let subnet = number / HOSTS_PER_SUBNET;
    format!(
        "10.{}.{}.{}:80",
        subnet / SUBNETS_PER_BLOCK,
        subnet % SUBNETS_PER_BLOCK,
        number % HOSTS_PER_SUBNET + 1
    )
}

impl<'a> Simulation<'a> {
    /// Creates a simulation at the start of its run. Fails if the scenario gives invalid settings for a dispatcher.
    pub fn new(
        scenario: &'a Scenario,
        traffic: &'a Traffic,
        injected_fault: Option<InjectedFault>,
    ) -> Result<Self, String> {
        let initial_hosts = scenario.hosts(host_address);
        let script = Script::generate(scenario, &initial_hosts, host_address);
        let all_hosts = [&initial_hosts[..], &script.added_hosts[..]].concat();
        let mut simulation = Self {
            scenario,
            calls: &traffic.calls,
            injected_fault,
            now: 0,
            events: EventQueue::default(),
            clients: Clients::default(),
            dispatchers: Vec::new(),
            hosts: HostDirectory::new(&all_hosts, &scenario.zones()),
            cache_model: cache_model(scenario, &initial_hosts, &script),
            cache_model_timer: None,
            jobs: JobTable::default(),
            control_plane: ControlPlane::new(
                scenario.limits.rules,
                &initial_hosts,
                scenario.dispatcher_count(),
                scenario.seed,
            ),
            work_ledgers: HashMap::new(),
            unreachable_hosts: HashSet::new(),
            zone_partitions: ZonePartitions::default(),
            trace: Vec::new(),
            cost: RunCost::default(),
            script,
        };
        simulation.declare_hosts(&all_hosts);
        simulation.start_dispatchers()?;
        simulation.schedule_calls_and_script();
        Ok(simulation)
    }

    fn declare_hosts(&mut self, hosts: &[HostSpec]) {
        for host in hosts {
            self.record(TraceEvent::HostDeclared {
                host: host.address.clone(),
                role: host.role,
                zone: host.zone,
                weight: host.weight,
            });
        }
    }

    fn start_dispatchers(&mut self) -> Result<(), String> {
        for dispatcher in 0..self.scenario.dispatcher_count() {
            let settings = dispatcher_settings(self.scenario, dispatcher)?;
            let simulated = SimulatedDispatcher::new(dispatcher, settings, self.scenario.seed);
            self.dispatchers.push(simulated);
            self.control_plane.connect(0, dispatcher);
        }
        Ok(())
    }

    fn schedule_calls_and_script(&mut self) {
        for (n, call) in self.calls.iter().enumerate() {
            self.events.schedule(call.at, Event::CallStarts(n));
        }
        for (n, (at, _)) in self.script.steps.iter().enumerate() {
            self.events.schedule(*at, Event::ScriptStep(n));
        }
    }
}

fn cache_model(scenario: &Scenario, initial_hosts: &[HostSpec], script: &Script) -> CacheModel {
    let mut model = CacheModel::new(
        scenario.cache_model_settings(),
        initial_hosts.to_vec(),
        scenario.size_catalogue(),
        derive_seed(scenario.seed, "world"),
    );
    for added_host in &script.added_hosts {
        model.add_host(added_host.clone());
    }
    model
}

/// Returns the settings of a dispatcher, parsed from the configuration file that a real process would be given.
fn dispatcher_settings(
    scenario: &Scenario,
    dispatcher: usize,
) -> Result<DispatcherSettings, String> {
    let unused = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
    let listen = ListenAddresses {
        http: unused,
        framed: unused,
        control: unused,
        metrics: unused,
    };
    let no_folder = Path::new("");
    let text = dispatcher_ini(scenario, dispatcher, &listen, "127.0.0.1", no_folder, None);
    pointspindle_config::parse("the scenario", &text).map_err(|errors| errors.to_string())
}
