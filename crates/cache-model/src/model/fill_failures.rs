//! Failed fills: retries, and the rejection of the requests that wait for them.
use super::requests::Rejection;
use super::CacheModel;
use crate::fill::Fill;
use crate::job::JobState;
use crate::{FillId, FillOutcome, HostId, JobId, ModelOutput, Role};
use pointspindle_protocol::{WireCacheStatus, WireStatus};

/// Cause of a fill's failure.
#[derive(Clone, Copy)]
pub(super) enum FillFailure {
    Rejected {
        status: WireStatus,
        cache_status: WireCacheStatus,
    },
    /// The source could not be reached, did not respond in time, or the connection broke.
    Unreachable,
}

impl FillOutcome {
    pub(super) fn failure(&self) -> Option<FillFailure> {
        match self {
            Self::Complete => None,
            Self::Rejected {
                status,
                cache_status,
            } => Some(FillFailure::Rejected {
                status: *status,
                cache_status: *cache_status,
            }),
            Self::Unreachable => Some(FillFailure::Unreachable),
        }
    }
}

impl FillFailure {
    /// Whether the source has no copy and does not fill.
    fn is_miss(self) -> bool {
        matches!(
            self,
            Self::Rejected {
                status: WireStatus::Miss,
                ..
            }
        )
    }

    /// Returns the rejection of the requests that wait for the fill.
    fn rejection(self) -> Rejection {
        let (status, cache_status) = match self {
            Self::Rejected {
                status: WireStatus::Rejected,
                ..
            } => (WireStatus::Rejected, WireCacheStatus::SourceRejected),
            Self::Rejected {
                status: WireStatus::Miss,
                ..
            } => (WireStatus::Miss, WireCacheStatus::SourceMiss),
            Self::Rejected {
                cache_status:
                    WireCacheStatus::SourceRejected
                    | WireCacheStatus::SourceUnreachable
                    | WireCacheStatus::OriginFailed,
                ..
            } => (WireStatus::Error, WireCacheStatus::OriginFailed),
            Self::Rejected { .. } | Self::Unreachable => {
                (WireStatus::Error, WireCacheStatus::SourceUnreachable)
            }
        };
        Rejection {
            status,
            cache_status,
            may_have_run: status == WireStatus::Error,
        }
    }
}

impl CacheModel {
    pub(super) fn fill_timed_out(&mut self, host: HostId, fill: FillId) {
        let pending = self.hosts[host].fills.get(fill);
        if pending.is_some_and(|fill| fill.response.is_none()) {
            self.emit(ModelOutput::CancelFill { host, fill });
            self.fill_failed(host, fill, FillFailure::Unreachable);
        }
    }

    /// Retries a failed fill, or rejects the requests that wait for it.
    pub(super) fn fill_failed(&mut self, host: HostId, fill_id: FillId, failure: FillFailure) {
        let from_origin = self.source_is_origin(host, fill_id);
        let Some(fill) = self.remove_fill(host, fill_id) else {
            return;
        };
        let may_retry = fill.response.is_none()
            && fill.retries_left > 0
            && !failure.is_miss()
            && !fill.request.has_idempotency_key()
            && !fill.waiting.is_empty();
        if may_retry {
            return self.retry_fill(host, fill);
        }
        let mut rejection = failure.rejection();
        let is_parent = self.hosts[host].spec.role == Role::Parent;
        if is_parent && from_origin && rejection.cache_status == WireCacheStatus::SourceRejected {
            // The origin has failed; the parent does not lack capacity.
            rejection.status = WireStatus::Error;
        }
        for job in fill.waiting {
            self.reject_waiting(host, job, rejection);
        }
    }

    fn retry_fill(&mut self, host: HostId, fill: Fill) {
        let waiting = fill.waiting.clone();
        let retry = Fill {
            retries_left: fill.retries_left - 1,
            deadline: self.now + self.hosts[host].spec.fill_timeout,
            ..fill
        };
        let cached_version = retry.request.cached_version;
        let id = self.send_fill(host, retry, cached_version);
        for job in waiting {
            if let Some(job) = self.hosts[host].jobs.get_mut(&job) {
                job.state = JobState::AwaitingFill(id);
            }
        }
    }

    /// Rejects a request whose fill has failed. A response that has begun, or that is queued for a slot with an
    /// incomplete copy, ends with an error.
    fn reject_waiting(&mut self, host: HostId, job_id: JobId, rejection: Rejection) {
        let broken = Rejection {
            status: WireStatus::Error,
            may_have_run: true,
            ..rejection
        };
        let state = &mut self.hosts[host];
        let Some(job) = state.jobs.get(&job_id) else {
            return;
        };
        match job.state {
            JobState::AwaitingFill(_) => {
                state.jobs.remove(&job_id);
                self.reject(host, job_id, rejection);
            }
            JobState::Transferring { transfer, .. } => {
                state.link.cancel(self.now, transfer);
                state.jobs.remove(&job_id);
                self.reject(host, job_id, broken);
                self.release_slot(host);
            }
            JobState::AwaitingFillEnd(_) => {
                state.jobs.remove(&job_id);
                self.reject(host, job_id, broken);
                self.release_slot(host);
            }
            JobState::Queued { .. } => {
                state.jobs.remove(&job_id);
                state.queue.retain(|queued| *queued != job_id);
                self.reject(host, job_id, broken);
            }
            JobState::InService(_) | JobState::Dropped => {}
        }
    }
}
