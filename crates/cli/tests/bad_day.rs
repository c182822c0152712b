//! The bad day in a short form, on sockets: the rules are kept, and each planted fault is found under its own name.
use std::process::Command;

/// Small enough for two cores, long enough for every trouble of the script.
const SECONDS: &str = "14";

/// Status 2 says that the machine was too busy to judge anything: the day is played again, three times at most.
fn play(plant: Option<&str>) -> (i32, serde_json::Value) {
    for _ in 0..2 {
        let out = once(plant);
        if out.0 != 2 {
            return out;
        }
    }
    once(plant)
}

fn once(plant: Option<&str>) -> (i32, serde_json::Value) {
    run(plant, false)
}

fn run(plant: Option<&str>, etcd: bool) -> (i32, serde_json::Value) {
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
    if let Some(plant) = plant {
        command.args(["--plant", plant]);
    }
    if etcd {
        command.arg("--etcd");
    }
    println!("seed 7, {SECONDS} s, plant {plant:?}, etcd {etcd}");
    let out = command.output().unwrap();
    let told = String::from_utf8_lossy(&out.stdout);
    let status = out.status.code().unwrap_or(-1);
    if status == 2 {
        println!("{}", String::from_utf8_lossy(&out.stderr));
        return (2, serde_json::Value::Null);
    }
    let json = serde_json::from_str(&told)
        .unwrap_or_else(|e| panic!("{e}: {told} {}", String::from_utf8_lossy(&out.stderr)));
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

/// One after another: they share the machine's cores, and the rig must not be what is late.
#[test]
fn the_rules_are_kept_and_every_planted_fault_is_found() {
    let (status, day) = play(None);
    assert_eq!(status, 0, "{day:#}");
    for name in ["answers", "effects", "drains", "cold", "purges"] {
        let rule = rule(&day, name);
        assert_eq!(rule["breaches"], 0, "{rule:#}");
        assert!(
            rule["checked"].as_u64().unwrap() >= 10,
            "never exercised: {rule:#}"
        );
    }
    assert!(day["service"].as_f64().unwrap() > 0.3, "{day:#}");
    for (plant, name, kind) in [
        ("drain", "drains", "drain"),
        ("purge", "purges", "purge"),
        ("double", "effects", "double"),
        ("cold", "cold", "cold"),
        ("silent", "answers", "silent"),
        ("late", "answers", "late"),
    ] {
        let (status, day) = play(Some(plant));
        assert_eq!(status, 1, "{plant}: {day:#}");
        assert!(
            rule(&day, name)["kinds"][kind].as_u64().unwrap_or(0) > 0,
            "{plant}: {day:#}"
        );
        for other in ["answers", "effects", "drains", "cold", "purges"] {
            assert!(
                other == name || rule(&day, other)["breaches"] == 0,
                "{plant} broke {other}: {day:#}"
            );
        }
    }
    // Lists and purges through an etcd whose streams break again and again.
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
