//! The settings document, as the simulator's first message and the start configuration carry it, and its translation
//! into the router's settings. Absent and null values are both `None`; keys that are not known are skipped.
use pointspindle::*;
use serde::Deserialize;

/// Declares parts of the document: fields after `required` must be there, fields after `optional` may be absent or null.
/// Each field names its key.
macro_rules! settings_documents {
    ($($(#[doc = $doc:literal])* $name:ident {
        required { $(
            $(#[doc = $required_doc:literal])*
            $required:ident = $required_key:literal: $required_type:ty
        ),* $(,)? }
        optional { $(
            $(#[doc = $optional_doc:literal])*
            $optional:ident = $optional_key:literal: $optional_type:ty
        ),* $(,)? }
    })*) => {
        $(
            $(#[doc = $doc])*
            #[derive(Debug, Deserialize)]
            pub struct $name {
                $(
                    $(#[doc = $required_doc])*
                    #[serde(rename = $required_key)]
                    pub $required: $required_type,
                )*
                $(
                    $(#[doc = $optional_doc])*
                    #[serde(default, rename = $optional_key)]
                    pub $optional: Option<$optional_type>,
                )*
            }
        )*
    };
}

settings_documents! {
    /// The whole document.
    SettingsDocument {
        required {
            /// Slow start of caches.
            slow_start = "Rules": SlowStartDocument,
            /// How caches fill, age and are laid out.
            caching = "FamilyInfo": CachingDocument,
        }
        optional {
            /// What a router may do; required by [`router_settings`].
            upstream_limits = "Allowed": UpstreamLimitsDocument,
            /// Number of routers.
            routers = "Balancers": u32,
            /// This router's index among them.
            router_index = "Me": u32,
            /// Request classes.
            classes = "Classes": Vec<ClassDocument>,
            /// What an endpoint's weight means.
            weight_source = "WeightSource": String,
            /// Index of the router's own zone.
            zone = "Zone": usize,
            /// Names of the zones.
            zones = "Zones": Vec<String>,
            /// Names of the kinds of endpoints.
            kinds = "Kinds": Vec<String>,
        }
    }
    /// Slow start of caches.
    SlowStartDocument {
        required {}
        optional {
            /// Share of its capacity that a cache starts with.
            initial_share = "StartCapacity": f64,
            /// Time until it has its full capacity.
            ramp_ms = "WarmWithinMs": f64,
            /// Load beyond its share at which it overloads, as a factor.
            overload_factor = "OverloadFactor": f64,
            /// Time over which that load is measured.
            overload_window_ms = "FallMs": f64,
        }
    }
    /// What a router may do with endpoints.
    UpstreamLimitsDocument {
        required {}
        optional {
            /// Attempts of one request.
            max_attempts = "MaxAttempts": u32,
            /// Attempts may be cancelled.
            may_cancel = "MayCancel": bool,
            /// Rejections carry a Retry-After.
            retry_after = "RetryAfter": bool,
            /// The longest such time.
            max_retry_after_ms = "MaxRetryAfterMs": f64,
            /// Time-out of a connection attempt.
            connect_timeout_ms = "DialTimeoutMs": f64,
            /// Time after which endpoints close unused connections.
            idle_timeout_ms = "KeepaliveMs": f64,
            /// Requests open on one connection.
            max_streams = "StreamsPerConn": usize,
            /// Requests open in the router.
            max_open_requests = "MaxOpen": usize,
        }
    }
    /// A request class.
    ClassDocument {
        required {}
        optional {
            /// Its name.
            name = "Name": String,
            /// The longest that a client waits.
            deadline_ms = "DeadlineMs": f64,
            /// Latency objective.
            latency_objective_ms = "AimMs": f64,
            /// Factor of the objective for large objects.
            objective_stretch = "AimStretch": f64,
            /// Priority when load is shed.
            priority_weight = "Worth": f64,
            /// Whether requests may be repeated.
            idempotency = "Repeat": String,
            /// Where an idempotency key is known.
            key_scope = "Group": String,
            /// How long an idempotency key is known.
            key_window_ms = "KeyTtlMs": f64,
        }
    }
    /// How caches fill, age and are laid out.
    CachingDocument {
        required {}
        optional {
            /// Kind of the parent tier; negative: none.
            parent_kind = "SecondTierKind": i64,
            /// Kind of the origin; negative: none.
            origin_kind = "MasterKind": i64,
            /// Routers by zone.
            routers_by_zone = "InstancesByZone": Vec<u32>,
            /// Time for which a copy is fresh, by class.
            fresh_for_ms = "MaxAgeMs": Vec<f64>,
            /// Time for which a copy may be served on errors, by class.
            stale_if_error_ms = "UsableAfterMs": Vec<f64>,
            /// Whether responses are never cached, by class.
            uncacheable = "NeverKept": Vec<bool>,
            /// Requests may be forwarded to the origin directly.
            direct_forwarding = "Straight": bool,
            /// Rate of one response.
            stream_kb_per_s = "StreamKbPerS": f64,
            /// Caches coalesce fills of one object.
            coalesces_fills = "MergesFills": bool,
            /// Which caches may be the source of a fill.
            siblings = "Neighbours": String,
            /// Which cache statuses are reported.
            cache_status_detail = "Tells": String,
            /// Share of its capacity that a parent starts with.
            parent_initial_share = "ParentStartsAt": f64,
            /// Time until a parent has its full capacity.
            parent_ramp_ms = "UpperColdMs": f64,
            /// Load beyond its share at which a parent overloads, as a factor.
            parent_overload_factor = "ParentFallMultiple": f64,
            /// Time by which a purge has reached all caches.
            purge_horizon_ms = "GoneEverywhereMs": f64,
        }
    }
}

/// Why the settings document cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The section of upstream limits is missing.
    #[error("settings without Allowed")]
    MissingUpstreamLimits,
    /// A value that is none of those known.
    #[error("unknown {key} {value:?}")]
    UnknownValue {
        /// Its key.
        key: &'static str,
        /// What the document holds.
        value: Option<String>,
    },
    /// A value that is none of those known, of a key that may be absent.
    #[error("unknown {key} {value:?}")]
    UnknownOptionalValue {
        /// Its key.
        key: &'static str,
        /// What the document holds.
        value: String,
    },
}

/// Milliseconds as microseconds; negative values are zero.
pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round().max(0.0) as Micros
}

/// Milliseconds as microseconds, or zero where there are none.
pub fn micros_or_zero(ms: Option<f64>) -> Micros {
    micros(ms.unwrap_or_default())
}

/// The value of a list by class or zone, or the default where the list is too short.
fn at<T: Copy + Default>(list: &Option<Vec<T>>, index: usize) -> T {
    list.as_ref()
        .and_then(|values| values.get(index))
        .copied()
        .unwrap_or_default()
}

fn unknown_value(key: &'static str, value: Option<&str>) -> SettingsError {
    SettingsError::UnknownValue {
        key,
        value: value.map(str::to_owned),
    }
}

fn unknown_optional_value(key: &'static str, value: &str) -> SettingsError {
    SettingsError::UnknownOptionalValue {
        key,
        value: value.to_owned(),
    }
}

fn idempotency(class: &ClassDocument) -> Result<Idempotency, SettingsError> {
    match class.idempotency.as_deref() {
        Some("idempotent") => Ok(Idempotency::Idempotent),
        Some("at_most_once") => Ok(Idempotency::NotIdempotent),
        Some("deduplicated") => Ok(Idempotency::WithKey {
            scope: key_scope(class)?,
            window: micros_or_zero(class.key_window_ms),
        }),
        other => Err(unknown_value("Repeat", other)),
    }
}

fn key_scope(class: &ClassDocument) -> Result<KeyScope, SettingsError> {
    match class.key_scope.as_deref() {
        Some("all") => Ok(KeyScope::All),
        Some("zone") => Ok(KeyScope::Zone),
        Some("cell") => Ok(KeyScope::Cell),
        other => Err(unknown_value("key group", other)),
    }
}

fn request_class(
    index: usize,
    class: &ClassDocument,
    caching: &CachingDocument,
) -> Result<RequestClass, SettingsError> {
    Ok(RequestClass {
        latency_objective: micros_or_zero(class.latency_objective_ms),
        objective_stretch: class.objective_stretch.unwrap_or_default(),
        priority_weight: class.priority_weight.unwrap_or_default(),
        idempotency: idempotency(class)?,
        uncacheable: at(&caching.uncacheable, index),
        fresh_for: micros(at(&caching.fresh_for_ms, index)),
        stale_if_error: micros(at(&caching.stale_if_error_ms, index)),
    })
}

fn zones(document: &SettingsDocument) -> Vec<Zone> {
    let names = document.zones.iter().flatten();
    names
        .enumerate()
        .map(|(index, _)| Zone {
            routers: at(&document.caching.routers_by_zone, index),
        })
        .collect()
}

/// An index of a kind; negative values are none.
fn kind(kind: Option<i64>) -> Option<usize> {
    kind.and_then(|kind| usize::try_from(kind).ok())
}

fn weights(document: &SettingsDocument) -> Result<Weights, SettingsError> {
    match document.weight_source.as_deref() {
        Some("nominal") => Ok(Weights::Nominal),
        Some("rough") => Ok(Weights::Rough),
        Some("live") => Ok(Weights::Live),
        Some("none") | None => Ok(Weights::None),
        Some(other) => Err(unknown_optional_value("WeightSource", other)),
    }
}

fn cache_status_detail(caching: &CachingDocument) -> Result<CacheStatusDetail, SettingsError> {
    match caching.cache_status_detail.as_deref() {
        Some("all") => Ok(CacheStatusDetail::All),
        Some("hit") => Ok(CacheStatusDetail::HitOnly),
        Some("none") | None => Ok(CacheStatusDetail::None),
        Some(other) => Err(unknown_optional_value("Tells", other)),
    }
}

fn siblings(caching: &CachingDocument) -> Result<Siblings, SettingsError> {
    match caching.siblings.as_deref() {
        Some("any") => Ok(Siblings::Any),
        Some("location") => Ok(Siblings::OwnZone),
        Some("none") | None => Ok(Siblings::None),
        Some(other) => Err(unknown_optional_value("Neighbours", other)),
    }
}

fn cache_slow_start(slow_start: &SlowStartDocument) -> SlowStartRule {
    SlowStartRule {
        initial_share: slow_start.initial_share.unwrap_or_default(),
        ramp: micros_or_zero(slow_start.ramp_ms),
        overload_factor: slow_start.overload_factor.unwrap_or_default(),
        overload_window: micros_or_zero(slow_start.overload_window_ms),
    }
}

fn parent_slow_start(caching: &CachingDocument, slow_start: &SlowStartDocument) -> SlowStartRule {
    SlowStartRule {
        initial_share: caching.parent_initial_share.unwrap_or_default(),
        ramp: micros_or_zero(caching.parent_ramp_ms),
        overload_factor: caching.parent_overload_factor.unwrap_or_default(),
        overload_window: micros_or_zero(slow_start.overload_window_ms),
    }
}

/// Translates the document into the router's settings.
pub fn router_settings(document: &SettingsDocument) -> Result<RouterSettings, SettingsError> {
    let caching = &document.caching;
    let limits = document
        .upstream_limits
        .as_ref()
        .ok_or(SettingsError::MissingUpstreamLimits)?;
    let classes = document.classes.iter().flatten().enumerate();
    let classes: Result<Vec<RequestClass>, SettingsError> = classes
        .map(|(index, class)| request_class(index, class, caching))
        .collect();
    Ok(RouterSettings {
        zone: document.zone.unwrap_or_default(),
        zones: zones(document),
        routers: document.routers.unwrap_or_default(),
        router_index: document.router_index,
        classes: classes?,
        parent_kind: kind(caching.parent_kind),
        origin_kind: kind(caching.origin_kind),
        weights: weights(document)?,
        cache_status_detail: cache_status_detail(caching)?,
        siblings: siblings(caching)?,
        direct_forwarding: caching.direct_forwarding.unwrap_or_default(),
        coalesces_fills: caching.coalesces_fills.unwrap_or_default(),
        may_cancel: limits.may_cancel.unwrap_or_default(),
        retry_after: limits.retry_after.unwrap_or_default(),
        max_retry_after: micros_or_zero(limits.max_retry_after_ms),
        max_attempts: limits.max_attempts.unwrap_or_default(),
        stream_kb_per_s: caching.stream_kb_per_s.unwrap_or_default(),
        cache_slow_start: cache_slow_start(&document.slow_start),
        parent_slow_start: parent_slow_start(caching, &document.slow_start),
        purge_horizon: micros_or_zero(caching.purge_horizon_ms),
    })
}
