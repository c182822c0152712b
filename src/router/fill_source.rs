//! Source of a fill (parent, sibling or origin), and the maximum age of a copy, including stale-if-error.
use super::copy_locations::CopyKey;
use super::endpoints::Endpoint;
use super::placement::PlacementLoad;
use super::requests::OpenRequest;
use super::roles::Role;
use super::{Route, Router, MS};
use crate::action::FetchDirective;
use crate::event::Request;
use crate::ids::{EndpointId, Micros};
use crate::settings::{RequestClass, Siblings};

/// Time after the failure of a source during which requests that are filled from it accept stale copies.
const STALE_WINDOW: Micros = 10_000 * MS;
/// Fraction by which a timely fill raises the traffic share of its source, and a late or rejected one lowers it.
const TRAFFIC_SHARE_STEP: f64 = 0.5;
/// Lowest traffic share: leaves enough fills to detect that the source has recovered.
const MIN_TRAFFIC_SHARE: f64 = 0.04;

/// Where an endpoint fetches objects that it has not cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FillSource {
    /// There is no fill: the request runs at the endpoint.
    Forwarded,
    /// A miss is not filled: the cache answers from its copies, within the stale-if-error time.
    CachedOnly,
    /// A miss is filled from this endpoint. A parent that is named as its own source for an uncacheable request does
    /// not fetch.
    Endpoint(EndpointId),
}

impl FillSource {
    /// Returns the source, if it is a different endpoint from the one that is filled.
    pub(super) fn upstream_of(self, endpoint: EndpointId) -> Option<EndpointId> {
        match self {
            Self::Endpoint(source) if source != endpoint => Some(source),
            _ => None,
        }
    }
}

/// Share of the fills planned from a parent or the origin that are sent to it; the rest are diverted.
///
/// Invariant: the share is between `MIN_TRAFFIC_SHARE` and 1. It is dropped with its endpoint.
#[derive(Debug, Clone, Copy)]
pub(super) struct TrafficShare {
    share: f64,
}

impl Default for TrafficShare {
    fn default() -> Self {
        Self { share: 1.0 }
    }
}

impl TrafficShare {
    pub(super) fn adapt(&mut self, late: bool) {
        let factor = if late {
            1.0 - TRAFFIC_SHARE_STEP
        } else {
            1.0 + TRAFFIC_SHARE_STEP
        };
        self.share = (self.share * factor).clamp(MIN_TRAFFIC_SHARE, 1.0);
    }

    /// Whether a fill is diverted, given a uniform random number in `0.0..1.0`.
    fn diverts(&self, random: f64) -> bool {
        random >= self.share
    }
}

/// Whether a fill is diverted from its source or from the origin.
#[derive(Debug, Clone, Copy)]
pub(super) struct Diversion {
    pub(super) from_source: bool,
    pub(super) from_origin: bool,
}

/// The source of a fill for one attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct FillPlan {
    pub(super) source: FillSource,
    /// Whether the source must not fetch from the origin.
    pub(super) avoid_origin: bool,
}

impl Router {
    /// Decides at random whether a fill is diverted from an endpoint. The draw is made for each fill, so that the
    /// traffic shares of all routers add up.
    pub(super) fn draw_diversion(&mut self, now: Micros, id: Option<EndpointId>) -> bool {
        let random = self.random.next_unit();
        id.and_then(|id| self.endpoints.get(id))
            .is_some_and(|endpoint| {
                endpoint.traffic_share.diverts(random) || !endpoint.is_healthy(now)
            })
    }

    /// Replaces the source of a route from which the fill is diverted: a parent by the origin, and the origin by the
    /// cached copies of the parent or of the endpoint.
    pub(super) fn plan_fill(
        &self,
        now: Micros,
        request: &Request,
        route: Route,
        diversion: Diversion,
    ) -> FillPlan {
        let uncacheable = self.settings.classes[request.class].uncacheable;
        let fills_from_upper_tier = !uncacheable
            && route
                .fetched_from()
                .and_then(|source| self.endpoints.get(source))
                .is_some_and(|source| source.role != Role::Cache);
        let source_diverted = diversion.from_source && fills_from_upper_tier;
        let avoid_origin = diversion.from_origin && fills_from_upper_tier;
        let origin = self.endpoints.origin();
        let accepting_origin = origin
            .and_then(|id| self.endpoints.get(id))
            .filter(|origin| self.accepts_new_requests(now, origin, request.class));
        let source = match accepting_origin {
            _ if avoid_origin && route.fetched_from() == origin => FillSource::CachedOnly,
            Some(origin) if source_diverted && !avoid_origin => {
                if origin.entry.id == route.endpoint {
                    FillSource::CachedOnly
                } else {
                    FillSource::Endpoint(origin.entry.id)
                }
            }
            _ => route.source,
        };
        FillPlan {
            source,
            avoid_origin,
        }
    }

    pub(super) fn fetch_directive(
        &self,
        now: Micros,
        request: &Request,
        endpoint: EndpointId,
        plan: FillPlan,
    ) -> Option<FetchDirective> {
        let class = &self.settings.classes[request.class];
        let purge_age = self.purges.max_age(now, request);
        let cached_only = plan.source == FillSource::CachedOnly;
        let source = match plan.source {
            FillSource::Forwarded => return None,
            FillSource::CachedOnly => endpoint,
            FillSource::Endpoint(source) => source,
        };
        let stores_no_copy = class.uncacheable || cached_only;
        let accepts_stale = cached_only || plan.avoid_origin || self.failed_recently(now, source);
        Some(FetchDirective {
            source,
            retention_rank: if stores_no_copy {
                0
            } else {
                self.copy_locations.retention_rank(CopyKey::of(request))
            },
            max_age: max_age(class, accepts_stale, purge_age),
            // After a purge requests are not coalesced: a fill begun before the purge would return the purged copy.
            coalesce: self.settings.coalesces_fills && purge_age.is_none() && !class.uncacheable,
            only_if_cached: plan.avoid_origin && !cached_only,
            revalidate: class.fresh_for > 0 && !cached_only && !plan.avoid_origin,
        })
    }

    fn failed_recently(&self, now: Micros, source: EndpointId) -> bool {
        self.endpoints
            .get(source)
            .and_then(|source| source.health.source_failed_at)
            .is_some_and(|failed_at| now < failed_at + STALE_WINDOW)
    }

    /// Returns the sibling that last served the copy, if it can be the source for a request at a different cache: such
    /// a fill stays within the zone.
    pub(super) fn sibling_source(
        &self,
        now: Micros,
        request: &OpenRequest,
        cache: EndpointId,
    ) -> Option<EndpointId> {
        let id = self
            .copy_locations
            .last_server(CopyKey::of(&request.request))?;
        let sibling = self.endpoints.get(id)?;
        let allowed = self.settings.siblings != Siblings::None && sibling.role == Role::Cache;
        let usable = id != cache && !request.excluded.contains(&id) && sibling.is_healthy(now);
        let purged = self.purges.max_age(now, &request.request).is_some();
        (allowed
            && usable
            && !purged
            && self.accepts_new_requests(now, sibling, request.request.class))
        .then_some(id)
    }

    /// Returns the first healthy parent in the rendezvous order of the copy, else the origin if it is healthy, else an
    /// ejected parent.
    pub(super) fn upstream_source(&self, now: Micros, request: &OpenRequest) -> Option<EndpointId> {
        let key = CopyKey::of(&request.request).placement_key();
        let placement = self.placement();
        let pick = |from: &[&Endpoint]| {
            placement.pick_with_bounded_load(key, from, PlacementLoad::of_source)
        };
        let parents = self.eligible(now, request, Role::Parent);
        let healthy_parents: Vec<&Endpoint> = parents
            .iter()
            .filter(|parent| parent.is_healthy(now))
            .copied()
            .collect();
        let origin = self
            .eligible(now, request, Role::Origin)
            .into_iter()
            .find(|origin| origin.is_healthy(now))
            .map(|origin| origin.entry.id);
        pick(&healthy_parents).or(origin).or_else(|| pick(&parents))
    }
}

/// Returns the maximum age of a copy that a request accepts. An age of 0 stands for the fresh time of the class, so a
/// limit set by a purge is at least 1.
fn max_age(class: &RequestClass, accepts_stale: bool, purge_age: Option<Micros>) -> Micros {
    let class_age = if accepts_stale && class.fresh_for > 0 {
        class.fresh_for + class.stale_if_error
    } else {
        class.fresh_for
    };
    match purge_age {
        Some(age) if class_age == 0 => age.max(1),
        Some(age) => age.clamp(1, class_age),
        None => class_age,
    }
}
