//! Tests that responses of emulated hosts state the age of their copies correctly.
use pointspindle_audit::recorder::Recorder;
use pointspindle_cache_model::{
    CacheModel, CacheModelSettings, ClassModel, HostSpec, ModelInput, Role, ZoneSpec,
};
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::{FetchHead, RequestHead};
use pointspindle_testbed::content::BodyChecker;
use pointspindle_testbed::demo::{free_address, plain_host};
use pointspindle_testbed::emulated_hosts::{EmulatedHosts, EmulatedHostsOptions};
use pointspindle_transport::{CallEnd, ConnectionOptions, FramedConnection, ResponsePart};
use std::time::Duration;

const OBJECT: &str = "/page/a";
/// How long the origin takes to respond, in microseconds.
const ORIGIN_SERVICE_TIME: u64 = 400_000;

/// Requests the object from a cache host with a maximum age of `max_age_us`; returns the version of the response.
async fn fetched_version(cache: &str, source: &str, max_age_us: u64) -> u64 {
    let socket = tokio::net::TcpStream::connect(cache).await.unwrap();
    let (connection, _incoming) =
        FramedConnection::start(socket, Side::Caller, ConnectionOptions::default());
    let fetch = FetchHead {
        source: source.into(),
        retention_rank: 1,
        max_age_us,
        ..Default::default()
    };
    let head = RequestHead {
        object: OBJECT.into(),
        class: "page".into(),
        fetch: Some(fetch),
        ..Default::default()
    };
    let mut call = connection.call(head).unwrap();
    let mut checker = BodyChecker::new(pointspindle::ObjectId::named(OBJECT).0, 0);
    loop {
        match call.next().await.unwrap() {
            ResponsePart::Head(_) => {}
            ResponsePart::Data(data) => checker.update(&data),
            ResponsePart::End(CallEnd::Complete(_)) => {
                return checker
                    .finish()
                    .version
                    .expect("the body must match the requested object")
            }
            other => panic!("{other:?}"),
        }
    }
}

/// Starts a cache host and an origin that responds slowly.
async fn start_hosts(cache: &str, origin: &str) -> EmulatedHosts {
    let class = ClassModel {
        name: "page".into(),
        freshness_lifetime: 0,
        mean_transfer_time: 1_000,
        uncacheable: false,
        deduplicates: false,
    };
    let zone = ZoneSpec {
        name: "b".into(),
        link_capacity: 0.0,
    };
    let settings = CacheModelSettings {
        classes: vec![class.clone()],
        zones: vec![zone],
        bytes_per_s: 1e8,
        fill_speedup: 2.0,
        idempotency_window: 0,
    };
    let origin = HostSpec {
        service_time: ORIGIN_SERVICE_TIME,
        ..plain_host(origin.to_owned(), Role::Origin, 0, 8.0)
    };
    let cache = plain_host(cache.to_owned(), Role::Cache, 0, 8.0);
    let model = CacheModel::new(settings, vec![cache, origin], Box::new(|_| Some(1_000)), 3);
    let hosts = EmulatedHosts::new(
        model,
        vec![class],
        Recorder::default(),
        EmulatedHostsOptions::default(),
    );
    hosts.start().await.unwrap();
    hosts
}

/// The origin reads its copy before a purge and sends the head with age 0 after the purge. If the cache counted the age
/// from the arrival of the head, the copy would appear younger than the purge and would be served until its eviction.
#[tokio::test]
async fn copy_read_before_a_purge_counts_as_older_when_its_head_arrives_late() {
    let cache = free_address("127.0.0.1").unwrap();
    let origin = free_address("127.0.0.1").unwrap();
    let hosts = start_hosts(&cache, &origin).await;

    let before_purge = tokio::spawn({
        let cache = cache.clone();
        let origin = origin.clone();
        async move { fetched_version(&cache, &origin, 0).await }
    });
    // By now the cache's fill has reached the origin; the purge happens before the origin responds.
    tokio::time::sleep(Duration::from_millis(30)).await;
    hosts.apply(ModelInput::OriginUpdate {
        object: None,
        group: 0,
    });
    let purged_at = hosts.now();
    assert_eq!(
        before_purge.await.unwrap(),
        0,
        "a request from before the purge must get the earlier version"
    );
    let age_of_purge = hosts.now() - purged_at;
    assert_eq!(
        fetched_version(&cache, &origin, age_of_purge).await,
        1,
        "a copy from before the purge must not be served"
    );
}
