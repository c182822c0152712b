//! The watcher over real gRPC against a stand-in etcd that drops streams, compacts, goes back in time, cuts answers into fragments,
//! falls silent and is away: whenever it is well again, the list as told is the truth and no purge was missed without a gap told.
use pointspindle_etcd::layout::{self, DispatcherRecord, MemberRecord, PurgeRecord, State};
use pointspindle_etcd::proto::RangeRequest;
use pointspindle_etcd::{
    feed, writer, Access, Etcd, EtcdError, Output, View, Watcher, WatcherSettings,
};
use pointspindle_etcd_emulator::EtcdEmulator;
use pointspindle_protocol::{EndpointListForm, WireEndpointState};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

const PREFIX: &str = "/edge";
const PATIENCE: Duration = Duration::from_secs(10);

#[derive(Default)]
struct Heard {
    list: BTreeMap<String, WireEndpointState>,
    /// With the moment of the word.
    purges: BTreeMap<String, Instant>,
    gaps: Vec<Instant>,
    dispatchers: Vec<String>,
    view: Option<View>,
}

fn access(at: std::net::SocketAddr) -> Access {
    Access {
        endpoints: vec![format!("http://{at}")],
        ..Default::default()
    }
}

fn follow(etcd: Etcd, seed: u64) -> Arc<Mutex<Heard>> {
    let heard = Arc::new(Mutex::new(Heard::default()));
    let ears = heard.clone();
    let watcher = Watcher::new(PREFIX, WatcherSettings::default(), 0, seed);
    tokio::spawn(feed::run(etcd, PREFIX.into(), watcher, move |output| {
        let mut heard = ears.lock().unwrap();
        match output {
            Output::EndpointList(head) => {
                if head.form() == EndpointListForm::Full {
                    heard.list.clear();
                }
                for line in head.endpoints {
                    match line.state() {
                        WireEndpointState::Gone => drop(heard.list.remove(&line.address)),
                        state => drop(heard.list.insert(line.address, state)),
                    }
                }
            }
            Output::Purge(head) => drop(heard.purges.insert(head.object.unwrap(), Instant::now())),
            Output::UpdatesMissed { .. } => heard.gaps.push(Instant::now()),
            Output::Dispatchers(all) => heard.dispatchers = all.into_keys().collect(),
            Output::View(view) => heard.view = Some(view),
            _ => {}
        }
        true
    }));
    heard
}

/// The members as the store has them.
fn truth(stand_in: &EtcdEmulator) -> BTreeMap<String, WireEndpointState> {
    let key = layout::member_key(PREFIX, "").into_bytes();
    let range_end = pointspindle_etcd::client::prefix_end(&key);
    let read = stand_in
        .inspect(|s| {
            s.range(&RangeRequest {
                key,
                range_end,
                ..Default::default()
            })
        })
        .unwrap();
    let line = |kv: &pointspindle_etcd::proto::KeyValue| {
        let Ok(Some(layout::KeyName::Member(address))) = layout::parse_key(PREFIX, &kv.key) else {
            panic!()
        };
        let record = layout::parse_member(&kv.key, &kv.value).unwrap();
        (
            address,
            if record.state == State::Ready {
                WireEndpointState::Ready
            } else {
                WireEndpointState::Draining
            },
        )
    };
    read.kvs.iter().map(line).collect()
}

async fn until(what: &str, mut is: impl FnMut() -> bool) {
    let began = Instant::now();
    while !is() {
        assert!(began.elapsed() < PATIENCE, "{what}: not in time");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

fn record(state: State) -> MemberRecord {
    let (zone, kind) = ("b".to_owned(), "cache".to_owned());
    MemberRecord {
        state,
        weight: 5.0,
        zone,
        kind,
        cell: 0,
        start: 1,
        started_unix_ms: None,
    }
}

/// `POINTSPINDLE_ETCD_ROUNDS` for a longer one by hand: a round is some ten writes and four faults.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whenever_it_is_well_again_the_view_is_the_truth_and_no_purge_was_missed() {
    let rounds: u64 = std::env::var("POINTSPINDLE_ETCD_ROUNDS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(60);
    let seed = 5;
    let mut dice = StdRng::seed_from_u64(seed);
    let stand_in = EtcdEmulator::new(None);
    let at = stand_in.listen().await.unwrap();
    let client = Etcd::new(&access(at), Duration::from_secs(5)).unwrap();
    let heard = follow(
        Etcd::new(&access(at), Duration::from_millis(300)).unwrap(),
        seed,
    );
    let (mut drops, mut faults, mut restores, mut purge) = (0, 0, 0, 0);
    // Written and not told yet: the object, and when.
    let mut owed: Vec<(String, Instant)> = Vec::new();
    for round in 0..rounds {
        for _ in 0..4 {
            match dice.gen_range(0..10) {
                0..=3 => {
                    stand_in.drop_streams();
                    drops += 1;
                }
                4..=5 => stand_in.compact(),
                6 => stand_in.set_faults(|f| f.fragment = 1),
                7 => stand_in.set_faults(|f| (f.fragment, f.cut_fragments) = (1, true)),
                8 => stand_in.set_faults(|f| f.no_leader = true),
                _ => stand_in.set_faults(|f| f.delay = Duration::from_millis(3)),
            }
            faults += 1;
            for _ in 0..dice.gen_range(0..6) {
                let address = format!("10.0.0.{}:80", dice.gen_range(1..8));
                match dice.gen_range(0..4) {
                    0 => {
                        purge += 1;
                        let object = format!("/o/{purge}");
                        let purged = PurgeRecord {
                            object: Some(object.clone()),
                            group: 1,
                        };
                        writer::purge(&client, PREFIX, &purged).await.unwrap();
                        owed.push((object, Instant::now()));
                    }
                    1 => drop(
                        writer::member(&client, PREFIX, &address, |_| Ok(None))
                            .await
                            .unwrap(),
                    ),
                    n => {
                        let state = if n == 2 {
                            State::Ready
                        } else {
                            State::Draining
                        };
                        let written =
                            writer::member(&client, PREFIX, &address, |_| Ok(Some(record(state))));
                        written.await.unwrap();
                    }
                }
            }
        }
        if dice.gen_bool(0.1) {
            // Half-open: everything stays connected and nothing comes.
            stand_in.set_faults(|f| f.silent = true);
            tokio::time::sleep(Duration::from_millis(dice.gen_range(10..400))).await;
        }
        if dice.gen_bool(0.1) {
            stand_in.set_faults(|f| f.away = true);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        if dice.gen_bool(0.1) {
            let (newest, compacted) = stand_in.inspect(|s| (s.revision(), s.compacted()));
            stand_in
                .restore(dice.gen_range(compacted.max(1)..=newest))
                .unwrap();
            restores += 1;
        }
        stand_in.set_faults(|f| *f = Default::default());
        until(&format!("seed {seed}, round {round}: the list"), || {
            let heard = heard.lock().unwrap();
            heard.view == Some(View::Current) && heard.list == truth(&stand_in)
        })
        .await;
        until(&format!("seed {seed}, round {round}: purges"), || {
            let heard = heard.lock().unwrap();
            owed.retain(|(object, at)| {
                !heard.purges.contains_key(object) && !heard.gaps.iter().any(|gap| gap >= at)
            });
            owed.is_empty()
        })
        .await;
    }
    let gaps = heard.lock().unwrap().gaps.len();
    println!("seed {seed}: {rounds} rounds, {drops} drops, {faults} faults, {restores} restores, {purge} purges, {gaps} gaps");
    assert!(
        gaps > 1 && restores > 0 && drops > 20,
        "the script lacks what it is for"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_dispatcher_is_counted_while_it_keeps_its_lease_and_anew_after_a_restored_cluster() {
    let stand_in = EtcdEmulator::new(None);
    let at = stand_in.listen().await.unwrap();
    let etcd = Etcd::new(&access(at), Duration::from_secs(2)).unwrap();
    let heard = follow(etcd.clone(), 1);
    let (empty, zone) = (stand_in.inspect(|s| s.revision()), "b".to_owned());
    let going = Arc::new(std::sync::atomic::AtomicBool::new(true));
    let told = going.clone();
    let registered = writer::register(
        etcd.clone(),
        PREFIX.into(),
        "one".into(),
        DispatcherRecord {
            zone,
            purge_within_ms: None,
        },
        1,
        move |_, _| told.load(std::sync::atomic::Ordering::SeqCst),
    );
    let registered = tokio::spawn(registered);
    let counted = |n: usize| heard.lock().unwrap().dispatchers.len() == n;
    until("it is counted", || counted(1)).await;
    // Longer than the lease: it is kept.
    tokio::time::sleep(Duration::from_millis(1_600)).await;
    assert!(counted(1));
    stand_in.restore(empty).unwrap();
    until("the restored cluster knows nobody", || counted(0)).await;
    until("it is written anew", || counted(1)).await;
    going.store(false, std::sync::atomic::Ordering::SeqCst);
    registered.await.unwrap();
    until("it has left", || counted(0)).await;
}

#[tokio::test]
async fn who_has_no_password_is_turned_away_and_large_views_come_page_by_page() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("password");
    let stand_in = EtcdEmulator::new(Some(("edge".into(), "open sesame".into())));
    let at = stand_in.listen().await.unwrap();
    let nobody = Etcd::new(&access(at), Duration::from_secs(2)).unwrap();
    let told = nobody.snapshot(PREFIX).await.unwrap_err().to_string();
    assert!(told.contains("invalid auth token"), "{told}");
    let open = |password: &str| {
        std::fs::write(&file, format!("{password}\n")).unwrap();
        let user = Some(("edge".to_owned(), file.clone()));
        Etcd::new(&Access { user, ..access(at) }, Duration::from_secs(2)).unwrap()
    };
    let told = open("wrong").snapshot(PREFIX).await.unwrap_err();
    assert!(
        matches!(told, EtcdError::Call { .. }) && !told.to_string().contains("wrong"),
        "{told}"
    );
    let etcd = open("open sesame");
    for n in 0..12_000 {
        if n % 4_000 == 0 {
            // One by one would take long; the pages are what is looked at.
            let puts = (n..n + 4_000).map(|n| pointspindle_etcd::proto::RequestOp {
                request: Some(pointspindle_etcd::proto::request_op::Request::Put(
                    pointspindle_etcd::proto::PutRequest {
                        key: layout::purge_key(PREFIX, &format!("{n:05}")).into_bytes(),
                        value: b"{\"group\":1}".to_vec(),
                        ..Default::default()
                    },
                )),
            });
            etcd.txn(pointspindle_etcd::proto::TxnRequest {
                success: puts.collect(),
                ..Default::default()
            })
            .await
            .unwrap();
        }
    }
    let read = etcd.snapshot(PREFIX).await.unwrap();
    let mut keys: Vec<_> = read.keys.iter().map(|kv| kv.key.clone()).collect();
    keys.dedup();
    assert_eq!((keys.len(), read.header.revision), (12_000, 4));
}
