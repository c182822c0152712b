//! Writes the settings file of a scenario's dispatcher.
use pointspindle::Micros;
use pointspindle_cache_model::WarmUpSpec;
use pointspindle_scenario::ini_writer::{IniWriter, SectionSpacing};
use pointspindle_scenario::{Idempotency, RequestClass, Scenario};
use std::net::SocketAddr;
use std::path::Path;

/// Prefix of the scenario's keys in etcd.
pub const ETCD_PREFIX: &str = "/day";

/// Maximum number of streams that a dispatcher accepts on one connection.
const MAX_STREAMS: u32 = 4096;

/// Number of path segments of an HTTP request that identify its purge group.
const GROUP_SEGMENTS: u32 = 2;

/// The addresses on which a dispatcher listens. Their ports are 0 at its first start, and stay the same on a restart.
#[derive(Clone, Copy, Debug)]
pub struct ListenAddresses {
    /// Address for HTTP clients.
    pub http: SocketAddr,
    /// Address for clients of the framed protocol.
    pub framed: SocketAddr,
    /// Address for control connections.
    pub control: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
}

fn millis(time: Micros) -> f64 {
    time as f64 / 1e3
}

/// Returns the text of a dispatcher's settings file. The dispatcher connects to cache hosts from the address `bind` and
/// stores its state in the file `state`. If `etcd` is the address of an etcd endpoint, the dispatcher also receives
/// endpoint lists and purges from etcd.
pub fn dispatcher_ini(
    scenario: &Scenario,
    dispatcher: usize,
    addresses: &ListenAddresses,
    bind: &str,
    state: &Path,
    etcd: Option<&str>,
) -> String {
    let mut ini = IniWriter::new(SectionSpacing::Compact);
    write_identity(&mut ini, scenario, dispatcher, state);
    write_listeners(&mut ini, addresses);
    ini.section("upstream").key("bind", bind);
    ini.section("http").key("group_segments", GROUP_SEGMENTS);
    if let Some(endpoint) = etcd {
        ini.section("etcd")
            .key("endpoints", endpoint)
            .key("prefix", ETCD_PREFIX);
    }
    write_fleet(&mut ini, scenario);
    write_warm_up(&mut ini, "cache", scenario.fleet.cache.spec.warm_up);
    write_warm_up(&mut ini, "parent", scenario.fleet.parent.spec.warm_up);
    write_zones(&mut ini, scenario);
    for class in &scenario.workload.classes {
        write_class(&mut ini, scenario, class);
    }
    ini.finish()
}

/// Writes the dispatcher's name, zone, number and state file, and the number of dispatchers. With an injected fault,
/// each dispatcher is set up as the only one.
fn write_identity(ini: &mut IniWriter, scenario: &Scenario, dispatcher: usize, state: &Path) {
    let branch = scenario.branch_of_dispatcher(dispatcher);
    let mut section = ini.section("dispatcher");
    section
        .key("name", format_args!("d{dispatcher}"))
        .key("zone", &scenario.zones()[branch]);
    if scenario.dispatchers.assumes_single_dispatcher {
        section.key("number", 0).key("count", 1);
    } else {
        section
            .key("number", dispatcher)
            .key("count", scenario.dispatcher_count());
    }
    section.key("state_file", state.display());
}

fn write_listeners(ini: &mut IniWriter, addresses: &ListenAddresses) {
    ini.section("listen")
        .key("http", addresses.http)
        .key("framed", addresses.framed)
        .key("control", addresses.control)
        .key("metrics", addresses.metrics)
        .key("max_streams", MAX_STREAMS);
}

fn write_fleet(ini: &mut IniWriter, scenario: &Scenario) {
    let options = &scenario.dispatchers;
    let purge_deadline = scenario.limits.rules.purge_deadline;
    ini.section("fleet")
        .key("siblings", &options.siblings)
        .key("notes", &options.cache_status_notes)
        .flag("straight", options.bypasses_caches)
        .flag("joins", options.coalesces_fills)
        .key("max_attempts", options.max_attempts)
        .key("stream_kb_per_s", scenario.network.bytes_per_s / 1024.0)
        .key("purge_done_ms", millis(purge_deadline));
}

fn write_warm_up(ini: &mut IniWriter, role: &str, warm_up: WarmUpSpec) {
    ini.section(format_args!("cold {role}"))
        .key("start_share", warm_up.initial_share)
        .key("warm_within_ms", millis(warm_up.duration))
        .key("multiple", warm_up.overload_factor)
        .key("window_ms", millis(warm_up.overload_window));
}

fn write_zones(ini: &mut IniWriter, scenario: &Scenario) {
    for (zone, name) in scenario.zones().iter().enumerate() {
        let dispatchers = if scenario.dispatchers.assumes_single_dispatcher {
            usize::from(zone < scenario.fleet.branches)
        } else {
            scenario.dispatchers_of(zone).len()
        };
        ini.section(format_args!("zone {name}"))
            .key("dispatchers", dispatchers);
    }
}

fn write_class(ini: &mut IniWriter, scenario: &Scenario, class: &RequestClass) {
    let mut section = ini.section(format_args!("class {}", class.name));
    section
        .key("deadline_ms", millis(class.deadline))
        .key("aim_ms", millis(class.latency_objective))
        .key("aim_stretch", class.latency_objective_stretch)
        .key("worth", class.priority_weight)
        .key("fresh_ms", millis(class.freshness_lifetime))
        .key("grace_ms", millis(class.stale_if_error));
    match class.idempotency {
        Idempotency::Idempotent => section.key("path_prefix", format_args!("/{}/", class.name)),
        Idempotency::Keyed => section
            .key("repeat", "keyed")
            .key("key_group", "all")
            .key(
                "key_window_ms",
                millis(scenario.dispatchers.idempotency_window),
            )
            .key("uncacheable", "yes"),
        Idempotency::NotIdempotent => section.key("repeat", "unsafe").key("uncacheable", "yes"),
    };
}
