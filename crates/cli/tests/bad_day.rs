//! Short runs of the bad-day scenario over sockets. No rule is violated without an injected fault, and each injected
//! fault is reported as a violation of its own rule and kind.
use std::process::Command;
use std::sync::{Mutex, MutexGuard, PoisonError};

const RULES: [&str; 5] = ["answers", "effects", "drains", "cold", "purges"];

/// Duration of a run; it covers every fault of the scenario, at a load that two cores can carry.
const SECONDS: &str = "14";

/// Runs the scenario. Status 2 means that the machine was too busy for a verdict; the run is then repeated, for three
/// runs at most.
fn run_until_judged(fault: Option<&str>) -> (i32, serde_json::Value) {
    for _ in 0..2 {
        let out = run_without_etcd(fault);
        if out.0 != 2 {
            return out;
        }
    }
    run_without_etcd(fault)
}

fn run_without_etcd(fault: Option<&str>) -> (i32, serde_json::Value) {
    run(fault, false)
}

fn run(fault: Option<&str>, etcd: bool) -> (i32, serde_json::Value) {
    let scenario = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios/bad-day.ini");
    let mut command = Command::new(env!("CARGO_BIN_EXE_pointspindle"));
    command.args([
        "--log",
        "error",
        "lab",
        "run",
        scenario,
        "--seconds",
        SECONDS,
        "--json",
        "--seed",
        "7",
    ]);
    if let Some(fault) = fault {
        command.args(["--inject-fault", fault]);
    }
    if etcd {
        command.arg("--etcd");
    }
    println!("seed 7, {SECONDS} s, fault {fault:?}, etcd {etcd}");
    let out = command.output().unwrap();
    let stdout = String::from_utf8_lossy(&out.stdout);
    let status = out.status.code().unwrap_or(-1);
    if status == 2 {
        println!("{}", String::from_utf8_lossy(&out.stderr));
        return (2, serde_json::Value::Null);
    }
    let json = serde_json::from_str(&stdout)
        .unwrap_or_else(|e| panic!("{e}: {stdout} {}", String::from_utf8_lossy(&out.stderr)));
    (status, json)
}

fn rule<'a>(report: &'a serde_json::Value, name: &str) -> &'a serde_json::Value {
    report["rules"]
        .as_array()
        .unwrap()
        .iter()
        .find(|r| r["name"] == name)
        .unwrap()
}

/// Lets one run execute at a time: the runs share the machine's cores, and delays of the testbed itself must not count as
/// violations.
static ONE_RUN_AT_A_TIME: Mutex<()> = Mutex::new(());

fn wait_for_turn() -> MutexGuard<'static, ()> {
    ONE_RUN_AT_A_TIME
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}

#[test]
fn no_rule_is_violated_without_injected_fault() {
    let _turn = wait_for_turn();
    let (status, report) = run_until_judged(None);
    assert_eq!(status, 0, "{report:#}");
    for name in RULES {
        let rule = rule(&report, name);
        assert_eq!(rule["breaches"], 0, "{rule:#}");
        assert!(
            rule["checked"].as_u64().unwrap() >= 10,
            "rule checked too rarely: {rule:#}"
        );
    }
    assert!(report["service"].as_f64().unwrap() > 0.3, "{report:#}");
}

/// Runs the scenario with a fault and checks that it violates this rule with this kind, and no other rule.
fn check_injected_fault(fault: &str, name: &str, kind: &str) {
    let _turn = wait_for_turn();
    let (status, report) = run_until_judged(Some(fault));
    assert_eq!(status, 1, "{fault}: {report:#}");
    assert!(
        rule(&report, name)["kinds"][kind].as_u64().unwrap_or(0) > 0,
        "{fault}: {report:#}"
    );
    for other in RULES {
        assert!(
            other == name || rule(&report, other)["breaches"] == 0,
            "{fault} violated {other}: {report:#}"
        );
    }
}

#[test]
fn withheld_drain_is_found() {
    check_injected_fault("withhold-drain", "drains", "drain");
}

#[test]
fn ignored_purge_is_found() {
    check_injected_fault("ignore-purge", "purges", "purge");
}

#[test]
fn duplicate_attempts_are_found() {
    check_injected_fault("duplicate-attempts", "effects", "double");
}

#[test]
fn hidden_restart_is_found() {
    check_injected_fault("hide-restart", "cold", "cold");
}

#[test]
fn dropped_answers_are_found() {
    check_injected_fault("drop-answers", "answers", "silent");
}

#[test]
fn delayed_answers_are_found() {
    check_injected_fault("delay-answers", "answers", "late");
}

/// Endpoint lists and purges come from an etcd whose streams break repeatedly.
#[test]
fn drains_and_purges_are_respected_through_unreliable_etcd() {
    let _turn = wait_for_turn();
    let judged_run = (0..3)
        .map(|_| run(None, true))
        .find(|(status, _)| *status != 2);
    let (status, report) =
        judged_run.expect("the machine was too busy for a verdict in three runs");
    assert_eq!(status, 0, "{report:#}");
    for name in ["drains", "purges"] {
        assert!(
            rule(&report, name)["checked"].as_u64().unwrap() >= 10,
            "rule checked too rarely: {report:#}"
        );
    }
}
