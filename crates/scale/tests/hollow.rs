//! Hollow is not fake: after the same script a hollow dispatcher keeps what a real one keeps.
use pointspindle_config::parse;
use pointspindle_dispatcher::{PreparedDispatcher, StateCounts};
use pointspindle_etcd::layout::PurgeRecord;
use pointspindle_etcd::{writer, Access, Etcd, EtcdSource};
use pointspindle_etcd_emulator::EtcdEmulator;
use pointspindle_scale::parts::{dispatcher_settings, record, PREFIX};
use pointspindle_transport::Network;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

const PATIENCE: Duration = Duration::from_secs(15);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_hollow_dispatcher_keeps_what_a_real_one_keeps() {
    let store = EtcdEmulator::new(None);
    let at = format!("http://{}", store.listen().await.unwrap());
    let etcd = Etcd::new(
        &Access {
            endpoints: vec![at.clone()],
            ..Default::default()
        },
        PATIENCE,
    )
    .unwrap();
    let prepare = |number: usize| {
        let settings = parse("test", &dispatcher_settings(&at, number, 3, 0.0))
            .unwrap_or_else(|e| panic!("{e}"));
        let source = EtcdSource::of(&settings, 1).unwrap().unwrap();
        async move {
            (
                PreparedDispatcher::new(Network::Tcp, settings, 1).await,
                source,
            )
        }
    };
    let (mut real, source) = prepare(0).await;
    real.follow(source);
    let real = real.open().await.unwrap();
    let (hollow, source) = prepare(1).await;
    let hollow = hollow.into_hollow(source, Arc::new(|_| {}));
    for n in 0..12 {
        let address = format!("127.0.0.1:{}", 9 + n);
        writer::member(&etcd, PREFIX, &address, |_| Ok(Some(record(n, 3))))
            .await
            .unwrap();
    }
    for n in 0..40 {
        let purge = PurgeRecord {
            object: Some(format!("/{n}")),
            group: n,
        };
        writer::purge(&etcd, PREFIX, &purge).await.unwrap();
    }
    writer::member(&etcd, PREFIX, "127.0.0.1:9", |_| Ok(None))
        .await
        .unwrap();
    let kept = |i: StateCounts| (i.endpoints, i.purges, i.dispatchers);
    let same = async {
        // The one that was taken away is remembered as gone for a while, by both.
        while kept(real.state_counts()) != kept(hollow.state_counts())
            || kept(real.state_counts()).1 != 40
            || real.state_counts().dispatchers != 2
        {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let there = timeout(PATIENCE, same).await;
    assert!(
        there.is_ok(),
        "{:?} and {:?}",
        real.state_counts(),
        hollow.state_counts()
    );
    real.stop().await;
}
