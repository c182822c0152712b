//! Tests of [`super`].
use super::*;
use std::collections::BTreeMap;

const RULE: SlowStartRule = SlowStartRule {
    initial_share: 0.17,
    ramp: 18_000_000,
    overload_factor: 2.0,
    overload_window: 2_000_000,
};

fn budget(from: Micros, weight: f64) -> f64 {
    let share = RULE.initial_share + (1.0 - RULE.initial_share) * from as f64 / RULE.ramp as f64;
    RULE.overload_factor * share.min(1.0) * weight * RULE.overload_window as f64 / 1e6
}

/// Largest share of a window's budget, and the work of each user, if leases are used at the latest moment allowed: their
/// end, with another slot under way.
fn worst_case(
    users: u64,
    largest_request: f64,
    change: impl Fn(&mut WorkLedger, u64),
) -> (f64, BTreeMap<UserId, f64>) {
    let mut ledger = WorkLedger::new(RULE, 6.29, 0, largest_request);
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
                ledger.record_arrival(Some(*user), *work);
            }
            *at >= now
        });
        for (n, grant) in ledger.start_slot(now).into_iter().enumerate() {
            // Some at once, some as late as possible: windows that span slots get most.
            let late = if n % 2 == 0 {
                0
            } else {
                2 * grant.duration - 1
            };
            sent.push((now + late, grant.work));
            late_work.push((now + late, grant.user, grant.work));
            *by.entry(grant.user).or_default() += grant.work;
        }
        change(&mut ledger, round);
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
fn granted_work_stays_within_window_budget_and_uses_half() {
    for users in [1, 4, 7, 200] {
        let (most, by) = worst_case(users, 0.4, |_, _| {});
        assert!(most <= 1.0, "{users} users: {most:.3} of a window's budget");
        let given: f64 = by.values().sum();
        // The mean capacity of the warm-up, times the overload factor.
        let could = 2.0 * 6.29 * (0.17 + 1.0) / 2.0 * 18.0;
        assert!(
            given > 0.5 * could,
            "{users} users: {given:.1} s of {could:.1} s"
        );
    }
}

#[test]
fn small_budget_grants_complete_requests_in_turn() {
    let (_, by) = worst_case(200, 0.3, |_, _| {});
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
fn unused_work_of_idle_dispatchers_goes_to_busy_one() {
    let (mut alone, mut beside) = (0.0, 0.0);
    for (sum, users) in [(&mut alone, 1), (&mut beside, 8)] {
        let mut ledger = WorkLedger::new(RULE, 6.29, 0, 0.1);
        for user in 0..users {
            ledger.join(user, false);
        }
        for _ in 0..64 {
            let grants = ledger.start_slot(ledger.next_slot());
            let mine = grants.iter().find(|g| g.user == 0).map_or(0.0, |g| g.work);
            ledger.record_arrival(Some(0), mine);
            *sum += mine;
        }
    }
    assert!(
        beside > 0.4 * alone,
        "{beside:.1} s of {alone:.1} s: an eighth and most of what seven leave"
    );
}

#[test]
fn frequent_reconnects_stay_within_window_budget() {
    let (most, _) = worst_case(3, 0.4, |ledger, round| {
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
fn membership_change_takes_effect_with_next_slot() {
    let mut ledger = WorkLedger::new(RULE, 60.0, 0, 0.1);
    ledger.join(1, false);
    ledger.join(2, false);
    let both = ledger.start_slot(ledger.next_slot());
    assert_eq!(both.len(), 2);
    ledger.leave(1);
    assert_eq!(ledger.join(3, false).work, 0.0);
    let after = ledger.start_slot(ledger.next_slot());
    let users: Vec<UserId> = after.iter().map(|g| g.user).collect();
    assert_eq!(users, [2, 3]);
}

#[test]
fn excess_work_is_deducted_from_later_slots() {
    let mut ledger = WorkLedger::new(RULE, 6.29, 0, 0.1);
    ledger.join(1, false);
    let sum = |l: &mut WorkLedger| {
        l.start_slot(l.next_slot())
            .iter()
            .map(|g| g.work)
            .sum::<f64>()
    };
    let usual = sum(&mut ledger);
    ledger.record_arrival(Some(1), usual + 2.0);
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
fn request_larger_than_budget_waits_until_host_is_warm_enough() {
    let mut ledger = WorkLedger::new(RULE, 1.0, 0, 1.0);
    ledger.join(1, false);
    let mut first = None;
    while first.is_none() && !ledger.is_over(ledger.next_slot()) {
        let now = ledger.next_slot();
        first = ledger
            .start_slot(now)
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

/// 200 dispatchers request work at random times and use it at the end of the lease.
#[test]
fn work_granted_on_request_stays_within_window_budget() {
    use rand::{Rng, SeedableRng};
    for seed in 1..=5 {
        println!("seed {seed}");
        let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
        let mut ledger = WorkLedger::new(RULE, 3.0, 0, 0.15);
        (0..200).for_each(|user| assert!(user < 2 || ledger.join(user, true).on_request));
        let (mut now, mut sent, mut under_way) = (0, Vec::<(Micros, f64)>::new(), Vec::new());
        let mut requested = 0.0;
        while now < 12_000_000 {
            now += rng.gen_range(1..15_000);
            while ledger.next_slot() <= now {
                let at = ledger.next_slot();
                assert!(ledger
                    .start_slot(at)
                    .iter()
                    .all(|g| g.work == 0.0 && g.on_request));
            }
            under_way.retain(|(at, user, work): &(Micros, UserId, f64)| {
                if *at <= now {
                    ledger.record_arrival(Some(*user), *work);
                }
                *at > now
            });
            let (user, work) = (rng.gen_range(0..200), rng.gen_range(0.02..0.3));
            requested += work;
            let grant = ledger.request_work(now, user, work);
            // One in five lapses unused.
            if grant.work > 0.0 && rng.gen::<f64>() < 0.8 {
                let at = now + grant.duration + ledger.slot_length() / 4;
                under_way.push((at, user, grant.work));
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
            "{most:.2} of a window at most; {used:.1} s used of {could:.1} s, {requested:.1} s requested for"
        );
        assert!(
            most <= 1.0 && used > 0.4 * could.min(0.8 * requested),
            "{most:.3}, {used:.1} of {could:.1} s"
        );
    }
}
