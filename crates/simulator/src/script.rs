//! The steps of the scenario's script: faults of hosts, dispatchers and networks, endpoint list updates and purges.
use crate::clients::CLIENT_LATENCY_US;
use crate::dispatcher::{DispatcherState, Pause};
use crate::event::Event;
use crate::simulation::{Simulation, EPOCH};
use pointspindle::Micros;
use pointspindle_audit::trace::{ClientOutcome, TraceEvent};
use pointspindle_cache_model::ModelInput;
use pointspindle_dispatcher::Input;
use pointspindle_scenario::script::purge_groups;
use pointspindle_scenario::ScriptStep;

/// Interval at which a dispatcher that is shutting down is checked for unanswered requests, in microseconds.
const SHUTDOWN_CHECK_INTERVAL_US: Micros = 20_000;

impl Simulation<'_> {
    /// Carries out a step of the script.
    pub fn script_step(&mut self, number: usize) {
        let (_, step) = self.script.steps[number].clone();
        match step {
            ScriptStep::Note(text) => self.record(TraceEvent::ScriptNote { text }),
            ScriptStep::Fault { host, fault } => {
                let fault = fault.delayed_by(EPOCH);
                self.model_input(ModelInput::Fault { host, fault });
            }
            ScriptStep::EndpointUpdate { host, state } => self.update_endpoint(host, state),
            ScriptStep::PurgeGroup { group } => {
                for group in purge_groups(self.scenario, group) {
                    self.purge(None, group);
                }
            }
            ScriptStep::PurgeObject { object, group } => self.purge(Some(object), group),
            ScriptStep::KillDispatcher { dispatcher } => self.kill_dispatcher(dispatcher),
            ScriptStep::StartDispatcher { dispatcher } => {
                if self.must_await_shutdown(dispatcher) {
                    let again = Event::ScriptStep(number);
                    self.schedule_in(SHUTDOWN_CHECK_INTERVAL_US, again);
                } else {
                    self.start_dispatcher(dispatcher);
                }
            }
            ScriptStep::PauseDispatcher {
                dispatcher,
                paused: true,
            } => self.pause_dispatcher(dispatcher),
            ScriptStep::PauseDispatcher {
                dispatcher,
                paused: false,
            } => self.resume_dispatcher(dispatcher),
            ScriptStep::StopDispatcher { dispatcher } => self.stop_dispatcher(dispatcher),
            ScriptStep::ZonePartition {
                zone,
                directions,
                until,
            } => self.set_zone_partition(zone, directions, until),
            ScriptStep::EndpointUpdateDelay { extra, until } => {
                self.control_plane.delay_updates(extra, until);
            }
            ScriptStep::Reachability {
                host,
                reachable: true,
            } => {
                self.unreachable_hosts.remove(&host);
            }
            ScriptStep::Reachability {
                host,
                reachable: false,
            } => self.make_unreachable(host),
            // `run` rejects scenarios with this step, which requires a simulated network.
            ScriptStep::Partition { .. } => {}
        }
    }

    /// Ends a dispatcher's process. Has no effect on a process that is down, as faults may overlap.
    fn kill_dispatcher(&mut self, dispatcher: usize) {
        if !self.dispatchers[dispatcher].is_up() {
            return;
        }
        self.record(TraceEvent::DispatcherKilled { dispatcher });
        self.control_plane.disconnect(dispatcher);
        self.remove_from_work_ledgers(dispatcher);
        let mut lost = self.dispatchers[dispatcher].kill();
        lost.extend(self.clients.in_transit_to(dispatcher));
        lost.sort_unstable();
        for id in lost {
            let outcome = ClientOutcome::ConnectionLost;
            self.schedule_in(CLIENT_LATENCY_US, Event::ResponseArrives(id, outcome));
        }
        let identity = self.dispatchers[dispatcher].identity;
        for job in self.jobs.of_dispatcher(identity) {
            self.cancel_job(job);
        }
    }

    fn start_dispatcher(&mut self, dispatcher: usize) {
        if self.dispatchers[dispatcher].is_up() {
            return;
        }
        self.dispatchers[dispatcher].start(self.scenario.seed);
        self.control_plane.connect(self.now, dispatcher);
        self.record(TraceEvent::DispatcherStarted { dispatcher });
    }

    /// Begins a graceful shutdown: the dispatcher accepts no new requests, receives no more updates of the control
    /// plane, and answers the requests that it has accepted.
    fn stop_dispatcher(&mut self, dispatcher: usize) {
        if self.dispatchers[dispatcher].is_up() {
            self.record(TraceEvent::DispatcherStopping { dispatcher });
            self.control_plane.disconnect(dispatcher);
            self.dispatchers[dispatcher].state = DispatcherState::ShuttingDown;
        }
    }

    /// Returns whether a dispatcher that is shutting down still has requests to answer; if it has none, ends its
    /// process.
    fn must_await_shutdown(&mut self, dispatcher: usize) -> bool {
        let simulated = &self.dispatchers[dispatcher];
        if simulated.state != DispatcherState::ShuttingDown {
            return false;
        }
        if simulated.requests.is_empty() {
            self.kill_dispatcher(dispatcher);
            return false;
        }
        true
    }

    fn pause_dispatcher(&mut self, dispatcher: usize) {
        let simulated = &mut self.dispatchers[dispatcher];
        if !simulated.is_up() || simulated.pause.is_some() {
            return;
        }
        simulated.pause = Some(Pause::default());
        simulated.timer = None;
        self.record(TraceEvent::DispatcherPaused {
            dispatcher,
            paused: true,
        });
    }

    /// Resumes a paused dispatcher, which handles the inputs that arrived during the pause, in order.
    fn resume_dispatcher(&mut self, dispatcher: usize) {
        let simulated = &mut self.dispatchers[dispatcher];
        let Some(pause) = simulated.pause.take() else {
            return;
        };
        self.record(TraceEvent::DispatcherPaused {
            dispatcher,
            paused: false,
        });
        for input in pause.inputs {
            self.core_input(dispatcher, input);
        }
        self.core_input(dispatcher, Input::Tick);
        for event in pause.events {
            self.events.schedule(self.now, event);
        }
    }
}
