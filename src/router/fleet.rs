//! This router's position among all routers, and its quota of what they share.
use crate::settings::{FleetPosition, RouterSettings};

/// Standard deviations by which a router's load may exceed its even quota: it sees a random sample of the requests.
const QUOTA_DEVIATIONS: f64 = 2.0;

/// How many routers share the endpoints, and which one this is.
///
/// Invariant: all counts are at least 1. Replaced as a whole by each [`FleetPosition`].
#[derive(Debug)]
pub(super) struct Fleet {
    /// Routers that send to the caches of this zone.
    pub(super) routers_in_zone: f64,
    pub(super) routers_total: u64,
    pub(super) router_index: Option<u32>,
    /// Share of its quota of warm-up budgets that this router uses: 0 or 1.
    pub(super) warm_up_share: f64,
}

impl Fleet {
    /// Of counts that are missing or contradict each other the largest is the safe one.
    pub(super) fn new(settings: &RouterSettings) -> Self {
        let in_all_zones = settings
            .zones
            .iter()
            .map(|zone| u64::from(zone.routers))
            .sum::<u64>();
        let routers_total = in_all_zones
            .max(settings.routers.into())
            .max(settings.router_index.map_or(0, u64::from) + 1);
        let in_own_zone = settings
            .zones
            .get(settings.zone)
            .map_or(0, |zone| u64::from(zone.routers));
        let routers_in_zone = if in_own_zone > 0 {
            in_own_zone
        } else {
            routers_total
        };
        Self {
            routers_in_zone: routers_in_zone as f64,
            routers_total,
            router_index: settings.router_index,
            warm_up_share: 1.0,
        }
    }

    pub(super) fn reposition(&mut self, position: FleetPosition) {
        self.routers_in_zone = position.routers_in_zone.max(1) as f64;
        self.routers_total = position.routers_total.max(1).into();
        self.router_index = position.router_index;
        self.warm_up_share = if position.takes_warm_up_budget {
            1.0
        } else {
            0.0
        };
    }

    /// What this router may have in flight of a limit that the routers of the zone share: the even quota and a
    /// margin for random variation.
    pub(super) fn quota(&self, limit: f64) -> f64 {
        let even = limit / self.routers_in_zone;
        even + QUOTA_DEVIATIONS * (even * (1.0 - 1.0 / self.routers_in_zone)).sqrt()
    }
}
