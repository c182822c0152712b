//! Wrong files: each complaint names line, key and reason.
use pointspindle_config::parse;

const EXAMPLE: &str = include_str!("../../../examples/edge.ini");

fn complaints(text: &str) -> Vec<String> {
    parse("f.ini", text)
        .expect_err("wrong")
        .0
        .iter()
        .map(|c| c.to_string())
        .collect()
}

#[test]
fn the_commented_example_is_right_and_says_what_it_says() {
    let s = parse("edge.ini", EXAMPLE).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(
        (s.endpoints.len(), s.classes.len(), s.router.zone),
        (4, 3, 1)
    );
    assert_eq!(s.router.classes[1].fresh_for, 12_000_000);
    assert_eq!(s.router.parent_slow_start.initial_share, 0.062);
    assert!(matches!(
        s.router.classes[2].idempotency,
        pointspindle::Idempotency::WithKey {
            window: 2_000_000,
            ..
        }
    ));
}

#[test]
fn everything_wrong_is_named_at_once_with_its_line() {
    let text = EXAMPLE
        .replace("max_attempts = 6", "max_atempts = 6")
        .replace("siblings = zone ", "siblings = near ")
        .replace("aim_ms = 700", "aim_ms = soon")
        .replace(
            "zone = branch-1\nweight = 5\n\n[member cache-2]",
            "zone = branch-7\nweight = -5\n\n[member cache-2]",
        );
    let line = |of: &str| 1 + text.lines().position(|l| l.starts_with(of)).unwrap();
    let told = complaints(&text);
    let has = |what: String| {
        assert!(
            told.iter().any(|c| c.starts_with(&what)),
            "{what} in {told:#?}"
        )
    };
    has(format!(
        "f.ini:{}: fleet.max_atempts: no such key; did you mean max_attempts?",
        line("max_atempts")
    ));
    has(format!(
        "f.ini:{}: fleet.siblings: \"near\" is none of none, zone, any",
        line("siblings")
    ));
    has(format!(
        "f.ini:{}: class test-submit.aim_ms: \"soon\" is not a number",
        line("aim_ms = soon")
    ));
    has(format!(
        "f.ini:{}: member cache-1.zone: \"branch-7\"",
        line("zone = branch-7")
    ));
    has(format!(
        "f.ini:{}: member cache-1.weight: -5",
        line("weight = -5")
    ));
    assert_eq!(told.len(), 5, "{told:#?}");
}

#[test]
fn what_contradicts_itself_is_refused() {
    let wrong = |from: &str, to: &str, key: &str| {
        assert!(EXAMPLE.contains(from), "{from}");
        let told = complaints(&EXAMPLE.replacen(from, to, 1));
        assert!(told.iter().any(|c| c.contains(key)), "{key} in {told:#?}");
    };
    wrong("number = 0 ", "number = 3 ", "dispatcher.number");
    wrong("zone = branch-1 ", "zone = branch-9 ", "dispatcher.zone");
    wrong(
        "address = 127.0.0.1:9002",
        "address = 127.0.0.1:9001",
        "member cache-2.address",
    );
    wrong(
        "repeat = safe ",
        "repeat = unsafe ",
        "class lesson-video.repeat",
    );
    wrong(
        "fresh_ms = 12000",
        "fresh_ms = 0",
        "class test-page.grace_ms",
    );
    wrong(
        "[zone hub]",
        "[zone hub]\ndispatchers = 1\n[zone hub]",
        "[zone hub]",
    );
    wrong("[http]", "[htpp]", "[htpp]");
    wrong("http = 127.0.0.1:8080", "http = localhost", "listen.http");
    wrong(
        "max_attempts = 6",
        "max_attempts = 6\nmax_attempts = 7",
        "fleet.max_attempts",
    );
    assert!(
        complaints("[dispatcher\nname = x")[0].starts_with("f.ini:"),
        "not INI, with its line"
    );
}

#[test]
fn the_example_of_a_cache_host_is_right_and_what_is_missing_is_named() {
    let example = include_str!("../../../examples/cache.ini");
    let s =
        pointspindle_config::parse_cache("cache.ini", example).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(
        (s.classes.len(), s.max_fills, s.store.unwrap().segment),
        (3, 64, 64 << 20)
    );
    let gateway = example.replace("role = cache ", "role = origin ");
    let told = pointspindle_config::parse_cache("cache.ini", &gateway)
        .unwrap_err()
        .to_string();
    assert!(
        told.contains("cache.ini:5") && told.contains("[origin] address"),
        "{told}"
    );
}
