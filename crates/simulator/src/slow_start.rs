//! Slow start: hosts that are warming up lease their capacity to dispatchers.
use crate::event::{DispatcherIncarnation, Event};
use crate::simulation::Simulation;
use pointspindle::Micros;
use pointspindle_cache_host::lease::LeaseHolderId;
use pointspindle_cache_model::HostId;
use pointspindle_dispatcher::Input;
use pointspindle_fleet_model::leases::lease_head;
use pointspindle_protocol::LeaseHead;

/// Duration of the leases with which a host that is not warming up grants work requests, in microseconds.
const WARM_LEASE_DURATION_US: Micros = 1_000_000;

impl Simulation<'_> {
    /// Starts the leases of a host that begins to warm up.
    pub fn start_slow_start(&mut self, host: HostId) {
        let spec = self.cache_model.host_spec(host);
        let ledger = self.scenario.work_ledger(spec.role, spec.weight, self.now);
        if let Some(ledger) = ledger {
            let incarnation = self.host_incarnation(host);
            let first_slot = Event::LeaseSlotStarts { host, incarnation };
            self.events.schedule(ledger.next_slot(), first_slot);
            self.work_ledgers.insert(host, ledger);
        }
    }

    /// Begins a slot of a warming host's leases and sends each dispatcher its lease.
    pub fn lease_slot_starts(&mut self, host: HostId, incarnation: u64) {
        if self.host_incarnation(host) != incarnation {
            return;
        }
        let Some(ledger) = self.work_ledgers.get_mut(&host) else {
            return;
        };
        let grants = ledger.start_slot(self.now);
        if ledger.is_over(self.now) {
            self.work_ledgers.remove(&host);
            return;
        }
        let next_slot = ledger.next_slot();
        for grant in grants {
            let dispatcher = self.dispatchers[grant.holder as usize].identity;
            self.send_lease(dispatcher, host, lease_head(&grant));
        }
        self.events
            .schedule(next_slot, Event::LeaseSlotStarts { host, incarnation });
    }

    /// Grants a dispatcher its lease on a new connection, if the host is warming up.
    pub fn grant_first_lease(&mut self, dispatcher: usize, host: HostId) {
        if let Some(ledger) = self.work_ledgers.get_mut(&host) {
            let grant = ledger.add_dispatcher(dispatcher as LeaseHolderId, true);
            let endpoint = self.hosts.address(host);
            let lease = lease_head(&grant);
            self.core_input(dispatcher, Input::Lease { endpoint, lease });
        }
    }

    /// Sends a dispatcher's work request to an endpoint.
    pub fn send_work_request(&mut self, dispatcher: usize, endpoint: &str, work_us: u64) {
        let Some(host) = self.cache_model.host_by_address(endpoint) else {
            return;
        };
        let requested = Event::WorkRequested {
            dispatcher: self.dispatchers[dispatcher].identity,
            host,
            work_us,
        };
        let latency = self.latency_to_host(dispatcher, host);
        self.schedule_in(latency, requested);
    }

    /// Handles a work request that arrives at its host, which replies with a lease. A request whose connection is lost
    /// is ignored.
    pub fn work_requested(
        &mut self,
        dispatcher: DispatcherIncarnation,
        host: HostId,
        work_us: u64,
    ) {
        let incarnation = self.host_incarnation(host);
        let connections = &self.dispatchers[dispatcher.dispatcher].connections;
        if !connections.is_open_to(host, incarnation) {
            return;
        }
        let granted = match self.work_ledgers.get_mut(&host) {
            Some(ledger) => {
                let user = dispatcher.dispatcher as LeaseHolderId;
                lease_head(&ledger.request_work(self.now, user, work_us as f64 / 1e6))
            }
            None => LeaseHead {
                work_us,
                duration_us: WARM_LEASE_DURATION_US,
                ..LeaseHead::default()
            },
        };
        let reply = LeaseHead {
            in_reply: true,
            ..granted
        };
        self.send_lease(dispatcher, host, reply);
    }

    fn send_lease(&mut self, dispatcher: DispatcherIncarnation, host: HostId, lease: LeaseHead) {
        let latency = self.latency_to_host(dispatcher.dispatcher, host);
        let arrives = Event::LeaseArrives {
            dispatcher,
            host,
            lease,
        };
        self.schedule_in(latency, arrives);
    }

    /// Handles a lease that arrives at a dispatcher, unless the addressed process has ended.
    pub fn lease_arrives(
        &mut self,
        dispatcher: DispatcherIncarnation,
        host: HostId,
        lease: LeaseHead,
    ) {
        if self.is_current(dispatcher) {
            let endpoint = self.hosts.address(host);
            self.core_input(dispatcher.dispatcher, Input::Lease { endpoint, lease });
        }
    }

    /// Records the work of a request that arrived at a warming host.
    pub fn count_arrived_work(&mut self, host: HostId, dispatcher: Option<usize>, class: usize) {
        let Some(ledger) = self.work_ledgers.get_mut(&host) else {
            return;
        };
        let work_s = match self.scenario.workload.classes.get(class) {
            Some(class) => class.mean_bytes / self.scenario.network.bytes_per_s,
            None => 0.0,
        };
        ledger.record_arrival(
            dispatcher.map(|dispatcher| dispatcher as LeaseHolderId),
            work_s,
        );
    }

    /// Ends all leases of a host that has lost its connections; removes the ledger if the host's process has ended.
    pub fn end_leases_of_disconnected_host(&mut self, host: HostId) {
        if !self.cache_model.is_up(host) {
            self.work_ledgers.remove(&host);
        } else if let Some(ledger) = self.work_ledgers.get_mut(&host) {
            for dispatcher in 0..self.dispatchers.len() {
                ledger.remove_dispatcher(dispatcher as LeaseHolderId);
            }
        }
    }

    /// Removes a dispatcher whose process has ended from all ledgers.
    pub fn remove_from_work_ledgers(&mut self, dispatcher: usize) {
        for ledger in self.work_ledgers.values_mut() {
            ledger.remove_dispatcher(dispatcher as LeaseHolderId);
        }
    }
}
