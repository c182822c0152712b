//! Tests of the state file across restarts and failures of its directory: its content never replaces newer state, and a
//! failed write is retried.
use pointspindle_config::parse;
use pointspindle_dispatcher::core::state::Snapshot;
use pointspindle_dispatcher::{ControlSink, ControlSource, PreparedDispatcher};
use pointspindle_protocol::{
    EndpointListForm, EndpointListHead, EndpointRecord, PurgeHead, WireEndpointState,
};
use pointspindle_transport::Network;
use std::path::Path;
use std::time::Duration;
use tokio::sync::oneshot;

const TIMEOUT: Duration = Duration::from_secs(10);
const ENDPOINT: &str = "127.0.0.1:9";

fn settings(state: &Path) -> pointspindle_config::DispatcherSettings {
    let text = format!(
        "[dispatcher]\nzone = b\nstate_file = {}\n[listen]\nhttp = 127.0.0.1:0\ndrain_ms = 100\n[zone b]\ndispatchers = 1\n\
         [class page]\npath_prefix = /page/\ndeadline_ms = 4000\n",
        state.display()
    );
    parse("test", &text).unwrap_or_else(|e| panic!("{e}"))
}

fn list(form: EndpointListForm, seq: u64, state: WireEndpointState) -> EndpointListHead {
    let endpoint = EndpointRecord {
        address: ENDPOINT.into(),
        state: state as i32,
        weight: 8.0,
        zone: "b".into(),
        kind: "cache".into(),
        ..Default::default()
    };
    EndpointListHead {
        form: form as i32,
        seq,
        endpoints: vec![endpoint],
    }
}

/// Control source that applies one endpoint list and then passes its sink to the test.
struct SingleListSource {
    list: EndpointListHead,
    sink: oneshot::Sender<ControlSink>,
}

impl ControlSource for SingleListSource {
    async fn run(self, sink: ControlSink) {
        sink.apply_endpoint_list(self.list);
        sink.set_current(true);
        let _ = self.sink.send(sink);
    }
}

/// The state file lists the endpoint as ready, and the control source reports a newer list in which it is draining.
#[tokio::test]
async fn source_list_before_listeners_open_is_not_replaced_by_state_file() {
    let directory = tempfile::tempdir().unwrap();
    let state = directory.path().join("edge.state");
    let before = Snapshot::new(
        list(EndpointListForm::Full, 7, WireEndpointState::Ready),
        Vec::new(),
    );
    std::fs::write(&state, before.to_bytes(1, None)).unwrap();
    let mut prepared = PreparedDispatcher::new(Network::Tcp, settings(&state), 1).await;
    let (sender, sink) = oneshot::channel();
    prepared.follow(SingleListSource {
        list: list(EndpointListForm::Full, 9, WireEndpointState::Draining),
        sink: sender,
    });
    assert!(prepared.wait_until_current(TIMEOUT).await);
    let sink = sink.await.unwrap();
    let dispatcher = prepared.open().await.unwrap();
    let now = sink.endpoint_list();
    assert_eq!(
        (now.seq, now.endpoints[0].state()),
        (9, WireEndpointState::Draining),
        "the older list of the state file replaced the newer one"
    );
    dispatcher.stop().await;
}

/// Waits until the state file contains `count` purges.
async fn wait_for_purges_in_file(state: &Path, count: usize) {
    let is_written = || {
        let bytes = std::fs::read(state).unwrap_or_default();
        let snapshot = Snapshot::from_bytes(&bytes).ok();
        snapshot.is_some_and(|snapshot| snapshot.restore(None).purges.len() == count)
    };
    while !is_written() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn object_purge(object: &str) -> PurgeHead {
    PurgeHead {
        object: Some(object.into()),
        group: 1,
        age_us: 0,
        seq: 0,
    }
}

/// A purge that is applied while the directory of the state file is missing is written later, without a further update.
#[tokio::test]
async fn state_that_could_not_be_written_is_written_later() {
    let directory = tempfile::tempdir().unwrap();
    let state_directory = directory.path().join("state");
    let moved_directory = directory.path().join("away");
    std::fs::create_dir(&state_directory).unwrap();
    let state = state_directory.join("edge.state");
    let mut prepared = PreparedDispatcher::new(Network::Tcp, settings(&state), 1).await;
    let (sender, sink) = oneshot::channel();
    prepared.follow(SingleListSource {
        list: list(EndpointListForm::Full, 9, WireEndpointState::Ready),
        sink: sender,
    });
    let sink = sink.await.unwrap();
    let dispatcher = prepared.open().await.unwrap();
    sink.apply_purge(object_purge("/page/1"));
    tokio::time::timeout(TIMEOUT, wait_for_purges_in_file(&state, 1))
        .await
        .expect("the first purge is written");
    std::fs::rename(&state_directory, &moved_directory).unwrap();
    sink.apply_purge(object_purge("/page/2"));
    // Leaves time for a write to fail; a later one finds the directory again.
    tokio::time::sleep(Duration::from_millis(300)).await;
    std::fs::rename(&moved_directory, &state_directory).unwrap();
    tokio::time::timeout(TIMEOUT, wait_for_purges_in_file(&state, 2))
        .await
        .expect("the second purge is written eventually");
    dispatcher.stop().await;
}
