//! The control source that reads endpoint lists and purges from etcd and maintains the dispatcher's registration there.
use crate::client::{Etcd, EtcdAccess, EtcdError};
use crate::feed;
use crate::layout::DispatcherRecord;
use crate::watcher::{Output, ViewFreshness, Watcher, WatcherSettings};
use crate::writer::{self, RegistrationState};
use pointspindle_config::DispatcherSettings;
use pointspindle_dispatcher::{ControlSink, ControlSource};
use std::time::Duration;

/// Number of purge mark reads within one purge promise. The purge lease that a read renews lasts half the promise, so a single
/// lost response does not let it expire.
const CONFIRMATIONS_PER_PURGE_PROMISE: u64 = 6;

/// A dispatcher's connection to etcd: watches the prefix, maintains the dispatcher's registration under a lease, and follows the
/// registrations of the other dispatchers. When its task ends, the registration expires with its lease.
#[derive(Debug)]
pub struct EtcdSource {
    /// Client of the etcd cluster.
    pub etcd: Etcd,
    /// The operator's prefix, with which all keys begin.
    pub prefix: String,
    /// Name of this dispatcher.
    pub name: String,
    /// Zone of this dispatcher.
    pub zone: String,
    /// Time to live of the registration's lease, in seconds.
    pub lease_s: i64,
    /// Time-outs and intervals of the watcher.
    pub watcher_settings: WatcherSettings,
    /// Longest time until a purge is in force in this dispatcher, in milliseconds; none if the dispatcher makes no promise.
    pub purge_within_ms: Option<u64>,
    /// Seed of the backoff jitter.
    pub seed: u64,
}

impl EtcdSource {
    /// Creates the source from the settings; returns none if they have no `[etcd]` section.
    pub fn from_settings(
        settings: &DispatcherSettings,
        seed: u64,
    ) -> Result<Option<Self>, EtcdError> {
        let Some(etcd) = &settings.etcd else {
            return Ok(None);
        };
        let access = EtcdAccess {
            endpoints: etcd.endpoints.clone(),
            ca_certificate: etcd.authority.clone(),
            client_certificate: etcd.identity.clone(),
            user: etcd.user.clone(),
        };
        let watcher_settings = WatcherSettings {
            purge_confirmation_interval_us: etcd.purge_within_us / CONFIRMATIONS_PER_PURGE_PROMISE,
            ..WatcherSettings::default()
        };
        Ok(Some(Self {
            etcd: Etcd::new(&access, Duration::from_micros(etcd.call_timeout_us))?,
            prefix: etcd.prefix.clone(),
            name: settings.name.clone(),
            zone: settings.zones[settings.router.zone].clone(),
            lease_s: etcd.lease_s,
            watcher_settings,
            purge_within_ms: (etcd.purge_within_us > 0).then_some(etcd.purge_within_us / 1_000),
            seed,
        }))
    }
}

impl ControlSource for EtcdSource {
    async fn run(self, sink: ControlSink) {
        let record = DispatcherRecord {
            zone: self.zone,
            purge_within_ms: self.purge_within_ms,
        };
        let registration_sink = sink.clone();
        let registration = writer::register(
            self.etcd.clone(),
            self.prefix.clone(),
            self.name,
            record,
            self.lease_s,
            move |state, round_trip| {
                if let RegistrationState::Renewed { ttl } = state {
                    let round_trip_us = round_trip.as_micros() as u64;
                    registration_sink
                        .record_registration_renewal(round_trip_us, ttl.as_micros() as u64);
                }
                true
            },
        );
        let watcher = Watcher::new(&self.prefix, self.watcher_settings, 0, self.seed);
        let feed = feed::run(self.etcd, self.prefix, watcher, move |update| {
            apply_update(&sink, update);
            true
        });
        tokio::join!(registration, feed);
    }
}

fn apply_update(sink: &ControlSink, update: Output) {
    match update {
        Output::EndpointList(head) => {
            let endpoints = head.endpoints.len();
            tracing::info!(form = ?head.form(), endpoints, "etcd: endpoint list received");
            sink.apply_endpoint_list(head);
        }
        Output::Purge(head) => {
            tracing::info!(object = ?head.object, group = head.group, "etcd: purge received");
            sink.apply_purge(head);
        }
        Output::Dispatchers(dispatchers) => {
            tracing::info!(
                dispatchers = dispatchers.len(),
                "etcd: dispatcher registrations received"
            );
            let zones = dispatchers
                .into_iter()
                .map(|(name, record)| (name, record.zone));
            sink.apply_roster(zones.collect());
        }
        // Stored purges outlive every copy from before them, so the first snapshot holds all relevant purges. Purging
        // everything at each start would shift the load to the origin on every deployment.
        Output::UpdatesMissed { initial: true, .. } => {}
        Output::UpdatesMissed { age_us, .. } => {
            let missed_s = age_us as f64 / 1e6;
            tracing::warn!(missed_s, "etcd: history lost, everything counts as purged");
            sink.record_missed_updates();
        }
        Output::InvalidKey(error) => {
            tracing::warn!(%error, "etcd: invalid key skipped");
            sink.count_rejected_record();
        }
        Output::Freshness(view) => {
            if view == ViewFreshness::Stale {
                tracing::warn!("etcd: view is stale, endpoint list and purges stay as they are");
            }
            sink.set_current(view == ViewFreshness::Current);
        }
        Output::PurgesConfirmed { age_us } => sink.confirm_purges(age_us),
        // The feed executes these requests itself and does not pass them on.
        Output::ReadSnapshot
        | Output::StartWatch { .. }
        | Output::RequestProgress
        | Output::ReadPurgeMark { .. }
        | Output::CancelRequest => {}
    }
}
