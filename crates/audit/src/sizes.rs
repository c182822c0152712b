//! Rule: large objects are not what is given up first. Of a class's largest requests, and of the next ones, at least a share of
//! what is answered of the class as a whole is answered: two thirds on a day without trouble, half on others.
use super::service::{Group, Service};
use super::RuleVerdict;
use pointspindle_scenario::Scenario;

const QUIET: f64 = 2.0 / 3.0;
const TROUBLED: f64 = 0.5;
/// Fewer calls than this say nothing of a share.
const FEW: u64 = 20;

pub fn judge(scenario: &Scenario, service: &Service) -> RuleVerdict {
    let mut rule = RuleVerdict::new(
        "sizes",
        "the largest requests of a class are answered nearly as often as the others",
    );
    let least = if scenario.faults.is_empty() {
        QUIET
    } else {
        TROUBLED
    };
    for class in &service.classes {
        let whole = class.answered().share();
        let groups: [(&str, Group); 2] = [
            ("largest", class.largest),
            ("next largest", class.next_largest),
        ];
        for (name, group) in groups.into_iter().filter(|(_, g)| g.calls >= FEW) {
            rule.cases += 1;
            if group.share() < least * whole {
                let shares = format!(
                    "{:.3} of {} calls, of the class {whole:.3}",
                    group.share(),
                    group.calls
                );
                rule.breach(
                    "large",
                    0,
                    None,
                    format!("{}, the {name}: answered {shares}", class.name),
                );
            }
        }
    }
    rule
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::service::ClassService;
    use pointspindle_scenario::parse;

    #[test]
    fn the_bound_is_higher_on_a_day_without_trouble() {
        let group = |calls, answered| Group { calls, answered };
        let class = |largest, next_largest| ClassService {
            calls: 1_000,
            served: 900,
            largest,
            next_largest,
            ..ClassService::default()
        };
        let text = include_str!("../../../scenarios/origin-away.ini");
        let troubled = parse("troubled", text, None).unwrap();
        let mut quiet = troubled.clone();
        quiet.faults.clear();
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
        // 0.9 of all: six tenths of the largest will do on a quiet day, four and a half on others.
        assert_eq!(judged(&quiet, class(group(100, 61), group(200, 130))), 0);
        assert_eq!(judged(&quiet, class(group(100, 59), group(200, 110))), 2);
        assert_eq!(judged(&troubled, class(group(100, 59), group(200, 110))), 0);
        assert_eq!(judged(&troubled, class(group(100, 44), group(200, 85))), 2);
        assert_eq!(
            judged(&quiet, class(group(9, 0), group(19, 0))),
            0,
            "too few to say anything"
        );
    }
}
