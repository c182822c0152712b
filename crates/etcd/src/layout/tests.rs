use super::*;

#[test]
fn a_key_that_is_not_ours_or_cannot_be_read_is_named() {
    assert_eq!(
        name("/edge", b"/edge/v1/members/10.0.0.7:9000"),
        Ok(Some(KeyName::Member("10.0.0.7:9000".into())))
    );
    assert_eq!(name("/edge", b"/edge/v1/settings/x"), Ok(None));
    assert!(name("/edge", b"/other/v1/members/a")
        .unwrap_err()
        .to_string()
        .contains("/other/v1/members/a"));
    assert!(name("/edge", b"/edge/v1/members/").is_err());
    let bad = member(b"/edge/v1/members/a", b"{\"state\":\"redy\"}")
        .unwrap_err()
        .to_string();
    assert!(
        bad.starts_with("/edge/v1/members/a: ") && bad.contains("redy"),
        "{bad}"
    );
}

#[test]
fn records_may_grow_and_a_start_in_the_future_is_now() {
    let grown = br#"{"state":"draining","weight":5,"zone":"b","kind":"cache","colour":"blue","started_unix_ms":5000}"#;
    let record = member(b"k", grown).unwrap();
    assert_eq!(
        record.to_endpoint("a", 7_000).started_ago_us,
        Some(2_000_000)
    );
    assert_eq!(record.to_endpoint("a", 4_000).started_ago_us, Some(0));
    assert_eq!(removed_endpoint("a").state(), WireEndpointState::Gone);
    assert_eq!(purge(b"k", b"{\"group\":7}").unwrap().head().age_us, 0);
}
