//! Freshness lifetime and age of an HTTP response in a shared cache (RFC 9111, sections 4.2 and 5.2).
use pointspindle::Micros;
use std::time::{SystemTime, UNIX_EPOCH};

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Caching properties of a response, as derived from its header fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    /// Whether the response must not be stored.
    pub no_store: bool,
    /// Freshness lifetime, counted from the generation of the response at the origin; `None` if it is not declared.
    pub lifetime: Option<Micros>,
    /// Age of the response at the arrival of its head.
    pub age: Micros,
}

/// The directives of `Cache-Control` that matter to a shared cache.
#[derive(Default)]
struct CacheControl {
    no_store: bool,
    no_cache: bool,
    max_age: Option<u64>,
    s_maxage: Option<u64>,
}

impl CacheControl {
    /// Parses the field value. If a directive is repeated, its first value applies.
    fn parse(text: &str) -> Self {
        let mut control = Self::default();
        for directive in text.split(',') {
            let (name, value) = directive.split_once('=').unwrap_or((directive, ""));
            match name.trim().to_ascii_lowercase().as_str() {
                "no-store" | "private" => control.no_store = true,
                "no-cache" => control.no_cache = true,
                "max-age" => {
                    control.max_age.get_or_insert(delta_seconds(value));
                }
                "s-maxage" => {
                    control.s_maxage.get_or_insert(delta_seconds(value));
                }
                _ => {}
            }
        }
        control
    }
}

/// Parses a number of seconds. An invalid one is read as 0, which makes the response stale (4.2.1).
fn delta_seconds(value: &str) -> u64 {
    value.trim().trim_matches('"').parse().unwrap_or(0)
}

fn unix_seconds(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}

fn http_date(value: &str) -> Option<u64> {
    httpdate::parse_http_date(value).ok().map(unix_seconds)
}

/// Evaluates header fields, whose names must be in lower case. `response_delay` is the time from sending the request to
/// receiving the head; `now_s` is the time in seconds since the Unix epoch.
pub fn freshness(fields: &[(String, String)], response_delay: Micros, now_s: u64) -> Freshness {
    let values = |name: &'static str| {
        fields
            .iter()
            .filter(move |(n, _)| n == name)
            .map(|(_, value)| value.as_str())
    };
    let control = CacheControl::parse(&values("cache-control").collect::<Vec<_>>().join(","));
    let date = values("date").next().and_then(http_date);
    // An invalid Expires value is treated as a time in the past (5.3).
    let expires = values("expires")
        .next()
        .map(|value| http_date(value).unwrap_or(0))
        .map(|expires| expires.saturating_sub(date.unwrap_or(now_s)));
    let lifetime = if control.no_cache {
        Some(0)
    } else {
        control.s_maxage.or(control.max_age).or(expires)
    };
    // The age is the larger of the apparent and the corrected age (4.2.3).
    let apparent_age = date.map_or(0, |date| now_s.saturating_sub(date));
    let age_value = values("age")
        .next()
        .and_then(|value| value.trim().parse::<u64>().ok())
        .unwrap_or(0);
    let corrected_age = age_value
        .saturating_mul(MICROS_PER_SECOND)
        .saturating_add(response_delay);
    Freshness {
        no_store: control.no_store,
        lifetime: lifetime.map(|seconds| seconds.saturating_mul(MICROS_PER_SECOND)),
        age: corrected_age.max(apparent_age.saturating_mul(MICROS_PER_SECOND)),
    }
}

#[cfg(test)]
mod tests;
