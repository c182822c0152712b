//! Simulated runs of several sites: faults that affect a whole site, dispatchers that are paused or stopped, and the
//! totals over the whole fleet.
use pointspindle_audit::fleet_totals::{judge_totals, measure_totals, FleetTotals};
use pointspindle_audit::trace::{ClientAttemptId, ClientOutcome, TraceEvent};
use pointspindle_audit::RuleVerdict;
use pointspindle_scenario::fault_injection::InjectedFault;
use pointspindle_scenario::script::{FaultKind, ListedState, ScriptStep};
use pointspindle_scenario::{load_with, Scenario, Script, SettingOverride};
use pointspindle_simulator::{run, Outcome};
use std::collections::{BTreeMap, HashMap};
use std::path::Path;

fn scenario(seed: u64, overrides: &[&str]) -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/site-loss.ini");
    let overrides: Vec<SettingOverride> =
        overrides.iter().map(|text| text.parse().unwrap()).collect();
    load_with(&file, Some(seed), &overrides).unwrap_or_else(|error| panic!("{error}"))
}

/// Returns the scenario with only the named fault.
fn with_fault(name: &str, seed: u64, overrides: &[&str]) -> Scenario {
    let mut scenario = scenario(seed, overrides);
    scenario.faults.retain(|fault| fault.name == name);
    assert_eq!(scenario.faults.len(), 1, "number of faults named {name}");
    scenario
}

fn run_scenario(
    scenario: &Scenario,
    injected_fault: Option<InjectedFault>,
) -> (Outcome, FleetTotals) {
    println!("{}, seed {}", scenario.name, scenario.seed);
    let outcome = run(scenario, injected_fault).unwrap();
    let totals = measure_totals(scenario, &outcome.service, &outcome.trace);
    (outcome, totals)
}

fn violated_rules(rules: &[RuleVerdict]) -> Vec<&str> {
    rules
        .iter()
        .filter(|rule| !rule.violations.is_empty())
        .map(|rule| rule.name.as_str())
        .collect()
}

#[test]
fn site_loss_run_satisfies_every_rule_and_bound_with_repeatable_totals() {
    for seed in [29, 30, 31] {
        let scenario = scenario(seed, &[]);
        let (outcome, totals) = run_scenario(&scenario, None);
        let (_, without_site_faults) = run_scenario(&scenario.without_site_faults(), None);
        let baseline = measure_totals(
            &scenario,
            &run(&scenario.without_site_faults(), None).unwrap().service,
            &[],
        );
        assert_eq!(
            without_site_faults.sites,
            [],
            "no totals by site without a fault of a site"
        );
        let judged = judge_totals(&scenario, &totals, Some(&baseline));
        assert!(judged.cases >= 4, "{judged:?}");
        assert_eq!(
            (violated_rules(&outcome.rules), &judged.violations[..]),
            (vec![], &[][..])
        );
        assert_eq!(totals, run_scenario(&scenario, None).1);
    }
}

/// With the injected fault each dispatcher assumes that it has the whole capacity for itself: a recovering site is
/// overloaded, and the dispatchers' shares of served requests become less even.
#[test]
fn miscounted_dispatchers_violate_warm_up_and_fairness() {
    let scenario = scenario(1, &["day.rate=250"]);
    let (healthy, healthy_totals) = run_scenario(&scenario, None);
    let (miscounted, miscounted_totals) =
        run_scenario(&scenario, Some(InjectedFault::MiscountDispatchers));
    assert_eq!(
        (
            violated_rules(&healthy.rules),
            judge_totals(&scenario, &healthy_totals, None).violation_counts()
        ),
        (vec![], vec![])
    );
    assert_eq!(violated_rules(&miscounted.rules), ["cold"]);
    assert_eq!(
        judge_totals(&scenario, &miscounted_totals, None).violation_counts(),
        [("fairness".to_owned(), 1)]
    );
    assert!(miscounted_totals.fairness < healthy_totals.fairness);
}

#[test]
fn site_loss_by_scope_generates_the_matching_script_steps() {
    let step_counts = |scope: &str, announced: &str| {
        let scope = format!("trouble power.takes={scope}");
        let scenario = with_fault(
            "power",
            3,
            &[&scope, &format!("trouble power.told={announced}")],
        );
        let hosts = scenario.hosts(|n| format!("host-{n}"));
        let steps = Script::generate(&scenario, &hosts, |n| format!("host-{n}")).steps;
        let count = |predicate: fn(&ScriptStep) -> bool| {
            steps.iter().filter(|(_, step)| predicate(step)).count()
        };
        let is_ready_update = |step: &ScriptStep| {
            matches!(
                step,
                ScriptStep::EndpointUpdate {
                    state: ListedState::Ready,
                    ..
                }
            )
        };
        (
            count(|step| matches!(step, ScriptStep::Fault { .. })),
            count(is_ready_update),
            count(|step| matches!(step, ScriptStep::KillDispatcher { .. })),
            count(|step| matches!(step, ScriptStep::StartDispatcher { .. })),
        )
    };
    assert_eq!(step_counts("hosts", "yes"), (6, 3, 0, 0));
    assert_eq!(step_counts("parents", "yes"), (8, 4, 0, 0));
    assert_eq!(step_counts("dispatchers", "no"), (8, 0, 4, 4));
}

/// With failover, clients that reach no dispatcher move to the next site; without it they receive almost no service
/// while their site is lost.
#[test]
fn clients_of_a_lost_site_with_failover_are_served_by_other_sites() {
    let service_while_lost = |moves: &str| {
        let scenario = with_fault("power", 5, &[&format!("clients.move={moves}")]);
        let (outcome, _) = run_scenario(&scenario, None);
        let seconds = &outcome.service.by_branch[0][10..15];
        seconds.iter().map(|second| second.earned).sum::<f64>()
            / seconds.iter().map(|second| second.requested).sum::<f64>()
    };
    let without_failover = service_while_lost("no");
    let with_failover = service_while_lost("yes");
    assert!(
        without_failover < 0.2 && with_failover > 0.6,
        "share served {without_failover:.3} without failover, {with_failover:.3} with failover"
    );
}

/// Fills from a site whose outbound messages are delayed reach no parent. If only inbound messages are delayed, fills
/// do reach a parent, but their responses are late.
#[test]
fn zone_partition_by_direction_delays_fills_and_not_traffic_within_the_zone() {
    let fills_during_partition = |directions: &str| {
        let scenario = with_fault("line", 7, &[&format!("trouble line.ways={directions}")]);
        let (outcome, _) = run_scenario(&scenario, None);
        assert_eq!(violated_rules(&outcome.rules), [""; 0], "{directions}");
        let zones: HashMap<&str, usize> = outcome
            .trace
            .iter()
            .filter_map(|entry| match &entry.event {
                TraceEvent::HostDeclared { host, zone, .. } => Some((host.as_str(), *zone)),
                _ => None,
            })
            .collect();
        let mut fills = 0;
        let mut attempts_within_site = 0;
        let calls: HashMap<ClientAttemptId, usize> = outcome
            .trace
            .iter()
            .filter_map(|entry| match entry.event {
                TraceEvent::RequestSent { id, dispatcher, .. } => Some((id, dispatcher)),
                _ => None,
            })
            .collect();
        for entry in outcome
            .trace
            .iter()
            .filter(|entry| (22_200_000..25_900_000).contains(&entry.at))
        {
            let TraceEvent::AttemptArrived {
                host,
                dispatcher: sender,
                id: Some(id),
                ..
            } = &entry.event
            else {
                continue;
            };
            let site = scenario.branch_of_dispatcher(calls[id]);
            if site == 1 && zones[host.as_str()] == 1 {
                attempts_within_site += 1;
            } else if site == 1 && sender.is_none() {
                fills += 1;
            }
        }
        assert!(
            attempts_within_site > 50,
            "{directions}: {attempts_within_site} attempts within the site"
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

/// A paused dispatcher sends no attempts; after the pause it continues with its state.
#[test]
fn paused_dispatcher_sends_nothing_until_it_resumes() {
    let scenario = with_fault(
        "starved",
        9,
        &["trouble starved.share=1", "trouble starved.for_s=0"],
    );
    let (outcome, _) = run_scenario(&scenario, None);
    assert_eq!(violated_rules(&outcome.rules), [""; 0]);
    let mut paused_by_dispatcher: BTreeMap<usize, bool> = BTreeMap::new();
    let mut sent_after_pause = 0;
    for entry in &outcome.trace {
        match &entry.event {
            TraceEvent::DispatcherPaused { dispatcher, paused } => {
                _ = paused_by_dispatcher.insert(*dispatcher, *paused)
            }
            // Attempts that arrive just after the start of the pause were sent before it.
            TraceEvent::AttemptArrived {
                dispatcher: Some(sender),
                ..
            } if entry.at > 30_100_000 => {
                assert_ne!(
                    paused_by_dispatcher.get(sender),
                    Some(&true),
                    "dispatcher {sender} sent an attempt at {} us while paused",
                    entry.at
                );
                sent_after_pause += (paused_by_dispatcher.get(sender) == Some(&false)) as u32;
            }
            _ => {}
        }
    }
    assert_eq!(paused_by_dispatcher.len(), scenario.dispatcher_count());
    assert!(
        sent_after_pause > 100,
        "{sent_after_pause} attempts sent after the pause"
    );
}

/// A dispatcher that is shutting down accepts no new requests and answers those that it has accepted.
#[test]
fn stopping_all_dispatchers_loses_no_accepted_request() {
    let scenario = with_fault("release", 11, &["trouble release.share=1"]);
    assert_eq!(scenario.faults[0].kind, FaultKind::StopDispatchers);
    let (outcome, _) = run_scenario(&scenario, None);
    assert_eq!(violated_rules(&outcome.rules), [""; 0]);
    let count = |predicate: fn(&TraceEvent) -> bool| {
        outcome
            .trace
            .iter()
            .filter(|entry| predicate(&entry.event))
            .count()
    };
    let stopping = count(|event| matches!(event, TraceEvent::DispatcherStopping { .. }));
    let started = count(|event| matches!(event, TraceEvent::DispatcherStarted { .. }));
    assert_eq!((stopping, started), (12, 12));
    assert_eq!(
        count(|event| matches!(
            event,
            TraceEvent::RequestEnded {
                outcome: ClientOutcome::ConnectionLost,
                ..
            }
        )),
        0
    );
}

/// Warming hosts receive work from all dispatchers. It stays within the budget for any number of dispatchers that knew
/// of the start, and exceeds the budget where each dispatcher assumes that it is the only one.
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
            let dispatcher_count = format!("fleet.dispatchers={dispatchers}").parse().unwrap();
            let scenario = load_with(&file, Some(seed), &[dispatcher_count])
                .unwrap_or_else(|error| panic!("{error}"));
            let (outcome, totals) = run_scenario(&scenario, injected_fault);
            let warm_up = &totals.warm_up_informed;
            assert!(
                warm_up.bound > 0.0,
                "no host whose start was known has warmed up"
            );
            println!("{dispatchers} dispatchers per site: {warm_up:?}");
            assert!(totals.cancellations.clients > 0);
            if injected_fault.is_none() {
                assert_eq!(
                    (
                        violated_rules(&outcome.rules),
                        judge_totals(&scenario, &totals, None).violation_counts()
                    ),
                    (vec![], vec![])
                );
                assert!(warm_up.requests <= warm_up.allowed, "{warm_up:?}");
            } else {
                assert!(violated_rules(&outcome.rules).contains(&"cold"));
                assert!(warm_up.requests > warm_up.allowed, "{warm_up:?}");
            }
        }
    }
}
