//! Endpoint discovery: applies first the state in the start configuration and then the events of the discovery stream,
//! for as long as the dispatcher runs.
//!
//! Events are applied once, in the order of their revisions. After a gap, the stream is requested again from the last
//! applied revision ([`stream`]).
pub mod stream;

use crate::connection_pool::{EndpointAddress, PlatformCore};
use crate::settings::PlatformSettings;
use pointspindle::Micros;
use pointspindle_clock::WallClock;
use pointspindle_dispatcher::core::Input;
use pointspindle_platform_protocol::discovery::{
    DiscoveredEndpoint, DiscoveredState, DiscoveryEvent, DiscoverySnapshot, EndpointUpdate,
    PurgeNotice,
};
use pointspindle_protocol::{
    EndpointListForm, EndpointListHead, EndpointRecord, PurgeHead, WireEndpointState,
};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// Number of times that the stream is requested again because of a gap before the gap is accepted: the missing
/// revisions are then no longer available.
const MAX_GAP_RETRIES: u32 = 2;

fn micros(span: Duration) -> Micros {
    span.as_micros() as Micros
}

/// Progress of discovery, shared by all streams that are read.
pub struct DiscoveryState {
    core: Arc<PlatformCore>,
    settings: Arc<PlatformSettings>,
    clock: WallClock,
    last_revision: u64,
    /// Sequence number of the last endpoint list that was applied to the core.
    list_seq: u64,
    /// Number of successive streams that ended with a gap.
    gap_retries: u32,
    /// Latest time by which all events sent so far had been applied, so that events received later were sent after it.
    /// `None` if there is no such time yet.
    up_to_date_at: Option<Instant>,
}

/// Locks the state. The lock must not be held across an await.
pub fn lock_state(state: &Mutex<DiscoveryState>) -> MutexGuard<'_, DiscoveryState> {
    state
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// One or more events were missed, and the stream must be requested again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("discovery events missing: expected revision {expected}, received {found}")]
pub struct RevisionGap {
    /// Revision that was expected.
    pub expected: u64,
    /// Revision that was received.
    pub found: u64,
}

impl DiscoveryState {
    /// Creates the state before any event.
    pub fn new(core: Arc<PlatformCore>, settings: Arc<PlatformSettings>, clock: WallClock) -> Self {
        Self {
            core,
            settings,
            clock,
            last_revision: 0,
            list_seq: 0,
            gap_retries: 0,
            up_to_date_at: None,
        }
    }

    /// Returns the last applied revision.
    pub fn last_revision(&self) -> u64 {
        self.last_revision
    }

    /// Applies the events in a configuration: at the start all of them, at a reload only those that follow the last
    /// applied revision without a gap. The stream sends the others.
    pub fn apply_discovery_snapshot(&mut self, snapshot: DiscoverySnapshot) {
        let is_first = self.last_revision == 0;
        for event in snapshot.events {
            let is_next = event.revision == self.last_revision + 1;
            if is_next || (is_first && event.revision > self.last_revision) {
                self.apply(event);
            }
        }
        if is_first {
            self.last_revision = self.last_revision.max(snapshot.revision);
            self.mark_up_to_date(Instant::now());
        }
    }

    /// Applies an event of the stream. An event that was already applied is skipped.
    pub fn apply_next(&mut self, event: DiscoveryEvent) -> Result<(), RevisionGap> {
        if event.revision <= self.last_revision {
            return Ok(());
        }
        let expected = self.last_revision + 1;
        if event.revision > expected {
            self.gap_retries += 1;
            if self.gap_retries <= MAX_GAP_RETRIES {
                return Err(RevisionGap {
                    expected,
                    found: event.revision,
                });
            }
            tracing::warn!(
                last_revision = self.last_revision,
                next_revision = event.revision,
                "discovery stream has a gap; purges may have been missed"
            );
            self.core.apply(Input::UpdatesMissed);
        }
        self.gap_retries = 0;
        self.apply(event);
        Ok(())
    }

    /// Records that all events sent before `at` are applied.
    fn mark_up_to_date(&mut self, at: Instant) {
        self.up_to_date_at = self.up_to_date_at.max(Some(at));
    }

    /// Returns the age of a purge by its time stamp, limited to the time since the earliest moment at which the purge
    /// can have been sent. An age that is too short only excludes copies that could have been served.
    fn purge_age(&self, purged_at_unix_ms: f64) -> Duration {
        // The purge may have happened at the end of the millisecond in its time stamp.
        let stamped = self.clock.age_of_ms(purged_at_unix_ms + 1.0);
        self.up_to_date_at
            .map_or(stamped, |at| stamped.min(at.elapsed()))
    }

    fn apply(&mut self, event: DiscoveryEvent) {
        self.last_revision = event.revision;
        if let Some(update) = event.endpoint_update {
            self.apply_endpoint_update(update);
        }
        if let Some(purge) = event.purge {
            self.apply_purge(purge, event.revision);
        }
    }

    fn apply_purge(&self, purge: PurgeNotice, revision: u64) {
        self.core.apply_purge(PurgeHead {
            object: purge.object,
            group: purge.group.unwrap_or_default(),
            age_us: micros(self.purge_age(purge.purged_at_unix_ms)),
            seq: revision,
        });
    }

    fn apply_endpoint_update(&mut self, update: EndpointUpdate) {
        if update.is_full {
            let ids: Vec<String> = update.endpoints.iter().map(|e| e.id.clone()).collect();
            self.core.transport.retain_only(&ids);
        }
        let endpoints: Vec<EndpointRecord> = update
            .endpoints
            .into_iter()
            .filter_map(|endpoint| self.apply_endpoint(endpoint))
            .collect();
        let ids: Vec<String> = endpoints.iter().map(|e| e.address.clone()).collect();
        // The sequence number is assigned here: events are applied once and in order, so no list is missing between
        // two.
        self.list_seq += 1;
        let form = if update.is_full {
            EndpointListForm::Full
        } else {
            EndpointListForm::Delta
        };
        self.core.apply_endpoint_list(EndpointListHead {
            form: form as i32,
            seq: self.list_seq,
            endpoints,
        });
        let ids = ids.iter().map(String::as_str);
        self.core.transport.notify_changed(ids);
    }

    /// Updates an endpoint in the connection pool and returns its record for the core, or `None` if the endpoint has an
    /// unknown state or an invalid address.
    fn apply_endpoint(&self, endpoint: DiscoveredEndpoint) -> Option<EndpointRecord> {
        let state = match endpoint.state {
            DiscoveredState::Ready => WireEndpointState::Ready,
            DiscoveredState::Draining => WireEndpointState::Draining,
            DiscoveredState::Removed => WireEndpointState::Gone,
            DiscoveredState::Unknown(state) => {
                tracing::warn!(
                    endpoint = endpoint.id,
                    state,
                    "endpoint skipped: unknown state"
                );
                return None;
            }
        };
        let role = self.settings.role(&endpoint.kind);
        let is_removed = state == WireEndpointState::Gone;
        match endpoint.address.parse::<SocketAddr>() {
            Ok(address) => self.core.transport.update_endpoint(EndpointAddress {
                id: endpoint.id.clone(),
                address,
                role,
                is_removed,
            }),
            // A removed endpoint needs no address.
            Err(_) if is_removed => {}
            Err(error) => {
                tracing::warn!(endpoint = endpoint.id, %error, "endpoint skipped: invalid address");
                return None;
            }
        }
        let started_at = endpoint.started_at_unix_ms;
        let started_ago = (started_at > 0.0).then(|| self.clock.age_of_ms(started_at));
        Some(EndpointRecord {
            address: endpoint.id,
            state: state as i32,
            weight: endpoint.weight,
            zone: endpoint.zone,
            kind: role.name().to_owned(),
            cell: endpoint.cell,
            incarnation: started_at as u64,
            started_ago_us: started_ago.map(micros),
        })
    }
}
