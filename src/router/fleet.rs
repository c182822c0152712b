//! This router's position among all routers, and its quota of limits that the routers share.
use crate::settings::{FleetPosition, RouterSettings};

/// Standard deviations by which a router's load may exceed its even share of a limit: each router receives a random
/// sample of the requests.
const QUOTA_DEVIATIONS: f64 = 2.0;

/// Number of routers that share the endpoints, and the index of this one.
///
/// Invariant: all counts are at least 1. Replaced as a whole by each [`FleetPosition`].
#[derive(Debug)]
pub(super) struct Fleet {
    /// Number of routers that send requests to the caches of this zone.
    pub(super) routers_in_zone: f64,
    pub(super) routers_total: u64,
    pub(super) router_index: Option<u32>,
    /// Fraction of its quota of warm-up budgets that this router uses: 0 or 1.
    pub(super) warm_up_share: f64,
}

impl Fleet {
    /// Takes the largest of the configured counts: if some are missing or contradict each other, the largest is safe,
    /// since it gives the smallest quotas.
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
        self.warm_up_share = if position.uses_warm_up_budget {
            1.0
        } else {
            0.0
        };
    }

    /// Returns this router's quota of a limit that the routers of the zone share: an even share plus a margin for
    /// random variation.
    pub(super) fn quota(&self, limit: f64) -> f64 {
        let even_share = limit / self.routers_in_zone;
        even_share + QUOTA_DEVIATIONS * (even_share * (1.0 - 1.0 / self.routers_in_zone)).sqrt()
    }
}
