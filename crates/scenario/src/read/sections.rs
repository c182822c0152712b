//! Reads the settings of the network, the dispatchers, the workload, the clients and the limits.
use super::ranges::ValueReader;
use crate::{
    ClientSettings, DispatcherOptions, FleetLimits, Idempotency, Limits, NetworkSettings,
    ObjectCatalogue, ObjectiveWeights, RequestClass, RuleLimits, Workload,
};
use pointspindle::Micros;
use pointspindle_transport::simulated::NetworkConditions;
use std::time::Duration;

/// Minimum period of the sine wave of the request rate, microseconds. The effect of a shorter period could not be
/// distinguished from random variation.
const MIN_WAVE_PERIOD_US: Micros = 100_000;

/// Minimum deadline of a call, microseconds.
const MIN_DEADLINE_US: Micros = 50_000;

/// Values of the key `effect` and the idempotency that each stands for.
const EFFECTS: [(&str, Idempotency); 3] = [
    ("safe", Idempotency::Idempotent),
    ("keyed", Idempotency::Keyed),
    ("unsafe", Idempotency::NotIdempotent),
];

pub(super) fn network(values: &mut ValueReader) -> NetworkSettings {
    NetworkSettings {
        bytes_per_s: values.number("fleet", "flow_kb_per_s", 1_000.0, 1.0, 1e9) * 1024.0,
        fill_speedup: values.number("fleet", "fill_pace", 3.0, 0.1, 100.0),
        branch_link_capacity: values.number("fleet", "link", 12.0, 0.0, 1e9),
        local_latency: values.millis("fleet", "near_ms", 0.2),
        hub_latency: values.millis("fleet", "to_hub_ms", 6.0),
        hub_step_latency: values.millis("fleet", "hub_step_ms", 25.0),
        simulated: NetworkConditions {
            latency: Duration::from_micros(values.millis("network", "latency_ms", 0.2)),
            jitter: Duration::from_micros(values.millis("network", "jitter_ms", 0.1)),
            loss: values.share("network", "loss", 0.0),
            retransmission_delay: Duration::from_micros(values.millis(
                "network",
                "resend_ms",
                200.0,
            )),
        },
    }
}

pub(super) fn dispatcher_options(values: &mut ValueReader) -> DispatcherOptions {
    DispatcherOptions {
        bypasses_caches: values.flag("fleet", "straight", true),
        coalesces_fills: values.flag("fleet", "joins", true),
        uses_hello: values.flag("fleet", "hello", false),
        siblings: values.name("fleet", "siblings", "zone", &["none", "zone", "any"]),
        cache_status_notes: values.name("fleet", "notes", "all", &["all", "hit", "none"]),
        knows_sizes: values.flag("fleet", "sizes_told", true),
        max_attempts: values.count("fleet", "max_attempts", 6, 1) as u32,
        idempotency_window: values.millis("fleet", "key_window_ms", 2_000.0),
        assumes_single_dispatcher: false,
    }
}

pub(super) fn workload(values: &mut ValueReader) -> Workload {
    Workload {
        calls_per_s: values.number("day", "rate", 90.0, 0.1, 1e6),
        warm_up: values.seconds("day", "warm_s", 3.0),
        wave_depth: values.number("day", "wave_depth", 0.0, 0.0, 1.0),
        wave_period: values
            .seconds("day", "wave_s", 20.0)
            .max(MIN_WAVE_PERIOD_US),
        purges_per_s: values.number("day", "purges_per_s", 0.0, 0.0, 1_000.0),
        groups: values.count("fleet", "groups", 12, 1) as u64,
        classes: classes(values),
    }
}

pub(super) fn clients(values: &mut ValueReader) -> ClientSettings {
    ClientSettings {
        retries: values.count("clients", "retries", 2, 0) as u32,
        backoff: values.millis("clients", "back_off_ms", 100.0),
        http_share: values.share("clients", "http", 0.3),
        cancel_share: values.share("clients", "hang_up", 0.01),
        retry_after_share: values.share("clients", "honour", 0.8),
        fails_over: values.flag("clients", "move", false),
    }
}

pub(super) fn limits(values: &mut ValueReader) -> Limits {
    Limits {
        rules: rules(values),
        objective: ObjectiveWeights {
            whole: values.number("goal", "whole", 0.6, 0.0, 1e3),
            worst_10s: values.number("goal", "worst_10s", 0.2, 0.0, 1e3),
            worst_class: values.number("goal", "worst_class", 0.2, 0.0, 1e3),
        },
        fleet: FleetLimits {
            in_flight: values.number("sums", "under_way", 0.0, 0.0, 1e6),
            retries: values.number("sums", "second_attempts", 0.0, 0.0, 1e3),
            fairness: values.share("sums", "fairness", 0.0),
            unaffected_service: values.share("sums", "others", 0.0),
        },
    }
}

fn rules(values: &mut ValueReader) -> RuleLimits {
    RuleLimits {
        purge_delay: values.delay_range("rules", "purge_told", 64.0, 340.0),
        endpoint_update_delay: values.delay_range("rules", "list_told", 300.0, 1_200.0),
        drain_grace: values.millis("rules", "drain_grace_ms", 1_000.0),
        purge_grace: values.millis("rules", "purge_grace_ms", 500.0),
        purge_deadline: values.millis("rules", "purge_done_ms", 6_000.0),
        timing_tolerance: values.millis("rules", "slack_ms", 150.0),
    }
}

fn classes(values: &mut ValueReader) -> Vec<RequestClass> {
    let names = values.reader.section_names("class");
    if names.is_empty() {
        let reason = "missing; at least one request class is required";
        values.reader.report("class NAME", "", reason);
    }
    names.into_iter().map(|name| class(values, name)).collect()
}

fn class(values: &mut ValueReader, name: String) -> RequestClass {
    let section = &format!("class {name}");
    let idempotency = values
        .reader
        .choice(section, "effect", Idempotency::Idempotent, &EFFECTS);
    RequestClass {
        share: values.share(section, "share", 0.5),
        mean_bytes: values.number(section, "mean_kb", 100.0, 0.1, 1e7) * 1024.0,
        size_scale: 1.0,
        sigma: values.number(section, "sigma", 0.8, 0.0, 3.0),
        catalogue: catalogue(values, section),
        latency_objective: values.millis(section, "aim_ms", 300.0),
        latency_objective_stretch: values.number(section, "aim_stretch", 2.0, 0.0, 100.0),
        deadline: values
            .millis(section, "deadline_ms", 2_500.0)
            .max(MIN_DEADLINE_US),
        priority_weight: values.number(section, "worth", 1.0, 0.0, 1e6),
        late_value: values.share(section, "late_worth", 0.15),
        stale_value: values.share(section, "old_worth", 0.7),
        idempotency,
        uncacheable: idempotency != Idempotency::Idempotent,
        freshness_lifetime: values.millis(section, "fresh_ms", 0.0),
        stale_if_error: values.millis(section, "grace_ms", 0.0),
        name,
    }
}

fn catalogue(values: &mut ValueReader, section: &str) -> ObjectCatalogue {
    ObjectCatalogue {
        objects: values.count(section, "objects", 400, 1) as u64,
        parts: values.count(section, "parts", 1, 1) as u64,
        part_interval: values.millis(section, "part_every_ms", 0.0),
        zipf: values.number(section, "zipf", 1.0, 0.01, 5.0),
        once_share: values.share(section, "once", 0.02),
        local_share: values.share(section, "local", 0.1),
    }
}
