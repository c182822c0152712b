//! The processes of a fleet of one size, and the client of its control store.
use super::node_process::{NodeProcess, StartedProcess, REPORT_TIMEOUT};
use super::usage::{FleetUsage, ProcessUsage};
use super::RunError;
use crate::messages::{
    CacheHostRecord, Command, DispatcherNodes, DispatcherReport, NodeRange, NodeRole, Report,
};
use crate::node::{purge_object, PREFIX};
use crate::Target;
use pointspindle_etcd::layout::{MemberRecord, PurgeRecord};
use pointspindle_etcd::{writer, Etcd, EtcdAccess};
use pointspindle_etcd_emulator::traffic::TrafficCounts;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::Instant;

/// Time limit of a call to the control store.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two checks whether all views are current.
const VIEW_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A process of hollow dispatchers.
pub(super) struct DispatcherProcess {
    process: NodeProcess,
    nodes: NodeRange,
}

/// A process of dispatchers that was killed.
pub(super) struct KilledProcess {
    pub(super) nodes: NodeRange,
    /// Processor time that the process had used, seconds.
    pub(super) cpu_seconds: f64,
}

/// The processes of a fleet, and a client of its control store.
pub(super) struct Fleet {
    program: PathBuf,
    sites: usize,
    /// Promised time until a purge is in force, milliseconds; 0 means no promise.
    promise_ms: f64,
    store: NodeProcess,
    endpoint: String,
    etcd: Etcd,
    dispatchers: Vec<DispatcherProcess>,
    hosts: Vec<NodeProcess>,
    pub(super) host_records: Vec<CacheHostRecord>,
}

impl Fleet {
    /// Starts the control store and the cache hosts. The number of cache hosts is in proportion to `dispatchers`, as in
    /// the target. The dispatchers are started later.
    pub(super) async fn start(
        program: &Path,
        target: &Target,
        dispatchers: usize,
    ) -> Result<Self, RunError> {
        let started = NodeProcess::start(program, &NodeRole::Store).await?;
        let Report::Store { endpoint, .. } = started.report else {
            return Err(unexpected("a report of the control store"));
        };
        let access = EtcdAccess {
            endpoints: vec![endpoint.clone()],
            ..Default::default()
        };
        let promise_ms = if target.run.promises_purges {
            target.purge_promise_ms
        } else {
            0.0
        };
        let mut fleet = Self {
            program: program.to_owned(),
            sites: target.fleet.sites.min(dispatchers).max(1),
            promise_ms,
            store: started.process,
            endpoint,
            etcd: Etcd::new(&access, CALL_TIMEOUT)?,
            dispatchers: Vec::new(),
            hosts: Vec::new(),
            host_records: Vec::new(),
        };
        let hosts = (target.fleet.hosts * dispatchers).div_ceil(target.fleet.dispatchers);
        fleet
            .start_hosts(hosts.max(1), target.run.hosts_per_process)
            .await?;
        Ok(fleet)
    }

    async fn start_hosts(&mut self, count: usize, per_process: usize) -> Result<(), RunError> {
        for first in (0..count).step_by(per_process) {
            let nodes = NodeRange {
                first,
                count: per_process.min(count - first),
                sites: self.sites,
            };
            let role = NodeRole::CacheHosts { nodes };
            let StartedProcess { process, report } =
                NodeProcess::start(&self.program, &role).await?;
            let Report::CacheHosts(records) = report else {
                return Err(unexpected("a report of cache hosts"));
            };
            self.host_records.extend(records);
            self.hosts.push(process);
        }
        for host in &self.host_records {
            self.write_record(&host.address, &host.record).await?;
        }
        Ok(())
    }

    pub(super) async fn start_dispatchers(
        &mut self,
        first: usize,
        count: usize,
    ) -> Result<(), RunError> {
        let nodes = NodeRange {
            first,
            count,
            sites: self.sites,
        };
        let role = NodeRole::Dispatchers(DispatcherNodes {
            store: self.endpoint.clone(),
            nodes,
            promise_ms: self.promise_ms,
        });
        let started = NodeProcess::start(&self.program, &role).await?;
        self.dispatchers.push(DispatcherProcess {
            process: started.process,
            nodes,
        });
        Ok(())
    }

    /// Kills the dispatcher process that was started last.
    pub(super) async fn kill_last_dispatchers(&mut self) -> Result<KilledProcess, RunError> {
        let last = self.dispatchers.pop().ok_or(RunError::ProcessDied)?;
        let usage = ProcessUsage::of(last.process.pid());
        last.process.kill().await?;
        Ok(KilledProcess {
            nodes: last.nodes,
            cpu_seconds: usage.cpu_seconds,
        })
    }

    pub(super) async fn write_record(
        &self,
        address: &str,
        record: &MemberRecord,
    ) -> Result<(), RunError> {
        let change = |_| Ok(Some(record.clone()));
        writer::update_member(&self.etcd, PREFIX, address, change).await?;
        Ok(())
    }

    pub(super) async fn write_purge(&self, number: usize) -> Result<(), RunError> {
        let record = PurgeRecord {
            object: Some(purge_object(number)),
            group: number as u64,
        };
        writer::write_purge(&self.etcd, PREFIX, &record).await?;
        Ok(())
    }

    /// Sends a command to the control store and returns the traffic since its start.
    pub(super) async fn command_store(
        &mut self,
        command: Command,
    ) -> Result<TrafficCounts, RunError> {
        match self.store.command(&command).await? {
            Report::Store { traffic, .. } => Ok(traffic),
            _ => Err(unexpected("a report of the control store")),
        }
    }

    /// Sends a command to all dispatcher processes, one after another, and returns their reports.
    pub(super) async fn command_dispatchers(
        &mut self,
        command: Command,
    ) -> Result<Vec<DispatcherReport>, RunError> {
        let mut reports = Vec::new();
        for dispatchers in &mut self.dispatchers {
            match dispatchers.process.command(&command).await? {
                Report::Dispatchers(report) => reports.push(report),
                other => {
                    return Err(unexpected(&format!(
                        "a report of dispatchers, got {other:?}"
                    )))
                }
            }
        }
        Ok(reports)
    }

    pub(super) fn dispatcher_count(&self) -> usize {
        let counts = self.dispatchers.iter().map(|process| process.nodes.count);
        counts.sum()
    }

    pub(super) fn dispatcher_processes(&self) -> usize {
        self.dispatchers.len()
    }

    /// Waits until every view is current and contains every registration. Returns the time that this took,
    /// milliseconds.
    pub(super) async fn wait_until_current(&mut self) -> Result<f64, RunError> {
        let started_at = Instant::now();
        let dispatchers = self.dispatcher_count();
        loop {
            let reports = self.command_dispatchers(Command::Report).await?;
            let current: usize = reports.iter().map(|report| report.current).sum();
            let registrations: usize = reports.iter().map(|r| r.state.dispatchers).sum();
            if current == dispatchers && registrations >= dispatchers * dispatchers {
                return Ok(started_at.elapsed().as_secs_f64() * 1e3);
            }
            if started_at.elapsed() > REPORT_TIMEOUT {
                return Err(RunError::NotCurrent {
                    current,
                    dispatchers,
                    registrations,
                });
            }
            tokio::time::sleep(VIEW_CHECK_INTERVAL).await;
        }
    }

    pub(super) fn usage(&self) -> FleetUsage {
        let dispatchers = self.dispatchers.iter().map(|d| d.process.pid());
        FleetUsage {
            store: ProcessUsage::of(self.store.pid()),
            dispatchers: ProcessUsage::of_all(dispatchers),
            hosts: ProcessUsage::of_all(self.hosts.iter().map(NodeProcess::pid)),
        }
    }

    /// Ends all processes, the control store last.
    pub(super) async fn end(self) {
        let dispatchers = self.dispatchers.into_iter().map(|d| d.process);
        for process in dispatchers.chain(self.hosts).chain([self.store]) {
            process.end().await;
        }
    }
}

fn unexpected(expected: &str) -> RunError {
    RunError::UnexpectedReport(expected.to_owned())
}
