//! The example settings are accepted, and errors in a settings file name line, key and reason.
use pointspindle_config::parse;

const EXAMPLE: &str = include_str!("../../../examples/edge.ini");

fn errors_of(text: &str) -> Vec<String> {
    parse("f.ini", text)
        .expect_err("the settings are invalid")
        .0
        .iter()
        .map(|error| error.to_string())
        .collect()
}

#[test]
fn dispatcher_example_is_accepted_with_its_values() {
    let settings = parse("edge.ini", EXAMPLE).unwrap_or_else(|error| panic!("{error}"));
    assert_eq!(
        (
            settings.endpoints.len(),
            settings.classes.len(),
            settings.router.zone
        ),
        (4, 3, 1)
    );
    assert_eq!(settings.router.classes[1].fresh_for, 12_000_000);
    assert_eq!(settings.router.parent_slow_start.initial_share, 0.062);
    assert!(matches!(
        settings.router.classes[2].idempotency,
        pointspindle::Idempotency::WithKey {
            window: 2_000_000,
            ..
        }
    ));
}

#[test]
fn all_errors_are_reported_together_with_their_lines() {
    let text = EXAMPLE
        .replace("max_attempts = 6", "max_atempts = 6")
        .replace("siblings = zone ", "siblings = near ")
        .replace("aim_ms = 700", "aim_ms = soon")
        .replace(
            "zone = branch-1\nweight = 5\n\n[member cache-2]",
            "zone = branch-7\nweight = -5\n\n[member cache-2]",
        );
    let line = |start: &str| {
        1 + text
            .lines()
            .position(|line| line.starts_with(start))
            .unwrap()
    };
    let errors = errors_of(&text);
    let assert_reported = |expected: String| {
        assert!(
            errors.iter().any(|error| error.starts_with(&expected)),
            "{expected:?} is missing in {errors:#?}"
        )
    };
    assert_reported(format!(
        "f.ini:{}: fleet.max_atempts: no such key; did you mean max_attempts?",
        line("max_atempts")
    ));
    assert_reported(format!(
        "f.ini:{}: fleet.siblings: \"near\" is not one of none, zone, any",
        line("siblings")
    ));
    assert_reported(format!(
        "f.ini:{}: class test-submit.aim_ms: \"soon\" is not a number",
        line("aim_ms = soon")
    ));
    assert_reported(format!(
        "f.ini:{}: member cache-1.zone: \"branch-7\"",
        line("zone = branch-7")
    ));
    assert_reported(format!(
        "f.ini:{}: member cache-1.weight: -5",
        line("weight = -5")
    ));
    assert_eq!(errors.len(), 5, "{errors:#?}");
}

#[test]
fn contradicting_settings_are_rejected() {
    let assert_rejected = |from: &str, to: &str, key: &str| {
        assert!(EXAMPLE.contains(from), "{from}");
        let errors = errors_of(&EXAMPLE.replacen(from, to, 1));
        assert!(
            errors.iter().any(|error| error.contains(key)),
            "no error about {key} in {errors:#?}"
        );
    };
    assert_rejected("number = 0 ", "number = 3 ", "dispatcher.number");
    assert_rejected("zone = branch-1 ", "zone = branch-9 ", "dispatcher.zone");
    assert_rejected(
        "address = 127.0.0.1:9002",
        "address = 127.0.0.1:9001",
        "member cache-2.address",
    );
    assert_rejected(
        "repeat = safe ",
        "repeat = unsafe ",
        "class lesson-video.repeat",
    );
    assert_rejected(
        "fresh_ms = 12000",
        "fresh_ms = 0",
        "class test-page.grace_ms",
    );
    assert_rejected(
        "[zone hub]",
        "[zone hub]\ndispatchers = 1\n[zone hub]",
        "[zone hub]",
    );
    assert_rejected("[http]", "[htpp]", "[htpp]");
    assert_rejected("http = 127.0.0.1:8080", "http = localhost", "listen.http");
    assert_rejected(
        "max_attempts = 6",
        "max_attempts = 6\nmax_attempts = 7",
        "fleet.max_attempts",
    );
    assert!(
        errors_of("[dispatcher\nname = x")[0].starts_with("f.ini:"),
        "a text that is not valid INI is reported with the file name"
    );
}

#[test]
fn cache_host_example_is_accepted_and_gateway_without_origin_rejected() {
    let example = include_str!("../../../examples/cache.ini");
    let settings = pointspindle_config::parse_cache_host("cache.ini", example)
        .unwrap_or_else(|error| panic!("{error}"));
    assert_eq!(
        (
            settings.classes.len(),
            settings.max_fills,
            settings.store.unwrap().segment_bytes
        ),
        (3, 64, 64 << 20)
    );
    let gateway = example.replace("role = cache ", "role = origin ");
    let errors = pointspindle_config::parse_cache_host("cache.ini", &gateway)
        .unwrap_err()
        .to_string();
    assert!(
        errors.contains("cache.ini:5") && errors.contains("[origin] address"),
        "{errors}"
    );
}
