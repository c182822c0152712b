//! A demonstration fleet in one process: two cache hosts, a parent and an origin with sample objects.
use crate::emulated_hosts::{EmulatedHosts, EmulatedHostsOptions};
use pointspindle::Micros;
use pointspindle_audit::recorder::Recorder;
use pointspindle_cache_model::warm_up::WarmUpSpec;
use pointspindle_cache_model::{
    CacheModel, CacheModelSettings, ClassModel, HostSpec, ModelRequest, OverloadSpec, Role,
    ZoneSpec,
};
use pointspindle_protocol::{EndpointRecord, WireEndpointState};
use std::net::Ipv4Addr;
use tokio::net::TcpSocket;

/// Path, class and size in bytes of each sample object. Requests for any other object are answered with "not found".
pub const SAMPLE_OBJECTS: [(&str, usize, u64); 5] = [
    ("/page/welcome", 1, 2 * 1024),
    ("/page/signs/stop", 1, 6 * 1024),
    ("/page/questions/1", 1, 20 * 1024),
    ("/video/lesson-1", 0, 1024 * 1024),
    ("/video/lesson-2", 0, 4 * 1024 * 1024),
];

/// The class of pages in [`SAMPLE_OBJECTS`], the only class whose copies have a freshness lifetime.
const PAGE_CLASS: usize = 1;
const PAGE_FRESHNESS_LIFETIME: Micros = 12_000_000;
const MEAN_TRANSFER_TIME: Micros = 20_000;
const BYTES_PER_SECOND: f64 = 50e6;
const FILL_SPEEDUP: f64 = 3.0;
const IDEMPOTENCY_WINDOW: Micros = 2_000_000;
const ORIGIN_SERVICE_TIME: Micros = 5_000;
const MODEL_SEED: u64 = 1;

/// The zones of the fleet.
const CENTRAL_ZONE: usize = 0;
const BRANCH_ZONE: usize = 1;

/// Returns the settings of a host with limits too high for a demonstration to reach.
pub fn plain_host(address: String, role: Role, zone: usize, weight: f64) -> HostSpec {
    let service_time = match role {
        Role::Origin => ORIGIN_SERVICE_TIME,
        _ => 0,
    };
    HostSpec {
        address,
        role,
        zone,
        weight,
        concurrency: 64,
        queue_limit: 256,
        congestion_loss: 0.0,
        store_bytes: 64 << 20,
        fill_concurrency: 64,
        fill_timeout: 3_000_000,
        fill_retries: 1,
        abort_fill: false,
        coalesces_fills: true,
        warm_up: WarmUpSpec {
            initial_share: 0.2,
            duration: 5_000_000,
            overload_factor: 2.0,
            overload_window: 1_000_000,
        },
        service_time,
        load_report_interval: 200_000,
        pause_interval: 0,
        pause_duration: 0,
        overload: OverloadSpec {
            overload_factor: 0.0,
            window: 1_000_000,
            downtime: 0,
        },
    }
}

/// Returns an address with a free port. The port is released at once; the operating system is unlikely to assign it
/// again soon. The port is bound without listening, so that no connection reaches a copy of the socket in a process that
/// is being started.
pub fn free_address(ip: &str) -> std::io::Result<String> {
    let ip: Ipv4Addr = ip.parse().map_err(std::io::Error::other)?;
    let probe = TcpSocket::new_v4()?;
    probe.set_reuseaddr(true)?;
    probe.bind((ip, 0).into())?;
    Ok(probe.local_addr()?.to_string())
}

/// Starts the fleet and returns it with the records of its endpoint list.
pub async fn start_demo_fleet(
    class_names: [&str; 2],
    zones: [&str; 2],
) -> std::io::Result<(EmulatedHosts, Vec<EndpointRecord>)> {
    let specs = vec![
        plain_host(free_address("127.0.0.1")?, Role::Cache, BRANCH_ZONE, 8.0),
        plain_host(free_address("127.0.0.1")?, Role::Cache, BRANCH_ZONE, 8.0),
        plain_host(free_address("127.0.0.1")?, Role::Parent, CENTRAL_ZONE, 16.0),
        plain_host(free_address("127.0.0.1")?, Role::Origin, CENTRAL_ZONE, 32.0),
    ];
    let records = specs
        .iter()
        .map(|host| endpoint_record(host, zones))
        .collect();
    let classes = classes(class_names);
    let model = CacheModel::new(
        model_settings(classes.clone(), zones),
        specs,
        Box::new(sample_size),
        MODEL_SEED,
    );
    let hosts = EmulatedHosts::new(
        model,
        classes,
        Recorder::default(),
        EmulatedHostsOptions::default(),
    );
    hosts.start().await?;
    Ok((hosts, records))
}

fn classes(names: [&str; 2]) -> Vec<ClassModel> {
    let class = |(number, name): (usize, &str)| ClassModel {
        name: name.into(),
        freshness_lifetime: if number == PAGE_CLASS {
            PAGE_FRESHNESS_LIFETIME
        } else {
            0
        },
        mean_transfer_time: MEAN_TRANSFER_TIME,
        uncacheable: false,
        deduplicates: false,
    };
    names.into_iter().enumerate().map(class).collect()
}

fn model_settings(classes: Vec<ClassModel>, zones: [&str; 2]) -> CacheModelSettings {
    let zone = |name: &str| ZoneSpec {
        name: name.into(),
        link_capacity: 0.0,
    };
    CacheModelSettings {
        classes,
        zones: zones.into_iter().map(zone).collect(),
        bytes_per_s: BYTES_PER_SECOND,
        fill_speedup: FILL_SPEEDUP,
        idempotency_window: IDEMPOTENCY_WINDOW,
    }
}

/// Returns the size of a sample object in bytes.
fn sample_size(request: &ModelRequest) -> Option<u64> {
    let (_, _, bytes) = SAMPLE_OBJECTS
        .iter()
        .find(|(path, ..)| *path == &*request.object)?;
    Some(*bytes)
}

fn endpoint_record(host: &HostSpec, zones: [&str; 2]) -> EndpointRecord {
    EndpointRecord {
        address: host.address.clone(),
        state: WireEndpointState::Ready as i32,
        weight: host.weight,
        zone: zones[host.zone].into(),
        kind: host.role.name().into(),
        ..Default::default()
    }
}
