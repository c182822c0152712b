//! Handling of control-plane inputs: endpoint lists, purges, endpoints' hellos and leases, and the size of the fleet.
use super::{Core, Output, MICROS_PER_SECOND};
use crate::dispatcher_registry::Roster;
use pointspindle::{
    EndpointEntry, EndpointId, EndpointState, Event, FleetPosition, Micros, ObjectId,
};
use pointspindle_config::Role;
use pointspindle_protocol::{EndpointListHead, HelloHead, LeaseHead, PurgeHead};

/// Upper limit for the duration of a work lease; slow start uses none longer.
const MAX_LEASE_US: Micros = 60_000_000;

impl Core {
    pub(super) fn on_endpoint_list(
        &mut self,
        now: Micros,
        head: EndpointListHead,
        outputs: &mut Vec<Output>,
    ) {
        let update = self.endpoints.apply(now, head);
        outputs.push(Output::EndpointListApplied(update.change));
        let Some(event) = update.event else {
            return;
        };
        if let Event::EndpointList { entries, .. } = &event {
            self.connect_local_caches(entries, outputs);
        }
        self.process_event(now, event, outputs);
        let endpoints = &self.endpoints;
        self.work_requests
            .retain(|endpoint| endpoints.address(endpoint).is_some());
    }

    /// Connects to the ready caches of the dispatcher's own zone before a request is sent to them. Otherwise all dispatchers
    /// would send their first requests to a new cache before its hello and its lease have arrived.
    fn connect_local_caches(&self, entries: &[EndpointEntry], outputs: &mut Vec<Output>) {
        let is_local_cache = |entry: &&EndpointEntry| {
            entry.state == EndpointState::Ready
                && entry.zone == self.zone
                && entry.kind == Role::Cache.kind()
        };
        let addresses = entries
            .iter()
            .filter(is_local_cache)
            .filter_map(|entry| self.endpoints.address(entry.id));
        outputs.extend(addresses.map(|endpoint| Output::Connect { endpoint }));
    }

    pub(super) fn on_purge(&mut self, now: Micros, head: PurgeHead, outputs: &mut Vec<Output>) {
        let object = head.object.as_deref().map(ObjectId::named);
        self.purges.add(now, &head);
        self.requests
            .limit_copy_age(head.age_us, |request| match object {
                Some(object) => request.object == object,
                None => request.group == head.group,
            });
        let event = Event::Purge {
            object,
            group: head.group,
            age: head.age_us,
        };
        self.process_event(now, event, outputs);
    }

    pub(super) fn on_updates_missed(&mut self, now: Micros) {
        self.missed_updates.record(now);
        self.requests.limit_copy_age(0, |_| true);
    }

    /// Purges a group whose purges may have been missed, as of the end of the gap, if that has not been done yet.
    pub(super) fn purge_if_missed(&mut self, now: Micros, group: u64, outputs: &mut Vec<Output>) {
        let Some(age) = self.missed_updates.take_pending_purge(now, group) else {
            return;
        };
        let head = PurgeHead {
            object: None,
            group,
            age_us: age,
            seq: 0,
        };
        self.purges.add(now, &head);
        let event = Event::Purge {
            object: None,
            group,
            age,
        };
        self.process_event(now, event, outputs);
    }

    pub(super) fn on_purges_confirmed(&mut self, confirmed_at: Micros) {
        if let Some(lease) = &mut self.purge_lease {
            lease.renew(confirmed_at);
        }
    }

    pub(super) fn on_hello(
        &mut self,
        now: Micros,
        endpoint: &str,
        hello: &HelloHead,
        outputs: &mut Vec<Output>,
    ) {
        let id = EndpointId::named(endpoint);
        let change = self.endpoints.apply_hello(now, id, hello);
        outputs.push(Output::HelloApplied {
            replaced: change.is_some_and(|change| change.is_replacement),
        });
        let Some(change) = change else {
            return;
        };
        let event = Event::Hello {
            endpoint: id,
            started_at: change.started_at,
        };
        self.process_event(now, event, outputs);
    }

    pub(super) fn on_endpoint_active(
        &mut self,
        now: Micros,
        endpoint: &str,
        outputs: &mut Vec<Output>,
    ) {
        let endpoint = EndpointId::named(endpoint);
        self.endpoints.mark_seen(now, endpoint);
        self.process_event(now, Event::ResponseStarted(endpoint), outputs);
    }

    pub(super) fn on_lease(
        &mut self,
        now: Micros,
        endpoint: &str,
        lease: &LeaseHead,
        outputs: &mut Vec<Output>,
    ) {
        let endpoint = EndpointId::named(endpoint);
        self.work_requests
            .set_on_request(endpoint, lease.on_request);
        let event = Event::Lease {
            endpoint,
            work_s: lease.work_us as f64 / MICROS_PER_SECOND,
            duration: lease.duration_us.min(MAX_LEASE_US),
        };
        self.process_event(now, event, outputs);
        if !lease.in_reply {
            return;
        }
        if let Some(waiting) = self.work_requests.take_next(endpoint) {
            self.resume_waiting(now, waiting, outputs);
        }
    }

    pub(super) fn on_roster(&mut self, now: Micros, roster: Roster) {
        self.fleet.set_roster(now, roster);
        self.update_fleet_counts(now);
    }

    pub(super) fn on_registration_renewed(
        &mut self,
        now: Micros,
        renewed_at: Micros,
        duration: Micros,
    ) {
        self.fleet.registration_renewed(renewed_at, duration);
        self.update_fleet_counts(now);
    }

    pub(super) fn on_source_freshness(&mut self, now: Micros, is_current: bool) {
        self.fleet.set_view_current(is_current);
        self.update_fleet_counts(now);
    }

    /// Passes the fleet counts to the router if they have changed.
    pub(super) fn update_fleet_counts(&mut self, now: Micros) {
        if let Some(counts) = self.fleet.refresh(now, &mut self.timers) {
            self.router.set_fleet_position(FleetPosition {
                routers_in_zone: counts.in_zone,
                routers_total: counts.total,
                router_index: counts.index,
                uses_warm_up_budget: counts.uses_warm_up_budget,
            });
        }
    }
}
