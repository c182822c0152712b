//! Background tasks of a host: recovery and periodic sync of the store, and work leases during the warm-up.
use super::host_state::{lease_head, Shared};
use pointspindle_protocol::{Frame, LeaseHead};
use pointspindle_store::Store;
use pointspindle_transport::FramedConnection;
use std::sync::Arc;
use std::time::Duration;

/// Recovers the store from disk, then syncs it periodically.
pub(super) async fn maintain_store(shared: Arc<Shared>) {
    let (Some(store), Some(settings)) = (&shared.store, &shared.settings.store) else {
        return;
    };
    if !recover(&shared, store).await {
        return;
    }
    for reason in store.recovery_damage() {
        tracing::warn!(reason, "store recovery found damage");
    }
    loop {
        tokio::time::sleep(Duration::from_micros(settings.sync_us)).await;
        let syncing = store.clone();
        let synced = tokio::task::spawn_blocking(move || syncing.sync()).await;
        if let Ok(Err(e)) = synced {
            tracing::error!(error = %e, "store sync failed");
        }
    }
}

/// Recovers the copies that an earlier process stored, step by step. Returns false if the task of a step did not
/// complete.
async fn recover(shared: &Shared, store: &Store) -> bool {
    loop {
        let recovering = store.clone();
        let clock = shared.clock;
        let step = move || recovering.recover(clock.steady_ms());
        match tokio::task::spawn_blocking(step).await {
            Ok(Ok(true)) => {}
            Ok(Ok(false)) => return true,
            Ok(Err(e)) => {
                tracing::error!(error = %e, "store recovery failed; copies not yet recovered are not served");
                return true;
            }
            Err(_) => return false,
        }
    }
}

/// Grants and sends the leases of each slot until the host has warmed up.
pub(super) async fn grant_leases(shared: Arc<Shared>) {
    while let Some(next_slot) = shared.next_lease_slot() {
        tokio::time::sleep(Duration::from_micros(
            next_slot.saturating_sub(shared.now()),
        ))
        .await;
        for (connection, lease) in slot_leases(&shared) {
            connection.push_control(Frame::Lease(lease));
        }
    }
}

/// Returns the leases of the slot that begins now, with their connections. Ends the warm-up when its time is over.
fn slot_leases(shared: &Shared) -> Vec<(FramedConnection, LeaseHead)> {
    let mut state = shared.lock();
    let now = shared.now();
    let Some(warm_up) = &mut state.warm_up else {
        return Vec::new();
    };
    if warm_up.ledger.is_over(now) {
        state.warm_up = None;
        return Vec::new();
    }
    let mut leases = Vec::new();
    for grant in warm_up.ledger.start_slot(now) {
        if let Some(connection) = warm_up.connections.get(&grant.holder) {
            leases.push((connection.clone(), lease_head(&grant)));
        }
    }
    leases
}
