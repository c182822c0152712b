//! The settings document, as the first message of the simulator and the start configuration contain it, and its
//! translation into the router's settings. Absent and null values are both `None`; unknown keys are skipped.
use pointspindle::*;
use serde::Deserialize;

/// Declares the structs of the document. Fields after `required` must be present, fields after `optional` may be absent
/// or null. Each field is declared with its key in the document.
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
    /// The complete document.
    SettingsDocument {
        required {
            /// Rule of the slow start of caches.
            slow_start = "Rules": SlowStartDocument,
            /// Rules of filling, freshness and the layout of caches.
            caching = "FamilyInfo": CachingDocument,
        }
        optional {
            /// Limits on what a router does with endpoints; required by [`router_settings`].
            upstream_limits = "Allowed": UpstreamLimitsDocument,
            /// Number of routers.
            routers = "Balancers": u32,
            /// Index of this router among the routers.
            router_index = "Me": u32,
            /// Request classes.
            classes = "Classes": Vec<ClassDocument>,
            /// Meaning of the weight of an endpoint.
            weight_source = "WeightSource": String,
            /// Index of this router's zone.
            zone = "Zone": usize,
            /// Names of the zones.
            zones = "Zones": Vec<String>,
            /// Names of the kinds of endpoints.
            kinds = "Kinds": Vec<String>,
        }
    }
    /// Rule of the slow start of caches.
    SlowStartDocument {
        required {}
        optional {
            /// Share of its capacity that a cache has at least when it starts.
            initial_share = "StartCapacity": f64,
            /// Time after which a cache has its full capacity, in milliseconds.
            ramp_ms = "WarmWithinMs": f64,
            /// Multiple of its current capacity at which a cache is overloaded.
            overload_factor = "OverloadFactor": f64,
            /// Time for which an overload lasts before the endpoint fails, in milliseconds.
            overload_window_ms = "FallMs": f64,
        }
    }
    /// Limits on what a router does with endpoints.
    UpstreamLimitsDocument {
        required {}
        optional {
            /// Largest number of attempts of one request.
            max_attempts = "MaxAttempts": u32,
            /// Whether attempts may be cancelled.
            may_cancel = "MayCancel": bool,
            /// Whether rejections carry a time to retry after.
            retry_after = "RetryAfter": bool,
            /// Longest time to retry after, in milliseconds.
            max_retry_after_ms = "MaxRetryAfterMs": f64,
            /// Time-out of a connection attempt, in milliseconds.
            connect_timeout_ms = "DialTimeoutMs": f64,
            /// Time after which endpoints close idle connections, in milliseconds.
            idle_timeout_ms = "KeepaliveMs": f64,
            /// Largest number of open requests on one connection.
            max_streams = "StreamsPerConn": usize,
            /// Largest number of open requests in the router.
            max_open_requests = "MaxOpen": usize,
        }
    }
    /// A request class.
    ClassDocument {
        required {}
        optional {
            /// Name of the class.
            name = "Name": String,
            /// Longest time that a client waits, in milliseconds.
            deadline_ms = "DeadlineMs": f64,
            /// Latency objective, in milliseconds.
            latency_objective_ms = "AimMs": f64,
            /// Multiple of the transfer time that is added to the latency objective.
            objective_stretch = "AimStretch": f64,
            /// Priority weight when load is shed.
            priority_weight = "Worth": f64,
            /// Rule by which requests may be retried.
            idempotency = "Repeat": String,
            /// Scope in which an idempotency key is recognized.
            key_scope = "Group": String,
            /// Time for which an idempotency key is recognized, in milliseconds.
            key_window_ms = "KeyTtlMs": f64,
        }
    }
    /// Rules of filling, freshness and the layout of caches.
    CachingDocument {
        required {}
        optional {
            /// Index of the kind of the parent tier; negative for none.
            parent_kind = "SecondTierKind": i64,
            /// Index of the kind of the origin; negative for none.
            origin_kind = "MasterKind": i64,
            /// Number of routers, by zone.
            routers_by_zone = "InstancesByZone": Vec<u32>,
            /// Time for which a copy is fresh, in milliseconds, by class.
            fresh_for_ms = "MaxAgeMs": Vec<f64>,
            /// Time for which a stale copy may be served on errors, in milliseconds, by class.
            stale_if_error_ms = "UsableAfterMs": Vec<f64>,
            /// Whether responses are never cached, by class.
            uncacheable = "NeverKept": Vec<bool>,
            /// Whether requests may be forwarded directly to a parent or to the origin.
            direct_forwarding = "Straight": bool,
            /// Transfer rate of one response, in KB per second.
            stream_kb_per_s = "StreamKbPerS": f64,
            /// Whether caches coalesce fills of one object.
            coalesces_fills = "MergesFills": bool,
            /// Caches that may be the source of a fill for another cache.
            siblings = "Neighbours": String,
            /// Cache statuses that are reported.
            cache_status_detail = "Tells": String,
            /// Share of its capacity that a parent has at least when it starts.
            parent_initial_share = "ParentStartsAt": f64,
            /// Time after which a parent has its full capacity, in milliseconds.
            parent_ramp_ms = "UpperColdMs": f64,
            /// Multiple of its current capacity at which a parent is overloaded.
            parent_overload_factor = "ParentFallMultiple": f64,
            /// Time after which a purge has reached all caches, in milliseconds.
            purge_horizon_ms = "GoneEverywhereMs": f64,
        }
    }
}

/// Error in the settings document.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The section of upstream limits is missing.
    #[error("key Allowed is missing")]
    MissingUpstreamLimits,
    /// The value of a key is missing or unknown.
    #[error("value of key {key} is missing or unknown: {value:?}")]
    UnknownValue {
        /// Key of the value.
        key: &'static str,
        /// Value in the document.
        value: Option<String>,
    },
    /// The value of a key that may be absent is unknown.
    #[error("value of key {key} is unknown: {value:?}")]
    UnknownOptionalValue {
        /// Key of the value.
        key: &'static str,
        /// Value in the document.
        value: String,
    },
}

/// Converts milliseconds to microseconds; negative values become zero.
pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round().max(0.0) as Micros
}

/// Converts milliseconds to microseconds; `None` becomes zero.
pub fn micros_or_zero(ms: Option<f64>) -> Micros {
    micros(ms.unwrap_or_default())
}

/// Returns the value at an index of a list, or the default value if the list is absent or too short.
fn value_or_default<T: Copy + Default>(list: &Option<Vec<T>>, index: usize) -> T {
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
        other => Err(unknown_value("Group", other)),
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
        uncacheable: value_or_default(&caching.uncacheable, index),
        fresh_for: micros(value_or_default(&caching.fresh_for_ms, index)),
        stale_if_error: micros(value_or_default(&caching.stale_if_error_ms, index)),
    })
}

fn zones(document: &SettingsDocument) -> Vec<Zone> {
    let names = document.zones.iter().flatten();
    names
        .enumerate()
        .map(|(index, _)| Zone {
            routers: value_or_default(&document.caching.routers_by_zone, index),
        })
        .collect()
}

/// Converts the index of a kind; negative values mean none.
fn kind_index(kind: Option<i64>) -> Option<usize> {
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
        parent_kind: kind_index(caching.parent_kind),
        origin_kind: kind_index(caching.origin_kind),
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
        max_known_copies: DEFAULT_MAX_KNOWN_COPIES,
    })
}
