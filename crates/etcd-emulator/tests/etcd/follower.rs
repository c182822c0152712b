//! A watcher that follows the emulator and records its reports, and the stored endpoints to compare them with.
use pointspindle_etcd::layout::{self, EndpointState};
use pointspindle_etcd::proto::{KeyValue, RangeRequest};
use pointspindle_etcd::{feed, Etcd, EtcdAccess, Output, ViewFreshness, Watcher, WatcherSettings};
use pointspindle_etcd_emulator::EtcdEmulator;
use pointspindle_protocol::{EndpointListForm, EndpointListHead, WireEndpointState};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::time::Instant;

pub const PREFIX: &str = "/edge";

/// State that results from the reports of a watcher.
#[derive(Default)]
pub struct Follower {
    pub endpoints: BTreeMap<String, WireEndpointState>,
    /// Time of the report of each purge, by object.
    pub purges: BTreeMap<String, Instant>,
    /// Times of the reports of missed updates.
    pub gaps: Vec<Instant>,
    pub dispatchers: Vec<String>,
    pub view: Option<ViewFreshness>,
}

impl Follower {
    fn record(&mut self, output: Output) {
        match output {
            Output::EndpointList(head) => self.record_endpoints(head),
            Output::Purge(head) => {
                self.purges.insert(head.object.unwrap(), Instant::now());
            }
            Output::UpdatesMissed { .. } => self.gaps.push(Instant::now()),
            Output::Dispatchers(all) => self.dispatchers = all.into_keys().collect(),
            Output::Freshness(view) => self.view = Some(view),
            _ => {}
        }
    }

    fn record_endpoints(&mut self, head: EndpointListHead) {
        if head.form() == EndpointListForm::Full {
            self.endpoints.clear();
        }
        for record in head.endpoints {
            match record.state() {
                WireEndpointState::Gone => {
                    self.endpoints.remove(&record.address);
                }
                state => {
                    self.endpoints.insert(record.address, state);
                }
            }
        }
    }
}

pub fn access(address: SocketAddr) -> EtcdAccess {
    EtcdAccess {
        endpoints: vec![format!("http://{address}")],
        ..Default::default()
    }
}

/// Starts a watcher that runs until the end of the test.
pub fn follow(etcd: Etcd, seed: u64) -> Arc<Mutex<Follower>> {
    let follower = Arc::new(Mutex::new(Follower::default()));
    let recorder = follower.clone();
    let watcher = Watcher::new(PREFIX, WatcherSettings::default(), 0, seed);
    tokio::spawn(feed::run(etcd, PREFIX.into(), watcher, move |output| {
        recorder.lock().unwrap().record(output);
        true
    }));
    follower
}

/// Returns the endpoints in the emulator's store.
pub fn stored_endpoints(emulator: &EtcdEmulator) -> BTreeMap<String, WireEndpointState> {
    let key = layout::member_key(PREFIX, "").into_bytes();
    let request = RangeRequest {
        range_end: pointspindle_etcd::client::prefix_end(&key),
        key,
        ..Default::default()
    };
    let response = emulator.inspect(|store| store.range(&request)).unwrap();
    response.kvs.iter().map(stored_endpoint).collect()
}

fn stored_endpoint(kv: &KeyValue) -> (String, WireEndpointState) {
    let Ok(Some(layout::KeyName::Member(address))) = layout::parse_key(PREFIX, &kv.key) else {
        panic!("expected the key of an endpoint, got {kv:?}")
    };
    let record = layout::parse_member(&kv.key, &kv.value).unwrap();
    let state = match record.state {
        EndpointState::Ready => WireEndpointState::Ready,
        _ => WireEndpointState::Draining,
    };
    (address, state)
}
