//! Resource use of one dispatcher for the same requests when the number of cache hosts, in its zone and in
//! others, grows sixteenfold.
use crate::support::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Number of requests that are measured.
const REQUESTS: u64 = 3_000;

/// Number of cache hosts in the dispatcher's zone.
const LOCAL_HOSTS: usize = 12;

/// Number of cache hosts in another zone.
const REMOTE_HOSTS: usize = 190;

/// Factor by which the number of cache hosts grows.
const GROWTH: usize = 16;

/// Resources that a dispatcher used for [`REQUESTS`] requests.
#[derive(Debug)]
struct ResourceUse {
    cpu_us_per_request: u64,
    descriptors: usize,
    connections: usize,
    peak_kb: u64,
    served: u64,
}

/// Starts a dispatcher with these numbers of cache hosts and measures its resource use.
async fn measure_resource_use(local_hosts: usize, remote_hosts: usize) -> ResourceUse {
    let discovery = DiscoveryServer::start().await;
    let connections = Arc::new(AtomicUsize::new(0));
    let mut endpoints = Vec::new();
    for n in 0..local_hosts {
        let address = start_untracked_cache_host(connections.clone()).await;
        endpoints.push(endpoint_entry(&format!("s-{n}"), address, "box", "Ready"));
    }
    let unreachable = refusing_address();
    for n in 0..remote_hosts {
        let remote = endpoint_entry(&format!("f-{n}"), unreachable, "box", "Ready");
        endpoints.push(remote.replace("\"site\":\"edge\"", "\"site\":\"hub\""));
    }
    let higher_limits = [
        ("\"sockets\":256", "\"sockets\":2048"),
        ("\"memory_mb\":32", "\"memory_mb\":128"),
    ];
    let dispatcher =
        DispatcherProcess::start_with_replacements(discovery.address, &endpoints, &higher_limits)
            .await;
    let cpu_before_us = dispatcher.cpu_time_us();
    let mut client = FastCgiClient::connect(dispatcher.address).await;
    let mut served = 0;
    let mut descriptors = 0;
    for n in 0..REQUESTS {
        let object = spread_object(n);
        client.request_page(1, &[("HTTP_X_ROW", &object)]).await;
        served += u64::from(client.response(1).await.status == 200);
        if n % 100 == 0 {
            descriptors = descriptors.max(dispatcher.open_descriptors());
        }
    }
    ResourceUse {
        cpu_us_per_request: (dispatcher.cpu_time_us() - cpu_before_us) / REQUESTS,
        descriptors,
        connections: connections.load(Ordering::SeqCst),
        peak_kb: dispatcher.peak_memory_kb(),
        served,
    }
}

/// Resource use stays within the operators' bounds. Processor time is printed and not checked because it depends
/// on the machine as well.
#[tokio::test]
async fn resource_use_with_sixteen_times_the_hosts_stays_within_its_bounds() {
    let usual = measure_resource_use(LOCAL_HOSTS, REMOTE_HOSTS).await;
    let grown = measure_resource_use(LOCAL_HOSTS * GROWTH, REMOTE_HOSTS * GROWTH).await;
    println!(
        "processor time per request: {} us, then {} us",
        usual.cpu_us_per_request, grown.cpu_us_per_request
    );
    println!("{usual:?}\n{grown:?}");
    let thousands = ((LOCAL_HOSTS + REMOTE_HOSTS) * GROWTH) as f64 / 1_000.0;
    assert!(
        grown.served as f64 >= 0.85 * usual.served as f64,
        "{grown:?}"
    );
    let peak_kb = 1.5 * usual.peak_kb as f64 + (8.0 + 4.0 * thousands) * 1_024.0;
    assert!(
        (grown.peak_kb as f64) <= peak_kb,
        "{peak_kb} kB allowed: {grown:?}"
    );
    let connections = 2.5 * usual.connections as f64 + 40.0;
    assert!(
        grown.connections as f64 <= connections,
        "{connections} connections allowed: {grown:?}"
    );
    assert!(
        grown.descriptors <= 2 * usual.descriptors + 40,
        "before the growth {usual:?}, after it {grown:?}"
    );
}
