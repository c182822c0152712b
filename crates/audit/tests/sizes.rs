//! The bounds of the rule `sizes`, with and without faults.
use pointspindle_audit::service::{ClassService, Service, SizeGroup};
use pointspindle_audit::sizes::judge;
use pointspindle_scenario::{parse, Scenario};

#[test]
fn minimum_share_of_large_requests_is_higher_without_faults() {
    let group = |calls, served| SizeGroup { calls, served };
    let class = |largest, next_largest| ClassService {
        calls: 1_000,
        served: 900,
        largest,
        next_largest,
        ..ClassService::default()
    };
    let text = include_str!("../../../scenarios/origin-away.ini");
    let with_faults = parse("with-faults", text, None).unwrap();
    let mut without_faults = with_faults.clone();
    without_faults.faults.clear();
    let violation_count = |scenario: &Scenario, class: ClassService| {
        judge(
            scenario,
            &Service {
                classes: vec![class],
                ..Service::default()
            },
        )
        .violations
        .len()
    };
    // The served share of the class is 0.9, so that of its large requests is at least 0.6 without, 0.45 with faults.
    assert_eq!(
        violation_count(&without_faults, class(group(100, 61), group(200, 130))),
        0
    );
    assert_eq!(
        violation_count(&without_faults, class(group(100, 59), group(200, 110))),
        2
    );
    assert_eq!(
        violation_count(&with_faults, class(group(100, 59), group(200, 110))),
        0
    );
    assert_eq!(
        violation_count(&with_faults, class(group(100, 44), group(200, 85))),
        2
    );
    assert_eq!(
        violation_count(&without_faults, class(group(9, 0), group(19, 0))),
        0,
        "groups with too few calls are not judged"
    );
}
