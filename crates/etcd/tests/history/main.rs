//! Tests the watcher against a model of etcd, with seeded sequences of writes, broken streams, split fragments, compactions,
//! unresponsive watches and restored clusters. The view always equals the store at the view's revision, no purge is missed without
//! a report of missed updates, and the dispatcher's endpoint list equals the view.
mod store_history;

use pointspindle_etcd::layout::{member_key, purge_key, EndpointState, MemberRecord, PurgeRecord};
use pointspindle_etcd::*;
use pointspindle_protocol::{EndpointListForm, WireEndpointState};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use store_history::{StoreHistory, Write};

const PREFIX: &str = "/edge";

struct WrittenPurge {
    /// Index of the store history that contains the purge.
    epoch: usize,
    revision: Revision,
    object: String,
    written_at: u64,
}

struct Simulation {
    rng: StdRng,
    /// All histories of the store; the last one is current.
    stores: Vec<StoreHistory>,
    watcher: Watcher,
    now: u64,
    /// Whether a snapshot read is in flight.
    is_reading_snapshot: bool,
    /// The requested watch: the next revision to send, and whether the watch is established.
    stream: Option<(Revision, bool)>,
    /// Fragments of the open watch that have not been sent yet.
    fragments: Vec<Vec<WatchEvent>>,
    /// Index of the store history that the view reflects.
    epoch: usize,
    /// Purges that the watcher must report. Purges in reported periods of missed updates are removed.
    unreported_purges: Vec<WrittenPurge>,
    reported_purges: Vec<String>,
    endpoint_list: BTreeMap<String, i32>,
    invalid_keys: usize,
    /// Numbers of broken streams, compactions, restores, reports of missed updates, and rejected watches.
    counts: [usize; 5],
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            stores: vec![StoreHistory::new()],
            watcher: Watcher::new(PREFIX, WatcherSettings::default(), 1_000_000, seed),
            now: 1_000_000,
            is_reading_snapshot: false,
            stream: None,
            fragments: Vec::new(),
            epoch: 0,
            unreported_purges: Vec::new(),
            reported_purges: Vec::new(),
            endpoint_list: BTreeMap::new(),
            invalid_keys: 0,
            counts: [0; 5],
        }
    }

    fn store(&mut self) -> &mut StoreHistory {
        self.stores.last_mut().unwrap()
    }

    fn handle(&mut self, input: Input) {
        let mut out = vec![];
        self.watcher
            .handle(self.now, 1_700_000_000_000, input, &mut out);
        for output in out {
            match output {
                Output::ReadSnapshot => {
                    assert!(
                        !self.is_reading_snapshot && self.stream.is_none(),
                        "at most one request is in flight"
                    );
                    self.is_reading_snapshot = true;
                }
                Output::StartWatch { start_revision } => {
                    assert!(self.stream.is_none(), "the previous watch is still open");
                    self.stream = Some((start_revision, false));
                }
                Output::RequestProgress => {}
                Output::CancelRequest => self.cancel_request(),
                Output::EndpointList(head) => {
                    if head.form() == EndpointListForm::Full {
                        self.endpoint_list.clear();
                    }
                    for endpoint in head.endpoints {
                        if endpoint.state() == WireEndpointState::Gone {
                            self.endpoint_list.remove(&endpoint.address);
                        } else {
                            self.endpoint_list.insert(endpoint.address, endpoint.state);
                        }
                    }
                }
                Output::Purge(head) => self.reported_purges.push(head.object.unwrap()),
                Output::UpdatesMissed { age_us, .. } => {
                    self.counts[3] += 1;
                    let since = self.now - age_us;
                    // The dispatcher treats everything written since then as purged.
                    self.unreported_purges
                        .retain(|purge| purge.written_at < since);
                }
                Output::InvalidKey(error) => {
                    assert!(error.to_string().contains("members/odd"), "{error}");
                    self.invalid_keys += 1;
                }
                Output::Freshness(_) | Output::Dispatchers(_) => {}
                Output::ReadPurgeMark { .. } | Output::PurgesConfirmed { .. } => {
                    unreachable!("purge confirmation is disabled")
                }
            }
        }
        self.check();
    }

    fn cancel_request(&mut self) {
        self.is_reading_snapshot = false;
        self.stream = None;
        self.fragments.clear();
    }

    fn check(&mut self) {
        let revision = self.watcher.revision();
        if revision == 0 {
            return;
        }
        let keys = self.stores[self.epoch].at(revision);
        let members: Vec<String> = keys
            .keys()
            .filter_map(|k| {
                std::str::from_utf8(k)
                    .unwrap()
                    .strip_prefix("/edge/v1/members/")
                    .map(str::to_owned)
            })
            .filter(|a| a != "odd")
            .collect();
        let viewed: Vec<String> = self.watcher.endpoints().keys().cloned().collect();
        assert_eq!(
            viewed, members,
            "the view differs from the store at revision {revision}"
        );
        for (address, record) in self.watcher.endpoints() {
            let stored: MemberRecord =
                serde_json::from_slice(&keys[member_key(PREFIX, address).as_bytes()].0).unwrap();
            assert_eq!(*record, stored);
        }
        let listed: Vec<String> = self.endpoint_list.keys().cloned().collect();
        assert_eq!(
            listed, members,
            "the dispatcher's endpoint list differs from the store"
        );
        for purge in &self.unreported_purges {
            if purge.epoch == self.epoch && purge.revision <= revision {
                assert!(
                    self.reported_purges.contains(&purge.object),
                    "the purge of {} at revision {} was not reported by revision {revision}",
                    purge.object,
                    purge.revision
                );
            }
        }
    }

    /// Performs one random step: a write, a response of etcd, a fault, or a tick.
    fn step(&mut self) {
        self.now += self.rng.gen_range(0..120_000);
        match self.rng.gen_range(0..100) {
            0..=39 => self.write(),
            40..=69 => self.respond(),
            70..=79 => {
                if self.is_reading_snapshot || self.stream.is_some() {
                    self.counts[0] += 1;
                    self.cancel_request();
                    self.handle(Input::Failed);
                }
            }
            80..=83 => {
                let newest = self.store().revision();
                let compacted = self.rng.gen_range(0..=newest);
                let store = self.store();
                store.compacted = store.compacted.max(compacted);
                self.counts[1] += 1;
            }
            84 if self.rng.gen::<f64>() < 0.3 => {
                // The cluster is restored from an older snapshot: streams break, and the revision decreases.
                let newest = self.store().revision();
                let revision = self.rng.gen_range(1..=newest) as usize;
                let restored = self.store().restored_at(revision);
                self.stores.push(restored);
                self.counts[2] += 1;
                self.cancel_request();
                self.handle(Input::Failed);
            }
            _ => {
                let next = self.watcher.next_deadline();
                if next <= self.now {
                    self.handle(Input::Tick);
                }
            }
        }
    }

    fn write(&mut self) {
        let mut writes = Vec::new();
        for _ in 0..self.rng.gen_range(1..4) {
            let n = self.rng.gen_range(0..6);
            let key = member_key(PREFIX, &format!("10.0.0.{n}:80"));
            match self.rng.gen_range(0..10) {
                0..=3 => writes.push((key.into_bytes(), Some(self.random_endpoint()))),
                4..=5 => writes.push((key.into_bytes(), None)),
                6 => writes.push((
                    member_key(PREFIX, "odd").into_bytes(),
                    Some(b"no record".to_vec()),
                )),
                // A stored purge is deleted, as when its lease expires.
                7 => writes.extend(self.stored_purge().map(|key| (key, None))),
                _ => writes.push(self.random_purge()),
            }
        }
        // An etcd transaction changes a key at most once.
        let mut keys = std::collections::BTreeSet::new();
        writes.retain(|(key, _)| keys.insert(key.clone()));
        self.store().commit(writes);
    }

    fn random_endpoint(&mut self) -> Vec<u8> {
        let state = if self.rng.gen() {
            EndpointState::Ready
        } else {
            EndpointState::Draining
        };
        let record = MemberRecord {
            state,
            weight: 5.0,
            zone: "b".into(),
            kind: "cache".into(),
            cell: 0,
            start: self.rng.gen_range(0..9),
            started_unix_ms: None,
        };
        serde_json::to_vec(&record).unwrap()
    }

    fn stored_purge(&mut self) -> Option<Vec<u8>> {
        let is_purge = |key: &&Vec<u8>| std::str::from_utf8(key).unwrap().contains("/purges/");
        self.store().newest().keys().find(is_purge).cloned()
    }

    fn random_purge(&mut self) -> Write {
        let object = format!("/o/{}", self.rng.gen::<u32>());
        let record = PurgeRecord {
            object: Some(object.clone()),
            group: 1,
        };
        let key = purge_key(PREFIX, &object.replace('/', "-"));
        let write = (key.into_bytes(), Some(serde_json::to_vec(&record).unwrap()));
        let epoch = self.stores.len() - 1;
        let revision = self.store().revision() + 1;
        self.unreported_purges.push(WrittenPurge {
            epoch,
            revision,
            object,
            written_at: self.now,
        });
        write
    }

    fn respond(&mut self) {
        let epoch = self.stores.len() - 1;
        // A restored cluster has a different id and an older revision.
        let header = Header {
            cluster: epoch as u64 + 1,
            revision: self.store().revision(),
        };
        if self.is_reading_snapshot {
            return self.send_snapshot(epoch, header);
        }
        match self.stream {
            None => {}
            Some((next_revision, false)) => self.create_watch(next_revision, header),
            Some((next_revision, true)) => self.send_watch_response(next_revision, header),
        }
    }

    fn send_snapshot(&mut self, epoch: usize, header: Header) {
        self.is_reading_snapshot = false;
        self.epoch = epoch;
        let stored = self.store().at(header.revision).iter();
        let keys = stored.map(|(key, (value, mod_revision))| KeyValue {
            key: key.clone(),
            value: value.clone(),
            mod_revision: *mod_revision,
        });
        let keys = keys.collect();
        self.handle(Input::Snapshot { header, keys });
    }

    fn create_watch(&mut self, start_revision: Revision, header: Header) {
        if start_revision <= self.store().compacted {
            self.stream = None;
            self.counts[4] += 1;
            return self.handle(Input::Compacted);
        }
        self.stream = Some((start_revision, true));
        self.handle(Input::WatchCreated { header });
    }

    fn send_watch_response(&mut self, next_revision: Revision, header: Header) {
        if !self.fragments.is_empty() {
            let events = self.fragments.remove(0);
            let fragment = !self.fragments.is_empty();
            return self.send_events(header, events, fragment);
        }
        if next_revision > header.revision {
            return self.handle(Input::Progress { header });
        }
        // One or more complete revisions are sent, sometimes in two fragments.
        let last_revision = self.rng.gen_range(next_revision..=header.revision);
        let events: Vec<WatchEvent> = (next_revision..=last_revision)
            .flat_map(|revision| self.store().events_of(revision))
            .collect();
        self.stream = Some((last_revision + 1, true));
        if events.len() > 1 && self.rng.gen::<f64>() < 0.3 {
            let split_index = self.rng.gen_range(1..events.len());
            let (first, second) = events.split_at(split_index);
            self.fragments = vec![second.to_vec()];
            self.send_events(header, first.to_vec(), true);
        } else {
            self.send_events(header, events, false);
        }
    }

    fn send_events(&mut self, header: Header, events: Vec<WatchEvent>, fragment: bool) {
        self.handle(Input::WatchEvents {
            header,
            events,
            fragment,
        });
    }

    /// Runs without further faults and checks that the view reaches the newest revision.
    fn settle(&mut self) {
        for _ in 0..400 {
            self.now += 20_000;
            self.respond();
            if self.watcher.next_deadline() <= self.now {
                self.handle(Input::Tick);
            }
        }
        assert_eq!(
            self.epoch,
            self.stores.len() - 1,
            "the view does not reflect the newest history"
        );
        let newest = self.store().revision();
        assert_eq!(self.watcher.revision(), newest);
        assert_eq!(self.watcher.view(), ViewFreshness::Current);
    }
}

#[test]
fn view_under_stream_failures_equals_store_at_its_revision() {
    let mut sums = [0; 5];
    for seed in 0..600 {
        let mut simulation = Simulation::new(seed);
        let passed = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            (0..250).for_each(|_| simulation.step());
            simulation.settle();
        }));
        assert!(passed.is_ok(), "the simulation failed with seed {seed}");
        sums.iter_mut()
            .zip(simulation.counts)
            .for_each(|(sum, n)| *sum += n);
    }
    let [broken_streams, compactions, restores, missed_updates, rejected_watches] = sums;
    println!("{broken_streams} broken streams, {compactions} compactions, {restores} restores, {missed_updates} reports of missed updates, {rejected_watches} rejected watches");
    assert!(
        broken_streams > 2_000
            && compactions > 2_000
            && restores > 100
            && missed_updates > 100
            && rejected_watches > 50,
        "{sums:?}"
    );
}

/// An open watch that sends no messages is detected by time-outs, and the view becomes stale before a drain would be late.
#[test]
fn unresponsive_watch_is_cancelled_and_view_becomes_stale() {
    let mut watcher = Watcher::new(PREFIX, WatcherSettings::default(), 0, 1);
    let mut out = vec![];
    let header = Header {
        cluster: 1,
        revision: 5,
    };
    watcher.handle(0, 0, Input::Tick, &mut out);
    watcher.handle(
        10,
        0,
        Input::Snapshot {
            header,
            keys: vec![],
        },
        &mut out,
    );
    watcher.handle(20, 0, Input::WatchCreated { header }, &mut out);
    assert!(
        out.contains(&Output::Freshness(ViewFreshness::Current))
            && out.contains(&Output::StartWatch { start_revision: 6 })
    );
    let mut progress_requested_at = None;
    let mut cancelled_at = None;
    let mut stale_at = None;
    let mut now = 20;
    while stale_at.is_none() && now < 2_000_000 {
        now = watcher.next_deadline().max(now + 1);
        let mut out = vec![];
        watcher.handle(now, 0, Input::Tick, &mut out);
        for output in out {
            match output {
                Output::RequestProgress => drop(progress_requested_at.get_or_insert(now)),
                Output::CancelRequest => drop(cancelled_at.get_or_insert(now)),
                Output::Freshness(ViewFreshness::Stale) => stale_at = Some(now),
                _ => {}
            }
        }
    }
    assert!(
        progress_requested_at.unwrap() < 200_000
            && cancelled_at.unwrap() < 400_000
            && stale_at.unwrap() <= 510_000
    );
}

/// Dispatchers that lose etcd at the same time must spread their reconnects over a bounded backoff.
#[test]
fn reconnect_backoff_grows_and_is_jittered() {
    let backoffs_of = |seed| {
        let mut watcher = Watcher::new(PREFIX, WatcherSettings::default(), 0, seed);
        let mut backoffs = vec![];
        let mut now = 0;
        for _ in 0..12 {
            let mut out = vec![];
            watcher.handle(now, 0, Input::Tick, &mut out);
            assert_eq!(out, [Output::ReadSnapshot]);
            watcher.handle(now, 0, Input::Failed, &mut out);
            backoffs.push(watcher.next_deadline() - now);
            now = watcher.next_deadline();
        }
        backoffs
    };
    let all: Vec<Vec<u64>> = (0..200).map(backoffs_of).collect();
    let first_backoffs: std::collections::BTreeSet<u64> =
        all.iter().map(|backoffs| backoffs[0]).collect();
    assert!(
        first_backoffs.len() > 190,
        "only {} of 200 first backoffs are distinct",
        first_backoffs.len()
    );
    assert!(all
        .iter()
        .all(|backoffs| (500_000..=1_500_000).contains(&backoffs[11])));
}
