//! The `[fleet]`, `[cold cache]` and `[cold parent]` sections: settings of the decision module.
use super::MINUTE_MS;
use crate::endpoints::Role;
use crate::reader::Reader;
use crate::slow_start;
use pointspindle::{
    CacheStatusDetail, RequestClass, RouterSettings, Siblings, Weights, Zone,
    DEFAULT_MAX_KNOWN_COPIES,
};

const SECTION: &str = "fleet";

const WEIGHTS: [(&str, Weights); 4] = [
    ("none", Weights::None),
    ("nominal", Weights::Nominal),
    ("rough", Weights::Rough),
    ("live", Weights::Live),
];
const CACHE_STATUS_DETAILS: [(&str, CacheStatusDetail); 3] = [
    ("all", CacheStatusDetail::All),
    ("hit", CacheStatusDetail::HitOnly),
    ("none", CacheStatusDetail::None),
];
const SIBLINGS: [(&str, Siblings); 3] = [
    ("none", Siblings::None),
    ("zone", Siblings::OwnZone),
    ("any", Siblings::Any),
];

/// The position of the dispatcher in the fleet.
pub(super) struct Placement {
    /// Number of the dispatcher's own zone.
    pub(super) zone: usize,
    /// Zones, by zone number.
    pub(super) zones: Vec<Zone>,
    /// Number of dispatchers in the fleet.
    pub(super) routers: u32,
    /// Number of this dispatcher, if known.
    pub(super) router_index: Option<u32>,
}

pub(super) fn read(
    reader: &mut Reader,
    placement: Placement,
    classes: Vec<RequestClass>,
) -> RouterSettings {
    RouterSettings {
        zone: placement.zone,
        zones: placement.zones,
        routers: placement.routers,
        router_index: placement.router_index,
        classes,
        parent_kind: Some(Role::Parent.kind()),
        origin_kind: Some(Role::Origin.kind()),
        weights: reader.choice(SECTION, "weights", Weights::Nominal, &WEIGHTS),
        cache_status_detail: reader.choice(
            SECTION,
            "notes",
            CacheStatusDetail::All,
            &CACHE_STATUS_DETAILS,
        ),
        siblings: reader.choice(SECTION, "siblings", Siblings::OwnZone, &SIBLINGS),
        direct_forwarding: reader.flag(SECTION, "straight", true),
        coalesces_fills: reader.flag(SECTION, "joins", true),
        may_cancel: true,
        retry_after: reader.flag(SECTION, "retry_after", true),
        max_retry_after: reader.duration_us(
            SECTION,
            "max_retry_after_ms",
            1000.0,
            0.0,
            10.0 * MINUTE_MS,
        ),
        max_attempts: reader.number(SECTION, "max_attempts", 6, 1, 100),
        stream_kb_per_s: reader.number(SECTION, "stream_kb_per_s", 6000.0, 1.0, 1e9),
        cache_slow_start: slow_start::read(reader, "cold cache"),
        parent_slow_start: slow_start::read(reader, "cold parent"),
        purge_horizon: reader.duration_us(SECTION, "purge_done_ms", 6000.0, 0.0, 60.0 * MINUTE_MS),
        max_known_copies: DEFAULT_MAX_KNOWN_COPIES,
    }
}
