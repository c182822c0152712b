//! A dispatcher's source: follows the prefix, keeps the dispatcher registered, and counts the others.
use crate::client::{Access, Etcd, EtcdError};
use crate::feed;
use crate::layout::DispatcherRecord;
use crate::watcher::{Output, Rule, View, Watcher};
use crate::writer::{self, Kept};
use pointspindle_config::DispatcherSettings;
use pointspindle_dispatcher::{ControlSink, ControlSource};
use std::time::Duration;

#[derive(Debug)]
pub struct EtcdSource {
    pub etcd: Etcd,
    pub prefix: String,
    pub name: String,
    pub zone: String,
    /// Seconds of the registration's lease.
    pub lease_s: i64,
    pub rule: Rule,
    /// What this dispatcher promises of purges, in milliseconds; none: nothing.
    pub purge_within_ms: Option<u64>,
    pub seed: u64,
}

impl EtcdSource {
    /// As a dispatcher's settings say; none where they say nothing of etcd.
    pub fn of(settings: &DispatcherSettings, seed: u64) -> Result<Option<Self>, EtcdError> {
        let Some(e) = &settings.etcd else {
            return Ok(None);
        };
        let access = Access {
            endpoints: e.endpoints.clone(),
            authority: e.authority.clone(),
            identity: e.identity.clone(),
            user: e.user.clone(),
        };
        Ok(Some(Self {
            etcd: Etcd::new(&access, Duration::from_micros(e.call_timeout_us))?,
            prefix: e.prefix.clone(),
            name: settings.name.clone(),
            zone: settings.zones[settings.router.zone].clone(),
            lease_s: e.lease_s,
            // The proof is a lease of half of the promise: renewed often enough that one lost answer does not end it.
            rule: Rule {
                prove_every: e.purge_within_us / 6,
                ..Rule::default()
            },
            purge_within_ms: (e.purge_within_us > 0).then_some(e.purge_within_us / 1_000),
            seed,
        }))
    }
}

impl ControlSource for EtcdSource {
    async fn run(self, teller: ControlSink) {
        let record = DispatcherRecord {
            zone: self.zone,
            purge_within_ms: self.purge_within_ms,
        };
        let told = teller.clone();
        let registered = writer::register(
            self.etcd.clone(),
            self.prefix.clone(),
            self.name,
            record,
            self.lease_s,
            move |kept, took| {
                if let Kept::Until(lasts) = kept {
                    told.registration_renewed(took.as_micros() as u64, lasts.as_micros() as u64);
                }
                true
            },
        );
        let watcher = Watcher::new(&self.prefix, self.rule, 0, self.seed);
        let followed = feed::run(self.etcd, self.prefix, watcher, move |output| {
            tell(&teller, output);
            true
        });
        tokio::join!(registered, followed);
    }
}

fn tell(teller: &ControlSink, output: Output) {
    match output {
        Output::Members(head) => {
            tracing::info!(form = ?head.form(), lines = head.endpoints.len(), "etcd: member list");
            teller.apply_endpoint_list(head);
        }
        Output::Purge(head) => {
            tracing::info!(object = ?head.object, group = head.group, "etcd: purge");
            teller.apply_purge(head);
        }
        Output::Dispatchers(all) => {
            tracing::info!(dispatchers = all.len(), "etcd: dispatchers");
            teller.roster(
                all.into_iter()
                    .map(|(name, record)| (name, record.zone))
                    .collect(),
            );
        }
        // Purges live for a minute, so the first snapshot holds all that copies may still be older than. Purging everything at each
        // start of a dispatcher would have the origin pay for every deploy.
        Output::Gap { first: true, .. } => {}
        Output::Gap { age_us, .. } => {
            let lost_s = age_us as f64 / 1e6;
            tracing::warn!(
                lost_s,
                "etcd: history is lost; everything counts as purged now"
            );
            teller.updates_missed();
        }
        Output::Bad(bad) => {
            tracing::warn!(%bad, "etcd: a key cannot be used");
            teller.count_unusable();
        }
        Output::View(view) => {
            if view == View::Stale {
                tracing::warn!("etcd: the view is stale; lists and purges stay as they are, cold budgets are not taken from");
            }
            teller.set_current(view == View::Current);
        }
        Output::Proven { ago } => teller.confirm_purges(ago),
        Output::AskMark { .. } => {}
        Output::AskSnapshot | Output::AskWatch { .. } | Output::AskProgress | Output::Hang => {}
    }
}
