//! Rule `sizes`: large objects are not shed first. The served share of a class's largest requests, and of the next
//! largest ones, is at least two thirds of the class's served share in a run without faults, and half in other runs.
use crate::service::{ClassService, Service, SizeGroup};
use crate::verdict::RuleVerdict;
use pointspindle_scenario::Scenario;

/// Minimum served share of a group, relative to that of its class, in a run without faults.
const MIN_RELATIVE_SHARE: f64 = 2.0 / 3.0;
/// Minimum served share of a group, relative to that of its class, in a run with faults.
const MIN_RELATIVE_SHARE_WITH_FAULTS: f64 = 0.5;
/// Minimum number of calls of a group that is judged.
const MIN_CALLS: u64 = 20;

/// Judges the served shares by size.
pub fn judge(scenario: &Scenario, service: &Service) -> RuleVerdict {
    let mut rule = RuleVerdict::new(
        "sizes",
        "the largest requests of a class are answered nearly as often as the others",
    );
    let min_relative_share = if scenario.faults.is_empty() {
        MIN_RELATIVE_SHARE
    } else {
        MIN_RELATIVE_SHARE_WITH_FAULTS
    };
    for class in &service.classes {
        judge_group(
            &mut rule,
            class,
            "largest",
            class.largest,
            min_relative_share,
        );
        judge_group(
            &mut rule,
            class,
            "next largest",
            class.next_largest,
            min_relative_share,
        );
    }
    rule
}

fn judge_group(
    rule: &mut RuleVerdict,
    class: &ClassService,
    name: &str,
    group: SizeGroup,
    min_relative_share: f64,
) {
    if group.calls < MIN_CALLS {
        return;
    }
    rule.cases += 1;
    let class_share = class.all().share();
    if group.share() < min_relative_share * class_share {
        let detail = format!(
            "{}, the {name}: answered {:.3} of {} calls, of the class {class_share:.3}",
            class.name,
            group.share(),
            group.calls
        );
        rule.add_violation("large", 0, None, detail);
    }
}
