//! A bench day of our own making becomes a scenario that reads back and says the same.
#![recursion_limit = "512"]
use pointspindle_scenario::import::{import, Size};
use pointspindle_scenario::script::{FaultKind, ListedState};
use pointspindle_scenario::{parse, Script, ScriptStep, Traffic};
use serde_json::json;

fn day(troubles: serde_json::Value) -> String {
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
    let (video, page) = (class("video", 200e3, 0.0), class("page", 40e3, 9e6));
    json!({
        "site": "own", "kind": "test", "length": 30e6, "zones": ["h1", "h2", "b1", "b2", "b3"], "net": {"same": 300.0},
        "traffic": {"load": 0.5}, "clients": {"retries": 2.0, "backoff_us": 90e3, "honour": 0.8},
        "discovery": {"notice": 900e3, "add": 1.4e6}, "allow": {"max_attempts": 5}, "drain_grace": 1e6,
        "fall_multiple": 2.0, "fall_for": 2e6, "classes": [video.0, page.0],
        "tiers": [{"stated_cold_from": 0.2, "stated_cold": 15e6,
            "kinds": [{"cores": 5.0, "slots": 10.0, "queue": 8.0, "thrash": 0.1}]}],
        "servers": servers, "balancers": [server(2, 0, 1.0), server(3, 0, 1.0), server(4, 0, 1.0)],
        "troubles": troubles,
        "fam": {"abort_fill": true, "direct": false, "far": 30e3, "fill_timeout": 1.5e6, "fills_per_core": 4.0, "groups": 16,
            "hubs": 2, "joins": true, "kb_per_s": 5000.0, "link": [2.0, 2.0, 9.0, 9.0, 9.0], "near": 6e3,
            "origin_fall": [2.5, 3e6, 4e6], "origin_kind": 2, "origin_link": 30.0, "origin_time": 40e3, "pace": 2.5,
            "parent_cold": [0.08, 18e6], "parent_fall": 2.0, "parent_kind": 1, "parent_store": 2e8, "purge_done": 6e6,
            "purge_grace": 5e5, "purge_tell": 2e5, "purges": 0.8, "retries": [1.0, 0.0], "room": [0.0, 0.0, 4e7, 4e7, 4e7],
            "siblings": "location", "stock": [video.1, page.1], "tells": "all", "tells_size": true}
    })
    .to_string()
}

#[test]
fn every_kind_of_trouble_is_carried_over_or_named() {
    let trouble = |kind: &str, more: serde_json::Value| {
        let mut t = json!({"kind": kind, "at": 5e6, "len": 8e6, "size": 0.4, "extra": 2.0, "on": [0, 1, 2], "which": 3, "steps": []});
        t.as_object_mut()
            .unwrap()
            .extend(more.as_object().unwrap().clone());
        t
    };
    let none = json!({});
    let waves = json!({"steps": [{"at": 5e6, "stop": [0, 1, 2], "start": [20]}, {"at": 8e6, "stop": [4, 5, 6], "start": [21]}]});
    let kinds = [
        ("crash", FaultKind::Crash),
        ("mass_restart", FaultKind::Crash),
        ("hang", FaultKind::Hang),
        ("fast_errors", FaultKind::FailRequests),
        ("answer_lost", FaultKind::DropResponses),
        ("ageing", FaultKind::Ageing),
        ("zone_loss", FaultKind::ZoneLoss),
        ("origin_slow", FaultKind::SlowDown),
        ("flush", FaultKind::Purge),
        ("hot_key", FaultKind::Hot),
        ("heavy_tail", FaultKind::Oversized),
        ("scan", FaultKind::OneOff),
        ("deploy", FaultKind::Deploy),
        ("preempt", FaultKind::Deploy),
        ("balancer_roll", FaultKind::KillDispatchers),
    ];
    let mut troubles: Vec<_> = kinds
        .iter()
        .map(|(k, _)| {
            trouble(
                k,
                if matches!(*k, "deploy" | "preempt" | "balancer_roll") {
                    waves.clone()
                } else {
                    none.clone()
                },
            )
        })
        .collect();
    troubles.push(trouble("report_late", none.clone()));
    troubles.push(trouble("earthquake", none));
    for size in [Size::Loopback, Size::Full] {
        let (text, left) = import(&day(json!(troubles)), size).unwrap();
        assert_eq!(left.len(), 2, "{left:?}");
        let s = parse("imported.ini", &text, None).unwrap_or_else(|e| panic!("{e}\n{text}"));
        let got: Vec<FaultKind> = s.faults.iter().map(|t| t.kind).collect();
        assert_eq!(got, kinds.iter().map(|k| k.1).collect::<Vec<_>>());
        let deploy = s
            .faults
            .iter()
            .find(|t| t.kind == FaultKind::Deploy)
            .unwrap();
        assert!((deploy.target.share - 0.5).abs() < 0.01 && deploy.severity == 2.0);
        assert_eq!(
            (
                s.fleet.branches,
                s.fleet.caches_per_branch,
                s.fleet.parents,
                s.limits.rules.purge_deadline
            ),
            (3, 4, 2, 6_000_000)
        );
        assert_eq!(
            (
                s.workload.classes[1].freshness_lifetime,
                s.workload.classes[1].stale_if_error
            ),
            (9_000_000, 18_000_000)
        );
    }
}

/// The load of the caches' links is the day's, whatever the size.
#[test]
fn the_load_is_carried_over() {
    for size in [Size::Loopback, Size::Full] {
        let (text, _) = import(&day(json!(null)), size).unwrap();
        let s = parse("imported.ini", &text, Some(3)).unwrap();
        let links: f64 =
            s.fleet.cache.spec.weight * (s.fleet.branches * s.fleet.caches_per_branch) as f64;
        let bytes: u64 = Traffic::generate(&s).calls.iter().map(|c| c.size).sum();
        let load = bytes as f64 / s.network.bytes_per_s / s.duration_s / links;
        assert!((0.42..0.58).contains(&load), "{size:?}: {load}");
    }
    let wrong = import("{\"site\": 3}", Size::Full).unwrap_err().to_string();
    assert!(wrong.contains("not a day"), "{wrong}");
}

/// A drained member gets its notice before its end, and a successor under another address.
#[test]
fn a_deploy_is_written_as_notice_end_and_successor() {
    let waves = json!([{"kind": "deploy", "at": 5e6, "len": 8e6, "extra": 2.0, "steps": [{"at": 5e6, "stop": [0, 1], "start": [20, 21]}]}]);
    let (text, _) = import(&day(waves), Size::Loopback).unwrap();
    let s = parse("imported.ini", &text, Some(3)).unwrap();
    let address = |n: usize| format!("127.0.0.1:{}", 1000 + n);
    let hosts = s.hosts(address);
    let script = Script::generate(&s, &hosts, address);
    assert_eq!(script.newcomers.len(), 2);
    for (n, _) in script.newcomers.iter().enumerate() {
        let host = hosts.len() + n;
        let ready = script
            .steps
            .iter()
            .find(|(_, s)| {
                *s == ScriptStep::EndpointUpdate {
                    host,
                    state: ListedState::Ready,
                }
            })
            .unwrap()
            .0;
        let drains: Vec<u64> = script
            .steps
            .iter()
            .filter(|(_, s)| {
                matches!(
                    s,
                    ScriptStep::EndpointUpdate {
                        state: ListedState::Draining,
                        ..
                    }
                )
            })
            .map(|s| s.0)
            .collect();
        assert_eq!(ready, drains[n] + 2_000_000);
    }
}
