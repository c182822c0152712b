//! The `[class NAME]` sections: request classes.
use super::HOUR_MS;
use crate::reader::Reader;
use pointspindle::{Idempotency, KeyScope, RequestClass};

/// Settings of a request class that the listeners use; those of the decision module are in
/// [`super::DispatcherSettings::router`].
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// Name of the class on the wire.
    pub name: String,
    /// Prefix of the HTTP paths that belong to this class; the longest matching prefix decides. Unique among the classes.
    pub path_prefix: Option<String>,
    /// Deadline in microseconds of a request that states none, and the maximum that a request may state.
    pub deadline_us: u64,
    /// Whether copies are served even while it is not certain that all purges are known (`etcd.purge_within_ms`).
    pub purge_exempt: bool,
}

/// The request classes by class number: the settings for the listeners and those for the decision module.
#[derive(Default)]
pub(super) struct Classes {
    pub(super) settings: Vec<ClassSettings>,
    pub(super) router: Vec<RequestClass>,
}

/// Reads all `[class NAME]` sections, in the order of the file.
pub(super) fn read(reader: &mut Reader) -> Classes {
    let mut classes = Classes::default();
    for name in reader.section_names("class") {
        let class = read_class(reader, name);
        report_duplicate_path_prefix(reader, &class.settings, &classes.settings);
        classes.settings.push(class.settings);
        classes.router.push(class.router);
    }
    if classes.settings.is_empty() {
        reader.report(
            "class NAME",
            "",
            "no class is defined; at least one section is required",
        );
    }
    classes
}

fn report_duplicate_path_prefix(
    reader: &mut Reader,
    class: &ClassSettings,
    earlier: &[ClassSettings],
) {
    let has_same_path_prefix = |other: &&ClassSettings| {
        other.path_prefix.is_some() && other.path_prefix == class.path_prefix
    };
    if let Some(other) = earlier.iter().find(has_same_path_prefix) {
        let section = format!("class {}", class.name);
        let reason = format!("class {} has the same path prefix", other.name);
        reader.report(&section, "path_prefix", &reason);
    }
}

/// A class: the settings for the listeners and those for the decision module.
struct Class {
    settings: ClassSettings,
    router: RequestClass,
}

fn read_class(reader: &mut Reader, name: String) -> Class {
    let section = format!("class {name}");
    let path_prefix = read_path_prefix(reader, &section);
    let deadline_us = reader.duration_us(&section, "deadline_ms", 2_500.0, 10.0, HOUR_MS);
    let latency_objective = read_latency_objective(reader, &section, deadline_us);
    let idempotency = read_idempotency(reader, &section);
    let uncacheable = reader.flag(&section, "uncacheable", false);
    if uncacheable && path_prefix.is_some() {
        // The HTTP listener serves only GET and HEAD, which by definition have no side effects.
        let reason =
            "not allowed for an uncacheable class, which is served by the framed protocol only";
        reader.report(&section, "path_prefix", reason);
    }
    if !uncacheable && idempotency != Idempotency::Idempotent {
        let reason = "must be safe unless uncacheable = yes";
        reader.report(&section, "repeat", reason);
    }
    let router = RequestClass {
        latency_objective,
        objective_stretch: reader.number(&section, "aim_stretch", 2.0, 0.0, 1000.0),
        priority_weight: reader.number(&section, "worth", 1.0, 0.0, 1e9),
        idempotency,
        uncacheable,
        fresh_for: reader.duration_us(&section, "fresh_ms", 0.0, 0.0, 1e9),
        stale_if_error: reader.duration_us(&section, "grace_ms", 0.0, 0.0, 1e9),
    };
    if router.stale_if_error > 0 && router.fresh_for == 0 {
        let reason = "has no effect without fresh_ms, because copies then never become stale";
        reader.report(&section, "grace_ms", reason);
    }
    let settings = ClassSettings {
        purge_exempt: reader.flag(&section, "purge_exempt", false),
        name,
        path_prefix,
        deadline_us,
    };
    Class { settings, router }
}

fn read_path_prefix(reader: &mut Reader, section: &str) -> Option<String> {
    let prefix = reader.non_empty_text(section, "path_prefix")?;
    if !prefix.starts_with('/') {
        reader.report(section, "path_prefix", "does not begin with /");
    }
    Some(prefix)
}

fn read_latency_objective(reader: &mut Reader, section: &str, deadline_us: u64) -> u64 {
    let objective_us = reader.duration_us(section, "aim_ms", 300.0, 1.0, HOUR_MS);
    if objective_us > deadline_us {
        reader.report(section, "aim_ms", "greater than deadline_ms");
    }
    objective_us
}

fn read_idempotency(reader: &mut Reader, section: &str) -> Idempotency {
    let scopes = [
        ("all", KeyScope::All),
        ("zone", KeyScope::Zone),
        ("cell", KeyScope::Cell),
    ];
    let scope = reader.choice(section, "key_group", KeyScope::All, &scopes);
    let window = reader.duration_us(section, "key_window_ms", 2_000.0, 1.0, HOUR_MS);
    let choices = [
        ("safe", Idempotency::Idempotent),
        ("keyed", Idempotency::WithKey { scope, window }),
        ("unsafe", Idempotency::NotIdempotent),
    ];
    reader.choice(section, "repeat", Idempotency::Idempotent, &choices)
}
