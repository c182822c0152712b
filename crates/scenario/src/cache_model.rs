//! The scenario's settings of the cache model, and the warm-up of its hosts.
use crate::{Idempotency, RequestClass, Scenario};
use pointspindle::{Micros, SlowStartRule};
use pointspindle_cache_host::lease::WorkLedger;
use pointspindle_cache_model::WarmUpSpec;
use pointspindle_cache_model::{CacheModelSettings, ClassModel, Role, ZoneSpec};

/// Least sum of shares or seconds of work to divide by.
const EPSILON: f64 = 1e-9;

impl Scenario {
    /// The request classes as the cache model needs them.
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

    /// Settings of the cache model.
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

    /// Mean work of one request for a host that is warming up, seconds of a transfer at full speed.
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

    /// The lease ledger of a host that has just started; `None` unless it is a cache host that identifies itself.
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

    /// The warm-up of hosts of a role: the parents' own, or the cache hosts'.
    pub fn warm_up_spec(&self, role: Role) -> WarmUpSpec {
        if role == Role::Parent {
            self.fleet.parent.spec.warm_up
        } else {
            self.fleet.cache.spec.warm_up
        }
    }
}
