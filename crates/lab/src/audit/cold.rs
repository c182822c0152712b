//! Rule: a cold member is not pushed over, by all dispatchers together. Counted anew from what reached its socket.
use super::{Evidence, Rule};
use crate::model::cold::EXACTLY;
use crate::model::Role;
use crate::record::Saw;
use pointspindle::Micros;
use std::collections::HashMap;

#[derive(Default)]
struct Cold {
    started: Micros,
    /// When, and how much work: a window's worth.
    sent: Vec<(Micros, f64)>,
    told: bool,
}

pub(super) fn judge(e: &Evidence) -> Rule {
    let mut rule = Rule::new("cold", "no cold member is sent more than it bears, by all together");
    let models = e.scenario.class_models();
    let hosts = e.hosts();
    let mut cold: HashMap<String, Cold> = HashMap::new();
    for sight in e.sights {
        match &sight.saw {
            Saw::Started { host, cold: true } => {
                cold.insert(host.clone(), Cold { started: sight.at, ..Default::default() });
            }
            Saw::Fell { host, why } => {
                if why.contains("cold") {
                    rule.breach("cold", sight.at, None, format!("{host} fell over: {why}"));
                }
                cold.remove(host);
            }
            Saw::Reached { host, class, id, .. } => {
                let (Some(member), Some((role, weight))) = (cold.get_mut(host), hosts.get(host)) else {
                    continue;
                };
                let spec = e.scenario.cold(*role);
                if sight.at > member.started + spec.over() {
                    continue;
                }
                rule.checked += 1;
                let work = models.get(*class).map_or(0.0, |c| c.mean as f64 / 1e6);
                member.sent.push((sight.at, work));
                let from = sight.at.saturating_sub(spec.window);
                member.sent.retain(|(at, _)| *at > from);
                let sum: f64 = member.sent.iter().map(|(_, w)| w).sum();
                let share = spec.share(from.saturating_sub(member.started));
                let budget = spec.multiple * share * weight * spec.window as f64 / 1e6;
                if sum > budget * EXACTLY && !member.told {
                    member.told = true;
                    let detail =
                        format!("{host} was sent {sum:.2} s of work in a window for {budget:.2} s");
                    rule.breach("cold", sight.at, *id, detail);
                }
            }
            _ => {}
        }
    }
    rule
}

impl Evidence<'_> {
    /// Role and weight of every member by address, from the scenario and the run's own list of addresses.
    fn hosts(&self) -> HashMap<String, (Role, f64)> {
        self.sights
            .iter()
            .filter_map(|s| match &s.saw {
                Saw::Member { host, role, weight, .. } => Some((host.clone(), (*role, *weight))),
                _ => None,
            })
            .collect()
    }
}
