//! Converts faults of the bench to faults of a scenario file.
use super::bench_scenario::{BenchFault, BenchScenario};
use super::layout::Layout;
use crate::ini_writer::IniWriter;
use pointspindle_cache_model::Role;

/// The reason for which a fault of the bench cannot be converted.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConversionError {
    #[error("report_late: the dispatcher does not read load reports")]
    LateLoadReports,
    #[error("{0}: no corresponding kind of fault")]
    UnknownKind(String),
}

/// A converted fault: the content of a section of the scenario file.
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

/// Converts a fault, or returns the reason for which this is impossible.
pub(super) fn convert(
    bench: &BenchScenario,
    layout: &Layout,
    fault: &BenchFault,
) -> Result<ConvertedFault, ConversionError> {
    let fault_of_kind = fault_template(bench, layout, fault);
    Ok(match fault.kind.as_str() {
        "crash" | "mass_restart" => fault_of_kind("crash"),
        "hang" => fault_of_kind("hang"),
        "fast_errors" => ConvertedFault {
            severity: Some(fault.size),
            ..fault_of_kind("errors")
        },
        "answer_lost" => ConvertedFault {
            severity: Some(fault.size),
            ..fault_of_kind("lose_answers")
        },
        "deploy" | "preempt" => deploy(layout, fault, fault_of_kind("deploy")),
        "ageing" => ConvertedFault {
            severity: Some(fault.size),
            downtime_s: Some(fault.extra),
            ..fault_of_kind("ageing")
        },
        "zone_loss" => ConvertedFault {
            zone: Some(zone_name(layout, fault.zone)),
            ..fault_of_kind("zone_loss")
        },
        "balancer_roll" => ConvertedFault {
            share: stopped_servers(fault) as f64 / bench.dispatchers.len() as f64,
            downtime_s: Some(fault.extra),
            ..fault_of_kind("kill_dispatchers")
        },
        "origin_slow" => ConvertedFault {
            role: Role::Origin,
            share: 1.0,
            severity: Some(fault.size),
            ..fault_of_kind("slow")
        },
        "flush" => ConvertedFault {
            share: fault.size,
            duration: 0.0,
            ..fault_of_kind("purge")
        },
        "hot_key" => ConvertedFault {
            share: fault.size,
            ..fault_of_kind("hot")
        },
        "heavy_tail" => ConvertedFault {
            share: fault.extra,
            severity: Some(fault.size),
            ..fault_of_kind("oversized")
        },
        "scan" => ConvertedFault {
            share: fault.size,
            ..fault_of_kind("one_off")
        },
        "report_late" => return Err(ConversionError::LateLoadReports),
        other => return Err(ConversionError::UnknownKind(other.to_owned())),
    })
}

/// Returns a function that makes a fault of a given kind with the same duration as the bench's fault and the same share
/// of affected hosts.
fn fault_template<'a>(
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

/// The hosts that a fault can affect: all parents or all cache hosts of the bench.
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

/// Returns a deploy of the hosts that the waves of the bench's fault stop.
fn deploy(layout: &Layout, fault: &BenchFault, base: ConvertedFault) -> ConvertedFault {
    let first = fault.waves.iter().flat_map(|wave| &wave.stop).next();
    let stops_parents = first.is_some_and(|index| layout.parents.contains(index));
    let hosts = TargetHosts::new(layout, stops_parents);
    ConvertedFault {
        role: if base.role == Role::Origin {
            Role::Origin
        } else {
            hosts.role
        },
        share: hosts.share(stopped_servers(fault)),
        severity: Some(fault.extra),
        ..base
    }
}

/// Returns the number of servers that the waves of a fault stop.
fn stopped_servers(fault: &BenchFault) -> usize {
    fault.waves.iter().map(|wave| wave.stop.len()).sum()
}

/// Returns the name of the zone that corresponds to a zone of the bench. In the bench's list of zones, hubs come before
/// branches.
fn zone_name(layout: &Layout, zone: usize) -> String {
    match zone.checked_sub(layout.first_branch) {
        Some(branch) => format!("branch-{}", branch % layout.branches + 1),
        None => format!("hub-{}", zone % layout.hubs + 1),
    }
}
