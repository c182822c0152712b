//! The sum of the budget parts that dispatchers with differing views use, and the conditions under which one uses none.
use super::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const WINDOW: Micros = 2_000_000;
const LEASE: Micros = 3_000_000;

/// Dispatchers join, leave, pause and lose their leases; each learns of a change with a different delay. The parts of one
/// warm-up budget that they use never exceed it, and at most one dispatcher owns a parent in slow start.
#[test]
fn differing_views_never_exceed_budget_in_sum() {
    for seed in 0..300 {
        let mut fleet = SimulatedFleet::new(seed);
        let mut largest_sum = 0.0_f64;
        let mut taken = 0_u32;
        for _ in 0..800 {
            fleet.step();
            let now = fleet.now;
            let taken_parts = fleet.taken_parts();
            taken += taken_parts.dispatchers;
            let sum = taken_parts.sum;
            assert!(
                sum <= 1.0 + 1e-9,
                "seed {seed}: {sum} times the budget used at {now}"
            );
            let owners = taken_parts.parent_owners;
            assert!(
                owners <= 1,
                "seed {seed}: {owners} dispatchers own the same parent at {now}"
            );
            largest_sum = largest_sum.max(sum);
        }
        assert!(taken == 0 || largest_sum > 0.0);
    }
}

struct SimulatedDispatcher {
    registry: DispatcherRegistry,
    /// Delay until the dispatcher learns of a change.
    lag: Micros,
    renewed_at: Option<Micros>,
    /// Time until which the dispatcher neither runs nor renews its lease.
    paused_until: Micros,
}

/// The budget parts that running dispatchers use at one time.
#[derive(Default)]
struct TakenParts {
    /// Sum of the used parts of one warm-up budget.
    sum: f64,
    /// Number of dispatchers that use a part.
    dispatchers: u32,
    /// Number of dispatchers that own the same parent in slow start.
    parent_owners: u32,
}

struct SimulatedFleet {
    random: StdRng,
    now: Micros,
    dispatchers: Vec<SimulatedDispatcher>,
    /// The registered dispatchers, with the time from which on they were registered.
    rosters: Vec<(Micros, Roster)>,
}

impl SimulatedFleet {
    fn new(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            now: 10_000_000,
            dispatchers: Vec::new(),
            rosters: vec![(0, Roster::new())],
        }
    }

    fn step(&mut self) {
        self.now += self.random.gen_range(1_000..60_000);
        self.change_membership();
        self.renew_leases();
        self.record_roster();
    }

    fn change_membership(&mut self) {
        match self.random.gen_range(0..40) {
            0 if self.dispatchers.len() < 12 => {
                let name = format!("d{}", self.random.gen::<u16>());
                self.dispatchers.push(SimulatedDispatcher {
                    registry: DispatcherRegistry::new(&name, "b", WINDOW),
                    lag: 0,
                    renewed_at: None,
                    paused_until: 0,
                });
            }
            1 if !self.dispatchers.is_empty() => {
                let n = self.random.gen_range(0..self.dispatchers.len());
                let pause = self.random.gen_range(0..3 * LEASE);
                self.dispatchers[n].paused_until = self.now + pause;
            }
            2 if !self.dispatchers.is_empty() => {
                // The dispatcher terminates, gracefully or not. The others count it until its lease has expired.
                let n = self.random.gen_range(0..self.dispatchers.len());
                self.dispatchers[n].paused_until = Micros::MAX;
            }
            _ => {}
        }
    }

    fn renew_leases(&mut self) {
        let now = self.now;
        let running = self.dispatchers.iter_mut();
        for dispatcher in running.filter(|dispatcher| now >= dispatcher.paused_until) {
            dispatcher.lag = self.random.gen_range(0..PROPAGATION_DELAY_US);
            if self.random.gen_bool(0.1) || dispatcher.renewed_at.is_none() {
                dispatcher.renewed_at = Some(now);
                dispatcher.registry.registration_renewed(now, LEASE);
            }
        }
    }

    fn record_roster(&mut self) {
        let now = self.now;
        let is_registered = |dispatcher: &&SimulatedDispatcher| {
            dispatcher.renewed_at.is_some_and(|at| now < at + LEASE)
        };
        let registered = self.dispatchers.iter().filter(is_registered);
        let roster: Roster = registered
            .map(|dispatcher| (dispatcher.registry.name.clone(), "b".to_owned()))
            .collect();
        if self.rosters.last().unwrap().1 != roster {
            self.rosters.push((now, roster));
        }
    }

    fn taken_parts(&mut self) -> TakenParts {
        let now = self.now;
        let mut taken = TakenParts::default();
        let running = self.dispatchers.iter_mut();
        for dispatcher in running.filter(|dispatcher| now >= dispatcher.paused_until) {
            let mut newest_first = self.rosters.iter().rev();
            let (_, known) = newest_first
                .find(|(at, _)| at + dispatcher.lag <= now)
                .unwrap();
            dispatcher.registry.set_view_current(true);
            dispatcher.registry.set_roster(now, known.clone());
            let counts = dispatcher.registry.counts(now).unwrap();
            if counts.uses_warm_up_budget {
                taken.sum += 1.0 / f64::from(counts.in_zone);
                taken.dispatchers += 1;
            }
            // The dispatcher with the first index owns the parent in slow start.
            taken.parent_owners += u32::from(counts.index == Some(0));
        }
        taken
    }
}

fn roster(names: &[&str]) -> Roster {
    let entry = |name: &&str| (name.to_string(), "b".to_owned());
    names.iter().map(entry).collect()
}

/// Returns the counts of a fleet in a single zone.
fn counts(total: u32, index: Option<u32>, uses_warm_up_budget: bool) -> Option<FleetCounts> {
    Some(FleetCounts {
        in_zone: total,
        total,
        index,
        uses_warm_up_budget,
    })
}

#[test]
fn dispatcher_with_expired_lease_stale_view_or_recent_join_takes_no_budget() {
    let mut registry = DispatcherRegistry::new("a", "b", WINDOW);
    assert_eq!(
        registry.counts(5),
        None,
        "no roster: the counts of the settings apply"
    );
    registry.set_view_current(true);
    registry.registration_renewed(0, 30 * LEASE);
    registry.set_roster(0, roster(&["a"]));
    assert_eq!(registry.counts(0), counts(1, None, false));
    let settled = PROPAGATION_DELAY_US + WINDOW;
    assert_eq!(registry.next_change(0), Some(settled));
    assert_eq!(registry.counts(settled), counts(1, Some(0), true));
    // Another dispatcher is counted at once when it joins, and after a delay no longer counted when it leaves.
    registry.set_roster(settled, roster(&["a", "c"]));
    assert_eq!(registry.counts(settled), counts(2, None, true));
    registry.set_roster(settled + 1, roster(&["a"]));
    assert_eq!(registry.counts(settled + 2).unwrap().in_zone, 2);
    assert_eq!(registry.counts(3 * settled).unwrap().in_zone, 1);
    registry.set_view_current(false);
    assert!(!registry.counts(3 * settled).unwrap().uses_warm_up_budget);
    registry.set_view_current(true);
    assert!(
        !registry.counts(20 * LEASE).unwrap().uses_warm_up_budget,
        "two thirds of the lease have passed"
    );
}
