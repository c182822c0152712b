//! Runs a process of hollow dispatchers.
use super::lag_recorder::SharedRecorder;
use super::{send_report, CommandStream, NodeError, PREFIX};
use crate::messages::{Command, DispatcherNodes, DispatcherReport, Report};
use pointspindle_config::parse;
use pointspindle_dispatcher::{
    ControlObserver, HeadlessDispatcher, PreparedDispatcher, StateCounts,
};
use pointspindle_etcd::EtcdSource;
use pointspindle_transport::Network;
use std::sync::Arc;

/// Returns the settings of a hollow dispatcher. They match those of a dispatcher in service except for the listeners.
pub fn dispatcher_settings(store: &str, number: usize, sites: usize, promise_ms: f64) -> String {
    let zones: String = (0..sites).map(|n| format!("[zone site-{n}]\n")).collect();
    format!(
        "[dispatcher]\nname = d-{number}\nzone = site-{}\n[listen]\nhttp = 127.0.0.1:0\n\
         [etcd]\nendpoints = {store}\nprefix = {PREFIX}\ntimeout_ms = 5000\npurge_within_ms = {promise_ms}\n{zones}\
         [class page]\npath_prefix = /\n",
        number % sites
    )
}

pub(super) async fn run(
    mut commands: CommandStream,
    role: DispatcherNodes,
) -> Result<(), NodeError> {
    let recorder = SharedRecorder::new()?;
    let mut dispatchers = Vec::new();
    for number in role.nodes.numbers() {
        let settings = dispatcher_settings(&role.store, number, role.nodes.sites, role.promise_ms);
        dispatchers.push(start_dispatcher(&settings, number, recorder.clone()).await?);
    }
    send_report(&Report::Done);
    while let Some(command) = commands.next().await {
        if command == Command::ResetLags {
            recorder.lock().reset_lags();
        }
        send_report(&Report::Dispatchers(report(&dispatchers, &recorder)));
    }
    Ok(())
}

/// Starts a hollow dispatcher, which runs the program's own control code, and records each update that comes into
/// force.
async fn start_dispatcher(
    settings: &str,
    number: usize,
    recorder: SharedRecorder,
) -> Result<HeadlessDispatcher, NodeError> {
    let settings = parse("hollow", settings)?;
    let seed = number as u64 + 1;
    let source = EtcdSource::from_settings(&settings, seed)?.ok_or(NodeError::NoControlStore)?;
    let prepared = PreparedDispatcher::new(Network::Tcp, settings, seed).await;
    let observer: ControlObserver = Arc::new(move |update| recorder.lock().record(number, update));
    Ok(prepared.into_headless(source, observer))
}

fn report(dispatchers: &[HeadlessDispatcher], recorder: &SharedRecorder) -> DispatcherReport {
    let recorder = recorder.lock();
    DispatcherReport {
        current: recorder.current(),
        ready_ms: recorder.ready_ms.clone(),
        purges: recorder.purges(),
        changes: recorder.changes(),
        state: total_state(dispatchers),
    }
}

fn total_state(dispatchers: &[HeadlessDispatcher]) -> StateCounts {
    let mut total = StateCounts::default();
    for state in dispatchers.iter().map(HeadlessDispatcher::state_counts) {
        total.endpoints += state.endpoints;
        total.purges += state.purges;
        total.dispatchers += state.dispatchers;
        total.connections += state.connections;
    }
    total
}
