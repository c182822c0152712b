//! The rule on large requests: its bounds with and without faults.
use pointspindle_audit::service::{ClassService, Service, SizeGroup};
use pointspindle_audit::sizes::judge;
use pointspindle_scenario::{parse, Scenario};

#[test]
fn served_share_by_size_in_a_run_without_faults_has_the_higher_bound() {
    let group = |calls, answered| SizeGroup {
        calls,
        served: answered,
    };
    let class = |largest, next_largest| ClassService {
        calls: 1_000,
        served: 900,
        largest,
        next_largest,
        ..ClassService::default()
    };
    let text = include_str!("../../../scenarios/origin-away.ini");
    let with_faults = parse("troubled", text, None).unwrap();
    let mut without_faults = with_faults.clone();
    without_faults.faults.clear();
    let judged = |scenario: &Scenario, class: ClassService| {
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
    // 0.9 of all: six tenths of the largest will do without faults, four and a half with faults.
    assert_eq!(
        judged(&without_faults, class(group(100, 61), group(200, 130))),
        0
    );
    assert_eq!(
        judged(&without_faults, class(group(100, 59), group(200, 110))),
        2
    );
    assert_eq!(
        judged(&with_faults, class(group(100, 59), group(200, 110))),
        0
    );
    assert_eq!(
        judged(&with_faults, class(group(100, 44), group(200, 85))),
        2
    );
    assert_eq!(
        judged(&without_faults, class(group(9, 0), group(19, 0))),
        0,
        "too few to say anything"
    );
}
