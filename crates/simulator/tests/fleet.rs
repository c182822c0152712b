//! Days of several sites in virtual time: what strikes a site as a whole, dispatchers that stand still or are told to stop,
//! and the sums over all of them.
use pointspindle_audit::sums::{judge, measure_totals, FleetTotals};
use pointspindle_audit::trace::{ClientAttemptId, ClientOutcome, TraceEntry, TraceEvent};
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

/// The day with this trouble alone.
fn only(name: &str, seed: u64, sets: &[&str]) -> Scenario {
    let mut day = scenario(seed, sets);
    day.faults.retain(|t| t.name == name);
    assert_eq!(day.faults.len(), 1, "{name}");
    day
}

fn play(day: &Scenario, plant: Option<InjectedFault>) -> (Outcome, FleetTotals) {
    println!("{}, seed {}", day.name, day.seed);
    let outcome = run(day, plant).unwrap();
    let sums = measure_totals(day, &outcome.service, &outcome.trace);
    (outcome, sums)
}

fn broken(rules: &[RuleVerdict]) -> Vec<&str> {
    rules
        .iter()
        .filter(|r| !r.violations.is_empty())
        .map(|r| r.name.as_str())
        .collect()
}

#[test]
fn the_whole_day_keeps_every_rule_and_every_bound_and_the_sums_are_the_same_each_time() {
    for seed in [29, 30, 31] {
        let day = scenario(seed, &[]);
        let (outcome, mine) = play(&day, None);
        let (_, quiet) = play(&day.without_site_faults(), None);
        let quiet_of_day = measure_totals(
            &day,
            &run(&day.without_site_faults(), None).unwrap().service,
            &[],
        );
        assert_eq!(quiet.sites, [], "nothing strikes a site of the twin");
        let judged = judge(&day, &mine, Some(&quiet_of_day));
        assert!(judged.cases >= 4, "{judged:?}");
        assert_eq!(
            (broken(&outcome.rules), &judged.violations[..]),
            (vec![], &[][..])
        );
        assert_eq!(mine, play(&day, None).1);
    }
}

/// Each dispatcher takes the whole of every part: a returning site is pushed over, and its clients are served worse.
#[test]
fn dispatchers_that_each_count_themselves_alone_are_found() {
    let day = scenario(1, &["day.rate=250"]);
    let (well, fair) = play(&day, None);
    let (planted, unfair) = play(&day, Some(InjectedFault::MiscountDispatchers));
    assert_eq!(
        (broken(&well.rules), judge(&day, &fair, None).kinds()),
        (vec![], vec![])
    );
    assert_eq!(broken(&planted.rules), ["cold"]);
    assert_eq!(
        judge(&day, &unfair, None).kinds(),
        [("fairness".to_owned(), 1)]
    );
    assert!(unfair.fairness < fair.fairness);
}

#[test]
fn a_loss_takes_what_it_says_and_the_list_tells_it_or_not() {
    let steps = |takes: &str, told: &str| {
        let takes = format!("trouble power.takes={takes}");
        let day = only("power", 3, &[&takes, &format!("trouble power.told={told}")]);
        let hosts = day.hosts(|n| format!("host-{n}"));
        let steps = Script::generate(&day, &hosts, |n| format!("host-{n}")).steps;
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
    assert_eq!(steps("hosts", "yes"), (6, 3, 0, 0));
    assert_eq!(steps("parents", "yes"), (8, 4, 0, 0));
    assert_eq!(steps("dispatchers", "no"), (8, 0, 4, 4));
}

/// Who finds nobody goes to the next site; without that the lost site's clients get nothing while it is away.
#[test]
fn clients_of_a_lost_site_are_served_by_the_others() {
    let away = |moves: &str| {
        let day = only("power", 5, &[&format!("clients.move={moves}")]);
        let (outcome, _) = play(&day, None);
        let seconds = &outcome.service.by_branch[0][10..15];
        seconds.iter().map(|s| s.earned).sum::<f64>()
            / seconds.iter().map(|s| s.requested).sum::<f64>()
    };
    let (stay, go) = (away("no"), away("yes"));
    assert!(stay < 0.2 && go > 0.6, "{stay:.3} and {go:.3}");
}

/// Fills from a site that nothing leaves reach no parent; where only answers are held up, they do, and come to nothing.
#[test]
fn a_cut_holds_up_the_way_it_is_told_to_and_what_is_within_goes_on() {
    let reached = |ways: &str| {
        let day = only("line", 7, &[&format!("trouble line.ways={ways}")]);
        let (outcome, _) = play(&day, None);
        assert_eq!(broken(&outcome.rules), [""; 0], "{ways}");
        let zones: HashMap<&str, usize> = outcome
            .trace
            .iter()
            .filter_map(|s| match &s.event {
                TraceEvent::HostDeclared { host, zone, .. } => Some((host.as_str(), *zone)),
                _ => None,
            })
            .collect();
        let (mut fills, mut within) = (0, 0);
        let calls: HashMap<ClientAttemptId, usize> = outcome
            .trace
            .iter()
            .filter_map(|s| match s.event {
                TraceEvent::RequestSent { id, dispatcher, .. } => Some((id, dispatcher)),
                _ => None,
            })
            .collect();
        for sight in outcome
            .trace
            .iter()
            .filter(|s| (22_200_000..25_900_000).contains(&s.at))
        {
            let TraceEvent::AttemptArrived {
                host,
                dispatcher: by,
                id: Some(id),
                ..
            } = &sight.event
            else {
                continue;
            };
            let site = day.branch_of_dispatcher(calls[id]);
            if site == 1 && zones[host.as_str()] == 1 {
                within += 1;
            } else if site == 1 && by.is_none() {
                fills += 1;
            }
        }
        assert!(within > 50, "{ways}: {within} attempts within the site");
        fills
    };
    assert_eq!((reached("both"), reached("out")), (0, 0));
    assert!(reached("in") > 5);
}

/// It does nothing while it stands still, and goes on with what it had.
#[test]
fn a_dispatcher_that_stands_still_sends_nothing_and_wakes() {
    let day = only(
        "starved",
        9,
        &["trouble starved.share=1", "trouble starved.for_s=0"],
    );
    let (outcome, _) = play(&day, None);
    assert_eq!(broken(&outcome.rules), [""; 0]);
    let mut hung: BTreeMap<usize, bool> = BTreeMap::new();
    let mut after = 0;
    for sight in &outcome.trace {
        match &sight.event {
            TraceEvent::DispatcherPaused {
                dispatcher,
                paused: now,
            } => _ = hung.insert(*dispatcher, *now),
            // Sent a way's time before it stood still.
            TraceEvent::AttemptArrived {
                dispatcher: Some(by),
                ..
            } if sight.at > 30_100_000 => {
                assert_ne!(
                    hung.get(by),
                    Some(&true),
                    "dispatcher {by} sent at {}",
                    sight.at
                );
                after += (hung.get(by) == Some(&false)) as u32;
            }
            _ => {}
        }
    }
    assert_eq!(hung.len(), day.dispatcher_count());
    assert!(after > 100, "{after}");
}

/// Told to stop, it takes nothing new and answers what it has.
#[test]
fn a_release_of_all_dispatchers_loses_no_accepted_request() {
    let day = only("release", 11, &["trouble release.share=1"]);
    assert_eq!(day.faults[0].kind, FaultKind::StopDispatchers);
    let (outcome, _) = play(&day, None);
    assert_eq!(broken(&outcome.rules), [""; 0]);
    let of =
        |fits: fn(&TraceEvent) -> bool| outcome.trace.iter().filter(|s| fits(&s.event)).count();
    let (stopped, born) = (
        of(|s| matches!(s, TraceEvent::DispatcherStopping { .. })),
        of(|s| matches!(s, TraceEvent::DispatcherStarted { .. })),
    );
    assert_eq!((stopped, born), (12, 12));
    assert_eq!(
        of(|s| matches!(
            s,
            TraceEvent::RequestEnded {
                outcome: ClientOutcome::ConnectionLost,
                ..
            }
        )),
        0
    );
}

/// Sums of a run made by hand: two dispatchers at one host, one of them three times at once.
#[test]
fn sums_are_counted_from_what_reached_the_members() {
    let day = only("power", 1, &["trouble power.at_s=20"]);
    let id = |call| ClientAttemptId { call, attempt: 0 };
    let host = || "a:1".to_owned();
    let mut sights = Vec::new();
    let mut at = |at, saw| sights.push(TraceEntry { at, event: saw });
    let (role, zone, weight) = (pointspindle_cache_model::Role::Cache, 0, 2.0);
    at(
        0,
        TraceEvent::HostDeclared {
            host: host(),
            role,
            zone,
            weight,
        },
    );
    let asked = |call, dispatcher| TraceEvent::RequestSent {
        id: id(call),
        dispatcher,
        class: 0,
        object_number: 0,
        group: 0,
        part: 0,
        deadline: 9_000_000,
    };
    let reached = |call, by, attempt| TraceEvent::AttemptArrived {
        host: host(),
        dispatcher: Some(by),
        id: Some(id(call)),
        attempt,
        source: None,
        class: 0,
    };
    let gone = |call, by| TraceEvent::AttemptEnded {
        host: host(),
        id: Some(id(call)),
        attempt: 0,
        dispatcher: Some(by),
        outcome: pointspindle_audit::trace::AttemptOutcome::Completed,
    };
    for call in 0..40 {
        at(1_000_000 + call, asked(call, (call % 4 == 0) as usize));
        at(1_100_000 + call, reached(call, (call % 4 == 0) as usize, 0));
        if call < 10 {
            at(1_200_000 + call, reached(call, (call % 4 == 0) as usize, 1));
        }
    }
    for call in 0..40 {
        at(2_300_000 + call, gone(call, (call % 4 == 0) as usize));
        let end = match call % 4 {
            0 => ClientOutcome::Rejected { retry_after: None },
            _ => ClientOutcome::Served {
                version: Some(1),
                bytes: 1,
                stale: false,
            },
        };
        at(
            2_300_000 + call,
            TraceEvent::RequestEnded {
                id: id(call),
                outcome: end,
            },
        );
    }
    sights.sort_by_key(|s| s.at);
    let sums = measure_totals(&day, &Default::default(), &sights);
    let cache = &sums.roles[0];
    assert_eq!(
        (cache.under_way.count, cache.under_way.dispatchers),
        (50, 2)
    );
    assert_eq!(
        (cache.under_way.by_weight, cache.attempts.count),
        (25.0, 50)
    );
    assert_eq!(
        (sums.second_attempts, sums.second_attempts_worst),
        (0.25, 0.25)
    );
    // One dispatcher served all of its tries, the other none: half of 1.
    assert_eq!(
        (sums.fairness, sums.least_dispatcher, sums.least_served),
        (0.5, 1, 0.0)
    );
}

/// An attempt that reaches a member after its client has left: counted, and over 0.1 s (and the rig's slack) a breach.
#[test]
fn what_begins_after_its_client_has_left_is_found() {
    let day = only("power", 1, &[]);
    let slack = day.limits.rules.timing_tolerance;
    for (after, breaches) in [(50_000, 0), (100_000 + slack + 1_000, 1)] {
        let id = ClientAttemptId {
            call: 1,
            attempt: 0,
        };
        let asked = TraceEvent::RequestSent {
            id,
            dispatcher: 0,
            class: 0,
            object_number: 0,
            group: 0,
            part: 0,
            deadline: 9_000_000,
        };
        let reached = TraceEvent::AttemptArrived {
            host: "a:1".into(),
            dispatcher: Some(0),
            id: Some(id),
            attempt: 0,
            source: None,
            class: 0,
        };
        let sights = [
            TraceEntry {
                at: 1_000_000,
                event: asked,
            },
            TraceEntry {
                at: 2_000_000,
                event: TraceEvent::RequestEnded {
                    id,
                    outcome: ClientOutcome::Cancelled,
                },
            },
            TraceEntry {
                at: 2_000_000 + after,
                event: reached,
            },
        ];
        let sums = measure_totals(&day, &Default::default(), &sights);
        let left = &sums.left;
        assert_eq!((left.clients, left.unsent, left.attempts), (1, 1, 1));
        assert_eq!(left.longest_ms, after as f64 / 1e3);
        let kinds = judge(&day, &sums, None).kinds();
        assert_eq!(
            kinds.iter().filter(|(kind, _)| kind == "left").count(),
            breaches,
            "{kinds:?}"
        );
    }
}

/// Cold hosts under the sum of all, whatever the dispatchers' number: within what they bear where the start was known, and over it
/// where each thinks that it is alone.
#[test]
fn cold_hosts_are_within_the_sum_of_all_and_a_wrong_count_shows() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/cold-sums.ini");
    for (dispatchers, plant) in [
        (7, None),
        (10, None),
        (100, None),
        (10, Some(InjectedFault::MiscountDispatchers)),
    ] {
        for seed in [41, 42, 43] {
            let set = format!("fleet.dispatchers={dispatchers}").parse().unwrap();
            let day = load_with(&file, Some(seed), &[set]).unwrap_or_else(|e| panic!("{e}"));
            let (outcome, sums) = play(&day, plant);
            let cold = &sums.cold;
            assert!(cold.most > 0.0, "there was a cold host that was known of");
            println!("{dispatchers} a site: {cold:?}");
            assert!(sums.left.clients > 0);
            if plant.is_none() {
                assert_eq!(
                    (broken(&outcome.rules), judge(&day, &sums, None).kinds()),
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
