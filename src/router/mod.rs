//! The router: handles events and returns actions.
//!
//! [`Router::handle`] dispatches each event to the module that handles it. The state types (`endpoints`, `requests`,
//! `purge_log`, ...) access only their own state; the decisions that combine them are in `selection`, `fill_source`,
//! `pass_through`, `attempts`, `outcome`, `fault_attribution` and `silent_endpoints`.
mod attempts;
mod concurrency_limit;
mod copy_locations;
mod endpoints;
mod fault_attribution;
mod fill_source;
mod fleet;
mod latency;
mod outcome;
mod outlier;
mod pass_through;
mod placement;
mod presence;
mod priority;
mod purge_log;
mod random;
mod recent_runs;
mod requests;
mod retry;
mod roles;
mod selection;
mod silent_endpoints;
mod slow_start;

use crate::action::Action;
use crate::event::{EndpointEntry, Event, ListUpdate};
use crate::ids::{EndpointId, Micros};
use crate::settings::{FleetPosition, RouterSettings};
use concurrency_limit::ConcurrencyLimit;
use copy_locations::CopyLocations;
use endpoints::Endpoints;
use fleet::Fleet;
use latency::{Slowness, TransferTimes};
use priority::RecentDemand;
use purge_log::PurgeLog;
use random::Random;
use recent_runs::RecentRuns;
use requests::OpenRequests;
use selection::{Choice, Route};
use slow_start::{Lease, SlowStart};

/// One millisecond.
const MS: Micros = 1_000;
/// Interval between checks of open requests: short compared to any latency objective.
const CHECK_INTERVAL: Micros = 25 * MS;
/// Range of the random delay added to each check interval, which spreads the checks of several routers.
const CHECK_JITTER: Micros = CHECK_INTERVAL / 8;

/// Decides how requests are routed to caches, as a state machine without I/O. See [`Router::handle`].
///
/// Invariant: a timer is set while any request is open. Each state type bounds its own size and documents when it
/// discards entries.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    random: Random,
    fleet: Fleet,
    slow_start: SlowStart,
    endpoints: Endpoints,
    requests: OpenRequests,
    recent_runs: RecentRuns,
    timer_is_set: bool,
    transfer_times: TransferTimes,
    /// Mean slowness of the caches of this zone.
    zone_slowness: Slowness,
    recent_demand: RecentDemand,
    /// Limit for all caches of the zone together, adapted by the lateness of fills.
    fill_limit: ConcurrencyLimit,
    purges: PurgeLog,
    copy_locations: CopyLocations,
}

impl Router {
    /// Creates a router with empty state. The seed determines its random numbers.
    pub fn new(settings: RouterSettings, seed: u64) -> Self {
        Self {
            random: Random::new(seed),
            fleet: Fleet::new(&settings),
            slow_start: SlowStart::new(&settings),
            endpoints: Endpoints::default(),
            requests: OpenRequests::default(),
            recent_runs: RecentRuns::default(),
            timer_is_set: false,
            transfer_times: TransferTimes::new(&settings),
            zone_slowness: Slowness::default(),
            recent_demand: RecentDemand::default(),
            fill_limit: ConcurrencyLimit::of_fills(),
            purges: PurgeLog::new(settings.purge_horizon),
            copy_locations: CopyLocations::new(settings.max_known_copies),
            settings,
        }
    }

    /// Updates the number of routers and the index of this one.
    pub fn set_fleet_position(&mut self, position: FleetPosition) {
        self.fleet.reposition(position);
    }

    /// Handles one event and appends the resulting actions. `now` must never decrease from one call to the next.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.slow_start.record_first_event(now);
        match event {
            Event::EndpointList { update, entries } => {
                self.on_endpoint_list(now, update, entries);
            }
            Event::Request(request) => self.on_request(now, request, actions),
            Event::ResponseStarted(id) => self.on_response_started(now, id),
            Event::Hello {
                endpoint,
                started_at,
            } => self.endpoints.apply_hello(now, endpoint, started_at),
            Event::Lease {
                endpoint,
                work_s,
                duration,
            } => {
                let lease = Lease {
                    remaining_work_s: work_s,
                    granted_at: now,
                    duration,
                };
                self.endpoints.grant_lease(endpoint, lease);
            }
            Event::Outcome(outcome) => self.on_outcome(now, outcome, actions),
            Event::ClientDisconnected(id) => self.close(id, actions),
            Event::FinishNow(id) => self.finish(id, actions),
            Event::Timer(_) => self.on_timer(now, actions),
            Event::Purge { object, group, age } => self.purges.record(now, object, group, age),
        }
        self.set_timer(actions);
    }

    fn on_endpoint_list(&mut self, now: Micros, update: ListUpdate, entries: Vec<EndpointEntry>) {
        self.endpoints.apply_update(update, entries, &self.settings);
        self.endpoints
            .remove_departed(now, || self.requests.first_run_endpoints());
    }

    fn on_response_started(&mut self, now: Micros, id: EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.presence.record_answer(now);
        }
    }

    fn on_timer(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.timer_is_set = false;
        self.eject_silent_endpoints(now, actions);
        for id in self.requests.take_waiting() {
            self.proceed(now, id, actions);
        }
    }

    fn set_timer(&mut self, actions: &mut Vec<Action>) {
        if self.timer_is_set || self.requests.is_empty() {
            return;
        }
        self.timer_is_set = true;
        actions.push(Action::SetTimer {
            after: CHECK_INTERVAL + self.random.next() % CHECK_JITTER,
            token: 0,
        });
    }
}
