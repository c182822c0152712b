//! The settings as the simulator's first message and the start configuration give them, and what they mean to the decision
//! module: translated once, for both. Absent and null values are both `None`; what is not known is skipped.
use pointspindle::*;
use serde::Deserialize;

/// Fields: those after `need` must be there, those after `may` may be absent or null.
macro_rules! settings {
    ($($name:ident { need { $($n:ident: $nt:ty),* } may { $($m:ident: $mt:ty),* } })*) => {
        $(#[derive(Debug, Deserialize)]
        #[serde(rename_all = "PascalCase")]
        pub struct $name { $(pub $n: $nt,)* $(#[serde(default)] pub $m: Option<$mt>,)* })*
    };
}

settings! {
    Config {
        need { rules: Rules, family_info: FamilyInfo }
        may { allowed: Allowed, balancers: u32, me: u32, classes: Vec<ClassWords>, weight_source: String, zone: usize,
              zones: Vec<String>, kinds: Vec<String> }
    }
    Rules {
        need {}
        may { start_capacity: f64, warm_within_ms: f64, overload_factor: f64, fall_ms: f64 }
    }
    Allowed {
        need {}
        may { max_attempts: u32, may_cancel: bool, retry_after: bool,
              max_retry_after_ms: f64, dial_timeout_ms: f64, keepalive_ms: f64,
              streams_per_conn: usize, max_open: usize }
    }
    ClassWords {
        need {}
        may { name: String, deadline_ms: f64, aim_ms: f64, aim_stretch: f64, worth: f64, repeat: String,
              group: String, key_ttl_ms: f64 }
    }
    FamilyInfo {
        need {}
        may { second_tier_kind: i64, master_kind: i64, instances_by_zone: Vec<u32>,
              max_age_ms: Vec<f64>, usable_after_ms: Vec<f64>,
              never_kept: Vec<bool>, straight: bool, stream_kb_per_s: f64, merges_fills: bool,
              neighbours: String, tells: String, parent_starts_at: f64, upper_cold_ms: f64,
              parent_fall_multiple: f64, gone_everywhere_ms: f64 }
    }
}

pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round().max(0.0) as Micros
}

pub fn told(ms: Option<f64>) -> Micros {
    micros(ms.unwrap_or_default())
}

/// The value of a list by class or zone, where it is that long.
fn at<T: Copy + Default>(list: &Option<Vec<T>>, i: usize) -> T {
    list.as_ref()
        .and_then(|l| l.get(i))
        .copied()
        .unwrap_or_default()
}

pub fn settings(c: &Config) -> Result<RouterSettings, String> {
    let (f, r) = (&c.family_info, &c.rules);
    let a = c.allowed.as_ref().ok_or("settings without Allowed")?;
    let mut classes = Vec::new();
    for (i, k) in c.classes.iter().flatten().enumerate() {
        let repeat = match k.repeat.as_deref() {
            Some("idempotent") => Idempotency::Idempotent,
            Some("at_most_once") => Idempotency::NotIdempotent,
            Some("deduplicated") => {
                let group = match k.group.as_deref() {
                    Some("all") => KeyScope::All,
                    Some("zone") => KeyScope::Zone,
                    Some("cell") => KeyScope::Cell,
                    other => return Err(format!("unknown key group {other:?}")),
                };
                Idempotency::WithKey {
                    scope: group,
                    window: told(k.key_ttl_ms),
                }
            }
            other => return Err(format!("unknown Repeat {other:?}")),
        };
        classes.push(RequestClass {
            latency_objective: told(k.aim_ms),
            objective_stretch: k.aim_stretch.unwrap_or_default(),
            priority_weight: k.worth.unwrap_or_default(),
            idempotency: repeat,
            uncacheable: at(&f.never_kept, i),
            fresh_for: micros(at(&f.max_age_ms, i)),
            stale_if_error: micros(at(&f.usable_after_ms, i)),
        });
    }
    let zones = c.zones.iter().flatten().enumerate();
    let kind = |k: Option<i64>| k.and_then(|k| usize::try_from(k).ok());
    Ok(RouterSettings {
        zone: c.zone.unwrap_or_default(),
        zones: zones
            .map(|(i, _)| Zone {
                routers: at(&f.instances_by_zone, i),
            })
            .collect(),
        routers: c.balancers.unwrap_or_default(),
        router_index: c.me,
        classes,
        parent_kind: kind(f.second_tier_kind),
        origin_kind: kind(f.master_kind),
        weights: match c.weight_source.as_deref() {
            Some("nominal") => Weights::Nominal,
            Some("rough") => Weights::Rough,
            Some("live") => Weights::Live,
            Some("none") | None => Weights::None,
            Some(other) => return Err(format!("unknown WeightSource {other:?}")),
        },
        cache_status_detail: match f.tells.as_deref() {
            Some("all") => CacheStatusDetail::All,
            Some("hit") => CacheStatusDetail::HitOnly,
            Some("none") | None => CacheStatusDetail::None,
            Some(other) => return Err(format!("unknown Tells {other:?}")),
        },
        siblings: match f.neighbours.as_deref() {
            Some("any") => Siblings::Any,
            Some("location") => Siblings::OwnZone,
            Some("none") | None => Siblings::None,
            Some(other) => return Err(format!("unknown Neighbours {other:?}")),
        },
        direct_forwarding: f.straight.unwrap_or_default(),
        coalesces_fills: f.merges_fills.unwrap_or_default(),
        may_cancel: a.may_cancel.unwrap_or_default(),
        retry_after: a.retry_after.unwrap_or_default(),
        max_retry_after: told(a.max_retry_after_ms),
        max_attempts: a.max_attempts.unwrap_or_default(),
        stream_kb_per_s: f.stream_kb_per_s.unwrap_or_default(),
        cache_slow_start: SlowStartRule {
            initial_share: r.start_capacity.unwrap_or_default(),
            ramp: told(r.warm_within_ms),
            overload_factor: r.overload_factor.unwrap_or_default(),
            overload_window: told(r.fall_ms),
        },
        parent_slow_start: SlowStartRule {
            initial_share: f.parent_starts_at.unwrap_or_default(),
            ramp: told(f.upper_cold_ms),
            overload_factor: f.parent_fall_multiple.unwrap_or_default(),
            overload_window: told(r.fall_ms),
        },
        purge_horizon: told(f.gone_everywhere_ms),
    })
}
