//! Leases of work: a member that has just started shares out what it bears while it warms up.
//!
//! Where many share little, a part is less than a request, and a whole request for each in turn seldom meets one: the work
//! is then given to who asks for it, for a request that is there ([`Ledger::ask`]).
//!
//! Dispatchers that each take a part of a cold member's budget by a count that they guess are wrong together when the
//! count is: one that joins, dies or is told late. The member knows who is connected, so it hands the budget out itself,
//! in slots. Work that is granted but not used lapses with its slot and goes back to the bucket one slot later, when
//! none of it can be on its way any more; so does the part of a dispatcher that dies. One that joins gets its first
//! lease with the next slot.
//!
//! **The sum.** Grants come out of one bucket of at most [`Ledger::burst`], filled at a pace `r`. What is granted in any
//! span `T` is at most `burst + r T`. Work granted in a slot arrives before the end of the next one (a lease lasts one
//! slot; the way of a request is shorter than another), so what arrives in any window `W` was granted within
//! `W + 2 slots`, and `r` is chosen so that `burst + r (W + 2 slots)` is the budget of a window that lies wholly in the
//! least warm part of that span. What goes back was never used, so it counts in no sum. No margin for chance is needed.
//!
//! Kept: one entry for each connection of a dispatcher, dropped when it ends; nothing once the member is warm.
use pointspindle::{Micros, SlowStartRule};
use std::collections::VecDeque;

/// Slots in a window of the rule.
const SLOTS: u64 = 16;
/// Share of a window's budget that the bucket holds, unless one request needs more.
const BURST: f64 = 0.25;
/// ... and the most of it that one request may need.
const DEAREST: f64 = 0.75;

/// Work is given by asking where an even share of the bucket is less than so many of the dearest usual requests.
const ASKED: f64 = 4.0;

/// A connection of a dispatcher, by the owner's number for it.
pub type UserId = u64;

/// What one user may have worked off for it until the next slot, in seconds of sending time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grant {
    pub user: UserId,
    pub work: f64,
    pub lasts: Micros,
    /// Work is given to who asks for it.
    pub by_asking: bool,
}

/// A connection's leases: granted and arrived, in the slot that runs and in the one before.
#[derive(Clone, Copy, Debug, Default)]
struct User {
    id: UserId,
    granted: (f64, f64),
    arrived: (f64, f64),
    gone: bool,
    asks: bool,
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
pub struct Ledger {
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

impl Ledger {
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
        (self.rule.overload_window / SLOTS).max(1)
    }

    /// Nothing is leased any more: what it bears is no longer bounded.
    pub fn is_over(&self, now: Micros) -> bool {
        now >= self.started + self.rule.ramp + self.rule.overload_window
    }

    /// When [`Ledger::turn`] is next wanted.
    pub fn next_slot(&self) -> Micros {
        self.slot + self.slot_length()
    }

    /// A dispatcher has connected, one that can ask or not. It has nothing until the next slot.
    pub fn join(&mut self, user: UserId, asks: bool) -> Grant {
        match self.users.iter_mut().find(|u| u.id == user) {
            Some(known) => (known.gone, known.asks) = (false, asks),
            None => self.users.push_back(User {
                id: user,
                asks,
                ..User::default()
            }),
        }
        let by_asking = self.gives_by_asking(self.slot);
        Grant {
            user,
            work: 0.0,
            lasts: 2 * self.slot_length(),
            by_asking,
        }
    }

    fn gives_by_asking(&self, now: Micros) -> bool {
        self.burst(now) / (self.users().max(1) as f64) < ASKED * self.quantum
    }

    /// A user has a request there that needs so much: all of it, or nothing. Half a slot long, so that with its way what
    /// lapses is back in the bucket no sooner than all else.
    pub fn ask(&mut self, now: Micros, user: UserId, work: f64) -> Grant {
        let (lasts, by_asking) = (self.slot_length() / 2, self.gives_by_asking(now));
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
            lasts,
            by_asking,
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
    pub fn took(&mut self, user: Option<UserId>, work: f64) {
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
        (BURST * budget).max(self.quantum).min(DEAREST * budget)
    }

    /// Shares out the next slot. Call at [`Ledger::next_slot`] or soon after; slots that were missed are lost.
    pub fn turn(&mut self, now: Micros) -> Vec<Grant> {
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
        let by_asking = self.gives_by_asking(now);
        let waits = |u: &User| !(u.gone || by_asking && u.asks);
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
                lasts: length,
                by_asking,
            });
        }
        self.users.rotate_left(turns);
        grants
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeMap;

    const RULE: SlowStartRule = SlowStartRule {
        initial_share: 0.17,
        ramp: 18_000_000,
        overload_factor: 2.0,
        overload_window: 2_000_000,
    };

    fn budget(from: Micros, weight: f64) -> f64 {
        let share =
            RULE.initial_share + (1.0 - RULE.initial_share) * from as f64 / RULE.ramp as f64;
        RULE.overload_factor * share.min(1.0) * weight * RULE.overload_window as f64 / 1e6
    }

    /// Every user works its lease off at the worst moment that is allowed: its very end, and one slot of way more.
    fn worst(
        users: u64,
        quantum: f64,
        odd: impl Fn(&mut Ledger, u64),
    ) -> (f64, BTreeMap<UserId, f64>) {
        let mut ledger = Ledger::new(RULE, 6.29, 0, quantum);
        for user in 0..users {
            ledger.join(user, false);
        }
        let mut sent: Vec<(Micros, f64)> = Vec::new();
        let mut by: BTreeMap<UserId, f64> = BTreeMap::new();
        let mut round = 0;
        let mut late_work = Vec::new();
        while !ledger.is_over(ledger.next_slot()) {
            let now = ledger.next_slot();
            late_work.retain(|(at, user, work): &(Micros, UserId, f64)| {
                if *at < now {
                    ledger.took(Some(*user), *work);
                }
                *at >= now
            });
            for (n, grant) in ledger.turn(now).into_iter().enumerate() {
                // Some at once, some as late as can be: windows that straddle slots fill most.
                let late = if n % 2 == 0 { 0 } else { 2 * grant.lasts - 1 };
                sent.push((now + late, grant.work));
                late_work.push((now + late, grant.user, grant.work));
                *by.entry(grant.user).or_default() += grant.work;
            }
            odd(&mut ledger, round);
            round += 1;
        }
        sent.sort_by_key(|s| s.0);
        let most = sent.iter().enumerate().map(|(n, (at, _))| {
            let from = at.saturating_sub(RULE.overload_window);
            let sum: f64 = sent[..=n]
                .iter()
                .rev()
                .take_while(|s| s.0 > from)
                .map(|s| s.1)
                .sum();
            sum / budget(from, 6.29)
        });
        (most.fold(0.0, f64::max), by)
    }

    #[test]
    fn no_window_gets_more_than_the_member_bears_and_most_of_it_is_given_out() {
        for users in [1, 4, 7, 200] {
            let (most, by) = worst(users, 0.4, |_, _| {});
            assert!(most <= 1.0, "{users} users: {most:.3} of a window's budget");
            let given: f64 = by.values().sum();
            // The mean capacity of the warm-up, times the multiple.
            let could = 2.0 * 6.29 * (0.17 + 1.0) / 2.0 * 18.0;
            assert!(
                given > 0.5 * could,
                "{users} users: {given:.1} s of {could:.1} s"
            );
        }
    }

    #[test]
    fn two_hundred_get_whole_requests_in_turn() {
        let (_, by) = worst(200, 0.3, |_, _| {});
        assert_eq!(by.len(), 200);
        let (least, most) = by
            .values()
            .fold((f64::MAX, 0.0_f64), |(a, b), v| (a.min(*v), b.max(*v)));
        assert!(
            least > 0.29 && most - least < 0.31,
            "each had a turn, nobody two more: {least} to {most}"
        );
    }

    #[test]
    fn what_a_quiet_dispatcher_leaves_goes_to_the_busy_one() {
        let (mut alone, mut beside) = (0.0, 0.0);
        for (sum, users) in [(&mut alone, 1), (&mut beside, 8)] {
            let mut ledger = Ledger::new(RULE, 6.29, 0, 0.1);
            for user in 0..users {
                ledger.join(user, false);
            }
            for _ in 0..64 {
                let grants = ledger.turn(ledger.next_slot());
                let mine = grants.iter().find(|g| g.user == 0).map_or(0.0, |g| g.work);
                ledger.took(Some(0), mine);
                *sum += mine;
            }
        }
        assert!(
            beside > 0.4 * alone,
            "{beside:.1} s of {alone:.1} s: an eighth and most of what seven leave"
        );
    }

    #[test]
    fn who_joins_and_leaves_all_the_time_changes_no_sum() {
        let (most, _) = worst(3, 0.4, |ledger, round| {
            ledger.leave(round % 3);
            ledger.join(100 + round, false);
            if round > 4 {
                ledger.leave(100 + round - 4);
            }
            ledger.join(round % 3, false);
        });
        assert!(most <= 1.0, "{most:.3}");
    }

    #[test]
    fn one_that_leaves_has_its_part_shared_by_the_next_slot_and_one_that_joins_waits_for_it() {
        let mut ledger = Ledger::new(RULE, 60.0, 0, 0.1);
        ledger.join(1, false);
        ledger.join(2, false);
        let both = ledger.turn(ledger.next_slot());
        assert_eq!(both.len(), 2);
        ledger.leave(1);
        assert_eq!(ledger.join(3, false).work, 0.0);
        let after = ledger.turn(ledger.next_slot());
        let users: Vec<UserId> = after.iter().map(|g| g.user).collect();
        assert_eq!(users, [2, 3]);
    }

    #[test]
    fn work_beyond_the_leases_is_taken_off_later_ones() {
        let mut ledger = Ledger::new(RULE, 6.29, 0, 0.1);
        ledger.join(1, false);
        let sum = |l: &mut Ledger| l.turn(l.next_slot()).iter().map(|g| g.work).sum::<f64>();
        let usual = sum(&mut ledger);
        ledger.took(Some(1), usual + 2.0);
        let mut missing = 0.0;
        for _ in 0..20 {
            missing += usual - sum(&mut ledger).min(usual);
        }
        assert!(
            missing > 1.5,
            "{missing:.2} s of 2 s beyond the lease were held back"
        );
    }

    /// One request that needs more than three quarters of a window's budget cannot be leased while it does.
    #[test]
    fn a_request_larger_than_the_budget_waits_until_the_member_is_warm_enough() {
        let mut ledger = Ledger::new(RULE, 1.0, 0, 1.0);
        ledger.join(1, false);
        let mut first = None;
        while first.is_none() && !ledger.is_over(ledger.next_slot()) {
            let now = ledger.next_slot();
            first = ledger
                .turn(now)
                .first()
                .filter(|g| g.work > 0.0)
                .map(|_| now);
        }
        let at = first.expect("granted in the end");
        assert!(
            0.75 * budget(at, 1.0) >= 1.0 && at > 3_000_000,
            "first granted at {at}"
        );
    }

    /// Two hundred that ask at awkward moments, for whole requests, and use what they get at the very end: no window has
    /// more than the member bears, and nearly all that it bears is used.
    #[test]
    fn what_is_given_by_asking_keeps_the_sum_and_meets_requests() {
        use rand::{Rng, SeedableRng};
        for seed in 1..=5 {
            println!("seed {seed}");
            let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
            let mut ledger = Ledger::new(RULE, 3.0, 0, 0.15);
            (0..200).for_each(|user| assert!(user < 2 || ledger.join(user, true).by_asking));
            let (mut now, mut sent, mut on_the_way) = (0, Vec::<(Micros, f64)>::new(), Vec::new());
            let mut asked = 0.0;
            while now < 12_000_000 {
                now += rng.gen_range(1..15_000);
                while ledger.next_slot() <= now {
                    let at = ledger.next_slot();
                    assert!(ledger.turn(at).iter().all(|g| g.work == 0.0 && g.by_asking));
                }
                on_the_way.retain(|(at, user, work): &(Micros, UserId, f64)| {
                    if *at <= now {
                        ledger.took(Some(*user), *work);
                    }
                    *at > now
                });
                let (user, work) = (rng.gen_range(0..200), rng.gen_range(0.02..0.3));
                asked += work;
                let grant = ledger.ask(now, user, work);
                // One in five lapses unused.
                if grant.work > 0.0 && rng.gen::<f64>() < 0.8 {
                    let at = now + grant.lasts + ledger.slot_length() / 4;
                    on_the_way.push((at, user, grant.work));
                    sent.push((at, grant.work));
                }
            }
            sent.sort_by_key(|s| s.0);
            let mut most: f64 = 0.0;
            for (n, (at, _)) in sent.iter().enumerate() {
                let from = at.saturating_sub(RULE.overload_window);
                let sum: f64 = sent[..=n]
                    .iter()
                    .rev()
                    .take_while(|s| s.0 > from)
                    .map(|s| s.1)
                    .sum();
                most = most.max(sum / budget(from, 3.0));
            }
            let used: f64 = sent.iter().map(|s| s.1).sum();
            let could: f64 = (0..6).map(|n| budget(n * 2_000_000, 3.0)).sum();
            println!(
                "{most:.2} of a window at most; {used:.1} s used of {could:.1} s, {asked:.1} s asked for"
            );
            assert!(
                most <= 1.0 && used > 0.4 * could.min(0.8 * asked),
                "{most:.3}, {used:.1} of {could:.1} s"
            );
        }
    }
}
