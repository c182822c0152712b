//! Runs of several sites in virtual time: faults that affect a whole site, dispatchers that are paused or stopped, and
//! the totals over the whole fleet.
use pointspindle_audit::fleet_totals::{judge_totals, measure_totals, FleetTotals};
use pointspindle_audit::trace::{ClientAttemptId, ClientOutcome, TraceEvent};
use pointspindle_audit::RuleVerdict;
use pointspindle_scenario::fault_injection::InjectedFault;
use pointspindle_scenario::script::{FaultKind, ListedState, ScriptStep};
use pointspindle_scenario::{load_with, Scenario, Script, SettingOverride};
use pointspindle_simulator::{run, Outcome};
use std::collections::{BTreeMap, HashMap};
use std::path::Path;

fn scenario(seed: u64, sets: &[&str]) -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/site-loss.ini");
    let sets: Vec<SettingOverride> = sets.iter().map(|s| s.parse().unwrap()).collect();
    load_with(&file, Some(seed), &sets).unwrap_or_else(|e| panic!("{e}"))
}

/// The scenario with this fault alone.
fn with_fault(name: &str, seed: u64, sets: &[&str]) -> Scenario {
    let mut scenario = scenario(seed, sets);
    scenario.faults.retain(|t| t.name == name);
    assert_eq!(scenario.faults.len(), 1, "{name}");
    scenario
}

fn play(scenario: &Scenario, injected_fault: Option<InjectedFault>) -> (Outcome, FleetTotals) {
    println!("{}, seed {}", scenario.name, scenario.seed);
    let outcome = run(scenario, injected_fault).unwrap();
    let totals = measure_totals(scenario, &outcome.service, &outcome.trace);
    (outcome, totals)
}

fn broken(rules: &[RuleVerdict]) -> Vec<&str> {
    rules
        .iter()
        .filter(|r| !r.violations.is_empty())
        .map(|r| r.name.as_str())
        .collect()
}

#[test]
fn site_loss_run_keeps_every_rule_and_bound_and_repeats_its_totals() {
    for seed in [29, 30, 31] {
        let scenario = scenario(seed, &[]);
        let (outcome, totals) = play(&scenario, None);
        let (_, without_site_faults) = play(&scenario.without_site_faults(), None);
        let baseline = measure_totals(
            &scenario,
            &run(&scenario.without_site_faults(), None).unwrap().service,
            &[],
        );
        assert_eq!(without_site_faults.sites, [], "no fault affects a site");
        let judged = judge_totals(&scenario, &totals, Some(&baseline));
        assert!(judged.cases >= 4, "{judged:?}");
        assert_eq!(
            (broken(&outcome.rules), &judged.violations[..]),
            (vec![], &[][..])
        );
        assert_eq!(totals, play(&scenario, None).1);
    }
}

/// Each dispatcher takes the whole capacity for its own: a recovering site is overloaded, and serves its clients worse.
#[test]
fn miscounted_dispatchers_violate_warm_up_and_fairness() {
    let scenario = scenario(1, &["day.rate=250"]);
    let (healthy, fair) = play(&scenario, None);
    let (miscounted, unfair) = play(&scenario, Some(InjectedFault::MiscountDispatchers));
    assert_eq!(
        (
            broken(&healthy.rules),
            judge_totals(&scenario, &fair, None).kinds()
        ),
        (vec![], vec![])
    );
    assert_eq!(broken(&miscounted.rules), ["cold"]);
    assert_eq!(
        judge_totals(&scenario, &unfair, None).kinds(),
        [("fairness".to_owned(), 1)]
    );
    assert!(unfair.fairness < fair.fairness);
}

#[test]
fn site_loss_by_scope_generates_the_matching_script_steps() {
    let step_counts = |takes: &str, told: &str| {
        let takes = format!("trouble power.takes={takes}");
        let scenario = with_fault("power", 3, &[&takes, &format!("trouble power.told={told}")]);
        let hosts = scenario.hosts(|n| format!("host-{n}"));
        let steps = Script::generate(&scenario, &hosts, |n| format!("host-{n}")).steps;
        let count = |fits: fn(&ScriptStep) -> bool| steps.iter().filter(|(_, s)| fits(s)).count();
        let back = |s: &ScriptStep| {
            matches!(
                s,
                ScriptStep::EndpointUpdate {
                    state: ListedState::Ready,
                    ..
                }
            )
        };
        (
            count(|s| matches!(s, ScriptStep::Fault { .. })),
            count(back),
            count(|s| matches!(s, ScriptStep::KillDispatcher { .. })),
            count(|s| matches!(s, ScriptStep::StartDispatcher { .. })),
        )
    };
    assert_eq!(step_counts("hosts", "yes"), (6, 3, 0, 0));
    assert_eq!(step_counts("parents", "yes"), (8, 4, 0, 0));
    assert_eq!(step_counts("dispatchers", "no"), (8, 0, 4, 4));
}

/// Clients that reach no dispatcher go to the next site; without that they get nothing while their site is lost.
#[test]
fn clients_of_a_lost_site_with_failover_are_served_by_other_sites() {
    let service_while_lost = |moves: &str| {
        let scenario = with_fault("power", 5, &[&format!("clients.move={moves}")]);
        let (outcome, _) = play(&scenario, None);
        let seconds = &outcome.service.by_branch[0][10..15];
        seconds.iter().map(|s| s.earned).sum::<f64>()
            / seconds.iter().map(|s| s.requested).sum::<f64>()
    };
    let without_failover = service_while_lost("no");
    let with_failover = service_while_lost("yes");
    assert!(
        without_failover < 0.2 && with_failover > 0.6,
        "{without_failover:.3} and {with_failover:.3}"
    );
}

/// Fills from a site whose outward messages are delayed reach no parent; where only inward ones are, they do, in vain.
#[test]
fn zone_partition_by_direction_delays_fills_and_not_traffic_within_the_zone() {
    let fills_during_partition = |directions: &str| {
        let scenario = with_fault("line", 7, &[&format!("trouble line.ways={directions}")]);
        let (outcome, _) = play(&scenario, None);
        assert_eq!(broken(&outcome.rules), [""; 0], "{directions}");
        let zones: HashMap<&str, usize> = outcome
            .trace
            .iter()
            .filter_map(|s| match &s.event {
                TraceEvent::HostDeclared { host, zone, .. } => Some((host.as_str(), *zone)),
                _ => None,
            })
            .collect();
        let mut fills = 0;
        let mut within = 0;
        let calls: HashMap<ClientAttemptId, usize> = outcome
            .trace
            .iter()
            .filter_map(|s| match s.event {
                TraceEvent::RequestSent { id, dispatcher, .. } => Some((id, dispatcher)),
                _ => None,
            })
            .collect();
        for entry in outcome
            .trace
            .iter()
            .filter(|s| (22_200_000..25_900_000).contains(&s.at))
        {
            let TraceEvent::AttemptArrived {
                host,
                dispatcher: by,
                id: Some(id),
                ..
            } = &entry.event
            else {
                continue;
            };
            let site = scenario.branch_of_dispatcher(calls[id]);
            if site == 1 && zones[host.as_str()] == 1 {
                within += 1;
            } else if site == 1 && by.is_none() {
                fills += 1;
            }
        }
        assert!(
            within > 50,
            "{directions}: {within} attempts within the site"
        );
        fills
    };
    assert_eq!(
        (
            fills_during_partition("both"),
            fills_during_partition("out")
        ),
        (0, 0)
    );
    assert!(fills_during_partition("in") > 5);
}

/// It does nothing while it is paused, and continues with what it had.
#[test]
fn paused_dispatcher_sends_nothing_until_it_resumes() {
    let scenario = with_fault(
        "starved",
        9,
        &["trouble starved.share=1", "trouble starved.for_s=0"],
    );
    let (outcome, _) = play(&scenario, None);
    assert_eq!(broken(&outcome.rules), [""; 0]);
    let mut paused_now: BTreeMap<usize, bool> = BTreeMap::new();
    let mut after = 0;
    for entry in &outcome.trace {
        match &entry.event {
            TraceEvent::DispatcherPaused { dispatcher, paused } => {
                _ = paused_now.insert(*dispatcher, *paused)
            }
            // What arrives just after the pause began was sent before it.
            TraceEvent::AttemptArrived {
                dispatcher: Some(by),
                ..
            } if entry.at > 30_100_000 => {
                assert_ne!(
                    paused_now.get(by),
                    Some(&true),
                    "dispatcher {by} sent at {}",
                    entry.at
                );
                after += (paused_now.get(by) == Some(&false)) as u32;
            }
            _ => {}
        }
    }
    assert_eq!(paused_now.len(), scenario.dispatcher_count());
    assert!(after > 100, "{after}");
}

/// A graceful shutdown accepts nothing new and answers what was accepted.
#[test]
fn stopping_all_dispatchers_loses_no_accepted_request() {
    let scenario = with_fault("release", 11, &["trouble release.share=1"]);
    assert_eq!(scenario.faults[0].kind, FaultKind::StopDispatchers);
    let (outcome, _) = play(&scenario, None);
    assert_eq!(broken(&outcome.rules), [""; 0]);
    let count =
        |fits: fn(&TraceEvent) -> bool| outcome.trace.iter().filter(|s| fits(&s.event)).count();
    let stopping = count(|s| matches!(s, TraceEvent::DispatcherStopping { .. }));
    let started = count(|s| matches!(s, TraceEvent::DispatcherStarted { .. }));
    assert_eq!((stopping, started), (12, 12));
    assert_eq!(
        count(|s| matches!(
            s,
            TraceEvent::RequestEnded {
                outcome: ClientOutcome::ConnectionLost,
                ..
            }
        )),
        0
    );
}

/// Warming hosts under the load of all dispatchers, whatever their number: within the budget where the start was known,
/// beyond it where each dispatcher believes that it is the only one.
#[test]
fn warming_hosts_stay_within_budget_unless_dispatchers_are_miscounted() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/cold-sums.ini");
    for (dispatchers, injected_fault) in [
        (7, None),
        (10, None),
        (100, None),
        (10, Some(InjectedFault::MiscountDispatchers)),
    ] {
        for seed in [41, 42, 43] {
            let set = format!("fleet.dispatchers={dispatchers}").parse().unwrap();
            let scenario = load_with(&file, Some(seed), &[set]).unwrap_or_else(|e| panic!("{e}"));
            let (outcome, totals) = play(&scenario, injected_fault);
            let cold = &totals.warm_up_informed;
            assert!(cold.most > 0.0, "a host whose start was known warmed up");
            println!("{dispatchers} a site: {cold:?}");
            assert!(totals.cancellations.clients > 0);
            if injected_fault.is_none() {
                assert_eq!(
                    (
                        broken(&outcome.rules),
                        judge_totals(&scenario, &totals, None).kinds()
                    ),
                    (vec![], vec![])
                );
                assert!(cold.requests <= cold.allowed, "{cold:?}");
            } else {
                assert!(broken(&outcome.rules).contains(&"cold"));
                assert!(cold.requests > cold.allowed, "{cold:?}");
            }
        }
    }
}
