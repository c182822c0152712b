//! Slow start: limits the work sent to endpoints that are warming up, by warm-up budgets and leases.
use super::endpoints::{Endpoint, REMOVAL_DELAY};
use super::fleet::Fleet;
use super::latency::TransferTimes;
use super::roles::Role;
use crate::ids::{EndpointId, Micros, RequestId};
use crate::settings::{RouterSettings, SlowStartRule};
use std::collections::VecDeque;

/// Share of a warm-up budget that is used; the rest is a margin for random variation and late arrivals.
const BUDGET_UTILIZATION: f64 = 0.7;
/// Number of overload windows for which an endpoint that answers again after silence is treated as a new incarnation.
const UNCERTAIN_WINDOWS: Micros = 2;
/// A lease is ignored after this multiple of its duration if it has not been replaced: the connection over which
/// leases arrive may have been lost.
const LEASE_EXPIRY_FACTOR: Micros = 3;
/// Longest time between probes of an unreachable endpoint.
const LONGEST_PROBE_INTERVAL: Micros = REMOVAL_DELAY / 5 * 4;

/// Warm-up work that an endpoint accepts from this router.
#[derive(Debug, Clone, Copy)]
pub(super) struct Lease {
    pub(super) remaining_work_s: f64,
    pub(super) granted_at: Micros,
    pub(super) duration: Micros,
}

impl Lease {
    fn is_current(&self, now: Micros) -> bool {
        now < self.granted_at + LEASE_EXPIRY_FACTOR * self.duration
    }

    fn allows(&self, now: Micros, work_s: f64) -> bool {
        now < self.granted_at + self.duration && work_s <= self.remaining_work_s
    }
}

/// Warm-up work charged to an endpoint for one attempt, in seconds of transfer time.
#[derive(Debug, Clone, Copy)]
struct Charge {
    sent_at: Micros,
    request: RequestId,
    work_s: f64,
}

/// Work that this router has sent to an endpoint within the last overload window, and the endpoint's lease.
///
/// A charge is removed by the first new charge after the overload window, or when its attempt turns out not to have
/// reached the endpoint. The account is dropped with the endpoint.
#[derive(Debug, Clone, Default)]
pub(super) struct WarmUpAccount {
    charges: VecDeque<Charge>,
    pub(super) lease: Option<Lease>,
}

impl WarmUpAccount {
    pub(super) fn charge(&mut self, now: Micros, request: RequestId, work_s: f64, window: Micros) {
        if let Some(lease) = &mut self.lease {
            lease.remaining_work_s -= work_s;
        }
        self.charges.push_back(Charge {
            sent_at: now,
            request,
            work_s,
        });
        while self
            .charges
            .front()
            .is_some_and(|charge| charge.sent_at + window <= now)
        {
            self.charges.pop_front();
        }
    }

    /// Removes the charge of an attempt.
    pub(super) fn refund(&mut self, sent_at: Micros, request: RequestId) {
        self.charges
            .retain(|charge| (charge.sent_at, charge.request) != (sent_at, request));
    }

    fn work_since(&self, from: Micros) -> f64 {
        self.charges
            .iter()
            .rev()
            .take_while(|charge| charge.sent_at > from)
            .map(|charge| charge.work_s)
            .sum()
    }
}

/// The slow-start rules, and the time since which this router has been running.
///
/// Invariant: in any overload window, the routers that share an endpoint together send it no more work than its
/// capacity at the start of the window can sustain.
#[derive(Debug)]
pub(super) struct SlowStart {
    cache_rule: SlowStartRule,
    parent_rule: SlowStartRule,
    running_since: Option<Micros>,
}

impl SlowStart {
    pub(super) fn new(settings: &RouterSettings) -> Self {
        Self {
            cache_rule: settings.cache_slow_start,
            parent_rule: settings.parent_slow_start,
            running_since: None,
        }
    }

    /// Records the time of the first event as the start of this router; later calls have no effect.
    pub(super) fn record_first_event(&mut self, now: Micros) {
        self.running_since.get_or_insert(now);
    }

    /// Returns how long charges are retained.
    pub(super) fn charge_window(&self) -> Micros {
        self.cache_rule
            .overload_window
            .max(self.parent_rule.overload_window)
    }

    /// Whether an endpoint can accept one more request of the class: it is warm, or its lease or the warm-up budget
    /// allows it.
    pub(super) fn warm_up_budget_allows(
        &self,
        now: Micros,
        endpoint: &Endpoint,
        class: usize,
        fleet: &Fleet,
        times: &TransferTimes,
    ) -> bool {
        let rule = self.rule(endpoint.role);
        let started_at = self.incarnation_start(now, endpoint);
        let warm_at = started_at + rule.ramp + rule.overload_window;
        if endpoint.role == Role::Origin || started_at == 0 || now >= warm_at {
            return true;
        }
        let cost = times.budget_cost(class);
        let lease = endpoint.warm_up.lease.filter(|lease| lease.is_current(now));
        if let Some(lease) = lease {
            return lease.allows(now, cost);
        }
        // A router that has just started does not know what its previous process sent within the last window.
        if now < self.running_since.unwrap_or(now) + rule.overload_window {
            return false;
        }
        let window_start = now.saturating_sub(rule.overload_window);
        let share = fleet.warm_up_share * capacity_share(rule, started_at, window_start);
        let budget = BUDGET_UTILIZATION
            * rule.overload_factor
            * share
            * endpoint.entry.weight
            * rule.overload_window as f64
            / 1e6;
        let Some(routers) = budget_sharers(endpoint, budget, fleet, times) else {
            return false;
        };
        endpoint.warm_up.work_since(window_start) + cost <= budget / routers
    }

    /// Returns when the current incarnation started: the listed or the observed time, whichever is later.
    fn incarnation_start(&self, now: Micros, endpoint: &Endpoint) -> Micros {
        let observed_start = endpoint.presence.observed_start(now);
        let uncertain = UNCERTAIN_WINDOWS * self.rule(endpoint.role).overload_window;
        // The silence may have been a pause. If the process had been replaced, the endpoint list would report its
        // start by the end of this time.
        let was_pause = endpoint.presence.possibly_paused() && now >= observed_start + uncertain;
        if was_pause {
            endpoint.entry.started_at
        } else {
            endpoint.entry.started_at.max(observed_start)
        }
    }

    /// Returns the shortest time between this router's probes of an unreachable endpoint. The probes of all routers
    /// together stay within the warm-up budget of the endpoint, since it may return cold.
    pub(super) fn probe_interval(
        &self,
        endpoint: &Endpoint,
        fleet: &Fleet,
        times: &TransferTimes,
        recent_transfer_s: f64,
    ) -> Micros {
        let rule = self.rule(endpoint.role);
        let routers = match endpoint.role {
            Role::Parent => fleet.routers_total as f64,
            _ => fleet.routers_in_zone,
        };
        let budget =
            BUDGET_UTILIZATION * rule.overload_factor * rule.initial_share * endpoint.entry.weight;
        if endpoint.role == Role::Origin || budget <= 0.0 {
            return 0;
        }
        let transfer_s = recent_transfer_s.max(times.mean_over_classes());
        ((routers * transfer_s / budget * 1e6) as Micros).min(LONGEST_PROBE_INTERVAL)
    }

    fn rule(&self, role: Role) -> &SlowStartRule {
        match role {
            Role::Parent => &self.parent_rule,
            _ => &self.cache_rule,
        }
    }
}

/// Returns the share of its full capacity that an endpoint has at a given time of its slow start.
fn capacity_share(rule: &SlowStartRule, started_at: Micros, at: Micros) -> f64 {
    let progress = at.saturating_sub(started_at) as f64 / rule.ramp.max(1) as f64;
    rule.initial_share + (1.0 - rule.initial_share) * progress.min(1.0)
}

/// Returns the number of routers that share a warm-up budget, or `None` if this router has no share. The budget of a
/// cache is shared evenly. The budget of a parent that is too small for all routers is shared by some of them, chosen
/// by their indexes.
fn budget_sharers(
    endpoint: &Endpoint,
    budget: f64,
    fleet: &Fleet,
    times: &TransferTimes,
) -> Option<f64> {
    if endpoint.role != Role::Parent {
        return Some(fleet.routers_in_zone);
    }
    let routers = fleet.routers_total;
    let affordable = (budget / times.highest_budget_cost().max(1e-6)) as u64;
    let sharers = affordable.clamp(1, routers);
    let rank = fleet.router_index.map_or(routers, |index| {
        budget_rank(index, endpoint.entry.id, routers)
    });
    if rank >= sharers && sharers < routers {
        return None;
    }
    Some(sharers as f64)
}

/// Returns the rank of a router in the order in which routers get a share of an endpoint's budget. The order differs
/// between endpoints.
fn budget_rank(router_index: u32, endpoint: EndpointId, routers: u64) -> u64 {
    (router_index as u64 + endpoint.0 % routers) % routers
}
