//! The state of the simulation, and the event loop that advances the virtual clock.
use crate::clients::Clients;
use crate::dispatcher::SimulatedDispatcher;
use crate::event::Event;
use crate::event_queue::EventQueue;
use crate::host_directory::HostDirectory;
use crate::jobs::JobTable;
use crate::partitions::ZonePartitions;
use crate::RunCost;
use pointspindle::Micros;
use pointspindle_audit::trace::{ClientAttemptId, TraceEntry, TraceEvent};
use pointspindle_cache_host::lease::WorkLedger;
use pointspindle_cache_model::{CacheModel, HostId, ModelInput};
use pointspindle_dispatcher::core::AttemptTerms;
use pointspindle_dispatcher::Input;
use pointspindle_fleet_model::control_plane::ControlPlane;
use pointspindle_scenario::fault_injection::InjectedFault;
use pointspindle_scenario::{PlannedCall, Scenario, Script};
use std::collections::{HashMap, HashSet};

/// Time of the cache model's and the cores' clocks at the start of the run, in microseconds; greater than 0 so that
/// hosts may have started before the run.
pub(crate) const EPOCH: Micros = 1_000_000_000_000;

/// A run in virtual time. The modules of this crate implement its behaviour, each for one concern.
pub(crate) struct Simulation<'a> {
    pub scenario: &'a Scenario,
    pub calls: &'a [PlannedCall],
    pub script: Script,
    pub injected_fault: Option<InjectedFault>,
    /// Virtual time, in microseconds since the start of the run.
    pub now: Micros,
    pub events: EventQueue<Event>,
    pub clients: Clients,
    pub dispatchers: Vec<SimulatedDispatcher>,
    pub hosts: HostDirectory,
    pub cache_model: CacheModel,
    pub cache_model_timer: Option<Micros>,
    pub jobs: JobTable,
    pub control_plane: ControlPlane,
    /// The ledger of leased work of each host that is warming up.
    pub work_ledgers: HashMap<HostId, WorkLedger>,
    /// Hosts that accept no connections although their process may be running.
    pub unreachable_hosts: HashSet<HostId>,
    pub zone_partitions: ZonePartitions,
    pub trace: Vec<TraceEntry>,
    pub cost: RunCost,
}

/// The result of a finished simulation.
pub(crate) struct SimulationResult {
    pub trace: Vec<TraceEntry>,
    /// Number of times that the origin ran the work of each idempotency key, sorted by key.
    pub effects: Vec<(String, u32)>,
    pub cost: RunCost,
}

impl Simulation<'_> {
    /// Records an event in the trace.
    pub fn record(&mut self, event: TraceEvent) {
        let at = self.now;
        self.trace.push(TraceEntry { at, event });
    }

    /// Schedules an event for `delay` microseconds from now.
    pub fn schedule_in(&mut self, delay: Micros, event: Event) {
        self.events.schedule(self.now + delay, event);
    }

    /// Runs until no event is scheduled and no client waits for a response.
    pub fn run(&mut self) {
        loop {
            let dispatcher_timer = self.dispatchers.iter().filter_map(|d| d.timer).min();
            let next_event = self.events.next_at();
            // Timers of idle dispatchers and of warming hosts recur without end, so the run ends when no event is left
            // and no client waits.
            if next_event.is_none() && !self.clients.any_waiting() {
                break;
            }
            let due = [
                next_event,
                self.cache_model_timer,
                dispatcher_timer,
                self.control_plane.next_due(),
            ];
            let Some(at) = due.into_iter().flatten().min() else {
                break;
            };
            self.now = at.max(self.now);
            self.deliver_control_updates();
            if self.is_due(self.cache_model_timer) {
                self.model_input(ModelInput::Tick);
            }
            if self.is_due(dispatcher_timer) {
                self.tick_dispatchers();
            }
            while let Some(event) = self.events.pop_due(self.now) {
                self.handle(event);
            }
        }
    }

    fn is_due(&self, timer: Option<Micros>) -> bool {
        timer.is_some_and(|at| at <= self.now)
    }

    fn tick_dispatchers(&mut self) {
        for dispatcher in 0..self.dispatchers.len() {
            if self.is_due(self.dispatchers[dispatcher].timer) {
                self.core_input(dispatcher, Input::Tick);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let Some(event) = self.defer(event) else {
            return;
        };
        match event {
            Event::CallStarts(call) => self.client_sends(ClientAttemptId {
                call: call as u64,
                attempt: 0,
            }),
            Event::ClientSends(id) => self.client_sends(id),
            Event::RequestArrives(id) => self.request_arrives(id),
            Event::ClientCancels(id) => self.client_cancels(id),
            Event::ClientTimesOut(id) => self.client_disconnects(id),
            Event::ResponseArrives(id, outcome) => self.response_arrives(id, outcome),
            Event::AttemptConnected {
                job,
                request,
                known_incarnation,
            } => self.attempt_connected(job, request, known_incarnation),
            Event::JobArrives(job, request) => self.job_arrives(job, request),
            Event::JobCancelled(job) => self.job_cancelled(job),
            Event::JobResponds(job, response) => self.job_responds(job, response),
            Event::JobEnds(job, end) => self.job_ends(job, end),
            Event::ScriptStep(step) => self.script_step(step),
            Event::DropCopies {
                host,
                object,
                group,
                purged_at,
            } => self.model_input(ModelInput::Purge {
                host,
                object,
                group,
                at: EPOCH + purged_at,
            }),
            Event::Connected { dispatcher, host } => self.connected(dispatcher, host),
            Event::WorkRequested {
                dispatcher,
                host,
                work_us,
            } => self.work_requested(dispatcher, host, work_us),
            Event::LeaseSlotStarts { host, incarnation } => {
                self.lease_slot_starts(host, incarnation);
            }
            Event::LeaseArrives {
                dispatcher,
                host,
                lease,
            } => self.lease_arrives(dispatcher, host, lease),
        }
    }

    /// Passes an input to a dispatcher's core and carries out its outputs.
    pub fn core_input(&mut self, dispatcher: usize, input: Input) {
        let simulated = &mut self.dispatchers[dispatcher];
        if !simulated.is_up() {
            return;
        }
        if let Some(pause) = &mut simulated.pause {
            pause.inputs.push(input);
            return;
        }
        let mut outputs = Vec::new();
        let started = std::time::Instant::now();
        simulated.core.handle(EPOCH + self.now, input, &mut outputs);
        self.cost.core_time_s += started.elapsed().as_secs_f64();
        self.cost.core_calls += 1;
        simulated.timer = simulated.core.next_timer().map(|at| at - EPOCH);
        for output in outputs {
            self.core_output(dispatcher, output);
        }
    }

    /// Returns the terms of an attempt, requested from the core right before the first byte is sent; `None` if the
    /// attempt must not be sent any more.
    pub fn begin_attempt(
        &mut self,
        dispatcher: usize,
        request: u64,
        attempt: u32,
    ) -> Option<AttemptTerms> {
        let now = EPOCH + self.now;
        self.dispatchers[dispatcher]
            .core
            .begin(now, request, attempt)
    }

    /// Ends the simulation and returns its result.
    pub fn finish(self) -> SimulationResult {
        let mut effects: Vec<(String, u32)> = self
            .cache_model
            .effect_counts()
            .iter()
            .map(|(work, runs)| (work.to_string(), *runs))
            .collect();
        effects.sort();
        SimulationResult {
            trace: self.trace,
            effects,
            cost: RunCost {
                events: self.events.scheduled() + self.cost.core_calls,
                ..self.cost
            },
        }
    }
}
