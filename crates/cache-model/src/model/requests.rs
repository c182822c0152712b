//! Admission, hits and misses, and cancellation of requests.
use super::CacheModel;
use crate::job::{Job, JobState, ReadyResponse};
use crate::{CachedCopy, HostId, JobId, ModelInput, ModelOutput, ModelRequest, Role};
use pointspindle::Micros;
use pointspindle_protocol::{WireCacheStatus, WireStatus};

/// Share of the freshness lifetime after which a copy is revalidated in the background.
const REVALIDATION_THRESHOLD: f64 = 0.8;

/// Retention rank of every copy at a parent.
const PARENT_RANK: u8 = 1;

/// The status of a rejected request.
#[derive(Clone, Copy)]
pub(super) struct Rejection {
    pub(super) status: WireStatus,
    pub(super) cache_status: WireCacheStatus,
    /// Whether the origin may have run the request.
    pub(super) may_have_run: bool,
}

impl Rejection {
    /// The host has no capacity for the request.
    const OVERLOADED: Self = Self {
        status: WireStatus::Rejected,
        cache_status: WireCacheStatus::Unreported,
        may_have_run: false,
    };

    /// The host has reached its limit of fills in progress.
    pub(super) const FILL_LIMIT_REACHED: Self = Self {
        status: WireStatus::Rejected,
        cache_status: WireCacheStatus::FillLimitReached,
        may_have_run: false,
    };

    /// The host fails the request.
    const FAILED: Self = Self {
        status: WireStatus::Error,
        cache_status: WireCacheStatus::Unreported,
        may_have_run: true,
    };
}

/// A request that waits for a fill.
#[derive(Clone, Copy)]
pub(super) struct FillWaiter {
    pub(super) job: JobId,
    pub(super) arrived: Micros,
}

impl CacheModel {
    pub(super) fn arrive(&mut self, host: HostId, job: JobId, request: ModelRequest) {
        if !self.hosts[host].up {
            self.emit(ModelOutput::Disconnect { host, job });
            return;
        }
        if self.crash_if_overloaded(host, &request) {
            return;
        }
        if self.hosts[host].is_hanging(self.now) {
            let input = ModelInput::Arrive { host, job, request };
            self.hosts[host].deferred.push(input);
        } else {
            self.accept(host, job, request);
        }
        self.schedule_host(host);
    }

    /// Accepts a request at a host that is not hanging.
    pub(super) fn accept(&mut self, host: HostId, job: JobId, request: ModelRequest) {
        let state = &self.hosts[host];
        if self.now < state.impairments.reject_until {
            return self.reject(host, job, Rejection::OVERLOADED);
        }
        if state
            .impairments
            .fail_requests
            .affects(self.now, &mut self.rng)
        {
            return self.reject(host, job, Rejection::FAILED);
        }
        if !state.has_free_slot() && state.queue.len() >= state.spec.queue_limit {
            return self.reject(host, job, Rejection::OVERLOADED);
        }
        if state
            .impairments
            .drop_responses
            .affects(self.now, &mut self.rng)
        {
            return self.set_job(host, job, request, JobState::Dropped);
        }
        if state.spec.role == Role::Origin {
            return self.run_at_origin(host, job, request);
        }
        let cached = if self.is_uncacheable(&request) {
            None
        } else {
            state.store.get(request.key())
        };
        let oldest = self.oldest_acceptable(host, self.now, &request);
        match cached.filter(|copy| copy.validated_at >= oldest) {
            Some(copy) => self.hit(host, job, request, copy),
            None => self.miss(host, job, request, cached),
        }
    }

    pub(super) fn set_job(
        &mut self,
        host: HostId,
        job: JobId,
        request: ModelRequest,
        state: JobState,
    ) {
        let entry = Job {
            request,
            arrived: self.now,
            state,
        };
        self.hosts[host].jobs.insert(job, entry);
    }

    /// Returns the earliest validation time of a copy that may answer a request. A purge that was made before the
    /// request arrived and that the host has received counts as well: after the purge deadline a request must not join
    /// a fill that began before the purge, however slow that fill is.
    pub(super) fn oldest_acceptable(
        &self,
        host: HostId,
        arrived: Micros,
        request: &ModelRequest,
    ) -> Micros {
        let max_age = match (request.max_age, self.freshness_lifetime(request)) {
            (0, 0) => None,
            (0, freshness_lifetime) => Some(freshness_lifetime),
            (max_age, _) => Some(max_age),
        };
        let oldest = max_age.map_or(0, |max_age| arrived.saturating_sub(max_age));
        let purged = self.hosts[host]
            .purges
            .newest(request.object_number, request.group)
            .filter(|at| *at <= arrived);
        oldest.max(purged.unwrap_or(0))
    }

    fn hit(&mut self, host: HostId, job: JobId, request: ModelRequest, copy: CachedCopy) {
        let key = request.key();
        let freshness_lifetime = self.freshness_lifetime(&request);
        let age = self.now.saturating_sub(copy.validated_at);
        let rank = self.retention_rank(host, &request);
        let state = &mut self.hosts[host];
        state.store.touch(key, rank);
        state.record_hit();
        let expires = freshness_lifetime > 0;
        let status = if expires && age > freshness_lifetime {
            WireCacheStatus::Stale
        } else {
            WireCacheStatus::Hit
        };
        let threshold = REVALIDATION_THRESHOLD * freshness_lifetime as f64;
        let revalidates = request.revalidate && expires && age as f64 > threshold;
        // The cached copy may answer this request; the revalidation must not be answered from an old copy.
        let revalidation = revalidates.then(|| ModelRequest {
            max_age: 1,
            coalesce: false,
            only_if_cached: false,
            ..request.clone()
        });
        let response = self.response(host, status, copy, &request);
        self.admit(
            host,
            ReadyResponse {
                job,
                request,
                response,
                fill: None,
            },
        );
        if let Some(revalidation) = revalidation {
            if self.hosts[host].fills.latest_for_key(key).is_none() {
                self.start_fill(host, None, revalidation, Some(copy));
            }
        }
    }

    /// Returns the rank at which a host stores a copy; parents store all copies at the same rank.
    pub(super) fn retention_rank(&self, host: HostId, request: &ModelRequest) -> u8 {
        match self.hosts[host].spec.role {
            Role::Parent => PARENT_RANK,
            Role::Cache | Role::Origin => request.retention_rank,
        }
    }

    /// Joins a fill in progress, or starts one. `cached` is a copy that is too old for the request.
    fn miss(
        &mut self,
        host: HostId,
        job: JobId,
        request: ModelRequest,
        cached: Option<CachedCopy>,
    ) {
        self.hosts[host].record_miss();
        let fill = self.hosts[host].fills.latest_for_key(request.key());
        if let Some(fill) = fill.filter(|_| self.coalesces(host, &request)) {
            return self.join_fill(host, fill, job, request);
        }
        let waiter = FillWaiter {
            job,
            arrived: self.now,
        };
        self.start_fill(host, Some(waiter), request, cached);
    }

    fn coalesces(&self, host: HostId, request: &ModelRequest) -> bool {
        let spec = &self.hosts[host].spec;
        match spec.role {
            Role::Parent => spec.coalesces_fills && !request.has_idempotency_key(),
            Role::Cache | Role::Origin => request.coalesce,
        }
    }

    /// Rejects a request, or fails one whose response has begun.
    pub(super) fn reject(&mut self, host: HostId, job: JobId, rejection: Rejection) {
        let load = self.hosts[host].load_report(self.now, 0.0);
        self.emit(ModelOutput::Reject {
            host,
            job,
            status: rejection.status,
            cache_status: rejection.cache_status,
            may_have_run: rejection.may_have_run,
            load,
        });
    }

    pub(super) fn cancel(&mut self, host: HostId, job: JobId) {
        let is_arrival = |input: &ModelInput| match input {
            ModelInput::Arrive { job: arriving, .. } => *arriving == job,
            _ => false,
        };
        let state = &mut self.hosts[host];
        state.deferred.retain(|input| !is_arrival(input));
        let Some(cancelled) = state.jobs.remove(&job) else {
            return;
        };
        let fill = match cancelled.state {
            JobState::Dropped => None,
            JobState::AwaitingFill(fill) => Some(fill),
            JobState::Queued { fill, .. } => {
                state.queue.retain(|queued| *queued != job);
                fill
            }
            JobState::InService(_) => {
                self.release_slot(host);
                None
            }
            JobState::Transferring { transfer, fill, .. } => {
                state.link.cancel(self.now, transfer);
                self.release_slot(host);
                fill
            }
            JobState::AwaitingFillEnd(fill) => {
                self.release_slot(host);
                Some(fill)
            }
        };
        if let Some(fill) = fill {
            self.leave_fill(host, fill, job);
        }
        self.schedule_host(host);
    }
}
