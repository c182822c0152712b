//! Reads the fleet that capacity is planned for, its budgets and the settings of the run from an INI file.
use pointspindle_config::{ConfigErrors, Reader};
use serde::{Deserialize, Serialize};

/// Largest number of dispatchers, hosts or sites of a target.
const MAX_COUNT: usize = 100_000;

/// The fleet that capacity is planned for, its budgets, and the settings of the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Size of the fleet.
    #[serde(flatten)]
    pub fleet: FleetSize,
    /// Workload of the fleet.
    #[serde(flatten)]
    pub workload: Workload,
    /// Number of machines of the control store.
    pub control_machines: usize,
    /// Promised time until a purge is in force everywhere, milliseconds.
    #[serde(rename = "purge_ms")]
    pub purge_promise_ms: f64,
    /// Promised time until a change of the endpoint list is in force everywhere, milliseconds.
    #[serde(rename = "change_ms")]
    pub change_promise_ms: f64,
    /// Processor budget of a dispatcher's control plane, cores.
    #[serde(rename = "core_share")]
    pub max_cores: f64,
    /// Budget of a dispatcher's control plane for resident memory, MB.
    #[serde(rename = "memory_mb")]
    pub max_memory_mb: f64,
    /// Budget of a dispatcher's control plane for traffic in each direction, KB/s.
    #[serde(rename = "kb_per_s")]
    pub max_kb_per_s: f64,
    /// Length of each phase of the run, seconds.
    #[serde(rename = "seconds")]
    pub phase_seconds: f64,
    /// The other settings of the run.
    #[serde(flatten)]
    pub run: RunSettings,
}

/// The size of a fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetSize {
    /// Number of dispatchers.
    pub dispatchers: usize,
    /// Number of sites that the dispatchers are spread over.
    pub sites: usize,
    /// Number of cache hosts.
    pub hosts: usize,
    /// Number of regions.
    pub regions: usize,
    /// Number of zones.
    pub zones: usize,
}

/// The workload of a fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workload {
    /// Client requests per second.
    pub requests_per_s: f64,
    /// Number of objects, in millions.
    #[serde(rename = "objects_m")]
    pub objects_millions: f64,
    /// Purges per second.
    pub purges_per_s: f64,
    /// Configuration changes per day.
    pub changes_per_day: f64,
    /// Machine restarts per day.
    pub restarts_per_day: f64,
}

/// The settings of a scale run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunSettings {
    /// Number of hollow dispatchers in one process.
    #[serde(rename = "each")]
    pub dispatchers_per_process: usize,
    /// Number of hollow cache hosts in one process.
    #[serde(rename = "hosts_each")]
    pub hosts_per_process: usize,
    /// Number of purges in the burst.
    #[serde(rename = "storm")]
    pub burst_purges: usize,
    /// Whether hollow dispatchers promise that purges are in force within [`Target::purge_promise_ms`] and confirm it.
    #[serde(rename = "promise")]
    pub promises_purges: bool,
    /// Length of an outage of the control store, seconds.
    #[serde(rename = "away_s")]
    pub outage_s: f64,
}

/// Reads a target from the text of a file. `name` is the file's name in error messages.
pub fn read_target(name: &str, text: &str) -> Result<Target, ConfigErrors> {
    let mut reader = Reader::new(name, text)?;
    let r = &mut reader;
    let target = Target {
        fleet: read_fleet(r),
        workload: read_workload(r),
        control_machines: r.number("target", "control_machines", 1, 1, 1_000),
        purge_promise_ms: r.number("promise", "purge_ms", 1_500.0, 1.0, 1e6),
        change_promise_ms: r.number("promise", "change_ms", 11_000.0, 1.0, 1e7),
        max_cores: r.number("budget", "core_share", 0.02, 1e-6, 64.0),
        max_memory_mb: r.number("budget", "memory_mb", 64.0, 0.1, 1e6),
        max_kb_per_s: r.number("budget", "kb_per_s", 5.0, 1e-3, 1e6),
        phase_seconds: r.number("run", "seconds", 5.0, 0.2, 600.0),
        run: read_run(r),
    };
    check_count(r, "dispatchers", target.fleet.dispatchers);
    check_count(r, "hosts", target.fleet.hosts);
    reader.finish()?;
    Ok(target)
}

fn read_fleet(r: &mut Reader) -> FleetSize {
    let dispatchers = "a number of dispatchers";
    let hosts = "a number of cache hosts";
    FleetSize {
        dispatchers: r.required("target", "dispatchers", 0usize, dispatchers),
        sites: r.number("target", "sites", 1, 1, MAX_COUNT),
        hosts: r.required("target", "hosts", 0usize, hosts),
        regions: r.number("target", "regions", 1, 1, 1_000),
        zones: r.number("target", "zones", 1, 1, 10_000),
    }
}

fn read_workload(r: &mut Reader) -> Workload {
    Workload {
        requests_per_s: r.number("target", "requests_per_s", 0.0, 0.0, 1e9),
        objects_millions: r.number("target", "objects_m", 0.0, 0.0, 1e9),
        purges_per_s: r.number("target", "purges_per_s", 1.0, 0.01, 1e5),
        changes_per_day: r.number("target", "changes_per_day", 0.0, 0.0, 1e7),
        restarts_per_day: r.number("target", "restarts_per_day", 0.0, 0.0, 1e7),
    }
}

fn read_run(r: &mut Reader) -> RunSettings {
    RunSettings {
        dispatchers_per_process: r.number("run", "each", 50, 1, 1_000),
        hosts_per_process: r.number("run", "hosts_each", 60, 1, 1_000),
        burst_purges: r.number("run", "storm", 1_000, 0, 100_000),
        promises_purges: r.flag("run", "promise", false),
        outage_s: r.number("run", "away_s", 5.0, 0.1, 600.0),
    }
}

fn check_count(r: &mut Reader, key: &str, count: usize) {
    if count == 0 || count > MAX_COUNT {
        let problem = format!("{count} is not a number from 1 to {MAX_COUNT}");
        r.report("target", key, &problem);
    }
}
