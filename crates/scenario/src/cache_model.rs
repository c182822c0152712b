//! Cache model settings of a scenario, and the warm-up of its hosts.
use crate::{Idempotency, RequestClass, Scenario};
use pointspindle::{Micros, SlowStartRule};
use pointspindle_cache_host::lease::WorkLedger;
use pointspindle_cache_model::WarmUpSpec;
use pointspindle_cache_model::{CacheModelSettings, ClassModel, Role, ZoneSpec};

/// Minimum sum of shares, and minimum mean work in seconds; avoids divisions by 0.
const EPSILON: f64 = 1e-9;

impl Scenario {
    /// Returns the request classes in the form that the cache model uses.
    pub fn class_models(&self) -> Vec<ClassModel> {
        let model = |class: &RequestClass| ClassModel {
            name: class.name.clone(),
            freshness_lifetime: class.freshness_lifetime,
            mean_transfer_time: (class.mean_bytes / self.network.bytes_per_s * 1e6) as Micros,
            uncacheable: class.uncacheable,
            deduplicates: class.idempotency == Idempotency::Keyed,
        };
        self.workload.classes.iter().map(model).collect()
    }

    /// Returns the settings of the cache model.
    pub fn cache_model_settings(&self) -> CacheModelSettings {
        let zone = |(index, name): (usize, String)| ZoneSpec {
            name,
            link_capacity: if index < self.fleet.branches {
                self.network.branch_link_capacity
            } else {
                0.0
            },
        };
        CacheModelSettings {
            classes: self.class_models(),
            zones: self.zones().into_iter().enumerate().map(zone).collect(),
            bytes_per_s: self.network.bytes_per_s,
            fill_speedup: self.network.fill_speedup,
            idempotency_window: self.dispatchers.idempotency_window,
        }
    }

    /// Returns the mean work of a request, in seconds of transfer at full speed. The warm-up of a host is accounted in
    /// this unit.
    pub fn mean_work(&self) -> f64 {
        let models = self.class_models();
        let classes = &self.workload.classes;
        let shares: f64 = classes.iter().map(|class| class.share).sum();
        let work: f64 = classes
            .iter()
            .zip(&models)
            .map(|(class, model)| class.share * model.mean_transfer_time as f64 / 1e6)
            .sum();
        (work / shares.max(EPSILON)).max(EPSILON)
    }

    /// Returns the lease ledger of a host that has just started, or `None` if the host is not a cache host or sends no
    /// hello frame.
    pub fn work_ledger(&self, role: Role, weight: f64, started: Micros) -> Option<WorkLedger> {
        if !self.dispatchers.uses_hello || role != Role::Cache {
            return None;
        }
        let warm_up = self.warm_up_spec(role);
        let rule = SlowStartRule {
            initial_share: warm_up.initial_share,
            ramp: warm_up.duration,
            overload_factor: warm_up.overload_factor,
            overload_window: warm_up.overload_window,
        };
        let max_work_s = self
            .workload
            .classes
            .iter()
            .map(|class| class.mean_bytes / self.network.bytes_per_s)
            .fold(0.0, f64::max);
        Some(WorkLedger::new(rule, weight, started, max_work_s))
    }

    /// Returns the warm-up settings of a role. All roles but parents use those of cache hosts.
    pub fn warm_up_spec(&self, role: Role) -> WarmUpSpec {
        if role == Role::Parent {
            self.fleet.parent.spec.warm_up
        } else {
            self.fleet.cache.spec.warm_up
        }
    }
}
