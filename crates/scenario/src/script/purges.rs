//! Purges of groups, and background purges of single objects.
use super::generator::{share_of, ScriptGenerator};
use super::{FaultSpec, ScriptStep};
use crate::traffic::{group_number, group_path};
use crate::Scenario;
use pointspindle::Micros;
use rand::seq::SliceRandom;
use rand::Rng;

impl ScriptGenerator<'_> {
    /// Purges a share of the groups at the same time.
    pub(super) fn purge(&mut self, fault: &FaultSpec) {
        let mut groups: Vec<u64> = (0..self.scenario.workload.groups).collect();
        groups.shuffle(&mut self.rng);
        groups.truncate(share_of(fault.target.share, groups.len()));
        for group in groups {
            self.push(fault.at, ScriptStep::PurgeGroup { group });
        }
    }

    /// Purges single objects of cacheable classes at exponentially distributed intervals.
    pub(super) fn add_background_purges(&mut self) {
        let workload = &self.scenario.workload;
        if workload.purges_per_s <= 0.0 {
            return;
        }
        self.use_random_stream("purges");
        let classes: Vec<_> = workload
            .classes
            .iter()
            .filter(|class| !class.uncacheable)
            .collect();
        let mut at = 0.0;
        while let Some(class) = classes.choose(&mut self.rng) {
            at -= (1.0 - self.rng.gen::<f64>()).ln() / workload.purges_per_s * 1e6;
            if at as Micros >= self.scenario.duration() {
                break;
            }
            let rank = self.rng.gen_range(1..=class.catalogue.objects);
            let group = rank % workload.groups;
            let step = ScriptStep::PurgeObject {
                object: format!("{}/o{rank}", group_path(&class.name, group)),
                group: group_number(&class.name, group),
            };
            self.push(at as Micros, step);
        }
    }
}

/// Returns the ids of the purge groups with the number `group`, one for each cacheable class.
pub fn purge_groups(scenario: &Scenario, group: u64) -> Vec<u64> {
    scenario
        .workload
        .classes
        .iter()
        .filter(|class| !class.uncacheable)
        .map(|class| group_number(&class.name, group))
        .collect()
}
