//! Connections of dispatchers to hosts that introduce themselves with a hello: how they are opened and lost.
use crate::event::{DispatcherIncarnation, Event, JobEnd};
use crate::simulation::{Simulation, EPOCH};
use pointspindle::Micros;
use pointspindle_audit::trace::AttemptOutcome;
use pointspindle_cache_model::{HostId, ModelInput};
use pointspindle_dispatcher::Input;
use pointspindle_protocol::HelloHead;
use pointspindle_scenario::derive_seed;

/// Dispatchers that lost their connections to a host's process reconnect to the next one within this time of its
/// start, each after a delay of its own.
const MAX_RECONNECT_DELAY_US: Micros = 200_000;

impl Simulation<'_> {
    /// Whether this is the dispatcher's running process.
    pub fn is_current(&self, dispatcher: DispatcherIncarnation) -> bool {
        self.dispatchers[dispatcher.dispatcher].identity == dispatcher
    }

    /// Latency between a dispatcher and a host, one way, in microseconds.
    pub fn latency_to_host(&self, dispatcher: usize, host: HostId) -> Micros {
        let branch = self.scenario.branch_of_dispatcher(dispatcher);
        self.scenario.latency_between(branch, self.hosts.zone(host))
    }

    /// Whether a request to the host has to wait for a connection.
    pub fn must_connect(&self, dispatcher: usize, host: HostId) -> bool {
        let connections = &self.dispatchers[dispatcher].connections;
        self.scenario.dispatchers.uses_hello && !connections.is_open(host)
    }

    /// Schedules a connection without a request for it, to begin in `delay` microseconds.
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

    /// A connection without a request for it is established, if both ends are still there.
    pub fn connected(&mut self, dispatcher: DispatcherIncarnation, host: HostId) {
        if self.is_current(dispatcher) && self.is_reachable(host) {
            self.open_connection(dispatcher.dispatcher, host);
        }
    }

    /// A connection is open; returns the incarnation of the host's process. On a new one the host sends its hello, and
    /// a lease while it warms up.
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

    /// A host's process has started: dispatchers that had a connection to an earlier one reconnect.
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

    /// A host's process has ended, or cannot be reached: its connections are lost.
    pub fn connections_lost(&mut self, host: HostId) {
        for dispatcher in &mut self.dispatchers {
            dispatcher.connections.lost(host);
        }
        self.all_leave_work_ledger(host);
    }

    /// A host's connections break though its process runs: its jobs are cancelled there.
    pub fn make_unreachable(&mut self, host: HostId) {
        self.unreachable_hosts.insert(host);
        self.connections_lost(host);
        for job in self.jobs.at_host(host) {
            self.model_input(ModelInput::Cancel { host, job });
            self.end_job(job, JobEnd::ConnectionLost, AttemptOutcome::ConnectionLost);
        }
    }
}
