//! Tests the watcher over gRPC against the emulator, which drops streams, compacts, restores older revisions, fragments responses,
//! stops responding and becomes unavailable. Once the faults are reset, the watcher's endpoint list must equal the store's, and no
//! purge may be missed without a report of missed updates.
mod fault_script;
mod follower;

use fault_script::FaultScript;
use follower::{access, follow, stored_endpoints, PREFIX};
use pointspindle_etcd::layout::{self, DispatcherRecord};
use pointspindle_etcd::proto::{request_op, PutRequest, RequestOp, TxnRequest};
use pointspindle_etcd::{writer, Etcd, EtcdAccess, EtcdError, ViewFreshness};
use pointspindle_etcd_emulator::{Credentials, EtcdEmulator};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const TIMEOUT: Duration = Duration::from_secs(10);
const DEFAULT_ROUNDS: u64 = 60;
const SEED: u64 = 5;

async fn wait_until(condition: &str, mut is_met: impl FnMut() -> bool) {
    let began = Instant::now();
    while !is_met() {
        assert!(
            began.elapsed() < TIMEOUT,
            "timed out after {TIMEOUT:?} waiting until {condition}"
        );
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Returns the number of rounds, which `POINTSPINDLE_ETCD_ROUNDS` overrides. A round has about ten writes and four faults.
fn rounds() -> u64 {
    std::env::var("POINTSPINDLE_ETCD_ROUNDS")
        .ok()
        .and_then(|rounds| rounds.parse().ok())
        .unwrap_or(DEFAULT_ROUNDS)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn watcher_after_faults_has_stored_endpoints_and_missed_no_purge() {
    let rounds = rounds();
    let emulator = EtcdEmulator::new(None);
    let address = emulator.listen().await.unwrap();
    let client = Etcd::new(&access(address), Duration::from_secs(5)).unwrap();
    let watcher_client = Etcd::new(&access(address), Duration::from_millis(300)).unwrap();
    let follower = follow(watcher_client, SEED);
    let mut script = FaultScript::new(emulator.clone(), client, SEED);
    for round in 0..rounds {
        script.run_round().await;
        emulator.set_faults(|faults| *faults = Default::default());
        wait_until(
            &format!("the endpoint list equals the store (seed {SEED}, round {round})"),
            || {
                let follower = follower.lock().unwrap();
                follower.view == Some(ViewFreshness::Current)
                    && follower.endpoints == stored_endpoints(&emulator)
            },
        )
        .await;
        wait_until(
            &format!("all purges are reported (seed {SEED}, round {round})"),
            || {
                let follower = follower.lock().unwrap();
                script.unreported_purges.retain(|purge| {
                    let reported = follower.purges.contains_key(&purge.object);
                    let missed = follower.gaps.iter().any(|gap| *gap >= purge.written);
                    !reported && !missed
                });
                script.unreported_purges.is_empty()
            },
        )
        .await;
    }
    let gaps = follower.lock().unwrap().gaps.len();
    println!(
        "seed {SEED}: {rounds} rounds, {}, {gaps} gaps",
        script.totals()
    );
    assert!(
        gaps > 1 && script.restores > 0 && script.drops > 20,
        "the script caused too few gaps, restores or drops"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn dispatcher_registration_is_renewed_with_its_lease_and_after_a_restore() {
    let emulator = EtcdEmulator::new(None);
    let address = emulator.listen().await.unwrap();
    let etcd = Etcd::new(&access(address), Duration::from_secs(2)).unwrap();
    let follower = follow(etcd.clone(), 1);
    let empty_revision = emulator.inspect(|store| store.revision());
    let running = Arc::new(AtomicBool::new(true));
    let continues = running.clone();
    let record = DispatcherRecord {
        zone: "b".to_owned(),
        purge_within_ms: None,
    };
    let registration = tokio::spawn(writer::register(
        etcd.clone(),
        PREFIX.into(),
        "one".into(),
        record,
        1,
        move |_, _| continues.load(Ordering::SeqCst),
    ));
    let registered = |count: usize| follower.lock().unwrap().dispatchers.len() == count;
    wait_until("the dispatcher is registered", || registered(1)).await;
    // The wait is longer than the lease, so the registration remains only if the lease is renewed.
    tokio::time::sleep(Duration::from_millis(1_600)).await;
    assert!(registered(1));
    emulator.restore(empty_revision).unwrap();
    wait_until("the restored cluster has no registration", || registered(0)).await;
    wait_until("the dispatcher is registered again", || registered(1)).await;
    running.store(false, Ordering::SeqCst);
    registration.await.unwrap();
    wait_until("the registration is removed", || registered(0)).await;
}

#[tokio::test]
async fn unauthenticated_calls_are_rejected_and_large_snapshots_are_read_in_pages() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("password");
    let emulator = EtcdEmulator::new(Some(Credentials {
        name: "edge".into(),
        password: "open sesame".into(),
    }));
    let address = emulator.listen().await.unwrap();
    let anonymous = Etcd::new(&access(address), Duration::from_secs(2)).unwrap();
    let error = anonymous.snapshot(PREFIX).await.unwrap_err().to_string();
    assert!(error.contains("invalid auth token"), "{error}");
    let client_with_password = |password: &str| {
        std::fs::write(&file, format!("{password}\n")).unwrap();
        let access = EtcdAccess {
            user: Some(("edge".to_owned(), file.clone())),
            ..access(address)
        };
        Etcd::new(&access, Duration::from_secs(2)).unwrap()
    };
    let error = client_with_password("wrong")
        .snapshot(PREFIX)
        .await
        .unwrap_err();
    assert!(
        matches!(error, EtcdError::Call { .. }) && !error.to_string().contains("wrong"),
        "{error}"
    );
    let etcd = client_with_password("open sesame");
    // The purges are written in three transactions, because separate writes would be slow and only the paging is tested.
    for first in (0..12_000).step_by(4_000) {
        let request = TxnRequest {
            success: (first..first + 4_000).map(put_purge).collect(),
            ..Default::default()
        };
        etcd.txn(request).await.unwrap();
    }
    let snapshot = etcd.snapshot(PREFIX).await.unwrap();
    let mut keys: Vec<_> = snapshot.keys.iter().map(|kv| kv.key.clone()).collect();
    keys.dedup();
    assert_eq!((keys.len(), snapshot.header.revision), (12_000, 4));
}

fn put_purge(number: usize) -> RequestOp {
    let put = PutRequest {
        key: layout::purge_key(PREFIX, &format!("{number:05}")).into_bytes(),
        value: b"{\"group\":1}".to_vec(),
        ..Default::default()
    };
    RequestOp {
        request: Some(request_op::Request::Put(put)),
    }
}
