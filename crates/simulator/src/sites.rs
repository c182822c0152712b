//! What strikes sites and dispatchers as a whole: cuts between zones, dispatchers that stand still or leave.
use super::links::Owner;
use super::sim::{Event, Sim};
use pointspindle::Micros;
use pointspindle_audit::trace::TraceEvent;
use pointspindle_dispatcher::Input;
use pointspindle_fleet_model::partition::passes;
use pointspindle_scenario::script::PartitionDirections;

impl Sim<'_> {
    /// Until when what goes from one zone to another is held up, if it is.
    fn held_up(&self, from: usize, to: usize) -> Option<Micros> {
        (!passes(&self.walls, from, to)).then_some(self.walled_until.max(self.now + 1))
    }

    /// What crosses a cut arrives when the way is open again; what ends at a dispatcher that stands still, when it goes on.
    pub(super) fn later(&mut self, event: Event) -> Option<Event> {
        let ways = match &event {
            Event::Arrive(job, _) | Event::Cancel(job) => Some((*job, true)),
            Event::Head(job, _) | Event::Over(job, _) => Some((*job, false)),
            _ => None,
        };
        let Some((job, down)) = ways else {
            return Some(event);
        };
        let Some(found) = self.links.get(job).copied() else {
            return Some(event);
        };
        let (owner, host) = (self.zone_of(&found.owner), self.zone_of_host(found.host));
        let (from, to) = if down { (owner, host) } else { (host, owner) };
        if let Some(until) = self.held_up(from, to) {
            if matches!(event, Event::Cancel(_)) && !found.reached {
                // The request and its cancel come out of the cut together: nothing of it is begun.
                self.links.close(job);
            } else {
                self.queue.plan(until, event);
            }
            return None;
        }
        match (&event, found.owner) {
            (Event::Over(..), Owner::Attempt { dispatcher, .. })
                if self.dispatchers[dispatcher].hung =>
            {
                self.dispatchers[dispatcher].held.push(event);
                None
            }
            _ => Some(event),
        }
    }

    pub(super) fn wall(&mut self, zone: usize, ways: Option<PartitionDirections>, until: Micros) {
        self.saw(TraceEvent::ZonePartitioned {
            zone,
            partitioned: ways.is_some(),
        });
        match ways {
            Some(ways) => self.walls.insert(zone, ways),
            None => self.walls.remove(&zone),
        };
        self.walled_until = until.max(self.walled_until);
    }

    pub(super) fn hang(&mut self, n: usize, hung: bool) {
        let d = &mut self.dispatchers[n];
        if !d.up || d.hung == hung {
            return;
        }
        d.hung = hung;
        self.saw(TraceEvent::DispatcherPaused {
            dispatcher: n,
            paused: hung,
        });
        let d = &mut self.dispatchers[n];
        if hung {
            d.timer = None;
            return;
        }
        let (backlog, held) = (std::mem::take(&mut d.backlog), std::mem::take(&mut d.held));
        for input in backlog.into_iter().chain([Input::Tick]) {
            self.tell_core(n, input);
        }
        for event in held {
            self.queue.plan(self.now, event);
        }
    }

    /// Told to stop: it takes nothing new, hears nothing more and answers what it has.
    pub(super) fn stop(&mut self, n: usize) {
        if self.dispatchers[n].up {
            self.saw(TraceEvent::DispatcherStopping { dispatcher: n });
            self.book.disconnect(n);
            self.dispatchers[n].leaving = true;
        }
    }

    /// Whether one that was told to stop still has something to answer; else it is gone now.
    pub(super) fn leaves(&mut self, n: usize) -> bool {
        let d = &self.dispatchers[n];
        let busy = d.leaving && !d.open.is_empty();
        if d.leaving && !busy {
            self.kill(n);
        }
        busy
    }
}
