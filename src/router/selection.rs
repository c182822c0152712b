//! Selection of the cache and the source for the next attempt of a request.
use super::concurrency_limit::{accepts_cached_only, cache_has_capacity, zone_has_capacity};
use super::copy_locations::CopyKey;
use super::endpoints::Endpoint;
use super::fill_source::FillSource;
use super::placement::{Placement, PlacementLoad};
use super::requests::OpenRequest;
use super::retry::is_in_key_scope;
use super::roles::Role;
use super::Router;
use crate::event::Request;
use crate::ids::{EndpointId, Micros};

/// Endpoint to which an attempt is sent, and the source from which a miss is filled.
#[derive(Debug, Clone, Copy)]
pub(super) struct Route {
    pub(super) endpoint: EndpointId,
    pub(super) source: FillSource,
}

impl Route {
    pub(super) fn cached_only(endpoint: EndpointId) -> Self {
        Self {
            endpoint,
            source: FillSource::CachedOnly,
        }
    }

    /// Returns where a miss would be fetched from. For a cached-only attempt that is its own endpoint, whose role may
    /// have changed since it was chosen.
    pub(super) fn fetched_from(&self) -> Option<EndpointId> {
        match self.source {
            FillSource::Forwarded => None,
            FillSource::CachedOnly => Some(self.endpoint),
            FillSource::Endpoint(source) => Some(source),
        }
    }
}

/// Next step of a request that has no attempt in flight.
#[derive(Debug, Clone, Copy)]
pub(super) enum Choice {
    Send(Route),
    /// Check again at the next timer.
    Wait,
    /// Give the final response.
    Finish,
}

impl Router {
    pub(super) fn choose(&self, now: Micros, request: &OpenRequest) -> Choice {
        if self.settings.classes[request.request.class].uncacheable {
            return self.choose_pass_through(now, request);
        }
        let mut caches = self.eligible(now, request, Role::Cache);
        prefer_healthy(now, &mut caches);
        match self.pick_with_capacity(&request.request, &caches) {
            Some(cache) => self.choose_source(now, request, cache),
            None => self.choose_cached_only(request, caches),
        }
    }

    fn pick_with_capacity(&self, request: &Request, caches: &[&Endpoint]) -> Option<EndpointId> {
        let limit_factor = self.limit_factor(request);
        let zone_admits = zone_has_capacity(caches, self.fill_limit, limit_factor, &self.fleet);
        let admitting: Vec<&Endpoint> = caches
            .iter()
            .filter(|cache| zone_admits && cache_has_capacity(cache, limit_factor, &self.fleet))
            .copied()
            .collect();
        let key = CopyKey::of(request).placement_key();
        self.placement()
            .pick_with_bounded_load(key, &admitting, PlacementLoad::of_cache)
    }

    fn limit_factor(&self, request: &Request) -> f64 {
        let priority_weight = self.settings.classes[request.class].priority_weight;
        let transfer_s = self.transfer_times.seconds(request.class, request.size_kb);
        self.recent_demand.limit_factor(priority_weight, transfer_s)
    }

    fn choose_source(&self, now: Micros, request: &OpenRequest, cache: EndpointId) -> Choice {
        let source = self
            .sibling_source(now, request, cache)
            .or_else(|| self.upstream_source(now, request));
        // While the origin fails, only one source is tried, for its cached copies: misses do not add to the load of the
        // origin, and its remaining capacity is left to uncacheable requests.
        match source.filter(|_| !request.avoid_origin) {
            Some(source) => Choice::Send(Route {
                endpoint: cache,
                source: FillSource::Endpoint(source),
            }),
            None if request.cached_only_tried || request.avoid_origin => Choice::Finish,
            None => Choice::Send(Route::cached_only(cache)),
        }
    }

    /// Chooses a cached-only attempt when there is no capacity for requests that may need a fill: a cached copy can
    /// still be served, and a miss returns at once.
    fn choose_cached_only(&self, request: &OpenRequest, mut caches: Vec<&Endpoint>) -> Choice {
        caches.retain(|cache| accepts_cached_only(cache, &self.fleet));
        let copy = CopyKey::of(&request.request);
        let last_server = self
            .copy_locations
            .last_server(copy)
            .filter(|id| caches.iter().any(|cache| cache.entry.id == *id));
        let cache = last_server.or_else(|| {
            self.placement().pick_with_bounded_load(
                copy.placement_key(),
                &caches,
                PlacementLoad::unbounded,
            )
        });
        cache
            .filter(|_| !request.cached_only_tried)
            .map_or(Choice::Finish, |cache| {
                Choice::Send(Route::cached_only(cache))
            })
    }

    /// Returns the endpoints of a role that accept the request and have not failed it.
    pub(super) fn eligible(
        &self,
        now: Micros,
        request: &OpenRequest,
        role: Role,
    ) -> Vec<&Endpoint> {
        let class = request.request.class;
        let idempotency = self.settings.classes[class].idempotency;
        self.endpoints
            .with_role(role)
            .filter(|endpoint| {
                self.accepts_new_requests(now, endpoint, class)
                    && is_in_key_scope(request.first_run, idempotency, endpoint, &self.endpoints)
                    && !request.excluded.contains(&endpoint.entry.id)
            })
            .collect()
    }

    /// Whether an endpoint is ready and its warm-up budget allows one more request of the class.
    pub(super) fn accepts_new_requests(
        &self,
        now: Micros,
        endpoint: &Endpoint,
        class: usize,
    ) -> bool {
        endpoint.is_ready() && self.warm_up_budget_allows(now, endpoint, class)
    }

    pub(super) fn warm_up_budget_allows(
        &self,
        now: Micros,
        endpoint: &Endpoint,
        class: usize,
    ) -> bool {
        let fleet = &self.fleet;
        let times = &self.transfer_times;
        self.slow_start
            .warm_up_budget_allows(now, endpoint, class, fleet, times)
    }

    pub(super) fn placement(&self) -> Placement<'_> {
        Placement {
            fleet: &self.fleet,
            weights: self.settings.weights,
            zone_slowness: self.zone_slowness,
        }
    }

    /// Returns the cache to which a request would be sent and the work that the request needs there, in seconds of
    /// transfer time, if that cache grants warm-up leases and its current lease does not cover the request.
    pub fn warm_up_shortfall(&self, now: Micros, request: &Request) -> Option<(EndpointId, f64)> {
        let class = self.settings.classes.get(request.class)?;
        if class.uncacheable {
            return None;
        }
        let ready: Vec<&Endpoint> = self
            .endpoints
            .with_role(Role::Cache)
            .filter(|cache| cache.is_ready() && cache.is_healthy(now))
            .collect();
        let key = CopyKey::of(request).placement_key();
        let home = self
            .placement()
            .pick_with_bounded_load(key, &ready, PlacementLoad::of_cache)
            .and_then(|id| self.endpoints.get(id))?;
        let lease_exhausted = home.warm_up.lease.is_some()
            && class.priority_weight > 0.0
            && !self.warm_up_budget_allows(now, home, request.class);
        lease_exhausted.then(|| {
            let work_s = self.transfer_times.budget_cost(request.class);
            (home.entry.id, work_s)
        })
    }
}

/// Removes ejected caches, unless they are the majority of the zone: in that case the caches alone are not at fault,
/// and some of them still respond.
fn prefer_healthy(now: Micros, caches: &mut Vec<&Endpoint>) {
    let healthy = caches.iter().filter(|cache| cache.is_healthy(now)).count();
    if 2 * healthy >= caches.len() {
        caches.retain(|cache| cache.is_healthy(now));
    }
}
