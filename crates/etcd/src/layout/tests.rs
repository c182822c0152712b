use super::*;

#[test]
fn unknown_key_and_invalid_value_errors_name_the_key() {
    assert_eq!(
        parse_key("/edge", b"/edge/v1/members/10.0.0.7:9000"),
        Ok(Some(KeyName::Member("10.0.0.7:9000".into())))
    );
    assert_eq!(parse_key("/edge", b"/edge/v1/settings/x"), Ok(None));
    assert!(parse_key("/edge", b"/other/v1/members/a")
        .unwrap_err()
        .to_string()
        .contains("/other/v1/members/a"));
    assert!(parse_key("/edge", b"/edge/v1/members/").is_err());
    let error = parse_member(b"/edge/v1/members/a", b"{\"state\":\"redy\"}")
        .unwrap_err()
        .to_string();
    assert!(
        error.starts_with("/edge/v1/members/a: ") && error.contains("redy"),
        "{error}"
    );
}

#[test]
fn records_with_unknown_fields_or_future_start_time_are_accepted() {
    let extended = br#"{"state":"draining","weight":5,"zone":"b","kind":"cache","colour":"blue","started_unix_ms":5000}"#;
    let record = parse_member(b"k", extended).unwrap();
    assert_eq!(
        record.to_endpoint("a", 7_000).started_ago_us,
        Some(2_000_000)
    );
    assert_eq!(record.to_endpoint("a", 4_000).started_ago_us, Some(0));
    assert_eq!(removed_endpoint("a").state(), WireEndpointState::Gone);
    assert_eq!(
        parse_purge(b"k", b"{\"group\":7}").unwrap().head().age_us,
        0
    );
}
