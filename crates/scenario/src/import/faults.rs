//! Faults of the bench as faults of a scenario.
use super::bench_scenario::{BenchFault, BenchScenario};
use super::layout::Layout;
use crate::ini_writer::IniWriter;
use pointspindle_cache_model::Role;

/// Why a fault of the bench is not carried over.
#[derive(Debug, thiserror::Error)]
pub(super) enum NotCarriedOver {
    #[error("report_late: load reports are not read by the module")]
    LateReports,
    #[error("{0}: no counterpart here")]
    UnknownKind(String),
}

/// A fault as a section of the scenario file.
pub(super) struct ConvertedFault {
    /// Value of the key `kind`.
    kind: &'static str,
    duration: f64,
    share: f64,
    role: Role,
    severity: Option<f64>,
    downtime_s: Option<f64>,
    zone: Option<String>,
}

impl ConvertedFault {
    pub(super) fn write(
        &self,
        layout: &Layout,
        fault: &BenchFault,
        number: usize,
        ini: &mut IniWriter,
    ) {
        let mut section = ini.section(format_args!("trouble {}-{number}", fault.kind));
        section
            .key("kind", self.kind)
            .number("at_s", fault.at / 1e6 + layout.warm_up_s(), 2)
            .number("for_s", self.duration / 1e6, 2)
            .number("share", self.share.clamp(0.001, 1.0), 3)
            .key("role", self.role.name());
        if let Some(severity) = self.severity {
            section.number("hard", severity, 3);
        }
        if let Some(downtime) = self.downtime_s {
            section.number("down_s", downtime, 3);
        }
        if let Some(zone) = &self.zone {
            section.key("zone", zone);
        }
    }
}

/// Converts a fault, or says why it has no counterpart.
pub(super) fn convert(
    bench: &BenchScenario,
    layout: &Layout,
    fault: &BenchFault,
) -> Result<ConvertedFault, NotCarriedOver> {
    let hosts = host_fault(bench, layout, fault);
    Ok(match fault.kind.as_str() {
        "crash" | "mass_restart" => hosts("crash"),
        "hang" => hosts("hang"),
        "fast_errors" => ConvertedFault {
            severity: Some(fault.size),
            ..hosts("errors")
        },
        "answer_lost" => ConvertedFault {
            severity: Some(fault.size),
            ..hosts("lose_answers")
        },
        "deploy" | "preempt" => deploy(layout, fault, hosts("deploy")),
        "ageing" => ConvertedFault {
            severity: Some(fault.size),
            downtime_s: Some(fault.extra),
            ..hosts("ageing")
        },
        "zone_loss" => ConvertedFault {
            zone: Some(zone_name(layout, fault.zone)),
            ..hosts("zone_loss")
        },
        "balancer_roll" => ConvertedFault {
            share: stopped_servers(fault) as f64 / bench.dispatchers.len() as f64,
            downtime_s: Some(fault.extra),
            ..hosts("kill_dispatchers")
        },
        "origin_slow" => ConvertedFault {
            role: Role::Origin,
            share: 1.0,
            severity: Some(fault.size),
            ..hosts("slow")
        },
        "flush" => ConvertedFault {
            share: fault.size,
            duration: 0.0,
            ..hosts("purge")
        },
        "hot_key" => ConvertedFault {
            share: fault.size,
            ..hosts("hot")
        },
        "heavy_tail" => ConvertedFault {
            share: fault.extra,
            severity: Some(fault.size),
            ..hosts("oversized")
        },
        "scan" => ConvertedFault {
            share: fault.size,
            ..hosts("one_off")
        },
        "report_late" => return Err(NotCarriedOver::LateReports),
        other => return Err(NotCarriedOver::UnknownKind(other.to_owned())),
    })
}

/// Makes faults of a kind that affect as large a share of the hosts as the bench's fault does.
fn host_fault<'a>(
    bench: &'a BenchScenario,
    layout: &'a Layout,
    fault: &'a BenchFault,
) -> impl Fn(&'static str) -> ConvertedFault + 'a {
    let is_origin = |index: &usize| {
        let server = bench.servers.get(*index);
        server.is_some_and(|server| server.kind == bench.family.origin.kind)
    };
    let affects_parents = fault
        .servers
        .iter()
        .any(|index| layout.parents.contains(index));
    let hosts = TargetHosts::new(layout, affects_parents);
    let role = if fault.servers.iter().any(is_origin) {
        Role::Origin
    } else {
        hosts.role
    };
    let share = hosts.share(fault.servers.len());
    move |kind| ConvertedFault {
        kind,
        duration: fault.duration,
        share,
        role,
        severity: None,
        downtime_s: None,
        zone: None,
    }
}

/// The hosts that a fault of the bench draws from: parents or cache hosts.
struct TargetHosts {
    role: Role,
    count: usize,
}

impl TargetHosts {
    fn new(layout: &Layout, are_parents: bool) -> Self {
        if are_parents {
            Self {
                role: Role::Parent,
                count: layout.parents.len(),
            }
        } else {
            Self {
                role: Role::Cache,
                count: layout.caches.len(),
            }
        }
    }

    fn share(&self, affected: usize) -> f64 {
        affected as f64 / self.count.max(1) as f64
    }
}

/// A deploy of the hosts that its waves stop.
fn deploy(layout: &Layout, fault: &BenchFault, usual: ConvertedFault) -> ConvertedFault {
    let first = fault.waves.iter().flat_map(|wave| &wave.stop).next();
    let stops_parents = first.is_some_and(|index| layout.parents.contains(index));
    let hosts = TargetHosts::new(layout, stops_parents);
    ConvertedFault {
        role: if usual.role == Role::Origin {
            Role::Origin
        } else {
            hosts.role
        },
        share: hosts.share(stopped_servers(fault)),
        severity: Some(fault.extra),
        ..usual
    }
}

/// Servers that the fault's waves stop.
fn stopped_servers(fault: &BenchFault) -> usize {
    fault.waves.iter().map(|wave| wave.stop.len()).sum()
}

/// The scenario's zone for one of the bench's scenario, whose hubs come before its branches.
fn zone_name(layout: &Layout, zone: usize) -> String {
    match zone.checked_sub(layout.first_branch) {
        Some(branch) => format!("branch-{}", branch % layout.branches + 1),
        None => format!("hub-{}", zone % layout.hubs + 1),
    }
}
