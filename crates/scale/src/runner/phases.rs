//! Runs the phases of a scale run.
use super::fleet::Fleet;
use super::lag::p50_p90_longest;
use super::measurement::{PhaseMeasurement, Written};
use super::usage::machine_memory_mb;
use super::{RunError, ScaleError};
use crate::messages::Command;
use crate::node::now_us;
use crate::results::{Phase, Step};
use crate::Target;
use pointspindle_etcd::layout::MemberRecord;
use std::time::Duration;
use tokio::time::Instant;

/// Time after which the registration lease of a killed dispatcher has expired.
const REGISTRATION_LEASE: Duration = Duration::from_secs(6);
/// Time for dispatchers to connect to cache hosts and exchange the first frames, so that the next phase excludes them.
const CONNECT_DURATION: Duration = Duration::from_secs(1);
/// Time for updates to come into force after the last write of a phase.
const SETTLE_DURATION: Duration = Duration::from_millis(500);
/// Interval between two changes of endpoint records.
const CHANGE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two checks of the purges received after a burst.
const BURST_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Factor by which the high purge rate exceeds the target's rate.
const HIGH_PURGE_RATE_FACTOR: f64 = 10.0;
/// Largest share of the machine's memory that a fleet may use.
const MAX_MEMORY_SHARE: f64 = 0.5;

/// Whether the control store's history is compacted during an outage.
#[derive(Clone, Copy, PartialEq)]
enum Outage {
    WithHistory,
    WithCompaction,
}

/// Runs the phases at one fleet size.
pub(super) struct PhaseRunner<F> {
    fleet: Fleet,
    target: Target,
    dispatchers: usize,
    step: Step,
    /// Number of purges written in all phases so far.
    purges_written: usize,
    on_phase: F,
}

impl<F: FnMut(&str)> PhaseRunner<F> {
    pub(super) fn new(fleet: Fleet, target: Target, dispatchers: usize, on_phase: F) -> Self {
        let step = Step {
            dispatchers,
            hosts: fleet.host_records.len(),
            ..Step::default()
        };
        Self {
            fleet,
            target,
            dispatchers,
            step,
            purges_written: 0,
            on_phase,
        }
    }

    /// Runs all phases in order.
    pub(super) async fn run_all_phases(&mut self) -> Result<(), ScaleError> {
        let purge_rate = self.target.workload.purges_per_s;
        self.start_all().await?;
        self.rest().await?;
        self.purges("purges", purge_rate).await?;
        self.purges("purges x10", HIGH_PURGE_RATE_FACTOR * purge_rate)
            .await?;
        self.changes().await?;
        self.purge_burst().await?;
        self.restart().await?;
        self.outage("store away", Outage::WithHistory).await?;
        self.outage("compacted", Outage::WithCompaction).await?;
        self.break_streams().await
    }

    /// Ends the fleet's processes and returns the measurements.
    pub(super) async fn end(self) -> Step {
        self.fleet.end().await;
        self.step
    }

    /// Starts all dispatchers at once.
    async fn start_all(&mut self) -> Result<(), ScaleError> {
        let measurement = self.begin_phase().await?;
        let per_process = self.target.run.dispatchers_per_process;
        for first in (0..self.dispatchers).step_by(per_process) {
            let count = per_process.min(self.dispatchers - first);
            self.fleet.start_dispatchers(first, count).await?;
        }
        self.end_phase_when_current(measurement, "start").await?;
        self.step.ready_ms = self.ready_ms(0).await?;
        tokio::time::sleep(CONNECT_DURATION).await;
        Ok(())
    }

    /// Measures the fleet without any updates.
    async fn rest(&mut self) -> Result<(), ScaleError> {
        let measurement = self.begin_phase().await?;
        tokio::time::sleep(self.phase_length()).await;
        self.end_phase(measurement, "rest", Written::NoUpdates)
            .await
    }

    /// Writes purges at `rate`, per second.
    async fn purges(&mut self, name: &str, rate: f64) -> Result<(), ScaleError> {
        let measurement = self.begin_phase().await?;
        let length = self.phase_length();
        let started_at = Instant::now();
        let mut written = 0;
        while started_at.elapsed() < length {
            let due = started_at + Duration::from_secs_f64(written as f64 / rate);
            tokio::time::sleep_until(due).await;
            self.write_purge().await?;
            written += 1;
        }
        tokio::time::sleep(SETTLE_DURATION).await;
        self.end_phase(measurement, name, Written::Purges(written))
            .await
    }

    /// Changes the records of endpoints one after another.
    async fn changes(&mut self) -> Result<(), ScaleError> {
        let measurement = self.begin_phase().await?;
        let length = self.phase_length();
        let mut written = 0;
        while measurement.elapsed() < length {
            let hosts = &self.fleet.host_records;
            let host = hosts[written % hosts.len()].clone();
            let record = MemberRecord {
                start: now_us(),
                ..host.record
            };
            self.fleet.write_record(&host.address, &record).await?;
            written += 1;
            tokio::time::sleep(CHANGE_INTERVAL).await;
        }
        tokio::time::sleep(SETTLE_DURATION).await;
        self.end_phase(measurement, "changes", Written::Changes(written as u64))
            .await
    }

    /// Writes a burst of purges as fast as the control store accepts them.
    async fn purge_burst(&mut self) -> Result<(), ScaleError> {
        let measurement = self.begin_phase().await?;
        let count = self.target.run.burst_purges;
        for _ in 0..count {
            self.write_purge().await?;
        }
        self.wait_until_received(count as u64).await?;
        self.end_phase(measurement, "storm", Written::Purges(count as u64))
            .await
    }

    /// Kills one dispatcher process and starts its dispatchers again after their registration leases have expired.
    async fn restart(&mut self) -> Result<(), ScaleError> {
        let mut measurement = self.begin_phase().await?;
        let killed = self.fleet.kill_last_dispatchers().await?;
        measurement.add_killed(killed.cpu_seconds);
        let restarted_process = self.fleet.dispatcher_processes();
        tokio::time::sleep(REGISTRATION_LEASE).await;
        self.fleet
            .start_dispatchers(killed.nodes.first, killed.nodes.count)
            .await?;
        self.end_phase_when_current(measurement, "restart").await?;
        self.step.restart_ready_ms = self.ready_ms(restarted_process).await?;
        Ok(())
    }

    /// Makes the control store unavailable for a while. With [`Outage::WithCompaction`] its history is compacted before
    /// it becomes available again.
    async fn outage(&mut self, name: &str, kind: Outage) -> Result<(), ScaleError> {
        let measurement = self.begin_phase().await?;
        self.fleet
            .command_store(Command::SetUnavailable(true))
            .await?;
        tokio::time::sleep(Duration::from_secs_f64(self.target.run.outage_s)).await;
        if kind == Outage::WithCompaction {
            self.fleet.command_store(Command::Compact).await?;
        }
        self.fleet
            .command_store(Command::SetUnavailable(false))
            .await?;
        self.end_phase_when_current(measurement, name).await
    }

    /// Breaks all streams of the control store at once.
    async fn break_streams(&mut self) -> Result<(), ScaleError> {
        let measurement = self.begin_phase().await?;
        self.fleet.command_store(Command::DropStreams).await?;
        self.end_phase_when_current(measurement, "streams broken")
            .await
    }

    fn phase_length(&self) -> Duration {
        Duration::from_secs_f64(self.target.phase_seconds)
    }

    async fn write_purge(&mut self) -> Result<(), RunError> {
        self.fleet.write_purge(self.purges_written).await?;
        self.purges_written += 1;
        Ok(())
    }

    /// Waits until every dispatcher has received `purges` purges, or until no further purge has arrived between two
    /// checks.
    async fn wait_until_received(&mut self, purges: u64) -> Result<(), RunError> {
        let expected = purges * self.fleet.dispatcher_count() as u64;
        let mut received_before = 0;
        loop {
            tokio::time::sleep(BURST_CHECK_INTERVAL).await;
            let reports = self.fleet.command_dispatchers(Command::Report).await?;
            let lags = reports.iter().flat_map(|report| &report.purges);
            let received: u64 = lags.map(|lag| lag.count).sum();
            if received >= expected || received == received_before {
                return Ok(());
            }
            received_before = received;
        }
    }

    /// Returns the times from start to ready of the dispatchers in all processes from `first_process` on: median, 90th
    /// percentile and longest, milliseconds.
    async fn ready_ms(&mut self, first_process: usize) -> Result<[f64; 3], RunError> {
        let reports = self.fleet.command_dispatchers(Command::Report).await?;
        let reports = reports.into_iter().skip(first_process);
        let ready_ms = reports.flat_map(|report| report.ready_ms).collect();
        Ok(p50_p90_longest(ready_ms))
    }

    async fn begin_phase(&mut self) -> Result<PhaseMeasurement, RunError> {
        PhaseMeasurement::begin(&mut self.fleet).await
    }

    /// Waits until every view is current, then ends the phase and records the time that the wait took.
    async fn end_phase_when_current(
        &mut self,
        measurement: PhaseMeasurement,
        name: &str,
    ) -> Result<(), ScaleError> {
        let elapsed_ms = self.fleet.wait_until_current().await?;
        let phase = measurement
            .end(&mut self.fleet, name, Written::NoUpdates)
            .await?;
        self.record_phase(Phase {
            current_after_ms: Some(elapsed_ms),
            ..phase
        })
    }

    async fn end_phase(
        &mut self,
        measurement: PhaseMeasurement,
        name: &str,
        written: Written,
    ) -> Result<(), ScaleError> {
        let phase = measurement.end(&mut self.fleet, name, written).await?;
        self.record_phase(phase)
    }

    fn record_phase(&mut self, phase: Phase) -> Result<(), ScaleError> {
        (self.on_phase)(&phase.name);
        check_memory(&phase)?;
        self.step.phases.push(phase);
        Ok(())
    }
}

fn check_memory(phase: &Phase) -> Result<(), ScaleError> {
    let used_mb = phase.store.memory_mb + phase.dispatchers.memory_mb + phase.hosts.memory_mb;
    let limit_mb = machine_memory_mb() * MAX_MEMORY_SHARE;
    if limit_mb > 0.0 && used_mb > limit_mb {
        return Err(ScaleError::MemoryLimit { used_mb, limit_mb });
    }
    Ok(())
}
