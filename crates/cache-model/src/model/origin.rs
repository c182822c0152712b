//! The origin: versions of objects, idempotency keys, and effects of requests.
use super::responses::STATUS_OK;
use super::CacheModel;
use crate::job::ReadyResponse;
use crate::warm_up::WarmUpLoad;
use crate::{CachedCopy, HostId, JobId, ModelRequest};
use pointspindle::Micros;
use pointspindle_protocol::WireCacheStatus;
use std::collections::HashMap;
use std::sync::Arc;

/// Number of idempotency keys above which the origin discards those whose window has passed.
const MAX_REMEMBERED_KEYS: usize = 4096;

const STATUS_NOT_FOUND: u16 = 404;

/// The origin's versions of objects, idempotency keys and load.
#[derive(Debug, Default)]
pub(super) struct OriginState {
    object_versions: HashMap<u64, u64>,
    group_versions: HashMap<u64, u64>,
    /// Time of the latest run of the work of each idempotency key, microseconds.
    last_runs: HashMap<Arc<str>, Micros>,
    /// Number of runs of the work of each idempotency key.
    effects: HashMap<Arc<str>, u32>,
    /// Number of outages by overload so far.
    pub(super) outages: u32,
    pub(super) load: WarmUpLoad,
}

impl OriginState {
    pub(super) fn effect_counts(&self) -> &HashMap<Arc<str>, u32> {
        &self.effects
    }

    /// Returns the version of an object: the number of updates of the object and of its group.
    pub(super) fn version(&self, object: u64, group: u64) -> u64 {
        let of_object = self.object_versions.get(&object).copied();
        let of_group = self.group_versions.get(&group).copied();
        of_object.unwrap_or(0) + of_group.unwrap_or(0)
    }

    /// Updates an object, or the whole group if no object is given.
    pub(super) fn update(&mut self, object: Option<u64>, group: u64) {
        let version = match object {
            Some(object) => self.object_versions.entry(object).or_default(),
            None => self.group_versions.entry(group).or_default(),
        };
        *version += 1;
    }

    /// Runs the work of an idempotency key, unless it ran within the window and the class deduplicates.
    fn run(&mut self, key: &Arc<str>, now: Micros, window: Micros, deduplicates: bool) {
        if self.last_runs.len() > MAX_REMEMBERED_KEYS {
            self.last_runs.retain(|_, at| *at + window > now);
        }
        let last_run = self.last_runs.get(key);
        let ran_recently = last_run.is_some_and(|at| now < *at + window);
        if deduplicates && ran_recently {
            return;
        }
        self.last_runs.insert(key.clone(), now);
        *self.effects.entry(key.clone()).or_default() += 1;
    }
}

impl CacheModel {
    /// Runs a request at the origin and responds with the current version of the object.
    pub(super) fn run_at_origin(&mut self, host: HostId, job: JobId, request: ModelRequest) {
        if request.has_idempotency_key() {
            let window = self.settings.idempotency_window;
            let deduplicates = self
                .class_of(&request)
                .is_some_and(|class| class.deduplicates);
            self.origin
                .run(&request.idempotency_key, self.now, window, deduplicates);
        }
        let size = (self.catalogue)(&request);
        let copy = CachedCopy {
            version: match size {
                Some(_) => self.current_version(request.object_number, request.group),
                None => 0,
            },
            size: size.unwrap_or(0),
            validated_at: self.now,
        };
        let mut response = self.response(host, WireCacheStatus::Hit, copy, &request);
        response.status_code = match size {
            Some(_) => STATUS_OK,
            None => STATUS_NOT_FOUND,
        };
        self.admit(
            host,
            ReadyResponse {
                job,
                request,
                response,
                fill: None,
            },
        );
    }
}
