//! The size of the scenario that a scenario of the bench becomes.
use super::bench_scenario::{BenchScenario, BenchServer};
use super::{ImportError, Size};

/// Branches of a scenario at loopback size, at most.
const LOOPBACK_MAX_BRANCHES: usize = 3;

/// Cache hosts in a branch at loopback size, at least.
const LOOPBACK_MIN_CACHES: usize = 3;

/// Parents at loopback size, at most.
const LOOPBACK_MAX_PARENTS: usize = 2;

/// Hubs at loopback size, at most.
const LOOPBACK_MAX_HUBS: usize = 2;

/// Speed of one transfer at loopback size, at most: responses are small enough for one machine, and transfer times
/// stay as they are.
const LOOPBACK_MAX_KB_PER_S: f64 = 500.0;

/// Weight of a cache host at loopback size, as a share of the bench's.
const LOOPBACK_WEIGHT_SHARE: f64 = 0.35;

/// Time before the bench's start in which the caches fill, seconds. The bench begins with filled caches.
const FULL_WARM_UP_S: f64 = 30.0;
const LOOPBACK_WARM_UP_S: f64 = 4.0;

pub(super) fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let mut sum = 0.0;
    let mut count = 0.0;
    for value in values {
        sum += value;
        count += 1.0;
    }
    if count > 0.0 {
        sum / count
    } else {
        0.0
    }
}

/// The hosts of the bench's scenario, and how many of each kind the scenario has.
pub(super) struct Layout {
    pub(super) size: Size,
    /// The bench's cache hosts, by server index.
    pub(super) caches: Vec<usize>,
    /// The bench's parents, by server index.
    pub(super) parents: Vec<usize>,
    pub(super) branches: usize,
    pub(super) caches_per_branch: usize,
    pub(super) dispatchers_per_branch: usize,
    pub(super) parent_count: usize,
    pub(super) hubs: usize,
    /// Speed of one transfer.
    pub(super) kb_per_s: f64,
    pub(super) cache_weight: f64,
    /// Mean weight of the bench's cache hosts.
    pub(super) bench_cache_weight: f64,
    /// The bench's first branch; its hubs come before.
    pub(super) first_branch: usize,
}

impl Layout {
    pub(super) fn new(bench: &BenchScenario, size: Size) -> Result<Self, ImportError> {
        let caches = servers_where(bench, |server| is_cache(bench, server));
        let parents = servers_where(bench, |server| {
            server.kind as i64 == bench.family.parents.kind
        });
        let zones = zones_of(bench, &caches);
        let first_branch = *zones.first().ok_or(ImportError::Missing("cache hosts"))?;
        if bench.tiers.is_empty() || bench.classes.is_empty() || bench.dispatchers.is_empty() {
            return Err(ImportError::Missing("tier, class or dispatcher"));
        }
        let bench_cache_weight = mean(caches.iter().map(|index| bench.servers[*index].weight));
        let links = &bench.family.links;
        let full = Self {
            size,
            branches: zones.len(),
            caches_per_branch: per_zone(caches.len(), zones.len()),
            dispatchers_per_branch: per_zone(bench.dispatchers.len(), zones.len()),
            parent_count: parents.len(),
            hubs: links.hubs.max(1),
            kb_per_s: links.kb_per_s,
            cache_weight: bench_cache_weight,
            bench_cache_weight,
            caches,
            parents,
            first_branch,
        };
        Ok(match size {
            Size::Full => full,
            Size::Loopback => full.shrunk_to_loopback(),
        })
    }

    /// At loopback size a branch has a share of its load: weights shrink with it.
    fn shrunk_to_loopback(self) -> Self {
        Self {
            branches: self.branches.min(LOOPBACK_MAX_BRANCHES),
            caches_per_branch: self.caches_per_branch.max(LOOPBACK_MIN_CACHES),
            dispatchers_per_branch: 1,
            parent_count: self.parent_count.min(LOOPBACK_MAX_PARENTS),
            hubs: self.hubs.min(LOOPBACK_MAX_HUBS),
            kb_per_s: self.kb_per_s.min(LOOPBACK_MAX_KB_PER_S),
            cache_weight: self.cache_weight * LOOPBACK_WEIGHT_SHARE,
            ..self
        }
    }

    /// Time before the bench's start in which the caches fill, seconds.
    pub(super) fn warm_up_s(&self) -> f64 {
        match self.size {
            Size::Full => FULL_WARM_UP_S,
            Size::Loopback => LOOPBACK_WARM_UP_S,
        }
    }

    /// Weight of all cache hosts of the scenario.
    pub(super) fn cache_capacity(&self) -> f64 {
        (self.branches * self.caches_per_branch) as f64 * self.cache_weight
    }

    /// Capacity of the scenario's cache hosts as a share of the bench's.
    pub(super) fn capacity_ratio(&self, bench: &BenchScenario) -> f64 {
        let bench_capacity: f64 = self
            .caches
            .iter()
            .map(|index| bench.servers[*index].weight)
            .sum();
        self.cache_capacity() / bench_capacity.max(1e-9)
    }

    /// Cache hosts of a branch of the bench's scenario, on the mean.
    pub(super) fn bench_caches_per_branch(&self, bench: &BenchScenario) -> f64 {
        let branches = (bench.zones.len() - self.first_branch).max(1);
        self.caches.len() as f64 / branches as f64
    }
}

/// Indices of the servers that run from the start and fit.
fn servers_where(bench: &BenchScenario, fits: impl Fn(&BenchServer) -> bool) -> Vec<usize> {
    bench
        .servers
        .iter()
        .enumerate()
        .filter(|(_, server)| server.running && fits(server))
        .map(|(index, _)| index)
        .collect()
}

fn is_cache(bench: &BenchScenario, server: &BenchServer) -> bool {
    server.kind as i64 != bench.family.parents.kind && server.kind != bench.family.origin.kind
}

fn zones_of(bench: &BenchScenario, servers: &[usize]) -> Vec<usize> {
    let mut zones: Vec<usize> = servers
        .iter()
        .map(|index| bench.servers[*index].zone)
        .collect();
    zones.sort_unstable();
    zones.dedup();
    zones
}

/// Mean number in a zone, rounded; one at least.
fn per_zone(count: usize, zones: usize) -> usize {
    (count as f64 / zones as f64).round().max(1.0) as usize
}
