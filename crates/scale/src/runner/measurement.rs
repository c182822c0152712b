//! Measures one phase of a scale run.
use super::fleet::Fleet;
use super::lag::lag;
use super::usage::FleetUsage;
use super::RunError;
use crate::messages::{Command, DispatcherReport};
use crate::results::{Phase, ResourceUsage};
use pointspindle_dispatcher::StateCounts;
use pointspindle_etcd_emulator::traffic::TrafficCounts;
use std::time::Duration;
use tokio::time::Instant;

/// Number of updates that were written in a phase, by their kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Written {
    NoUpdates,
    Purges(u64),
    Changes(u64),
}

/// The counters at the start of a phase.
pub(super) struct PhaseMeasurement {
    started_at: Instant,
    traffic: TrafficCounts,
    usage: FleetUsage,
    /// Processor time of the dispatcher processes that were killed within the phase, seconds since the start of each
    /// process.
    killed_cpu_seconds: f64,
}

impl PhaseMeasurement {
    pub(super) async fn begin(fleet: &mut Fleet) -> Result<Self, RunError> {
        fleet.command_dispatchers(Command::ResetLags).await?;
        let traffic = fleet.command_store(Command::Report).await?;
        Ok(Self {
            traffic,
            usage: fleet.usage(),
            killed_cpu_seconds: 0.0,
            started_at: Instant::now(),
        })
    }

    pub(super) fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Adds the processor time that a killed process had used since its start.
    pub(super) fn add_killed(&mut self, cpu_seconds: f64) {
        self.killed_cpu_seconds += cpu_seconds;
    }

    /// Ends the phase and returns its measurements.
    pub(super) async fn end(
        self,
        fleet: &mut Fleet,
        name: &str,
        written: Written,
    ) -> Result<Phase, RunError> {
        let seconds = self.elapsed().as_secs_f64();
        let usage = fleet.usage();
        let traffic = fleet.command_store(Command::Report).await?;
        let reports = fleet.command_dispatchers(Command::Report).await?;
        let count = fleet.dispatcher_count();
        let mut phase = Phase {
            name: name.to_owned(),
            seconds,
            traffic: traffic.since(&self.traffic),
            store: usage.store.since(&self.usage.store, seconds),
            dispatchers: self.dispatcher_usage(&usage, seconds),
            hosts: usage.hosts.since(&self.usage.hosts, seconds),
            state: mean_state(&reports, count),
            ..Phase::default()
        };
        let purges = reports.iter().flat_map(|report| &report.purges);
        let changes = reports.iter().flat_map(|report| &report.changes);
        match written {
            Written::NoUpdates => {}
            Written::Purges(written) => phase.purges = Some(lag(written, count as u64, purges)),
            Written::Changes(written) => phase.changes = Some(lag(written, count as u64, changes)),
        }
        Ok(phase)
    }

    /// Returns the dispatchers' usage within the phase, including the processor time of killed processes as read before
    /// each was killed.
    fn dispatcher_usage(&self, now: &FleetUsage, seconds: f64) -> ResourceUsage {
        let mut total = now.dispatchers;
        total.cpu_seconds += self.killed_cpu_seconds;
        let usage = total.since(&self.usage.dispatchers, seconds);
        ResourceUsage {
            cores: usage.cores.max(0.0),
            ..usage
        }
    }
}

/// Returns the mean state of a dispatcher, each count rounded down.
fn mean_state(reports: &[DispatcherReport], dispatchers: usize) -> StateCounts {
    let mean = |count: fn(&StateCounts) -> usize| {
        let sum: usize = reports.iter().map(|report| count(&report.state)).sum();
        sum / dispatchers.max(1)
    };
    StateCounts {
        endpoints: mean(|state| state.endpoints),
        purges: mean(|state| state.purges),
        dispatchers: mean(|state| state.dispatchers),
        connections: mean(|state| state.connections),
    }
}
