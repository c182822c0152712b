//! The `[zone NAME]` sections: zones of the fleet.
use crate::reader::Reader;
use pointspindle::Zone;

/// The zones of the fleet. If the file has no `[zone NAME]` section, the dispatcher's own zone is the only one.
pub(super) struct Zones {
    /// Names of the zones, by the decision module's zone number.
    pub(super) names: Vec<String>,
    /// Settings of the zones for the decision module, by zone number.
    pub(super) fleet: Vec<Zone>,
    /// Number of the dispatcher's own zone.
    pub(super) own_index: usize,
}

pub(super) fn read(reader: &mut Reader, own_zone: &str, dispatchers: u32) -> Zones {
    let mut names = reader.section_names("zone");
    let mut fleet: Vec<Zone> = names.iter().map(|name| read_zone(reader, name)).collect();
    if names.is_empty() && !own_zone.is_empty() {
        names.push(own_zone.to_owned());
        fleet.push(Zone {
            routers: dispatchers,
        });
    }
    let own_index = names.iter().position(|name| name == own_zone);
    if own_index.is_none() && !own_zone.is_empty() {
        let reason = format!("{own_zone:?} has no [zone …] section");
        reader.report("dispatcher", "zone", &reason);
    }
    Zones {
        names,
        fleet,
        own_index: own_index.unwrap_or(0),
    }
}

fn read_zone(reader: &mut Reader, name: &str) -> Zone {
    Zone {
        routers: reader.number(&format!("zone {name}"), "dispatchers", 0, 0, 100_000),
    }
}
