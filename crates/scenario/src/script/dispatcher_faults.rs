//! Faults of dispatchers and of their endpoint lists.
use super::generator::{share_of, ScriptGenerator};
use super::{FaultKind, FaultSpec, FaultTarget, ScriptStep};
use pointspindle::Micros;
use rand::seq::SliceRandom;

/// The steps that begin and end the interruption of a dispatcher.
struct Interruption {
    begin: ScriptStep,
    end: ScriptStep,
}

impl Interruption {
    fn new(kind: FaultKind, dispatcher: usize) -> Self {
        let restart = ScriptStep::StartDispatcher { dispatcher };
        match kind {
            FaultKind::PauseDispatchers => Self {
                begin: ScriptStep::PauseDispatcher {
                    dispatcher,
                    paused: true,
                },
                end: ScriptStep::PauseDispatcher {
                    dispatcher,
                    paused: false,
                },
            },
            FaultKind::StopDispatchers => Self {
                begin: ScriptStep::StopDispatcher { dispatcher },
                end: restart,
            },
            _ => Self {
                begin: ScriptStep::KillDispatcher { dispatcher },
                end: restart,
            },
        }
    }
}

impl ScriptGenerator<'_> {
    /// Draws the dispatchers that a fault targets, in the order in which they are affected.
    fn target_dispatchers(&mut self, target: &FaultTarget) -> Vec<usize> {
        let scenario = self.scenario;
        let in_zone = |dispatcher: &usize| {
            let branch = scenario.branch_of_dispatcher(*dispatcher);
            target.zone.is_none_or(|zone| zone == branch)
        };
        let mut dispatchers: Vec<usize> =
            (0..scenario.dispatcher_count()).filter(in_zone).collect();
        if let Some(index) = target.index {
            dispatchers.retain(|dispatcher| *dispatcher == index);
            return dispatchers;
        }
        dispatchers.shuffle(&mut self.rng);
        dispatchers.truncate(share_of(target.share, dispatchers.len()));
        dispatchers
    }

    /// Kills, pauses or stops dispatchers one after another, each for the downtime.
    pub(super) fn interrupt_dispatchers(&mut self, fault: &FaultSpec) {
        let dispatchers = self.target_dispatchers(&fault.target);
        let interval = fault.duration / dispatchers.len().max(1) as Micros;
        for (n, dispatcher) in dispatchers.into_iter().enumerate() {
            let at = fault.at + interval * n as Micros;
            let interruption = Interruption::new(fault.kind, dispatcher);
            self.push(at, interruption.begin);
            self.push(at + fault.downtime, interruption.end);
        }
    }

    /// Delays notifications of endpoint list updates; the severity is the delay in seconds.
    pub(super) fn delay_endpoint_updates(&mut self, fault: &FaultSpec) {
        let step = ScriptStep::EndpointUpdateDelay {
            extra: (fault.severity * 1e6) as Micros,
            until: fault.end(),
        };
        self.push(fault.at, step);
    }
}
