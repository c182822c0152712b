//! Endpoint discovery: the state that the start configuration holds first, then the events of the discovery stream, for
//! as long as the dispatcher runs.
//!
//! Events are applied in the order of their revisions and once. After a gap the stream is requested again from the last
//! revision that was applied ([`stream`]).
pub mod stream;

use crate::connection_pool::{EndpointAddress, PlatformCore};
use crate::settings::PlatformSettings;
use pointspindle::Micros;
use pointspindle_clock::WallClock;
use pointspindle_dispatcher::core::Input;
use pointspindle_platform_protocol::discovery::{
    DiscoveredEndpoint, DiscoveredState, DiscoveryEvent, EndpointUpdate, KnownState, PurgeNotice,
};
use pointspindle_protocol::{
    EndpointListForm, EndpointListHead, EndpointRecord, PurgeHead, WireEndpointState,
};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// A gap that the stream repeats from the same revision is accepted after this many requests: the revisions in between
/// cannot be had.
const MAX_GAP_RETRIES: u32 = 2;

fn micros(span: Duration) -> Micros {
    span.as_micros() as Micros
}

/// What has been applied of discovery, shared by all streams that are read.
pub struct DiscoveryState {
    core: Arc<PlatformCore>,
    settings: Arc<PlatformSettings>,
    clock: WallClock,
    last_revision: u64,
    /// Number of the last endpoint list that the core was given.
    list_seq: u64,
    /// Successive requests that met a gap.
    gap_retries: u32,
    /// When all events that the stream had sent by then were applied: later events are not older. None: never.
    up_to_date_at: Option<Instant>,
}

/// Locks the state; never held across a wait.
pub fn lock(state: &Mutex<DiscoveryState>) -> MutexGuard<'_, DiscoveryState> {
    state
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// An event was missed: the stream is to be requested again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("revision {expected} is missing before {found}")]
pub struct RevisionGap {
    /// The revision that was next.
    pub expected: u64,
    /// The revision that came.
    pub found: u64,
}

impl DiscoveryState {
    /// A state before any event.
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

    /// The last revision that was applied.
    pub fn last_revision(&self) -> u64 {
        self.last_revision
    }

    /// Applies what a configuration holds. At the start all of it; later only what follows the last revision without a
    /// gap: the rest comes from the stream.
    pub fn apply_known_state(&mut self, known: KnownState) {
        let is_first = self.last_revision == 0;
        for event in known.events {
            let is_next = event.revision == self.last_revision + 1;
            if is_next || (is_first && event.revision > self.last_revision) {
                self.apply(event);
            }
        }
        if is_first {
            self.last_revision = self.last_revision.max(known.revision);
            self.mark_up_to_date(Instant::now());
        }
    }

    /// Applies an event of the stream; one that was applied already is skipped.
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
                last = self.last_revision,
                next = event.revision,
                "discovery stream has a gap; purges may have been missed"
            );
            self.core.apply(Input::UpdatesMissed);
        }
        self.gap_retries = 0;
        self.apply(event);
        Ok(())
    }

    /// All events that were sent before `at` are applied.
    fn mark_up_to_date(&mut self, at: Instant) {
        self.up_to_date_at = self.up_to_date_at.max(Some(at));
    }

    /// The age of a purge by its time stamp, and not longer than since the earliest moment at which it can have been sent.
    /// Too short an age only excludes copies that could be served.
    fn purge_age(&self, purged_at_unix_ms: f64) -> Duration {
        // The purge may have happened at the end of that millisecond.
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
        // Numbered here: events are applied in order and once, so nothing is missing between two lists.
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

    /// Updates the endpoint in the connection pool, and returns its record for the core; none: it cannot be used.
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
        let is_gone = state == WireEndpointState::Gone;
        match endpoint.address.parse::<SocketAddr>() {
            Ok(address) => self.core.transport.update_endpoint(EndpointAddress {
                id: endpoint.id.clone(),
                address,
                role,
                is_gone,
            }),
            // One that is gone needs no address.
            Err(_) if is_gone => {}
            Err(error) => {
                tracing::warn!(endpoint = endpoint.id, %error, "endpoint skipped: no address");
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
