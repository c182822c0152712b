//! Rule: large objects are not shed first. Of a class's largest requests, and of the next largest ones, a minimum share
//! of what is served of the whole class is served: two thirds in a run without faults, half in others.
use crate::service::{ClassService, Service, SizeGroup};
use crate::verdict::RuleVerdict;
use pointspindle_scenario::Scenario;

/// Minimum share, relative to the class, in a run without faults.
const MIN_RELATIVE_SHARE: f64 = 2.0 / 3.0;
/// Minimum share, relative to the class, in a run with faults.
const MIN_RELATIVE_SHARE_WITH_FAULTS: f64 = 0.5;
/// Groups with fewer calls than this are not judged.
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
        rule.violate("large", 0, None, detail);
    }
}
