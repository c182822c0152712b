//! What a fleet's control costs by its size: hollow dispatchers and cache hosts, which run the program's own control code
//! without clients and bodies, against a stand-in of the control store in a process of its own.
//!
//! [`steps`] plays the phases at each size and counts; [`slopes`] fits each figure over the sizes; [`capacity`] writes the page from
//! them. [`parts`] is what the processes run. A hollow process that dies is the rig's failure, never the product's.
#![forbid(unsafe_code)]

pub mod capacity;
pub mod parts;
pub mod slopes;
pub mod steps;

use pointspindle_config::{ConfigErrors, Reader};
use serde::{Deserialize, Serialize};

/// The fleet ahead, its budgets, and the shape of the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    pub dispatchers: usize,
    pub sites: usize,
    pub hosts: usize,
    pub regions: usize,
    pub zones: usize,
    pub requests_per_s: f64,
    /// Millions.
    pub objects_m: f64,
    pub purges_per_s: f64,
    pub changes_per_day: f64,
    pub restarts_per_day: f64,
    pub control_machines: usize,
    pub purge_ms: f64,
    pub change_ms: f64,
    pub core_share: f64,
    pub memory_mb: f64,
    pub kb_per_s: f64,
    pub seconds: f64,
    pub each: usize,
    pub hosts_each: usize,
    pub storm: usize,
    /// Hollow dispatchers promise that purges are in force within `purge_ms`, and prove it.
    pub promise: bool,
    pub away_s: f64,
}

/// More than this in one process or fleet is no rehearsal on one machine.
const MOST: usize = 100_000;

pub fn read(name: &str, text: &str) -> Result<Target, ConfigErrors> {
    let mut r = Reader::new(name, text)?;
    let target = Target {
        dispatchers: r.required(
            "target",
            "dispatchers",
            0usize,
            "how many dispatchers there will be",
        ),
        sites: r.number("target", "sites", 1, 1, MOST),
        hosts: r.required(
            "target",
            "hosts",
            0usize,
            "how many cache hosts there will be",
        ),
        regions: r.number("target", "regions", 1, 1, 1_000),
        zones: r.number("target", "zones", 1, 1, 10_000),
        requests_per_s: r.number("target", "requests_per_s", 0.0, 0.0, 1e9),
        objects_m: r.number("target", "objects_m", 0.0, 0.0, 1e9),
        purges_per_s: r.number("target", "purges_per_s", 1.0, 0.01, 1e5),
        changes_per_day: r.number("target", "changes_per_day", 0.0, 0.0, 1e7),
        restarts_per_day: r.number("target", "restarts_per_day", 0.0, 0.0, 1e7),
        control_machines: r.number("target", "control_machines", 1, 1, 1_000),
        purge_ms: r.number("promise", "purge_ms", 1_500.0, 1.0, 1e6),
        change_ms: r.number("promise", "change_ms", 11_000.0, 1.0, 1e7),
        core_share: r.number("budget", "core_share", 0.02, 1e-6, 64.0),
        memory_mb: r.number("budget", "memory_mb", 64.0, 0.1, 1e6),
        kb_per_s: r.number("budget", "kb_per_s", 5.0, 1e-3, 1e6),
        seconds: r.number("run", "seconds", 5.0, 0.2, 600.0),
        each: r.number("run", "each", 50, 1, 1_000),
        hosts_each: r.number("run", "hosts_each", 60, 1, 1_000),
        storm: r.number("run", "storm", 1_000, 0, 100_000),
        promise: r.flag("run", "promise", false),
        away_s: r.number("run", "away_s", 5.0, 0.1, 600.0),
    };
    for (key, count) in [("dispatchers", target.dispatchers), ("hosts", target.hosts)] {
        if count == 0 || count > MOST {
            r.report("target", key, &format!("{count} is not within 1 to {MOST}"));
        }
    }
    r.finish()?;
    Ok(target)
}

#[cfg(test)]
mod tests;
