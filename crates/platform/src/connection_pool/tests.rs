use super::*;
use pointspindle_platform_protocol::start_config::StartConfig;

/// Entries of removed endpoints would accumulate over the life of the dispatcher if each replacement has a new id at
/// the same address.
#[test]
fn removed_endpoints_without_connections_are_dropped() {
    let start: StartConfig = serde_json::from_str(
        r#"{"name":"n","listen":"127.0.0.1:1","board":"127.0.0.1:2",
            "limits":{"cores":1,"memory_mb":32,"sockets":256},
            "settings":{"Zone":0,"Zones":["z"],"Kinds":["box"],"Allowed":{},"Rules":{},
            "FamilyInfo":{},"Classes":[{"Name":"page","DeadlineMs":1000,"Repeat":"idempotent"}]}}"#,
    )
    .unwrap();
    let settings = PlatformSettings::new(&start).unwrap();
    let (connect_requests, _receiver) = mpsc::unbounded_channel();
    let pool = ConnectionPool::new(
        &settings,
        MemoryMonitor::unlimited(),
        PauseDetector::new(Instant::now()),
        connect_requests,
    );
    let address: SocketAddr = ([127, 0, 0, 1], 9).into();
    for n in 0..100_000 {
        let endpoint = |n: u32, is_removed| EndpointAddress {
            id: format!("s-{n}"),
            address,
            role: Role::Cache,
            is_removed,
        };
        pool.update_endpoint(endpoint(n, false));
        pool.update_endpoint(endpoint(n.saturating_sub(3), n > 3));
        if n % 1_000 == 0 {
            pool.maintain();
        }
    }
    pool.maintain();
    assert!(pool.counts().endpoints <= 4, "{:?}", pool.counts());
    pool.retain_only(&[]);
    pool.maintain();
    let empty = PoolCounts {
        connections: 0,
        endpoints: 0,
    };
    assert_eq!(pool.counts(), empty);
}
