//! Reads the fleet and the settings of its hosts.
use super::ranges::ValueReader;
use crate::{Fleet, HostKind};
use pointspindle_cache_model::WarmUpSpec;
use pointspindle_cache_model::{HostSpec, OverloadSpec, Role};

/// Minimum window in which overload is measured during the warm-up, microseconds.
const MIN_OVERLOAD_WINDOW_US: u64 = 1_000;

/// Warm-up settings of the origin, which has no warm-up: it has full capacity from the start, and the overload factor
/// is never reached.
const ORIGIN_WARM_UP: WarmUpSpec = WarmUpSpec {
    initial_share: 1.0,
    duration: 0,
    overload_factor: 1e9,
    overload_window: 1_000_000,
};

pub(super) fn fleet(values: &mut ValueReader) -> Fleet {
    Fleet {
        branches: values.count("fleet", "branches", 3, 1),
        hubs: values.count("fleet", "hubs", 2, 1),
        caches_per_branch: values.count("fleet", "caches", 3, 1),
        dispatchers_per_branch: values.count("fleet", "dispatchers", 1, 1),
        parents: values.count("fleet", "parents", 2, 0),
        cache: host_kind(values, "cache", Role::Cache, 8.0),
        parent: host_kind(values, "parent", Role::Parent, 24.0),
        origin: host_kind(values, "origin", Role::Origin, 32.0),
    }
}

fn host_kind(values: &mut ValueReader, section: &str, role: Role, default_weight: f64) -> HostKind {
    let warm_up = match role {
        Role::Origin => ORIGIN_WARM_UP,
        Role::Cache | Role::Parent => warm_up(values, &format!("cold {section}")),
    };
    let spec = HostSpec {
        address: String::new(),
        role,
        zone: 0,
        weight: values.number(section, "weight", default_weight, 0.01, 1e6),
        concurrency: values.count(section, "places", 64, 1),
        queue_limit: values.count(section, "queue", 128, 0),
        congestion_loss: values.number(section, "thrash", 0.02, 0.0, 10.0),
        store_bytes: (values.number(section, "store_mb", 24.0, 0.0, 1e7) * 1024.0 * 1024.0) as u64,
        fill_concurrency: values.count(section, "fill_places", 32, 1),
        fill_timeout: values.millis(section, "fill_timeout_ms", 2_000.0),
        fill_retries: values.count(section, "fill_retries", 1, 0) as u32,
        abort_fill: values.flag(section, "abort_fill", false),
        coalesces_fills: role == Role::Parent && values.flag(section, "joins", true),
        warm_up,
        service_time: 0,
        load_report_interval: values.millis(section, "report_ms", 400.0),
        pause_interval: values.millis(section, "pause_every_ms", 0.0),
        pause_duration: values.millis(section, "pause_ms", 0.0),
        overload: OverloadSpec {
            overload_factor: 0.0,
            window: 1,
            downtime: 0,
        },
    };
    HostKind {
        spec: match role {
            Role::Origin => origin_spec(values, section, spec),
            Role::Cache | Role::Parent => spec,
        },
        weight_spread: values.share(section, "spread", 0.0),
    }
}

fn warm_up(values: &mut ValueReader, section: &str) -> WarmUpSpec {
    WarmUpSpec {
        initial_share: values.share(section, "start_share", 0.2),
        duration: values.millis(section, "warm_within_ms", 15_000.0),
        overload_factor: values.number(section, "multiple", 2.0, 0.1, 1e6),
        overload_window: values
            .millis(section, "window_ms", 2_000.0)
            .max(MIN_OVERLOAD_WINDOW_US),
    }
}

/// Adds the settings that only the origin has: its service time, and its outage after an overload.
fn origin_spec(values: &mut ValueReader, section: &str, spec: HostSpec) -> HostSpec {
    HostSpec {
        service_time: values.millis(section, "think_ms", 30.0),
        overload: OverloadSpec {
            overload_factor: values.number(section, "fall_multiple", 0.0, 0.0, 1e6),
            window: values.millis(section, "fall_window_ms", 3_000.0),
            downtime: values.millis(section, "fall_down_ms", 5_000.0),
        },
        ..spec
    }
}
