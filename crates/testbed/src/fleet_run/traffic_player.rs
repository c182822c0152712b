//! Starts the clients' calls at their scheduled times.
use super::clients::Clients;
use super::run_clock::RunClock;
use pointspindle_scenario::Traffic;
use std::sync::Arc;
use tokio::task::JoinSet;

/// Starts every call at its scheduled time and waits until all calls have ended.
pub(super) async fn play_traffic(clients: Arc<Clients>, traffic: Traffic, clock: RunClock) {
    let mut running = JoinSet::new();
    for (call_number, call) in traffic.calls.into_iter().enumerate() {
        clock.sleep_until(call.at).await;
        running.spawn(clients.clone().call(call_number as u64, call));
        while running.try_join_next().is_some() {}
    }
    while running.join_next().await.is_some() {}
}
