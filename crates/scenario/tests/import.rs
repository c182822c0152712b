//! Import of scenarios of the bench: the imported scenario is valid and has the same content.
#![recursion_limit = "512"]
use pointspindle_scenario::import::{import, Size};
use pointspindle_scenario::script::{FaultKind, ListedState};
use pointspindle_scenario::{parse, Script, ScriptStep, Traffic};
use serde_json::json;

/// Returns a bench scenario with two classes, two hubs and three branches, as JSON.
fn bench_scenario(faults: serde_json::Value) -> String {
    let server = |zone: usize, kind: usize, weight: f64| json!({"zone": zone, "kind": kind, "weight": weight, "up": true});
    let mut servers: Vec<_> = (0..12).map(|n| server(2 + n / 4, 0, 5.0)).collect();
    servers.extend([server(0, 1, 12.0), server(1, 1, 12.0), server(0, 2, 1.0)]);
    let class = |name: &str, work: f64, fresh: f64| {
        let class = json!({"name": name, "share": 2.0, "work": work, "aim": 300e3, "aim_stretch": 2.0, "deadline": 2e6,
            "worth": 1.0, "late_worth": 0.2, "effect": "safe", "window": 0.0, "write": false});
        let stock = json!({"fresh": fresh, "grace": 2.0 * fresh, "local": 0.1, "objects": 200.0, "once": 0.02, "parts": 3.0,
            "sigma": 0.8, "stale_worth": 0.7, "zipf": 1.0});
        (class, stock)
    };
    let video = class("video", 200e3, 0.0);
    let page = class("page", 40e3, 9e6);
    json!({
        "site": "own", "kind": "test", "length": 30e6, "zones": ["h1", "h2", "b1", "b2", "b3"], "net": {"same": 300.0},
        "traffic": {"load": 0.5}, "clients": {"retries": 2.0, "backoff_us": 90e3, "honour": 0.8},
        "discovery": {"notice": 900e3, "add": 1.4e6}, "allow": {"max_attempts": 5}, "drain_grace": 1e6,
        "fall_multiple": 2.0, "fall_for": 2e6, "classes": [video.0, page.0],
        "tiers": [{"stated_cold_from": 0.2, "stated_cold": 15e6,
            "kinds": [{"cores": 5.0, "slots": 10.0, "queue": 8.0, "thrash": 0.1}]}],
        "servers": servers, "balancers": [server(2, 0, 1.0), server(3, 0, 1.0), server(4, 0, 1.0)],
        "troubles": faults,
        "fam": {"abort_fill": true, "direct": false, "far": 30e3, "fill_timeout": 1.5e6, "fills_per_core": 4.0, "groups": 16,
            "hubs": 2, "joins": true, "kb_per_s": 5000.0, "link": [2.0, 2.0, 9.0, 9.0, 9.0], "near": 6e3,
            "origin_fall": [2.5, 3e6, 4e6], "origin_kind": 2, "origin_link": 30.0, "origin_time": 40e3, "pace": 2.5,
            "parent_cold": [0.08, 18e6], "parent_fall": 2.0, "parent_kind": 1, "parent_store": 2e8, "purge_done": 6e6,
            "purge_grace": 5e5, "purge_tell": 2e5, "purges": 0.8, "retries": [1.0, 0.0], "room": [0.0, 0.0, 4e7, 4e7, 4e7],
            "siblings": "location", "stock": [video.1, page.1], "tells": "all", "tells_size": true}
    })
    .to_string()
}

/// Kinds of bench faults that can be converted, with the resulting kinds.
const CONVERTED: [(&str, FaultKind); 15] = [
    ("crash", FaultKind::Crash),
    ("mass_restart", FaultKind::Crash),
    ("hang", FaultKind::Hang),
    ("fast_errors", FaultKind::FailRequests),
    ("answer_lost", FaultKind::DropResponses),
    ("ageing", FaultKind::Ageing),
    ("zone_loss", FaultKind::ZoneLoss),
    ("origin_slow", FaultKind::SlowDown),
    ("flush", FaultKind::Purge),
    ("hot_key", FaultKind::HotObject),
    ("heavy_tail", FaultKind::OversizedObjects),
    ("scan", FaultKind::OneOffObjects),
    ("deploy", FaultKind::Deploy),
    ("preempt", FaultKind::Deploy),
    ("balancer_roll", FaultKind::KillDispatchers),
];

/// Returns a bench fault. Kinds that act in waves have two waves of three servers each.
fn bench_fault(kind: &str) -> serde_json::Value {
    let waves = match kind {
        "deploy" | "preempt" | "balancer_roll" => json!([
            {"at": 5e6, "stop": [0, 1, 2], "start": [20]},
            {"at": 8e6, "stop": [4, 5, 6], "start": [21]}
        ]),
        _ => json!([]),
    };
    json!({"kind": kind, "at": 5e6, "len": 8e6, "size": 0.4, "extra": 2.0, "on": [0, 1, 2], "which": 3, "steps": waves})
}

#[test]
fn import_converts_or_reports_each_bench_fault() {
    let mut faults: Vec<_> = CONVERTED
        .iter()
        .map(|(kind, _)| bench_fault(kind))
        .collect();
    faults.push(bench_fault("report_late"));
    faults.push(bench_fault("earthquake"));
    for size in [Size::Loopback, Size::Full] {
        let (text, unsupported_faults) = import(&bench_scenario(json!(faults)), size).unwrap();
        assert_eq!(unsupported_faults.len(), 2, "{unsupported_faults:?}");
        let scenario =
            parse("imported.ini", &text, None).unwrap_or_else(|error| panic!("{error}\n{text}"));
        let kinds: Vec<FaultKind> = scenario.faults.iter().map(|fault| fault.kind).collect();
        let expected: Vec<FaultKind> = CONVERTED.iter().map(|(_, kind)| *kind).collect();
        assert_eq!(kinds, expected);
        let deploy = scenario
            .faults
            .iter()
            .find(|fault| fault.kind == FaultKind::Deploy)
            .unwrap();
        assert!((deploy.target.share - 0.5).abs() < 0.01 && deploy.severity == 2.0);
        assert_eq!(scenario.fleet.branches, 3);
        assert_eq!(scenario.fleet.caches_per_branch, 4);
        assert_eq!(scenario.fleet.parents, 2);
        assert_eq!(scenario.limits.rules.purge_deadline, 6_000_000);
        let page = &scenario.workload.classes[1];
        assert_eq!(page.freshness_lifetime, 9_000_000);
        assert_eq!(page.stale_if_error, 18_000_000);
    }
}

/// The load of the cache hosts' links must be that of the bench's scenario (0.5) at either size.
#[test]
fn imported_scenario_at_each_size_keeps_link_load() {
    for size in [Size::Loopback, Size::Full] {
        let (text, _) = import(&bench_scenario(json!(null)), size).unwrap();
        let scenario = parse("imported.ini", &text, Some(3)).unwrap();
        let fleet = &scenario.fleet;
        let hosts = (fleet.branches * fleet.caches_per_branch) as f64;
        let links = fleet.cache.spec.weight * hosts;
        let calls = Traffic::generate(&scenario).calls;
        let bytes: u64 = calls.iter().map(|call| call.size).sum();
        let load = bytes as f64 / scenario.network.bytes_per_s / scenario.duration_s / links;
        assert!((0.42..0.58).contains(&load), "{size:?}: {load}");
    }
    let error = import("{\"site\": 3}", Size::Full).unwrap_err().to_string();
    assert!(error.contains("not a valid bench scenario"), "{error}");
}

/// A host must be drained for the configured time before its successor is ready.
#[test]
fn imported_deploy_drains_hosts_before_successors_are_ready() {
    let deploy = json!([{"kind": "deploy", "at": 5e6, "len": 8e6, "extra": 2.0, "steps": [{"at": 5e6, "stop": [0, 1], "start": [20, 21]}]}]);
    let (text, _) = import(&bench_scenario(deploy), Size::Loopback).unwrap();
    let scenario = parse("imported.ini", &text, Some(3)).unwrap();
    let address = |n: usize| format!("127.0.0.1:{}", 1000 + n);
    let hosts = scenario.hosts(address);
    let script = Script::generate(&scenario, &hosts, address);
    assert_eq!(script.added_hosts.len(), 2);
    let updates_to = |state: ListedState| {
        script
            .steps
            .iter()
            .filter_map(move |(at, step)| match step {
                ScriptStep::EndpointUpdate { host, state: to } if *to == state => {
                    Some((*at, *host))
                }
                _ => None,
            })
    };
    let drain_starts: Vec<u64> = updates_to(ListedState::Draining)
        .map(|(at, _)| at)
        .collect();
    for (n, _) in script.added_hosts.iter().enumerate() {
        let successor = hosts.len() + n;
        let (ready, _) = updates_to(ListedState::Ready)
            .find(|(_, host)| *host == successor)
            .unwrap();
        assert_eq!(ready, drain_starts[n] + 2_000_000);
    }
}
