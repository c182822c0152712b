//! Twelve dispatchers as processes at three sites: a site is lost with everything it has and returns empty, another one is
//! partitioned, some are paused (SIGSTOP), half are stopped gracefully and started again. Judged from the sockets.
use std::process::Command;

/// Status 2 says that the machine was too busy to judge anything: the day is played again, three times at most.
fn play() -> (i32, serde_json::Value) {
    let scenario = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios/site-loss.ini");
    for _ in 0..3 {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pointspindle"));
        command.args([
            "--log",
            "error",
            "lab",
            "fleet",
            scenario,
            "--seconds",
            "14",
            "--json",
        ]);
        command.args(["--set", "day.rate=60", "--seed", "29"]);
        println!("seed 29, 14 s, twelve dispatchers");
        let out = command.output().unwrap();
        let status = out.status.code().unwrap_or(-1);
        let stdout = String::from_utf8_lossy(&out.stdout);
        if status != 2 {
            let why = String::from_utf8_lossy(&out.stderr);
            return (
                status,
                serde_json::from_str(&stdout).unwrap_or_else(|e| panic!("{e}: {stdout} {why}")),
            );
        }
        println!("{}", String::from_utf8_lossy(&out.stderr));
    }
    panic!("the machine is too busy to judge anything");
}

#[test]
fn site_loss_and_partition_keep_rules_and_sums_over_all_processes() {
    let (status, day) = play();
    for rule in day["rules"].as_array().unwrap() {
        assert_eq!(rule["breaches"], 0, "{rule:#}");
    }
    let checked = |name: &str| {
        let mut rules = day["rules"].as_array().unwrap().iter();
        rules.find(|r| r["name"] == name).unwrap()["checked"]
            .as_u64()
            .unwrap()
    };
    for (name, least) in [
        ("answers", 500),
        ("effects", 400),
        ("cold", 20),
        ("purges", 10),
        ("sums", 4),
    ] {
        assert!(
            checked(name) >= least,
            "{name} was never exercised: {day:#}"
        );
    }
    assert_eq!((status, &day["dispatchers"]), (0, &12.into()), "{day:#}");
    let sites = day["sums"]["sites"].as_array().unwrap();
    let struck: Vec<bool> = sites
        .iter()
        .map(|s| s["struck"].as_bool().unwrap())
        .collect();
    assert_eq!(struck, [true, true, false]);
    // The sites were really hit: a run in which nothing happened would keep every rule as well.
    assert!(sites[0]["worst"].as_f64().unwrap() < 0.9, "{day:#}");
}
