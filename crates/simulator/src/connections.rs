//! Opening and loss of the dispatchers' connections to hosts, on which hosts send a hello.
use crate::event::{DispatcherIncarnation, Event, JobEnd};
use crate::simulation::{Simulation, EPOCH};
use pointspindle::Micros;
use pointspindle_audit::trace::AttemptOutcome;
use pointspindle_cache_model::{HostId, ModelInput};
use pointspindle_dispatcher::Input;
use pointspindle_protocol::HelloHead;
use pointspindle_scenario::derive_seed;

/// Maximum delay, in microseconds after the start of a host's process, of a dispatcher's reconnection to the host. Each
/// dispatcher has its own delay.
const MAX_RECONNECT_DELAY_US: Micros = 200_000;

impl Simulation<'_> {
    /// Whether `dispatcher` is the current incarnation of its dispatcher.
    pub fn is_current(&self, dispatcher: DispatcherIncarnation) -> bool {
        self.dispatchers[dispatcher.dispatcher].identity == dispatcher
    }

    /// Returns the one-way latency between a dispatcher and a host, in microseconds.
    pub fn latency_to_host(&self, dispatcher: usize, host: HostId) -> Micros {
        let branch = self.scenario.branch_of_dispatcher(dispatcher);
        self.scenario.latency_between(branch, self.hosts.zone(host))
    }

    /// Whether a request to the host has to wait for a connection.
    pub fn must_connect(&self, dispatcher: usize, host: HostId) -> bool {
        let connections = &self.dispatchers[dispatcher].connections;
        self.scenario.dispatchers.uses_hello && !connections.is_open(host)
    }

    /// Schedules a connection that no request waits for, to begin in `delay` microseconds.
    pub fn connect_in(&mut self, delay: Micros, dispatcher: usize, host: HostId) {
        if !self.must_connect(dispatcher, host) {
            return;
        }
        let connected = Event::Connected {
            dispatcher: self.dispatchers[dispatcher].identity,
            host,
        };
        let round_trip = 2 * self.latency_to_host(dispatcher, host);
        self.schedule_in(delay + round_trip, connected);
    }

    /// Opens a connection that no request waits for, if the dispatcher's process still runs and the host is reachable.
    pub fn connected(&mut self, dispatcher: DispatcherIncarnation, host: HostId) {
        if self.is_current(dispatcher) && self.is_reachable(host) {
            self.open_connection(dispatcher.dispatcher, host);
        }
    }

    /// Opens a connection unless one is open; returns the incarnation of the host's process. On a new connection the
    /// host sends its hello, and a lease while it warms up.
    pub fn open_connection(&mut self, dispatcher: usize, host: HostId) -> u64 {
        let (incarnation, started) = self.cache_model.incarnation(host);
        let connections = &mut self.dispatchers[dispatcher].connections;
        if connections.open(host, incarnation) {
            let now = EPOCH + self.now;
            let hello = HelloHead {
                incarnation,
                started_ago_us: started.map(|at| now.saturating_sub(at)),
                ..HelloHead::default()
            };
            let endpoint = self.hosts.address(host);
            self.core_input(dispatcher, Input::Hello { endpoint, hello });
            self.grant_first_lease(dispatcher, host);
        }
        incarnation
    }

    /// Schedules connections to a host's new process from the dispatchers that had a connection to an earlier one.
    pub fn reconnect_to(&mut self, host: HostId) {
        for dispatcher in 0..self.dispatchers.len() {
            let connections = &self.dispatchers[dispatcher].connections;
            if connections.known_incarnation(host).is_some() {
                let incarnation = self.host_incarnation(host);
                let seed_name = format!("meet {dispatcher} {host} {incarnation}");
                let delay = derive_seed(self.scenario.seed, &seed_name) % MAX_RECONNECT_DELAY_US;
                self.connect_in(delay, dispatcher, host);
            }
        }
    }

    /// Closes all connections to a host whose process has ended or cannot be reached.
    pub fn close_connections(&mut self, host: HostId) {
        for dispatcher in &mut self.dispatchers {
            dispatcher.connections.close(host);
        }
        self.end_leases_of_disconnected_host(host);
    }

    /// Makes a host with a running process unreachable: its connections break, and its jobs are cancelled.
    pub fn make_unreachable(&mut self, host: HostId) {
        self.unreachable_hosts.insert(host);
        self.close_connections(host);
        for job in self.jobs.at_host(host) {
            self.model_input(ModelInput::Cancel { host, job });
            self.end_job(job, JobEnd::ConnectionLost, AttemptOutcome::ConnectionLost);
        }
    }
}
