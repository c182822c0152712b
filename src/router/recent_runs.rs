//! First runs of the idempotency keys that were seen lately.
//!
//! A client may give up a request whose attempt may have run and send its key again, in a new request. The window of the
//! key began with that attempt, so the new request counts as one that may have run already.
use super::requests::FirstRun;
use super::MS;
use crate::ids::{IdempotencyKey, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// Time after the end of its window for which a key is retained: longer than clients go on retrying.
const RETENTION_AFTER_WINDOW: Micros = 10_000 * MS;
/// Largest number of keys; beyond it the one that would expire first is discarded.
const MAX_KEYS: usize = 16_384;

#[derive(Debug)]
struct RecentRun {
    first_run: FirstRun,
    expires_at: Micros,
}

/// The first run of each recent key. An entry is discarded after [`RETENTION_AFTER_WINDOW`], or beyond [`MAX_KEYS`].
#[derive(Debug, Default)]
pub(super) struct RecentRuns {
    by_key: BTreeMap<IdempotencyKey, RecentRun>,
    by_expiry: BTreeSet<(Micros, IdempotencyKey)>,
}

impl RecentRuns {
    /// Returns the first attempt that may have run a key.
    pub(super) fn get(&self, now: Micros, key: IdempotencyKey) -> Option<FirstRun> {
        let run = self.by_key.get(&key).filter(|run| now < run.expires_at)?;
        Some(run.first_run)
    }

    /// Records that an attempt may run a key, unless an earlier one is known.
    pub(super) fn record(&mut self, key: IdempotencyKey, first_run: FirstRun, window: Micros) {
        self.discard_expired(first_run.sent_at);
        if self.by_key.contains_key(&key) {
            return;
        }
        let expires_at = first_run.sent_at + window + RETENTION_AFTER_WINDOW;
        let run = RecentRun {
            first_run,
            expires_at,
        };
        self.by_key.insert(key, run);
        self.by_expiry.insert((expires_at, key));
    }

    /// Records that the attempt with this first run did not run the key.
    pub(super) fn retract(&mut self, key: IdempotencyKey, first_run: FirstRun) {
        let is_same = |run: &RecentRun| run.first_run == first_run;
        if self.by_key.get(&key).is_some_and(is_same) {
            self.remove(key);
        }
    }

    fn discard_expired(&mut self, now: Micros) {
        while let Some((expires_at, key)) = self.by_expiry.first().copied() {
            if now < expires_at && self.by_key.len() < MAX_KEYS {
                return;
            }
            self.remove(key);
        }
    }

    fn remove(&mut self, key: IdempotencyKey) {
        if let Some(run) = self.by_key.remove(&key) {
            self.by_expiry.remove(&(run.expires_at, key));
        }
    }
}
