//! The bad day in a short form, on sockets: the rules are kept, and each injected fault is found under its own name.
use std::process::Command;
use std::sync::{Mutex, MutexGuard, PoisonError};

const RULES: [&str; 5] = ["answers", "effects", "drains", "cold", "purges"];

/// Small enough for two cores, long enough for every fault of the script.
const SECONDS: &str = "14";

/// Status 2 says that the machine was too busy to judge anything: the day is played again, three times at most.
fn play(fault: Option<&str>) -> (i32, serde_json::Value) {
    for _ in 0..2 {
        let out = once(fault);
        if out.0 != 2 {
            return out;
        }
    }
    once(fault)
}

fn once(fault: Option<&str>) -> (i32, serde_json::Value) {
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

fn rule<'a>(day: &'a serde_json::Value, name: &str) -> &'a serde_json::Value {
    day["rules"]
        .as_array()
        .unwrap()
        .iter()
        .find(|r| r["name"] == name)
        .unwrap()
}

/// The runs share the machine's cores, and the testbed must not be what is late: one after another.
static ONE_RUN_AT_A_TIME: Mutex<()> = Mutex::new(());

fn wait_for_turn() -> MutexGuard<'static, ()> {
    ONE_RUN_AT_A_TIME
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}

#[test]
fn bad_day_keeps_all_rules() {
    let _turn = wait_for_turn();
    let (status, day) = play(None);
    assert_eq!(status, 0, "{day:#}");
    for name in RULES {
        let rule = rule(&day, name);
        assert_eq!(rule["breaches"], 0, "{rule:#}");
        assert!(
            rule["checked"].as_u64().unwrap() >= 10,
            "never exercised: {rule:#}"
        );
    }
    assert!(day["service"].as_f64().unwrap() > 0.3, "{day:#}");
}

/// Plays the day with a fault: it breaks this rule in this way, and no other rule.
fn check_injected_fault(fault: &str, name: &str, kind: &str) {
    let _turn = wait_for_turn();
    let (status, day) = play(Some(fault));
    assert_eq!(status, 1, "{fault}: {day:#}");
    assert!(
        rule(&day, name)["kinds"][kind].as_u64().unwrap_or(0) > 0,
        "{fault}: {day:#}"
    );
    for other in RULES {
        assert!(
            other == name || rule(&day, other)["breaches"] == 0,
            "{fault} broke {other}: {day:#}"
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

/// Lists and purges through an etcd whose streams break again and again.
#[test]
fn bad_day_through_unreliable_etcd_keeps_drains_and_purges() {
    let _turn = wait_for_turn();
    let played = (0..3)
        .map(|_| run(None, true))
        .find(|(status, _)| *status != 2);
    let (status, day) = played.expect("the machine is too busy to judge anything");
    assert_eq!(status, 0, "{day:#}");
    for name in ["drains", "purges"] {
        assert!(
            rule(&day, name)["checked"].as_u64().unwrap() >= 10,
            "never exercised: {day:#}"
        );
    }
}
