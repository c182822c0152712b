//! The numbers and sizes of hosts in an imported scenario.
use super::bench_scenario::{BenchScenario, BenchServer};
use super::{ImportError, Size};

/// Maximum number of branches at loopback size.
const LOOPBACK_MAX_BRANCHES: usize = 3;

/// Minimum number of cache hosts in a branch at loopback size.
const LOOPBACK_MIN_CACHES: usize = 3;

/// Maximum number of parents at loopback size.
const LOOPBACK_MAX_PARENTS: usize = 2;

/// Maximum number of hubs at loopback size.
const LOOPBACK_MAX_HUBS: usize = 2;

/// Maximum speed of one transfer at loopback size, KiB per second. Response sizes are reduced in proportion to the
/// speed, so that one machine can handle them and transfer times are unchanged.
const LOOPBACK_MAX_KB_PER_S: f64 = 500.0;

/// Weight of a cache host at loopback size, as a share of its weight in the bench's scenario.
const LOOPBACK_WEIGHT_SHARE: f64 = 0.35;

/// Time at the start of a scenario at full size in which the caches fill, seconds. It precedes the time of the bench's
/// scenario, which begins with filled caches.
const FULL_WARM_UP_S: f64 = 30.0;

/// Like [`FULL_WARM_UP_S`], at loopback size.
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

/// The hosts of the bench's scenario, and the numbers and weights of hosts in the imported scenario.
pub(super) struct Layout {
    pub(super) size: Size,
    /// Server indices of the bench's cache hosts.
    pub(super) caches: Vec<usize>,
    /// Server indices of the bench's parents.
    pub(super) parents: Vec<usize>,
    pub(super) branches: usize,
    pub(super) caches_per_branch: usize,
    pub(super) dispatchers_per_branch: usize,
    pub(super) parent_count: usize,
    pub(super) hubs: usize,
    /// Speed of one transfer, KiB per second.
    pub(super) kb_per_s: f64,
    pub(super) cache_weight: f64,
    /// Mean weight of the bench's cache hosts.
    pub(super) bench_cache_weight: f64,
    /// Zone index of the bench's first branch; the hubs come before the branches.
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
            caches_per_branch: mean_per_zone(caches.len(), zones.len()),
            dispatchers_per_branch: mean_per_zone(bench.dispatchers.len(), zones.len()),
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
            Size::Loopback => full.reduced_to_loopback(),
        })
    }

    /// Reduces a layout to loopback size. The load of a branch is proportional to the weights of its hosts, which are
    /// reduced too.
    fn reduced_to_loopback(self) -> Self {
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

    /// Returns the time before the start of the bench's scenario in which the caches fill, seconds.
    pub(super) fn warm_up_s(&self) -> f64 {
        match self.size {
            Size::Full => FULL_WARM_UP_S,
            Size::Loopback => LOOPBACK_WARM_UP_S,
        }
    }

    /// Returns the total weight of the cache hosts of the imported scenario.
    pub(super) fn cache_capacity(&self) -> f64 {
        (self.branches * self.caches_per_branch) as f64 * self.cache_weight
    }

    /// Returns the capacity of the imported scenario's cache hosts as a share of that of the bench's cache hosts.
    pub(super) fn capacity_ratio(&self, bench: &BenchScenario) -> f64 {
        let bench_capacity: f64 = self
            .caches
            .iter()
            .map(|index| bench.servers[*index].weight)
            .sum();
        self.cache_capacity() / bench_capacity.max(1e-9)
    }

    /// Returns the mean number of cache hosts in a branch of the bench's scenario.
    pub(super) fn bench_caches_per_branch(&self, bench: &BenchScenario) -> f64 {
        let branches = (bench.zones.len() - self.first_branch).max(1);
        self.caches.len() as f64 / branches as f64
    }
}

/// Returns the indices of the servers that run from the start and match `predicate`.
fn servers_where(bench: &BenchScenario, predicate: impl Fn(&BenchServer) -> bool) -> Vec<usize> {
    bench
        .servers
        .iter()
        .enumerate()
        .filter(|(_, server)| server.running && predicate(server))
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

/// Returns the mean number of items per zone, rounded, at least 1.
fn mean_per_zone(count: usize, zones: usize) -> usize {
    (count as f64 / zones as f64).round().max(1.0) as usize
}
