//! Routing of uncacheable requests, which run at the origin.
use super::endpoints::Endpoint;
use super::fill_source::FillSource;
use super::placement::PlacementLoad;
use super::requests::OpenRequest;
use super::roles::Role;
use super::{Choice, Route, Router};
use crate::ids::{EndpointId, Micros};

impl Router {
    /// Chooses a route to the origin: directly where the settings allow it, else through a cache with the origin as the
    /// source.
    pub(super) fn choose_pass_through(&self, now: Micros, request: &OpenRequest) -> Choice {
        let origin = self
            .eligible(now, request, Role::Origin)
            .first()
            .map(|origin| origin.entry.id);
        let parent = self.pick_healthy(now, request, Role::Parent);
        let route = if self.settings.direct_forwarding {
            let direct = origin.map(|endpoint| Route {
                endpoint,
                source: FillSource::Forwarded,
            });
            direct.or_else(|| parent.map(|parent| self.route_through_parent(now, request, parent)))
        } else {
            let cache = self.pick_healthy(now, request, Role::Cache);
            cache
                .zip(origin.or(parent))
                .map(|(endpoint, source)| Route {
                    endpoint,
                    source: FillSource::Endpoint(source),
                })
        };
        route.map_or(Choice::Wait, Choice::Send)
    }

    /// Returns the route through a parent to the origin. Without an available origin the parent is named as its own
    /// source and does not fetch.
    fn route_through_parent(
        &self,
        now: Micros,
        request: &OpenRequest,
        parent: EndpointId,
    ) -> Route {
        let origin = self
            .endpoints
            .with_role(Role::Origin)
            .find(|origin| self.accepts_new_requests(now, origin, request.request.class));
        Route {
            endpoint: parent,
            source: FillSource::Endpoint(origin.map_or(parent, |origin| origin.entry.id)),
        }
    }

    fn pick_healthy(&self, now: Micros, request: &OpenRequest, role: Role) -> Option<EndpointId> {
        let mut candidates: Vec<&Endpoint> = self.eligible(now, request, role);
        candidates.retain(|endpoint| endpoint.is_healthy(now));
        self.placement().pick_with_bounded_load(
            request.request.object.0,
            &candidates,
            PlacementLoad::of_requests_and_fills,
        )
    }
}
