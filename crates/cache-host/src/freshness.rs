//! How long an HTTP answer may be kept and how old it is: RFC 9111, sections 4.2 and 5.2, for a shared cache.
use pointspindle::Micros;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// What an answer's fields say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    /// Not to be kept at all.
    pub no_store: bool,
    /// Fresh for so long from its origin's giving it out; none: the origin does not say.
    pub lifetime: Option<Micros>,
    /// How old it was when it came.
    pub age: Micros,
}

/// `fields` with names in lower case; `took`: from the question to the answer's head; `now_s`: seconds since 1970.
pub fn freshness(fields: &[(String, String)], took: Micros, now_s: u64) -> Freshness {
    let all = |name: &str| {
        fields
            .iter()
            .filter(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
            .collect::<Vec<_>>()
    };
    let control = all("cache-control").join(",");
    let mut no_store = false;
    let (mut max_age, mut s_maxage, mut no_cache) = (None, None, false);
    for directive in control.split(',') {
        let (name, value) = directive.split_once('=').unwrap_or((directive, ""));
        // A number that cannot be read counts as stale (4.2.1).
        let seconds = || Some(value.trim().trim_matches('"').parse::<u64>().unwrap_or(0));
        match name.trim().to_ascii_lowercase().as_str() {
            "no-store" | "private" => no_store = true,
            "no-cache" => no_cache = true,
            "max-age" if max_age.is_none() => max_age = seconds(),
            "s-maxage" if s_maxage.is_none() => s_maxage = seconds(),
            _ => {}
        }
    }
    let date_of = |name: &str| {
        all(name)
            .first()
            .and_then(|v| httpdate::parse_http_date(v).ok())
    };
    let secs = |t: std::time::SystemTime| {
        t.duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |d| d.as_secs())
    };
    let date = date_of("date").map(secs);
    // A date that cannot be read is in the past (5.3).
    let until = |v: &&str| httpdate::parse_http_date(v).map_or(0, secs);
    let expires = all("expires")
        .first()
        .map(|v| until(v).saturating_sub(date.unwrap_or(now_s)));
    let lifetime = if no_cache {
        Some(0)
    } else {
        s_maxage.or(max_age).or(expires)
    };
    // 4.2.3, the conservative way.
    let apparent = date.map_or(0, |date| now_s.saturating_sub(date));
    let told = all("age")
        .first()
        .and_then(|v| v.trim().parse::<u64>().ok())
        .unwrap_or(0);
    let corrected = told.saturating_mul(MICROS_PER_SECOND).saturating_add(took);
    let age = corrected.max(apparent.saturating_mul(MICROS_PER_SECOND));
    Freshness {
        no_store,
        lifetime: lifetime.map(|s| s.saturating_mul(MICROS_PER_SECOND)),
        age,
    }
}

#[cfg(test)]
mod tests;
