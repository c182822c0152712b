//! Work leases: a host that has started with an empty store divides its capacity among the dispatchers while it warms up.
//!
//! Dispatchers that each take a part of a warming host's budget by an estimate of how many they are exceed it together
//! when the estimate is wrong. The host knows which dispatchers are connected, so it grants the budget itself, in slots.
//! Work that is granted but not used lapses with its slot and returns to the bucket one slot later, when no request for it
//! can be under way any more; so does the work of a dispatcher that disconnects. A new dispatcher gets its first lease with
//! the next slot.
//!
//! Where many dispatchers share a small budget, an even share is less than a request. Work is then granted on request, for
//! a request that is there ([`WorkLedger::request_work`]).
//!
//! **Bound.** Grants come out of one bucket of at most [`WorkLedger::burst`], filled at a rate `r`. What is granted in any
//! span `T` is at most `burst + r T`. Work granted in a slot arrives before the end of the next one (a lease lasts one
//! slot, and a request is under way for less than another), so what arrives in any window `W` was granted within
//! `W + 2 slots`, and `r` is chosen so that `burst + r (W + 2 slots)` is the budget of a window at the start of that span,
//! where the host is least warm. What returns to the bucket was never used, so it does not add to the bound.
//!
//! State: one entry for each connection of a dispatcher, removed after it ends.
use pointspindle::{Micros, SlowStartRule};
use std::collections::VecDeque;

/// Slots in an overload window.
const SLOTS_PER_WINDOW: u64 = 16;
/// Share of a window's budget that the bucket holds, unless one request needs more.
const BURST_SHARE: f64 = 0.25;
/// Largest share of a window's budget that one request may need.
const MAX_REQUEST_SHARE: f64 = 0.75;
/// Work is granted on request where an even share of the bucket is less than this many of the largest usual requests.
const ON_REQUEST_THRESHOLD: f64 = 4.0;
/// Rounding error allowed when work is compared with the bucket, in seconds.
const WORK_TOLERANCE_S: f64 = 1e-9;

/// A connection of a dispatcher, numbered by the owner of the ledger.
pub type UserId = u64;

/// A lease: work that a dispatcher may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grant {
    /// Who may send it.
    pub user: UserId,
    /// Seconds of sending time.
    pub work: f64,
    /// How long the lease is valid.
    pub duration: Micros,
    /// Whether further work is granted on request only.
    pub on_request: bool,
}

/// Work in the current slot and in the one before, in seconds of sending time.
#[derive(Clone, Copy, Debug, Default)]
struct SlotWork {
    current: f64,
    previous: f64,
}

/// Work of a dispatcher that the end of a slot settles, in seconds of sending time.
struct SlotSettlement {
    /// Granted in the previous slot, and not used.
    unused: f64,
    /// Arrived without a lease.
    excess: f64,
}

/// A connection and its leases.
#[derive(Clone, Copy, Debug, Default)]
struct User {
    id: UserId,
    granted: SlotWork,
    arrived: SlotWork,
    disconnected: bool,
    requests_work: bool,
}

impl User {
    /// Ends a slot. Arrivals of both slots are counted against the older lease, so that never more than its rest returns.
    fn end_slot(&mut self) -> SlotSettlement {
        let arrived = self.arrived.current + self.arrived.previous;
        let unused = (self.granted.previous - arrived).max(0.0);
        let excess = (arrived - self.granted.current - self.granted.previous).max(0.0);
        // The excess is charged once.
        self.arrived.previous = self.arrived.current - excess.min(self.arrived.current);
        self.arrived.current = 0.0;
        self.granted.previous = self.granted.current;
        self.granted.current = 0.0;
        SlotSettlement { unused, excess }
    }

    /// Whether it gets a share of each slot.
    fn shares_slot(&self, on_request: bool) -> bool {
        let requests_instead = on_request && self.requests_work;
        !self.disconnected && !requests_instead
    }
}

/// Grants the budget of one warm-up.
#[derive(Debug)]
pub struct WorkLedger {
    rule: SlowStartRule,
    /// Capacity of the warm host: transfers at full rate at once.
    weight: f64,
    started: Micros,
    /// The largest usual request: no smaller lease is granted, because no request would fit.
    largest_request: f64,
    /// In the order in which they are served.
    users: VecDeque<User>,
    bucket: f64,
    slot_start: Micros,
    /// Work in this slot that came without any lease.
    unleased: f64,
}

impl WorkLedger {
    /// For a host that started at `started`. `largest_request` is the sending time of the largest usual request, in seconds.
    pub fn new(rule: SlowStartRule, weight: f64, started: Micros, largest_request: f64) -> Self {
        Self {
            rule,
            weight,
            started,
            largest_request,
            users: VecDeque::new(),
            bucket: 0.0,
            slot_start: started,
            unleased: 0.0,
        }
    }

    /// Length of a slot.
    pub fn slot_length(&self) -> Micros {
        (self.rule.overload_window / SLOTS_PER_WINDOW).max(1)
    }

    /// Whether the host has warmed up: nothing is leased any more.
    pub fn is_over(&self, now: Micros) -> bool {
        now >= self.started + self.rule.ramp + self.rule.overload_window
    }

    /// When [`WorkLedger::start_slot`] is due.
    pub fn next_slot(&self) -> Micros {
        self.slot_start + self.slot_length()
    }

    /// Adds the connection of a dispatcher, with an empty lease until the next slot. `requests_work`: the dispatcher
    /// supports [`WorkLedger::request_work`].
    pub fn join(&mut self, user: UserId, requests_work: bool) -> Grant {
        match self.users.iter_mut().find(|u| u.id == user) {
            Some(known) => {
                known.disconnected = false;
                known.requests_work = requests_work;
            }
            None => self.users.push_back(User {
                id: user,
                requests_work,
                ..User::default()
            }),
        }
        Grant {
            user,
            work: 0.0,
            duration: 2 * self.slot_length(),
            on_request: self.grants_on_request(self.slot_start),
        }
    }

    fn grants_on_request(&self, now: Micros) -> bool {
        let even_share = self.burst(now) / (self.users().max(1) as f64);
        even_share < ON_REQUEST_THRESHOLD * self.largest_request
    }

    /// Grants all of `work`, or nothing. The lease lasts half a slot, so that unused work returns to the bucket no sooner
    /// than that of other leases.
    pub fn request_work(&mut self, now: Micros, user: UserId, work: f64) -> Grant {
        let on_request = self.grants_on_request(now);
        let has_budget = work > 0.0 && work <= self.bucket + WORK_TOLERANCE_S && !self.is_over(now);
        let mut connected = self.users.iter_mut().filter(|u| !u.disconnected);
        let granted = match connected.find(|u| u.id == user) {
            Some(known) if has_budget => {
                known.granted.current += work;
                work
            }
            _ => 0.0,
        };
        self.bucket -= granted;
        Grant {
            user,
            work: granted,
            duration: self.slot_length() / 2,
            on_request,
        }
    }

    /// Removes a connection that has ended. Its lease lapses with the slot; its entry is dropped two slots later.
    pub fn leave(&mut self, user: UserId) {
        for user in self.users.iter_mut().filter(|u| u.id == user) {
            user.disconnected = true;
        }
    }

    /// Number of connections that get leases.
    pub fn users(&self) -> usize {
        self.users.iter().filter(|u| !u.disconnected).count()
    }

    /// Records work that has arrived. What exceeds the leases is taken off the next slots.
    pub fn record_arrival(&mut self, user: Option<UserId>, work: f64) {
        match self.users.iter_mut().find(|u| Some(u.id) == user) {
            Some(user) => user.arrived.current += work,
            None => self.unleased += work,
        }
    }

    /// Budget of the least warm window in which work granted `now` can arrive, in seconds of sending time.
    fn budget(&self, now: Micros) -> f64 {
        let from = now
            .saturating_sub(self.rule.overload_window + 2 * self.slot_length())
            .max(self.started);
        let warm = (from - self.started) as f64 / self.rule.ramp.max(1) as f64;
        let share = self.rule.initial_share + (1.0 - self.rule.initial_share) * warm.min(1.0);
        self.rule.overload_factor * share.min(1.0) * self.weight * self.rule.overload_window as f64
            / 1e6
    }

    /// Capacity of the bucket.
    pub fn burst(&self, now: Micros) -> f64 {
        let budget = self.budget(now);
        (BURST_SHARE * budget)
            .max(self.largest_request)
            .min(MAX_REQUEST_SHARE * budget)
    }

    /// Starts a slot and grants its leases. Due at [`WorkLedger::next_slot`]; slots that were missed are lost.
    pub fn start_slot(&mut self, now: Micros) -> Vec<Grant> {
        if now < self.next_slot() || self.is_over(now) {
            return Vec::new();
        }
        self.slot_start = now - (now - self.slot_start) % self.slot_length();
        self.refill(now);
        self.grant_slot(now)
    }

    /// Fills the bucket for one slot, also after missed ones: the bound counts on it.
    fn refill(&mut self, now: Micros) {
        let length = self.slot_length();
        let burst = self.burst(now);
        let rate = (self.budget(now) - burst) / (self.rule.overload_window + 2 * length) as f64;
        let mut excess = std::mem::take(&mut self.unleased);
        let mut unused = 0.0;
        for user in &mut self.users {
            let settlement = user.end_slot();
            unused += settlement.unused;
            excess += settlement.excess;
        }
        self.users
            .retain(|u| !u.disconnected || u.granted.previous > 0.0);
        self.bucket = (self.bucket + rate * length as f64 + unused).min(burst) - excess;
    }

    /// Where the bucket is too small for all, some get a complete request in turn, because a part of one is of no use.
    /// The others get an empty lease: without any they would fall back on an estimate of their own.
    fn grant_slot(&mut self, now: Micros) -> Vec<Grant> {
        let duration = self.slot_length();
        let on_request = self.grants_on_request(now);
        let sharing = self
            .users
            .iter()
            .filter(|u| u.shares_slot(on_request))
            .count();
        let share = (self.bucket / sharing.max(1) as f64).max(self.largest_request);
        let mut grants = Vec::new();
        let mut served = 0;
        for (n, user) in self.users.iter_mut().enumerate() {
            if user.disconnected {
                continue;
            }
            let fits = share <= self.bucket + WORK_TOLERANCE_S;
            let work = if user.shares_slot(on_request) && fits {
                share
            } else {
                0.0
            };
            if work > 0.0 {
                self.bucket -= work;
                served = n + 1;
            }
            user.granted.current = work;
            grants.push(Grant {
                user: user.id,
                work,
                duration,
                on_request,
            });
        }
        self.users.rotate_left(served);
        grants
    }
}

#[cfg(test)]
mod tests;
