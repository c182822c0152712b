//! Responses to fills: forwarded to the waiting requests, and stored.
use super::requests::FillWaiter;
use super::responses::STATUS_OK;
use super::CacheModel;
use crate::fill::Fill;
use crate::job::{Job, JobState, ReadyResponse};
use crate::{CachedCopy, FillId, FillOutcome, HostId, JobId, ModelInput, ModelResponse, Role};
use pointspindle_protocol::WireCacheStatus;

impl CacheModel {
    /// Handles the head of the source's response.
    pub(super) fn fill_responded(
        &mut self,
        host: HostId,
        fill_id: FillId,
        response: ModelResponse,
    ) {
        if self.hosts[host].is_hanging(self.now) {
            let input = ModelInput::FillResponse {
                host,
                fill: fill_id,
                response,
            };
            return self.hosts[host].deferred.push(input);
        }
        let state = &mut self.hosts[host];
        let Some(fill) = state.fills.get_mut(fill_id) else {
            return;
        };
        if fill.response.is_some() {
            return;
        }
        let received_bytes = response.body_bytes();
        // If the source confirmed the cached copy, its body is in the store.
        let copy = match state.store.get(fill.key) {
            Some(cached) if response.not_modified => CachedCopy {
                validated_at: response.copy.validated_at,
                ..cached
            },
            _ => response.copy,
        };
        let response = ModelResponse { copy, ..response };
        fill.response = Some(response.clone());
        let waiting = fill.waiting.clone();
        self.transfer_over_zone_link(host, fill_id, received_bytes);
        self.serve_waiting(host, fill_id, waiting, &response);
        self.schedule_host(host);
    }

    /// Forwards the response to the waiting requests, the first of which started the fill.
    fn serve_waiting(
        &mut self,
        host: HostId,
        fill_id: FillId,
        waiting: Vec<JobId>,
        response: &ModelResponse,
    ) {
        let first_status = self.fill_cache_status(host, fill_id, response.cache_status);
        for (position, job) in waiting.into_iter().enumerate() {
            let cache_status = match position {
                0 => first_status,
                _ => WireCacheStatus::Coalesced,
            };
            self.serve_from_fill(host, fill_id, job, response, cache_status);
        }
    }

    /// Starts the transfer of a fill from another zone over the zone's link, if that link has a limit.
    fn transfer_over_zone_link(&mut self, host: HostId, fill_id: FillId, bytes: u64) {
        let zone = self.hosts[host].spec.zone;
        let within_zone = self
            .source_of(host, fill_id)
            .is_some_and(|source| self.hosts[source].spec.zone == zone);
        if !within_zone && bytes > 0 && self.settings.zones[zone].link_capacity > 0.0 {
            let bytes_per_s = self.settings.bytes_per_s * self.settings.fill_speedup;
            let work = (bytes as f64 / bytes_per_s * 1e6) as u64;
            let transfer = self.zone_links[zone].link.begin(self.now, fill_id, work);
            if let Some(fill) = self.hosts[host].fills.get_mut(fill_id) {
                fill.link_transfer = Some(transfer);
            }
            self.zone_transfers.insert(fill_id, host);
        }
        self.schedule_zone_link(zone);
    }

    /// Returns the host that a fill's request was sent to.
    fn source_of(&self, host: HostId, fill_id: FillId) -> Option<HostId> {
        let fill = self.hosts[host].fills.get(fill_id)?;
        self.host_by_address(&fill.source)
    }

    pub(super) fn source_is_origin(&self, host: HostId, fill_id: FillId) -> bool {
        self.source_of(host, fill_id)
            .is_some_and(|source| self.hosts[source].spec.role == Role::Origin)
    }

    /// Returns the cache status of the request that started a fill.
    fn fill_cache_status(
        &self,
        host: HostId,
        fill_id: FillId,
        source_status: WireCacheStatus,
    ) -> WireCacheStatus {
        let source_filled = matches!(
            source_status,
            WireCacheStatus::Filled | WireCacheStatus::FilledByOrigin | WireCacheStatus::Coalesced
        );
        if source_filled || self.source_is_origin(host, fill_id) {
            WireCacheStatus::FilledByOrigin
        } else {
            WireCacheStatus::Filled
        }
    }

    /// Forwards a fill's response to a waiting request, or starts another fill if the copy is too old for the request.
    pub(super) fn serve_from_fill(
        &mut self,
        host: HostId,
        fill_id: FillId,
        job: JobId,
        fill_response: &ModelResponse,
        cache_status: WireCacheStatus,
    ) {
        let Some(waiting) = self.hosts[host].jobs.remove(&job) else {
            return;
        };
        let Job {
            request, arrived, ..
        } = waiting;
        let oldest = self.oldest_acceptable(host, arrived, &request);
        if fill_response.copy.validated_at < oldest {
            if let Some(fill) = self.hosts[host].fills.get_mut(fill_id) {
                fill.waiting.retain(|waiting| *waiting != job);
            }
            return self.start_fill(host, Some(FillWaiter { job, arrived }), request, None);
        }
        let mut response = self.response(host, cache_status, fill_response.copy, &request);
        response.status_code = fill_response.status_code;
        self.admit(
            host,
            ReadyResponse {
                job,
                request,
                response,
                fill: Some(fill_id),
            },
        );
    }

    /// Handles the end of the source's response, or the failure of the request to the source.
    pub(super) fn fill_ended(&mut self, host: HostId, fill_id: FillId, outcome: FillOutcome) {
        if self.hosts[host].is_hanging(self.now) {
            let input = ModelInput::FillEnded {
                host,
                fill: fill_id,
                outcome,
            };
            return self.hosts[host].deferred.push(input);
        }
        match outcome.failure() {
            Some(failure) => self.fill_failed(host, fill_id, failure),
            None => {
                if let Some(fill) = self.hosts[host].fills.get_mut(fill_id) {
                    fill.source_finished = true;
                }
                self.finish_fill_if_complete(host, fill_id);
            }
        }
        self.schedule_host(host);
    }

    /// Stores the copy of a complete fill, and ends the responses that waited for the end of the fill.
    pub(super) fn finish_fill_if_complete(&mut self, host: HostId, fill_id: FillId) {
        let fill = self.hosts[host].fills.get(fill_id);
        if !fill.is_some_and(Fill::is_complete) {
            return;
        }
        let Some(fill) = self.remove_fill(host, fill_id) else {
            return;
        };
        self.store_filled_copy(host, &fill);
        for job in fill.waiting {
            let state = self.hosts[host].jobs.get(&job).map(|job| &job.state);
            if let Some(JobState::AwaitingFillEnd(_)) = state {
                self.end_response(host, job);
            }
        }
    }

    /// Stores the copy of a fill unless it is uncacheable, the object is missing, or the copy is older than a purge.
    fn store_filled_copy(&mut self, host: HostId, fill: &Fill) {
        let Some(response) = &fill.response else {
            return;
        };
        let request = &fill.request;
        let validated_at = response.copy.validated_at;
        let rank = self.retention_rank(host, request);
        let cacheable = !self.is_uncacheable(request) && response.status_code == STATUS_OK;
        let state = &mut self.hosts[host];
        let purged = state
            .purges
            .invalidates(request.object_number, request.group, validated_at);
        if !cacheable || purged {
            return;
        }
        if response.not_modified {
            state.store.revalidate(fill.key, validated_at);
        } else {
            state
                .store
                .put(fill.key, request.group, response.copy, rank);
        }
    }
}
