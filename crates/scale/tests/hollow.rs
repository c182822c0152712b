//! Checks that a hollow dispatcher represents a real one: after the same updates both have the same control state.
use pointspindle_config::parse;
use pointspindle_dispatcher::{PreparedDispatcher, StateCounts};
use pointspindle_etcd::layout::PurgeRecord;
use pointspindle_etcd::{writer, Etcd, EtcdAccess, EtcdSource};
use pointspindle_etcd_emulator::EtcdEmulator;
use pointspindle_scale::node::{dispatcher_settings, record, PREFIX};
use pointspindle_transport::Network;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

const TIMEOUT: Duration = Duration::from_secs(15);
const SITES: usize = 3;
const HOSTS: usize = 12;
const PURGES: usize = 40;

struct Prepared {
    dispatcher: PreparedDispatcher,
    source: EtcdSource,
}

async fn prepare(endpoint: &str, number: usize) -> Prepared {
    let settings = parse("test", &dispatcher_settings(endpoint, number, SITES, 0.0))
        .unwrap_or_else(|e| panic!("{e}"));
    let source = EtcdSource::from_settings(&settings, 1).unwrap().unwrap();
    Prepared {
        dispatcher: PreparedDispatcher::new(Network::Tcp, settings, 1).await,
        source,
    }
}

/// Writes cache host records and purges, then deletes one host's record.
async fn write_updates(etcd: &Etcd) {
    for number in 0..HOSTS {
        let address = format!("127.0.0.1:{}", 9 + number);
        let record = |_| Ok(Some(record(number, SITES)));
        writer::update_member(etcd, PREFIX, &address, record)
            .await
            .unwrap();
    }
    for number in 0..PURGES {
        let purge = PurgeRecord {
            object: Some(format!("/{number}")),
            group: number as u64,
        };
        writer::write_purge(etcd, PREFIX, &purge).await.unwrap();
    }
    writer::update_member(etcd, PREFIX, "127.0.0.1:9", |_| Ok(None))
        .await
        .unwrap();
}

/// Returns the state without the connections, which are not compared because each dispatcher opens its own.
fn control_state(counts: StateCounts) -> StateCounts {
    StateCounts {
        connections: 0,
        ..counts
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hollow_dispatcher_has_the_state_of_a_real_one_after_the_same_updates() {
    let emulator = EtcdEmulator::new(None);
    let endpoint = format!("http://{}", emulator.listen().await.unwrap());
    let access = EtcdAccess {
        endpoints: vec![endpoint.clone()],
        ..Default::default()
    };
    let etcd = Etcd::new(&access, TIMEOUT).unwrap();
    let mut prepared = prepare(&endpoint, 0).await;
    prepared.dispatcher.follow(prepared.source);
    let real = prepared.dispatcher.open().await.unwrap();
    let prepared = prepare(&endpoint, 1).await;
    let hollow = prepared
        .dispatcher
        .into_headless(prepared.source, Arc::new(|_| {}));
    write_updates(&etcd).await;
    let states_to_match = async {
        // Both dispatchers remember the deleted host as removed for some time.
        while control_state(real.state_counts()) != control_state(hollow.state_counts())
            || real.state_counts().purges != PURGES
            || real.state_counts().dispatchers != 2
        {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let result = timeout(TIMEOUT, states_to_match).await;
    assert!(
        result.is_ok(),
        "the control states differ after {TIMEOUT:?}: real {:?}, hollow {:?}",
        real.state_counts(),
        hollow.state_counts()
    );
    real.stop().await;
}
