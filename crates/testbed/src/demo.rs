//! A fleet in one process for a first try: two cache hosts, a parent and an origin with sample objects.
use crate::sockets::{EmulatedHosts, EmulatedHostsOptions};
use pointspindle_audit::trace::Recorder;
use pointspindle_cache_model::cold::WarmUpSpec;
use pointspindle_cache_model::*;
use pointspindle_protocol::EndpointRecord;

/// Sample objects: path, class and bytes. Any page or video of another name is not found.
pub const SAMPLES: [(&str, usize, u64); 5] = [
    ("/page/welcome", 1, 2 * 1024),
    ("/page/signs/stop", 1, 6 * 1024),
    ("/page/questions/1", 1, 20 * 1024),
    ("/video/lesson-1", 0, 1024 * 1024),
    ("/video/lesson-2", 0, 4 * 1024 * 1024),
];

const FLOW: f64 = 50e6;

/// A member without limits that a first try would meet.
pub fn plain_host(address: String, role: Role, zone: usize, weight: f64) -> HostSpec {
    HostSpec {
        address,
        role,
        zone,
        weight,
        concurrency: 64,
        queue: 256,
        crowding_loss: 0.0,
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
        service_time: if role == Role::Origin { 5_000 } else { 0 },
        load_report_interval: 200_000,
        pause_interval: 0,
        pause: 0,
        overload_multiple: 0.0,
        overload_window: 1_000_000,
        overload_downtime: 0,
    }
}

/// A free loopback port, given back at once: the system does not hand it out again for a while.
pub fn free_address(ip: &str) -> std::io::Result<String> {
    let listener = std::net::TcpListener::bind((ip, 0))?;
    Ok(listener.local_addr()?.to_string())
}

/// Starts the fleet; the lines of its member list.
pub async fn start(
    class_names: [&str; 2],
    zones: [&str; 2],
) -> std::io::Result<(EmulatedHosts, Vec<EndpointRecord>)> {
    let mut hosts = Vec::new();
    for (role, zone, weight) in [
        (Role::Cache, 1, 8.0),
        (Role::Cache, 1, 8.0),
        (Role::Parent, 0, 16.0),
        (Role::Origin, 0, 32.0),
    ] {
        hosts.push(plain_host(free_address("127.0.0.1")?, role, zone, weight));
    }
    let class = |(n, name): (usize, &str)| ClassModel {
        name: name.into(),
        freshness_lifetime: if n == 1 { 12_000_000 } else { 0 },
        mean_transfer_time: 20_000,
        uncacheable: false,
        deduplicates: false,
    };
    let classes: Vec<ClassModel> = class_names.into_iter().enumerate().map(class).collect();
    let spec = CacheModelSettings {
        classes: classes.clone(),
        zones: zones
            .iter()
            .map(|z| ZoneSpec {
                name: (*z).into(),
                link: 0.0,
            })
            .collect(),
        bytes_per_s: FLOW,
        fill_speedup: 3.0,
        idempotency_window: 2_000_000,
    };
    let catalogue = |w: &ModelRequest| {
        SAMPLES
            .iter()
            .find(|(name, ..)| *name == &*w.object)
            .map(|s| s.2)
    };
    let line = |h: &HostSpec| EndpointRecord {
        address: h.address.clone(),
        state: pointspindle_protocol::WireEndpointState::Ready as i32,
        weight: h.weight,
        zone: zones[h.zone].into(),
        kind: h.role.name().into(),
        ..Default::default()
    };
    let lines = hosts.iter().map(line).collect();
    let world = CacheModel::new(spec, hosts, Box::new(catalogue), 1);
    let stage = EmulatedHosts::new(
        world,
        classes,
        Recorder::default(),
        EmulatedHostsOptions::default(),
    );
    stage.start().await?;
    Ok((stage, lines))
}
