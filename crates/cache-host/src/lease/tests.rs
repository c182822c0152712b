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

/// Returns the largest share of a window's budget and the work of each user if every second lease is used at once and
/// the others as late as possible: at the end of the lease, with one more slot in transit.
fn worst_case(
    users: u64,
    largest_request: f64,
    change_membership: impl Fn(&mut WorkLedger, u64),
) -> (f64, BTreeMap<LeaseHolderId, f64>) {
    let mut ledger = WorkLedger::new(RULE, 6.29, 0, largest_request);
    for user in 0..users {
        ledger.add_dispatcher(user, false);
    }
    let mut sent: Vec<(Micros, f64)> = Vec::new();
    let mut work_by_user: BTreeMap<LeaseHolderId, f64> = BTreeMap::new();
    let mut round = 0;
    let mut in_transit = Vec::new();
    while !ledger.is_over(ledger.next_slot()) {
        let now = ledger.next_slot();
        in_transit.retain(|(at, user, work): &(Micros, LeaseHolderId, f64)| {
            if *at < now {
                ledger.record_arrival(Some(*user), *work);
            }
            *at >= now
        });
        for (n, grant) in ledger.start_slot(now).into_iter().enumerate() {
            // Alternating early and late use puts the most work into windows that span several slots.
            let delay = if n % 2 == 0 {
                0
            } else {
                2 * grant.duration - 1
            };
            sent.push((now + delay, grant.work));
            in_transit.push((now + delay, grant.holder, grant.work));
            *work_by_user.entry(grant.holder).or_default() += grant.work;
        }
        change_membership(&mut ledger, round);
        round += 1;
    }
    sent.sort_by_key(|s| s.0);
    let shares = sent.iter().enumerate().map(|(n, (at, _))| {
        let from = at.saturating_sub(RULE.overload_window);
        let sum: f64 = sent[..=n]
            .iter()
            .rev()
            .take_while(|s| s.0 > from)
            .map(|s| s.1)
            .sum();
        sum / budget(from, 6.29)
    });
    (shares.fold(0.0, f64::max), work_by_user)
}

#[test]
fn granted_work_stays_within_window_budget_and_uses_half() {
    for users in [1, 4, 7, 200] {
        let (max_share, work_by_user) = worst_case(users, 0.4, |_, _| {});
        assert!(
            max_share <= 1.0,
            "{users} users: sent {max_share:.3} of a window's budget"
        );
        let total_granted: f64 = work_by_user.values().sum();
        // The mean capacity of the warm-up, times the overload factor.
        let available = 2.0 * 6.29 * (0.17 + 1.0) / 2.0 * 18.0;
        assert!(
            total_granted > 0.5 * available,
            "{users} users: granted {total_granted:.1} s of {available:.1} s"
        );
    }
}

#[test]
fn small_budget_grants_complete_requests_in_turn() {
    let (_, work_by_user) = worst_case(200, 0.3, |_, _| {});
    assert_eq!(work_by_user.len(), 200);
    let (min_work, max_work) = work_by_user
        .values()
        .fold((f64::MAX, 0.0_f64), |(a, b), v| (a.min(*v), b.max(*v)));
    assert!(
        min_work > 0.29 && max_work - min_work < 0.31,
        "each user has a turn, and none has two more than another: {min_work} s to {max_work} s"
    );
}

#[test]
fn unused_work_of_idle_dispatchers_goes_to_busy_one() {
    let (mut alone, mut with_idle) = (0.0, 0.0);
    for (sum, users) in [(&mut alone, 1), (&mut with_idle, 8)] {
        let mut ledger = WorkLedger::new(RULE, 6.29, 0, 0.1);
        for user in 0..users {
            ledger.add_dispatcher(user, false);
        }
        for _ in 0..64 {
            let grants = ledger.start_slot(ledger.next_slot());
            let work_of_first = grants
                .iter()
                .find(|g| g.holder == 0)
                .map_or(0.0, |g| g.work);
            ledger.record_arrival(Some(0), work_of_first);
            *sum += work_of_first;
        }
    }
    assert!(
        with_idle > 0.4 * alone,
        "granted {with_idle:.1} s of {alone:.1} s: expected an eighth and most of the idle users' shares"
    );
}

#[test]
fn frequent_reconnects_stay_within_window_budget() {
    let (max_share, _) = worst_case(3, 0.4, |ledger, round| {
        ledger.remove_dispatcher(round % 3);
        ledger.add_dispatcher(100 + round, false);
        if round > 4 {
            ledger.remove_dispatcher(100 + round - 4);
        }
        ledger.add_dispatcher(round % 3, false);
    });
    assert!(max_share <= 1.0, "sent {max_share:.3} of a window's budget");
}

#[test]
fn membership_change_takes_effect_with_next_slot() {
    let mut ledger = WorkLedger::new(RULE, 60.0, 0, 0.1);
    ledger.add_dispatcher(1, false);
    ledger.add_dispatcher(2, false);
    let first_leases = ledger.start_slot(ledger.next_slot());
    assert_eq!(first_leases.len(), 2);
    ledger.remove_dispatcher(1);
    assert_eq!(ledger.add_dispatcher(3, false).work, 0.0);
    let next_leases = ledger.start_slot(ledger.next_slot());
    let users: Vec<LeaseHolderId> = next_leases.iter().map(|g| g.holder).collect();
    assert_eq!(users, [2, 3]);
}

#[test]
fn excess_work_is_deducted_from_later_slots() {
    let mut ledger = WorkLedger::new(RULE, 6.29, 0, 0.1);
    ledger.add_dispatcher(1, false);
    let sum = |l: &mut WorkLedger| {
        l.start_slot(l.next_slot())
            .iter()
            .map(|g| g.work)
            .sum::<f64>()
    };
    let usual_work = sum(&mut ledger);
    ledger.record_arrival(Some(1), usual_work + 2.0);
    let mut deducted_work = 0.0;
    for _ in 0..20 {
        deducted_work += usual_work - sum(&mut ledger).min(usual_work);
    }
    assert!(
        deducted_work > 1.5,
        "{deducted_work:.2} s of the 2 s in excess of the lease were deducted"
    );
}

/// A request that needs more than three quarters of a window's budget gets no lease until the budget has grown.
#[test]
fn request_larger_than_budget_waits_until_host_is_warm_enough() {
    let mut ledger = WorkLedger::new(RULE, 1.0, 0, 1.0);
    ledger.add_dispatcher(1, false);
    let mut first = None;
    while first.is_none() && !ledger.is_over(ledger.next_slot()) {
        let now = ledger.next_slot();
        first = ledger
            .start_slot(now)
            .first()
            .filter(|g| g.work > 0.0)
            .map(|_| now);
    }
    let at = first.expect("a lease is granted before the warm-up ends");
    assert!(
        0.75 * budget(at, 1.0) >= 1.0 && at > 3_000_000,
        "first lease granted at {at} us"
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
        (0..200).for_each(|user| assert!(user < 2 || ledger.add_dispatcher(user, true).on_request));
        let (mut now, mut sent, mut requests_in_transit) =
            (0, Vec::<(Micros, f64)>::new(), Vec::new());
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
            requests_in_transit.retain(|(at, user, work): &(Micros, LeaseHolderId, f64)| {
                if *at <= now {
                    ledger.record_arrival(Some(*user), *work);
                }
                *at > now
            });
            let (user, work) = (rng.gen_range(0..200), rng.gen_range(0.02..0.3));
            requested += work;
            let grant = ledger.request_work(now, user, work);
            // One lease in five expires unused.
            if grant.work > 0.0 && rng.gen::<f64>() < 0.8 {
                let at = now + grant.duration + ledger.slot_length() / 4;
                requests_in_transit.push((at, user, grant.work));
                sent.push((at, grant.work));
            }
        }
        sent.sort_by_key(|s| s.0);
        let mut max_share: f64 = 0.0;
        for (n, (at, _)) in sent.iter().enumerate() {
            let from = at.saturating_sub(RULE.overload_window);
            let sum: f64 = sent[..=n]
                .iter()
                .rev()
                .take_while(|s| s.0 > from)
                .map(|s| s.1)
                .sum();
            max_share = max_share.max(sum / budget(from, 3.0));
        }
        let used: f64 = sent.iter().map(|s| s.1).sum();
        let available: f64 = (0..6).map(|n| budget(n * 2_000_000, 3.0)).sum();
        println!(
            "at most {max_share:.2} of a window's budget; used {used:.1} s of {available:.1} s, requested {requested:.1} s"
        );
        assert!(
            max_share <= 1.0 && used > 0.4 * available.min(0.8 * requested),
            "sent {max_share:.3} of a window's budget; used {used:.1} s of {available:.1} s"
        );
    }
}
