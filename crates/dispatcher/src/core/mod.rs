//! The sans-IO state machine of a dispatcher: request table, timers, endpoint list and purges around one router.
//!
//! [`Core::handle`] takes one [`Input`] with the time at which it occurred and appends [`Output`]s, which the caller carries
//! out in order. Between inputs, the caller passes [`Input::Tick`] at [`Core::next_timer`] or soon after.
//!
//! `client_events` and `control_events` translate inputs into events of the router; `router_actions` translates the
//! router's actions into outputs.
mod attempt;
mod client_events;
mod control_events;
mod endpoint_list;
mod fleet;
mod input;
mod missed_updates;
mod output;
mod purge_lease;
mod purge_log;
mod request_table;
mod router_actions;
pub mod state;
mod timers;
mod work_requests;

use endpoint_list::EndpointList;
use fleet::Fleet;
use missed_updates::MissedUpdates;
use pointspindle::{Action, IdempotencyKey, Micros, Router};
use pointspindle_config::DispatcherSettings;
use pointspindle_protocol::EndpointListHead;
use purge_lease::PurgeLease;
use purge_log::PurgeLog;
use request_table::RequestTable;
use std::collections::BTreeMap;
use timers::Timers;
use work_requests::WorkRequests;

pub use attempt::AttemptTerms;
pub use endpoint_list::EndpointListChange;
pub use input::{AttemptEnd, ClientRequest, Input};
pub use output::{AddressedFetch, Output};

const MICROS_PER_SECOND: f64 = 1e6;

/// Number of ended attempts by the label of their status, for metrics; see [`Core::take_attempt_counts`].
pub type AttemptCounts = BTreeMap<&'static str, u64>;

/// Sizes of the core's state that outlives requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CoreStateCounts {
    /// Number of listed endpoints.
    pub endpoints: usize,
    /// Number of recorded purges.
    pub purges: usize,
    /// Number of registered dispatchers.
    pub dispatchers: usize,
}

/// The state machine of one dispatcher; see the module's documentation.
///
/// The type of each field documents its bound and when its entries are removed. The core produces exactly one final output
/// ([`Output::Reject`], [`Output::Fail`] or [`Output::ForwardResponse`]) for each open request whose client does not
/// disconnect.
#[derive(Debug)]
pub struct Core {
    router: Router,
    endpoints: EndpointList,
    purges: PurgeLog,
    /// `None` if the settings give no upper limit for the time until a purge is in force.
    purge_lease: Option<PurgeLease>,
    missed_updates: MissedUpdates,
    fleet: Fleet,
    requests: RequestTable,
    work_requests: WorkRequests,
    timers: Timers,
    /// Subtracted from a client's remaining time, to leave time for the delivery of the response.
    answer_slack: Micros,
    /// Index of the dispatcher's own zone.
    zone: usize,
    /// Buffer for the router's actions, reused between events.
    actions: Vec<Action>,
    attempt_counts: AttemptCounts,
}

impl Core {
    /// Creates a core without an endpoint list. `seed` determines all random choices of the router.
    pub fn new(settings: &DispatcherSettings, seed: u64) -> Self {
        let purge_horizon = settings.router.purge_horizon;
        Self {
            router: Router::new(settings.router.clone(), seed),
            endpoints: EndpointList::new(&settings.zones, settings.upstream.endpoints_have_ids),
            purges: PurgeLog::new(purge_horizon),
            purge_lease: PurgeLease::from_settings(settings),
            missed_updates: MissedUpdates::new(purge_horizon),
            fleet: Fleet::new(settings),
            requests: RequestTable::default(),
            work_requests: WorkRequests::default(),
            timers: Timers::default(),
            answer_slack: settings.response_margin_us,
            zone: settings.router.zone,
            actions: Vec::new(),
            attempt_counts: AttemptCounts::new(),
        }
    }

    /// Whether an attempt of any request may have run this idempotency key. A request with the key must then not be rejected
    /// as harmless to repeat.
    pub fn may_have_run(&self, now: Micros, key: IdempotencyKey) -> bool {
        self.router.may_have_run(now, key)
    }

    /// Returns the time at which [`Input::Tick`] is needed next.
    pub fn next_timer(&self) -> Option<Micros> {
        self.timers.next()
    }

    /// Number of requests that still wait for their final response.
    pub fn open_requests(&self) -> usize {
        self.requests.unfinished_count()
    }

    /// Sequence number of the endpoint list in force; 0 if there is none yet.
    pub fn endpoint_list_seq(&self) -> u64 {
        self.endpoints.seq()
    }

    /// Returns the endpoint list in force, with ages as of `now`.
    pub fn endpoint_list(&self, now: Micros) -> EndpointListHead {
        self.endpoints.to_full_list(now)
    }

    /// Returns the counts of the attempts that ended since the previous call.
    pub fn take_attempt_counts(&mut self) -> AttemptCounts {
        std::mem::take(&mut self.attempt_counts)
    }

    /// Whether the purge lease is valid; `None` if the settings use no purge lease.
    pub fn purges_confirmed(&self, now: Micros) -> Option<bool> {
        self.purge_lease.as_ref().map(|lease| lease.is_valid(now))
    }

    /// Returns the sizes of the endpoint list, the purge log and the dispatcher registry.
    pub fn state_counts(&mut self, now: Micros) -> CoreStateCounts {
        CoreStateCounts {
            endpoints: self.endpoints.listed_count(),
            purges: self.purges.recent(now).len(),
            dispatchers: self.fleet.dispatcher_count(),
        }
    }

    /// Returns the state to be restored after a restart.
    pub fn snapshot(&mut self, now: Micros) -> state::Snapshot {
        state::Snapshot::new(self.endpoints.to_full_list(now), self.purges.recent(now))
    }

    /// Handles one input and appends the resulting commands. `now` never decreases.
    pub fn handle(&mut self, now: Micros, input: Input, outputs: &mut Vec<Output>) {
        // Checked on every input and not only by the timer, since the first input after a suspension of the process may be a
        // request.
        if self.fleet.is_due(now) {
            self.update_fleet_counts(now);
        }
        match input {
            Input::Request(number, request) => self.on_request(now, number, request, outputs),
            Input::ResponseStarted {
                request,
                attempt,
                cache_status,
                size,
            } => self.on_response_started(now, request, attempt, cache_status, size, outputs),
            Input::AttemptEnded {
                request,
                attempt,
                end,
            } => self.end_attempt(now, request, attempt, end.into(), outputs),
            Input::EndpointActive { endpoint } => self.on_endpoint_active(now, &endpoint, outputs),
            Input::ClientDisconnected(request) => {
                self.on_client_disconnected(now, request, outputs)
            }
            Input::FinishAll => self.finish_all(now, outputs),
            Input::EndpointList(head) => self.on_endpoint_list(now, head, outputs),
            Input::Purge(head) => self.on_purge(now, head, outputs),
            Input::Hello { endpoint, hello } => self.on_hello(now, &endpoint, &hello, outputs),
            Input::Lease { endpoint, lease } => self.on_lease(now, &endpoint, &lease, outputs),
            Input::UpdatesMissed => self.on_updates_missed(now),
            Input::Roster(roster) => self.on_roster(now, roster),
            Input::RegistrationRenewed {
                age_us,
                lease_duration_us,
            } => self.on_registration_renewed(now, now.saturating_sub(age_us), lease_duration_us),
            Input::SourceFreshness(is_current) => self.on_source_freshness(now, is_current),
            Input::PurgesConfirmed { age_us } => {
                self.on_purges_confirmed(now.saturating_sub(age_us))
            }
            Input::Tick => self.on_tick(now, outputs),
        }
    }
}
