//! Reads the faults of a scenario file.
use super::ranges::ValueReader;
use crate::script::{FaultKind, FaultSpec, FaultTarget, PartitionDirections, SiteLossExtent};
use crate::Scenario;
use pointspindle_cache_model::Role;

/// Reads the faults, in the order of the file.
pub(super) fn faults(values: &mut ValueReader, scenario: &Scenario) -> Vec<FaultSpec> {
    values
        .reader
        .section_names("trouble")
        .into_iter()
        .filter_map(|name| fault(values, scenario, name))
        .collect()
}

fn fault(values: &mut ValueReader, scenario: &Scenario, name: String) -> Option<FaultSpec> {
    let section = &format!("trouble {name}");
    let kind = kind(values, section)?;
    let target = target(values, scenario, section, kind);
    let extent = values.reader.choice(
        section,
        "takes",
        SiteLossExtent::Hosts,
        &SiteLossExtent::NAMES,
    );
    let directions = values.reader.choice(
        section,
        "ways",
        PartitionDirections::default(),
        &PartitionDirections::NAMES,
    );
    let announced = values.flag(section, "told", true);
    if kind.affects_site() && kind.requires_processes() && target.zone.is_none() {
        let reason = "missing; expected the name of the affected site";
        values.reader.report(section, "zone", reason);
    }
    let at = values.seconds(section, "at_s", 5.0);
    if at >= scenario.duration() {
        let reason = "must be before the end of the run";
        values.reader.report(section, "at_s", reason);
    }
    Some(FaultSpec {
        at,
        duration: values.seconds(section, "for_s", 8.0),
        downtime: values.seconds(section, "down_s", 2.0),
        severity: values.number(section, "hard", kind.default_severity(), 0.0, 1e6),
        target,
        extent,
        announced,
        directions,
        kind,
        name,
    })
}

fn kind(values: &mut ValueReader, section: &str) -> Option<FaultKind> {
    let name = values.reader.text(section, "kind");
    let kind = name.and_then(|name| FaultKind::from_name(&name));
    if kind.is_none() {
        let names: Vec<&str> = FaultKind::NAMES.iter().map(|(name, _)| *name).collect();
        let reason = format!("missing or not one of {}", names.join(", "));
        values.reader.report(section, "kind", &reason);
    }
    kind
}

fn target(
    values: &mut ValueReader,
    scenario: &Scenario,
    section: &str,
    kind: FaultKind,
) -> FaultTarget {
    FaultTarget {
        zone: zone(values, scenario, section),
        role: values
            .reader
            .choice(section, "role", kind.default_role(), &Role::NAMES),
        index: index(values, section),
        share: values.share(section, "share", 0.3),
    }
}

fn zone(values: &mut ValueReader, scenario: &Scenario, section: &str) -> Option<usize> {
    let name = values.reader.text(section, "zone")?;
    if name.is_empty() {
        return None;
    }
    let zones = scenario.zones();
    let zone = zones.iter().position(|known| *known == name);
    if zone.is_none() {
        let reason = format!("{name:?} is not one of {}", zones.join(", "));
        values.reader.report(section, "zone", &reason);
    }
    zone
}

fn index(values: &mut ValueReader, section: &str) -> Option<usize> {
    let text = values.reader.text(section, "number")?;
    let index = text.parse().ok();
    if index.is_none() {
        values
            .reader
            .report(section, "number", "not a non-negative integer");
    }
    index
}
