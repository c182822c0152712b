//! Tests of [`super`].
use super::*;

/// Evaluates a response that arrives after 250 ms, at Wed, 21 Oct 2015 07:28:00 GMT (1,445,412,480 s).
fn freshness_of(fields: &[(&str, &str)]) -> Freshness {
    let fields: Vec<_> = fields
        .iter()
        .map(|(n, v)| (n.to_string(), v.to_string()))
        .collect();
    freshness(&fields, 250_000, 1_445_412_480)
}

#[test]
fn most_specific_directive_wins_and_invalid_value_is_stale() {
    assert_eq!(
        freshness_of(&[]),
        Freshness {
            no_store: false,
            lifetime: None,
            age: 250_000
        }
    );
    let with_both_ages = freshness_of(&[
        ("cache-control", "max-age=60, s-maxage=\"30\""),
        ("expires", "0"),
    ]);
    assert_eq!(with_both_ages.lifetime, Some(30 * MICROS_PER_SECOND));
    assert_eq!(
        freshness_of(&[("cache-control", "max-age=soon")]).lifetime,
        Some(0)
    );
    assert_eq!(
        freshness_of(&[
            ("cache-control", "max-age=60"),
            ("cache-control", "no-cache")
        ])
        .lifetime,
        Some(0)
    );
    assert!(freshness_of(&[("cache-control", "public, No-Store")]).no_store);
    assert!(freshness_of(&[("cache-control", "private")]).no_store);
    let dates = [
        ("date", "Wed, 21 Oct 2015 07:27:00 GMT"),
        ("expires", "Wed, 21 Oct 2015 07:37:00 GMT"),
    ];
    assert_eq!(
        freshness_of(&dates),
        Freshness {
            no_store: false,
            lifetime: Some(600 * MICROS_PER_SECOND),
            age: 60 * MICROS_PER_SECOND
        }
    );
    assert_eq!(freshness_of(&[("expires", "0")]).lifetime, Some(0));
    assert_eq!(
        freshness_of(&[("age", "90")]).age,
        90 * MICROS_PER_SECOND + 250_000,
        "the response delay adds to the Age field"
    );
}
