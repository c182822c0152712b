//! Work leases: a host that has started with an empty store divides its capacity among the dispatchers while it warms
//! up.
//!
//! If each dispatcher took its share of a warming host's budget from its own estimate of the number of dispatchers, a
//! wrong estimate would make them exceed the budget together. The host knows which dispatchers are connected, so it
//! grants the budget itself, slot by slot.
//!
//! Granted work that is not used expires at the end of its slot. It returns to the bucket one slot later, when no
//! request that uses it can still be in transit. The same applies to the work of a dispatcher that disconnects. A new
//! dispatcher gets its first lease with the next slot.
//!
//! Where many dispatchers share a small budget, an even share is less than one request. Dispatchers then ask for the
//! work of each pending request ([`WorkLedger::request_work`]).
//!
//! **Bound.** Grants are taken from one token bucket, which holds at most [`WorkLedger::burst`] and is filled at a rate
//! `r`. The work granted in any span `T` is at most `burst + r T`. Work granted in a slot arrives before the end of the
//! next slot: a lease lasts one slot, and a request is in transit for less than another. The work that arrives in any
//! window `W` was therefore granted within `W + 2 slots`, and `r` is chosen so that `burst + r (W + 2 slots)` equals
//! the budget of a window at the start of that span, where the host is least warm. Work that returns to the bucket was
//! never used, so it does not add to the bound.
//!
//! The state is one entry for each connection of a dispatcher, removed after the connection has ended.
use pointspindle::{Micros, SlowStartRule};
use std::collections::VecDeque;

/// Number of slots in an overload window.
const SLOTS_PER_WINDOW: u64 = 16;
/// Share of a window's budget that the bucket holds, unless the largest usual request needs more.
const BURST_SHARE: f64 = 0.25;
/// Largest share of a window's budget that one request may need.
const MAX_REQUEST_SHARE: f64 = 0.75;
/// Work is granted on request if an even share of the bucket is less than this multiple of the largest usual request.
const ON_REQUEST_THRESHOLD: f64 = 4.0;
/// Rounding error allowed when work is compared with the bucket, in seconds.
const WORK_TOLERANCE_S: f64 = 1e-9;

/// Number of a dispatcher's connection, assigned by the owner of the ledger.
pub type LeaseHolderId = u64;

/// Lease of work that a dispatcher may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lease {
    /// The connection that holds the lease.
    pub holder: LeaseHolderId,
    /// Leased work, in seconds of sending time.
    pub work: f64,
    /// Validity of the lease.
    pub duration: Micros,
    /// Whether further work is granted on request only.
    pub on_request: bool,
}

/// Work in the current and the previous slot, in seconds of sending time.
#[derive(Clone, Copy, Debug, Default)]
struct SlotWork {
    current: f64,
    previous: f64,
}

/// Result of a dispatcher's accounting at the end of a slot, in seconds of sending time.
struct SlotSettlement {
    /// Work granted in the previous slot and not used.
    unused: f64,
    /// Work that arrived in excess of the leases.
    excess: f64,
}

/// A dispatcher's connection and its leases.
#[derive(Clone, Copy, Debug, Default)]
struct User {
    id: LeaseHolderId,
    granted: SlotWork,
    arrived: SlotWork,
    disconnected: bool,
    requests_work: bool,
}

impl User {
    /// Ends a slot. Arrivals of both slots are counted against the older lease, so that at most its unused remainder
    /// returns to the bucket.
    fn end_slot(&mut self) -> SlotSettlement {
        let arrived = self.arrived.current + self.arrived.previous;
        let unused = (self.granted.previous - arrived).max(0.0);
        let excess = (arrived - self.granted.current - self.granted.previous).max(0.0);
        // Without the excess, so that it is charged only once.
        self.arrived.previous = self.arrived.current - excess.min(self.arrived.current);
        self.arrived.current = 0.0;
        self.granted.previous = self.granted.current;
        self.granted.current = 0.0;
        SlotSettlement { unused, excess }
    }

    /// Whether the connection gets a share of each slot.
    fn shares_slot(&self, on_request: bool) -> bool {
        let requests_instead = on_request && self.requests_work;
        !self.disconnected && !requests_instead
    }
}

/// Grants the work budget of a host during one warm-up.
#[derive(Debug)]
pub struct WorkLedger {
    rule: SlowStartRule,
    /// Capacity of the warm host, in concurrent transfers at full rate.
    weight: f64,
    started: Micros,
    /// Sending time of the largest usual request, in seconds. No smaller lease is granted per slot, because that
    /// request would not fit into it.
    largest_request: f64,
    /// Connections in the order in which they get leases.
    users: VecDeque<User>,
    bucket: f64,
    slot_start: Micros,
    /// Work that arrived in this slot without any lease, in seconds of sending time.
    unleased: f64,
}

impl WorkLedger {
    /// Creates the ledger of a host that started at `started`. `largest_request` is the sending time of the largest
    /// usual request, in seconds.
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

    /// Returns the length of a slot.
    pub fn slot_length(&self) -> Micros {
        (self.rule.overload_window / SLOTS_PER_WINDOW).max(1)
    }

    /// Whether the host has warmed up, after which no work is leased.
    pub fn is_over(&self, now: Micros) -> bool {
        now >= self.started + self.rule.ramp + self.rule.overload_window
    }

    /// Returns the time at which [`WorkLedger::start_slot`] is due.
    pub fn next_slot(&self) -> Micros {
        self.slot_start + self.slot_length()
    }

    /// Adds the connection of a dispatcher and returns an empty lease for the time until the next slot. `requests_work`
    /// says whether the dispatcher supports [`WorkLedger::request_work`].
    pub fn add_dispatcher(&mut self, user: LeaseHolderId, requests_work: bool) -> Lease {
        match self.users.iter_mut().find(|u| u.id == user) {
            Some(existing) => {
                existing.disconnected = false;
                existing.requests_work = requests_work;
            }
            None => self.users.push_back(User {
                id: user,
                requests_work,
                ..User::default()
            }),
        }
        Lease {
            holder: user,
            work: 0.0,
            duration: 2 * self.slot_length(),
            on_request: self.grants_on_request(self.slot_start),
        }
    }

    fn grants_on_request(&self, now: Micros) -> bool {
        let even_share = self.burst(now) / (self.users().max(1) as f64);
        even_share < ON_REQUEST_THRESHOLD * self.largest_request
    }

    /// Grants either all of `work` or an empty lease. The lease lasts half a slot, so that its unused work returns to
    /// the bucket no sooner than that of slot leases.
    pub fn request_work(&mut self, now: Micros, user: LeaseHolderId, work: f64) -> Lease {
        let on_request = self.grants_on_request(now);
        let has_budget = work > 0.0 && work <= self.bucket + WORK_TOLERANCE_S && !self.is_over(now);
        let mut connected = self.users.iter_mut().filter(|u| !u.disconnected);
        let granted = match connected.find(|u| u.id == user) {
            Some(user) if has_budget => {
                user.granted.current += work;
                work
            }
            _ => 0.0,
        };
        self.bucket -= granted;
        Lease {
            holder: user,
            work: granted,
            duration: self.slot_length() / 2,
            on_request,
        }
    }

    /// Marks a connection as ended. Its lease expires with the slot, and its entry is removed two slots later.
    pub fn remove_dispatcher(&mut self, user: LeaseHolderId) {
        for user in self.users.iter_mut().filter(|u| u.id == user) {
            user.disconnected = true;
        }
    }

    /// Returns the number of connections that get leases.
    pub fn users(&self) -> usize {
        self.users.iter().filter(|u| !u.disconnected).count()
    }

    /// Records work that has arrived. Work in excess of the leases is deducted from the next slots.
    pub fn record_arrival(&mut self, user: Option<LeaseHolderId>, work: f64) {
        match self.users.iter_mut().find(|u| Some(u.id) == user) {
            Some(user) => user.arrived.current += work,
            None => self.unleased += work,
        }
    }

    /// Returns the budget of the least warm window in which work granted at `now` can arrive, in seconds of sending
    /// time.
    fn budget(&self, now: Micros) -> f64 {
        let window_start = now
            .saturating_sub(self.rule.overload_window + 2 * self.slot_length())
            .max(self.started);
        let warm_share = (window_start - self.started) as f64 / self.rule.ramp.max(1) as f64;
        let share = self.rule.initial_share + (1.0 - self.rule.initial_share) * warm_share.min(1.0);
        self.rule.overload_factor * share.min(1.0) * self.weight * self.rule.overload_window as f64
            / 1e6
    }

    /// Returns the capacity of the bucket, in seconds of sending time.
    pub fn burst(&self, now: Micros) -> f64 {
        let budget = self.budget(now);
        (BURST_SHARE * budget)
            .max(self.largest_request)
            .min(MAX_REQUEST_SHARE * budget)
    }

    /// Starts a slot and returns its leases. It must be called at [`WorkLedger::next_slot`]; missed slots are not made
    /// up for.
    pub fn start_slot(&mut self, now: Micros) -> Vec<Lease> {
        if now < self.next_slot() || self.is_over(now) {
            return Vec::new();
        }
        self.slot_start = now - (now - self.slot_start) % self.slot_length();
        self.refill(now);
        self.grant_slot(now)
    }

    /// Fills the bucket for one slot, even if slots were missed, because the bound depends on it.
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

    /// Divides the bucket among the connections. If it is too small for all, they take turns and each gets the work of
    /// a complete request, because a partial request cannot be sent. The others get an empty lease: a dispatcher
    /// without a lease would fall back on its own estimate.
    fn grant_slot(&mut self, now: Micros) -> Vec<Lease> {
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
            grants.push(Lease {
                holder: user.id,
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
