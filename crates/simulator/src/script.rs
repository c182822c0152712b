//! The steps of the scenario's script: faults of hosts, dispatchers and networks, list changes and purges.
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

/// How often it is checked whether a dispatcher that shuts down has answered what it had accepted.
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
                if self.finishes_shutdown_first(dispatcher) {
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
            // A scenario with such a step is rejected before the run.
            ScriptStep::Partition { .. } => {}
        }
    }

    /// Ends a dispatcher's process. Faults may overlap: one that is down is not killed again.
    fn kill_dispatcher(&mut self, dispatcher: usize) {
        if !self.dispatchers[dispatcher].is_up() {
            return;
        }
        self.record(TraceEvent::DispatcherKilled { dispatcher });
        self.control_plane.disconnect(dispatcher);
        self.leave_work_ledgers(dispatcher);
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

    /// Begins a graceful shutdown: the dispatcher accepts nothing new, learns nothing more, and answers what it has
    /// accepted.
    fn stop_dispatcher(&mut self, dispatcher: usize) {
        if self.dispatchers[dispatcher].is_up() {
            self.record(TraceEvent::DispatcherStopping { dispatcher });
            self.control_plane.disconnect(dispatcher);
            self.dispatchers[dispatcher].state = DispatcherState::ShuttingDown;
        }
    }

    /// Whether a dispatcher that shuts down still has requests to answer; if not, its process ends now.
    fn finishes_shutdown_first(&mut self, dispatcher: usize) -> bool {
        let shell = &self.dispatchers[dispatcher];
        if shell.state != DispatcherState::ShuttingDown {
            return false;
        }
        if shell.requests.is_empty() {
            self.kill_dispatcher(dispatcher);
            return false;
        }
        true
    }

    fn pause_dispatcher(&mut self, dispatcher: usize) {
        let shell = &mut self.dispatchers[dispatcher];
        if !shell.is_up() || shell.pause.is_some() {
            return;
        }
        shell.pause = Some(Pause::default());
        shell.timer = None;
        self.record(TraceEvent::DispatcherPaused {
            dispatcher,
            paused: true,
        });
    }

    /// A paused dispatcher resumes: it reads what has arrived meanwhile, in order.
    fn resume_dispatcher(&mut self, dispatcher: usize) {
        let shell = &mut self.dispatchers[dispatcher];
        let Some(pause) = shell.pause.take() else {
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
