//! The `[class NAME]` sections: request classes.
use super::HOUR_MS;
use crate::reader::Reader;
use pointspindle::{Idempotency, KeyScope, RequestClass};

/// A request class as the listeners need it; the decision module's view is in [`super::DispatcherSettings::router`].
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// Name on the wire.
    pub name: String,
    /// HTTP paths that begin so are of this class; the longest prefix counts. No two classes have the same.
    pub path_prefix: Option<String>,
    /// Deadline of a request that gives none, and the longest that one may give.
    pub deadline_us: u64,
    /// Copies are served even while purges cannot be proven to be known (`etcd.purge_within_ms`).
    pub purge_exempt: bool,
}

/// Both views of the request classes, by class number.
#[derive(Default)]
pub(super) struct Classes {
    pub(super) settings: Vec<ClassSettings>,
    pub(super) router: Vec<RequestClass>,
}

/// Reads every `[class NAME]` section in the order of the file.
pub(super) fn read(reader: &mut Reader) -> Classes {
    let mut classes = Classes::default();
    for name in reader.named("class") {
        let class = read_class(reader, name);
        report_repeated_prefix(reader, &class.settings, &classes.settings);
        classes.settings.push(class.settings);
        classes.router.push(class.router);
    }
    if classes.settings.is_empty() {
        reader.report("class NAME", "", "no class: at least one section is needed");
    }
    classes
}

fn report_repeated_prefix(reader: &mut Reader, class: &ClassSettings, earlier: &[ClassSettings]) {
    let has_same_prefix = |other: &&ClassSettings| {
        other.path_prefix.is_some() && other.path_prefix == class.path_prefix
    };
    if let Some(other) = earlier.iter().find(has_same_prefix) {
        let section = format!("class {}", class.name);
        let reason = format!("class {} has the same", other.name);
        reader.report(&section, "path_prefix", &reason);
    }
}

/// Both views of one class.
struct Class {
    settings: ClassSettings,
    router: RequestClass,
}

fn read_class(reader: &mut Reader, name: String) -> Class {
    let section = format!("class {name}");
    let path_prefix = read_path_prefix(reader, &section);
    let deadline_us = reader.ms(&section, "deadline_ms", 2_500.0, 10.0, HOUR_MS);
    let latency_objective = read_latency_objective(reader, &section, deadline_us);
    let idempotency = read_idempotency(reader, &section);
    let uncacheable = reader.flag(&section, "uncacheable", false);
    if uncacheable && path_prefix.is_some() {
        // The HTTP listener serves GET and HEAD only, which by definition change nothing.
        let reason = "uncacheable classes come by the framed protocol only";
        reader.report(&section, "path_prefix", reason);
    }
    if !uncacheable && idempotency != Idempotency::Idempotent {
        let reason = "what may be kept is safe to repeat; set uncacheable = yes";
        reader.report(&section, "repeat", reason);
    }
    let router = RequestClass {
        latency_objective,
        objective_stretch: reader.number(&section, "aim_stretch", 2.0, 0.0, 1000.0),
        priority_weight: reader.number(&section, "worth", 1.0, 0.0, 1e9),
        idempotency,
        uncacheable,
        fresh_for: reader.ms(&section, "fresh_ms", 0.0, 0.0, 1e9),
        stale_if_error: reader.ms(&section, "grace_ms", 0.0, 0.0, 1e9),
    };
    if router.stale_if_error > 0 && router.fresh_for == 0 {
        let reason = "without fresh_ms a copy never grows old";
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
        reader.report(section, "path_prefix", "a path begins with /");
    }
    Some(prefix)
}

fn read_latency_objective(reader: &mut Reader, section: &str, deadline_us: u64) -> u64 {
    let objective_us = reader.ms(section, "aim_ms", 300.0, 1.0, HOUR_MS);
    if objective_us > deadline_us {
        reader.report(section, "aim_ms", "later than deadline_ms");
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
    let window = reader.ms(section, "key_window_ms", 2_000.0, 1.0, HOUR_MS);
    let choices = [
        ("safe", Idempotency::Idempotent),
        ("keyed", Idempotency::WithKey { scope, window }),
        ("unsafe", Idempotency::NotIdempotent),
    ];
    reader.choice(section, "repeat", Idempotency::Idempotent, &choices)
}
