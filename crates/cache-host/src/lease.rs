//! Leases of work: a member that has just started shares out what it bears while it warms up.
//!
//! Where many share little, a part is less than a request, and a whole request for each in turn seldom meets one: the work
//! is then given to who asks for it, for a request that is there ([`WorkLedger::request_work`]).
//!
//! Dispatchers that each take a part of a cold member's budget by a count that they guess are wrong together when the
//! count is: one that joins, dies or is told late. The member knows who is connected, so it hands the budget out itself,
//! in slots. Work that is granted but not used lapses with its slot and goes back to the bucket one slot later, when
//! none of it can be on its way any more; so does the part of a dispatcher that dies. One that joins gets its first
//! lease with the next slot.
//!
//! **The sum.** Grants come out of one bucket of at most [`WorkLedger::burst`], filled at a pace `r`. What is granted in any
//! span `T` is at most `burst + r T`. Work granted in a slot arrives before the end of the next one (a lease duration one
//! slot; the way of a request is shorter than another), so what arrives in any window `W` was granted within
//! `W + 2 slots`, and `r` is chosen so that `burst + r (W + 2 slots)` is the budget of a window that lies wholly in the
//! least warm part of that span. What goes back was never used, so it counts in no sum. No margin for chance is needed.
//!
//! Kept: one entry for each connection of a dispatcher, dropped when it ends; nothing once the member is warm.
use pointspindle::{Micros, SlowStartRule};
use std::collections::VecDeque;

/// Slots in a window of the rule.
const SLOTS_PER_WINDOW: u64 = 16;
/// Share of a window's budget that the bucket holds, unless one request needs more.
const BURST_SHARE: f64 = 0.25;
/// ... and the most of it that one request may need.
const MAX_REQUEST_SHARE: f64 = 0.75;

/// Work is given by asking where an even share of the bucket is less than so many of the dearest usual requests.
const ON_REQUEST_THRESHOLD: f64 = 4.0;

/// A connection of a dispatcher, by the owner's number for it.
pub type UserId = u64;

/// What one user may have worked off for it until the next slot, in seconds of sending time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grant {
    pub user: UserId,
    pub work: f64,
    pub duration: Micros,
    /// Work is given to who asks for it.
    pub on_request: bool,
}

/// A connection's leases: granted and arrived, in the slot that runs and in the one before.
#[derive(Clone, Copy, Debug, Default)]
struct User {
    id: UserId,
    granted: (f64, f64),
    arrived: (f64, f64),
    gone: bool,
    requests_work: bool,
}

impl User {
    /// At a slot's end: what of the slot before it lapsed unused, and what came beyond the leases. Arrivals of both
    /// slots are counted against the older lease, which returns less than was left and never more.
    fn close(&mut self) -> (f64, f64) {
        let arrived = self.arrived.0 + self.arrived.1;
        let unused = (self.granted.1 - arrived).max(0.0);
        let beyond = (arrived - self.granted.0 - self.granted.1).max(0.0);
        // What was beyond is charged once.
        self.arrived = (0.0, self.arrived.0 - beyond.min(self.arrived.0));
        self.granted = (0.0, self.granted.0);
        (unused, beyond)
    }
}

/// Shares out the budget of one start of one member.
#[derive(Debug)]
pub struct WorkLedger {
    rule: SlowStartRule,
    /// Transfers at full pace that its link carries.
    weight: f64,
    started: Micros,
    /// The dearest request that is to have a chance: less than this is not worth granting.
    quantum: f64,
    /// Who is next comes first.
    users: VecDeque<User>,
    bucket: f64,
    /// Start of the slot that is running.
    slot: Micros,
    /// Work that came from nobody who keeps to leases.
    others: f64,
}

impl WorkLedger {
    /// For a process that started at `started`. `quantum` is the sending time of the dearest usual request, in seconds.
    pub fn new(rule: SlowStartRule, weight: f64, started: Micros, quantum: f64) -> Self {
        let users = VecDeque::new();
        Self {
            rule,
            weight,
            started,
            quantum,
            users,
            bucket: 0.0,
            slot: started,
            others: 0.0,
        }
    }

    pub fn slot_length(&self) -> Micros {
        (self.rule.overload_window / SLOTS_PER_WINDOW).max(1)
    }

    /// Nothing is leased any more: what it bears is no longer bounded.
    pub fn is_over(&self, now: Micros) -> bool {
        now >= self.started + self.rule.ramp + self.rule.overload_window
    }

    /// When [`WorkLedger::start_slot`] is next wanted.
    pub fn next_slot(&self) -> Micros {
        self.slot + self.slot_length()
    }

    /// A dispatcher has connected, one that can ask or not. It has nothing until the next slot.
    pub fn join(&mut self, user: UserId, requests_work: bool) -> Grant {
        match self.users.iter_mut().find(|u| u.id == user) {
            Some(known) => (known.gone, known.requests_work) = (false, requests_work),
            None => self.users.push_back(User {
                id: user,
                requests_work,
                ..User::default()
            }),
        }
        let on_request = self.grants_on_request(self.slot);
        Grant {
            user,
            work: 0.0,
            duration: 2 * self.slot_length(),
            on_request,
        }
    }

    fn grants_on_request(&self, now: Micros) -> bool {
        self.burst(now) / (self.users().max(1) as f64) < ON_REQUEST_THRESHOLD * self.quantum
    }

    /// A user has a request there that needs so much: all of it, or nothing. Half a slot long, so that with its way what
    /// lapses is back in the bucket no sooner than all else.
    pub fn request_work(&mut self, now: Micros, user: UserId, work: f64) -> Grant {
        let (duration, on_request) = (self.slot_length() / 2, self.grants_on_request(now));
        let room = work > 0.0 && work <= self.bucket + 1e-9 && !self.is_over(now);
        let known = self.users.iter_mut().find(|u| u.id == user && !u.gone);
        let work = match known.filter(|_| room) {
            Some(known) => {
                known.granted.0 += work;
                work
            }
            None => 0.0,
        };
        self.bucket -= work;
        Grant {
            user,
            work,
            duration,
            on_request,
        }
    }

    /// A connection has ended: what it holds lapses with the slot. It is forgotten two slots later.
    pub fn leave(&mut self, user: UserId) {
        for user in self.users.iter_mut().filter(|u| u.id == user) {
            user.gone = true;
        }
    }

    /// Connections that get leases.
    pub fn users(&self) -> usize {
        self.users.iter().filter(|u| !u.gone).count()
    }

    /// Work has arrived, from a user or from somebody else. What comes beyond the leases is taken off the next slots.
    pub fn record_arrival(&mut self, user: Option<UserId>, work: f64) {
        match self.users.iter_mut().find(|u| Some(u.id) == user) {
            Some(user) => user.arrived.0 += work,
            None => self.others += work,
        }
    }

    /// Budget of a window that ends `now`, in seconds of sending time.
    fn budget(&self, now: Micros) -> f64 {
        let from = now
            .saturating_sub(self.rule.overload_window + 2 * self.slot_length())
            .max(self.started);
        let warm = (from - self.started) as f64 / self.rule.ramp.max(1) as f64;
        let share = self.rule.initial_share + (1.0 - self.rule.initial_share) * warm.min(1.0);
        self.rule.overload_factor * share.min(1.0) * self.weight * self.rule.overload_window as f64
            / 1e6
    }

    /// Most that the bucket holds.
    pub fn burst(&self, now: Micros) -> f64 {
        let budget = self.budget(now);
        (BURST_SHARE * budget)
            .max(self.quantum)
            .min(MAX_REQUEST_SHARE * budget)
    }

    /// Shares out the next slot. Call at [`WorkLedger::next_slot`] or soon after; slots that were missed are lost.
    pub fn start_slot(&mut self, now: Micros) -> Vec<Grant> {
        if now < self.next_slot() || self.is_over(now) {
            return Vec::new();
        }
        let length = self.slot_length();
        self.slot = now - (now - self.slot) % length;
        let burst = self.burst(now);
        let pace = (self.budget(now) - burst) / (self.rule.overload_window + 2 * length) as f64;
        // A slot late gives no more than a slot: the sum counts on it.
        let mut beyond = std::mem::take(&mut self.others);
        let mut unused = 0.0;
        for user in &mut self.users {
            let closed = user.close();
            (unused, beyond) = (unused + closed.0, beyond + closed.1);
        }
        self.users.retain(|u| !u.gone || u.granted.1 > 0.0);
        self.bucket = (self.bucket + pace * length as f64 + unused).min(burst) - beyond;
        // Too little for all is whole requests for some, in turn: a part of a request is of use to nobody. The others
        // are told so, or they would fall back on a guess of their own.
        let mut grants = Vec::new();
        let on_request = self.grants_on_request(now);
        let waits = |u: &User| !(u.gone || on_request && u.requests_work);
        let sharing = self.users.iter().filter(|u| waits(u)).count();
        let each = (self.bucket / sharing.max(1) as f64).max(self.quantum);
        let mut turns = 0;
        for (n, user) in self.users.iter_mut().enumerate().filter(|(_, u)| !u.gone) {
            let work = if waits(user) && each <= self.bucket + 1e-9 {
                each
            } else {
                0.0
            };
            if work > 0.0 {
                self.bucket -= work;
                turns = n + 1;
            }
            user.granted.0 = work;
            grants.push(Grant {
                user: user.id,
                work,
                duration: length,
                on_request,
            });
        }
        self.users.rotate_left(turns);
        grants
    }
}

#[cfg(test)]
mod tests;
