//! Members on sockets: what their answers claim of their copies must be true.
use pointspindle_audit::trace::Recorder;
use pointspindle_cache_model::*;
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::{FetchHead, RequestHead};
use pointspindle_testbed::content::Checker;
use pointspindle_testbed::demo::{free_address, plain_host};
use pointspindle_testbed::sockets::{EmulatedHosts, EmulatedHostsOptions};
use pointspindle_transport::{CallEnd, ConnectionOptions, FramedConnection, ResponsePart};
use std::time::Duration;

const OBJECT: &str = "/page/a";

async fn version(cache: &str, source: &str, age_us: u64) -> u64 {
    let socket = tokio::net::TcpStream::connect(cache).await.unwrap();
    let (link, _incoming) =
        FramedConnection::start(socket, Side::Caller, ConnectionOptions::default());
    let fetch = FetchHead {
        source: source.into(),
        retention_rank: 1,
        max_age_us: age_us,
        ..Default::default()
    };
    let head = RequestHead {
        object: OBJECT.into(),
        class: "page".into(),
        fetch: Some(fetch),
        ..Default::default()
    };
    let mut call = link.call(head).unwrap();
    let mut checker = Checker::new(pointspindle::ObjectId::named(OBJECT).0, 0);
    loop {
        match call.next().await.unwrap() {
            ResponsePart::Head(_) => {}
            ResponsePart::Data(data) => checker.take(&data),
            ResponsePart::End(CallEnd::Complete(_)) => {
                return checker.finish().1.expect("its own bytes")
            }
            other => panic!("{other:?}"),
        }
    }
}

/// Found on the bad day: the origin takes its copy, thinks, a purge is made, and the head goes out with age 0. Counted from
/// the head's arrival the copy looked younger than the purge, and was served for as long as it was kept.
#[tokio::test]
async fn a_copy_taken_before_a_purge_does_not_pass_for_younger_when_its_head_comes_late() {
    let addresses: Vec<String> = (0..2).map(|_| free_address("127.0.0.1").unwrap()).collect();
    let class = ClassModel {
        name: "page".into(),
        freshness_lifetime: 0,
        mean_transfer_time: 1_000,
        uncacheable: false,
        deduplicates: false,
    };
    let zones = vec![ZoneSpec {
        name: "b".into(),
        link: 0.0,
    }];
    let spec = CacheModelSettings {
        classes: vec![class.clone()],
        zones,
        bytes_per_s: 1e8,
        fill_speedup: 2.0,
        idempotency_window: 0,
    };
    let origin = HostSpec {
        service_time: 400_000,
        ..plain_host(addresses[1].clone(), Role::Origin, 0, 8.0)
    };
    let hosts = vec![
        plain_host(addresses[0].clone(), Role::Cache, 0, 8.0),
        origin,
    ];
    let world = CacheModel::new(spec, hosts, Box::new(|_| Some(1_000)), 3);
    let stage = EmulatedHosts::new(
        world,
        vec![class],
        Recorder::default(),
        EmulatedHostsOptions::default(),
    );
    stage.start().await.unwrap();

    let asking = tokio::spawn({
        let (cache, origin) = (addresses[0].clone(), addresses[1].clone());
        async move { version(&cache, &origin, 0).await }
    });
    // The origin has the request once the cache's fill is on its way; a purge is made while it thinks.
    tokio::time::sleep(Duration::from_millis(30)).await;
    stage.apply(ModelInput::OriginUpdate {
        object: None,
        group: 0,
    });
    let purged = stage.now();
    assert_eq!(asking.await.unwrap(), 0, "asked before the purge");
    let age = stage.now() - purged;
    assert_eq!(
        version(&addresses[0], &addresses[1], age).await,
        1,
        "nothing older than the purge will do"
    );
}
