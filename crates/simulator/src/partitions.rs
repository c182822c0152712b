//! Partitions between zones and pauses of dispatchers, and the messages that they delay.
use crate::event::Event;
use crate::jobs::{Job, JobOwner};
use crate::simulation::Simulation;
use pointspindle::Micros;
use pointspindle_audit::trace::TraceEvent;
use pointspindle_cache_model::JobId;
use pointspindle_fleet_model::partition::traffic_passes;
use pointspindle_scenario::script::PartitionDirections;
use std::collections::BTreeMap;

/// The zones that are partitioned from the others, with the affected directions.
#[derive(Default)]
pub(crate) struct ZonePartitions {
    directions: BTreeMap<usize, PartitionDirections>,
    /// End of the latest partition, in microseconds since the start of the run.
    until: Micros,
}

impl ZonePartitions {
    /// Returns the time until which messages from one zone to another are delayed; `None` if they pass.
    fn delayed_until(&self, from: usize, to: usize, now: Micros) -> Option<Micros> {
        if traffic_passes(&self.directions, from, to) {
            return None;
        }
        Some(self.until.max(now + 1))
    }
}

/// Direction of a message between a job's owner and its host.
enum Direction {
    ToHost,
    ToOwner,
}

/// Returns the job of an event and the direction of its message; `None` for events that no partition delays.
fn message(event: &Event) -> Option<(JobId, Direction)> {
    match event {
        Event::JobArrives(job, _) | Event::JobCancelled(job) => Some((*job, Direction::ToHost)),
        Event::JobResponds(job, _) | Event::JobEnds(job, _) => Some((*job, Direction::ToOwner)),
        _ => None,
    }
}

impl Simulation<'_> {
    /// Begins a partition of a zone, or ends it if `directions` is `None`.
    pub fn set_zone_partition(
        &mut self,
        zone: usize,
        directions: Option<PartitionDirections>,
        until: Micros,
    ) {
        self.record(TraceEvent::ZonePartitioned {
            zone,
            partitioned: directions.is_some(),
        });
        let partitions = &mut self.zone_partitions;
        match directions {
            Some(directions) => partitions.directions.insert(zone, directions),
            None => partitions.directions.remove(&zone),
        };
        partitions.until = partitions.until.max(until);
    }

    /// Defers an event that a partition delays until the partition is over, and an event that a paused dispatcher
    /// cannot read until the dispatcher resumes. Returns any other event.
    pub fn defer(&mut self, event: Event) -> Option<Event> {
        let Some((job_id, direction)) = message(&event) else {
            return Some(event);
        };
        let Some(job) = self.jobs.get(job_id) else {
            return Some(event);
        };
        if let Some(until) = self.partitioned_until(&job, &direction) {
            if matches!(event, Event::JobCancelled(_)) && !job.at_host {
                // The request and its cancellation would arrive together after the partition: the job never begins.
                self.jobs.close(job_id);
            } else {
                self.events.schedule(until, event);
            }
            return None;
        }
        self.defer_while_paused(&job, event)
    }

    fn partitioned_until(&self, job: &Job, direction: &Direction) -> Option<Micros> {
        let owner_zone = self.zone_of_owner(&job.owner);
        let host_zone = self.hosts.zone(job.host);
        let (from, to) = match direction {
            Direction::ToHost => (owner_zone, host_zone),
            Direction::ToOwner => (host_zone, owner_zone),
        };
        self.zone_partitions.delayed_until(from, to, self.now)
    }

    fn defer_while_paused(&mut self, job: &Job, event: Event) -> Option<Event> {
        let JobOwner::Attempt(key, _) = job.owner else {
            return Some(event);
        };
        match &mut self.dispatchers[key.dispatcher.dispatcher].pause {
            Some(pause) if matches!(event, Event::JobEnds(..)) => {
                pause.events.push(event);
                None
            }
            _ => Some(event),
        }
    }
}
