//! Slots for responses, the origin's service time, and transfers over a host's link.
use super::CacheModel;
use crate::host::HostTimer;
use crate::job::{JobState, ReadyResponse};
use crate::{CachedCopy, HostId, JobId, ModelOutput, ModelRequest, ModelResponse, Role};
use pointspindle::Micros;
use pointspindle_protocol::WireCacheStatus;
use rand::Rng;

/// Transfer time of a response's frames without a body at full speed, microseconds.
const FRAMING_WORK_US: u64 = 200;

pub(super) const STATUS_OK: u16 = 200;

impl CacheModel {
    /// Returns the head of a response with a copy.
    pub(super) fn response(
        &mut self,
        host: HostId,
        cache_status: WireCacheStatus,
        copy: CachedCopy,
        request: &ModelRequest,
    ) -> ModelResponse {
        let zone_link = self.zone_links.get(self.hosts[host].spec.zone);
        let zone_link_load = zone_link.map_or(0.0, |zone_link| zone_link.link.load());
        let load = self.hosts[host].load_report(self.now, zone_link_load);
        let age = self.now.saturating_sub(copy.validated_at);
        let freshness_lifetime = self.freshness_lifetime(request);
        let freshness_left = freshness_lifetime.saturating_sub(age);
        ModelResponse {
            cache_status,
            copy,
            age,
            freshness_left: (freshness_lifetime > 0).then_some(freshness_left),
            not_modified: request.cached_version == Some(copy.version),
            load,
            status_code: STATUS_OK,
        }
    }

    /// Sends a response if a slot is free; otherwise queues it.
    pub(super) fn admit(&mut self, host: HostId, ready: ReadyResponse) {
        if self.hosts[host].has_free_slot() {
            return self.occupy_slot(host, ready);
        }
        self.hosts[host].queue.push_back(ready.job);
        let queued = JobState::Queued {
            response: ready.response,
            fill: ready.fill,
        };
        self.set_job(host, ready.job, ready.request, queued);
    }

    /// Occupies a slot with a response and starts its transfer; at the origin the service time comes first.
    fn occupy_slot(&mut self, host: HostId, ready: ReadyResponse) {
        let state = &mut self.hosts[host];
        state.slots_in_use += 1;
        if state.spec.role != Role::Origin || state.spec.service_time == 0 {
            return self.start_transfer(host, ready);
        }
        let slow_down = state.impairments.slow_down.factor_at(self.now);
        let mean = -(state.spec.service_time as f64) * slow_down;
        let service_time = mean * (1.0 - self.rng.gen::<f64>()).ln();
        let end = self.now + service_time as Micros + 1;
        state.timers.insert((end, HostTimer::ServiceEnd(ready.job)));
        self.set_job(
            host,
            ready.job,
            ready.request,
            JobState::InService(ready.response),
        );
    }

    pub(super) fn service_ended(&mut self, host: HostId, job: JobId) {
        let Some(served) = self.hosts[host].jobs.remove(&job) else {
            return;
        };
        if let JobState::InService(response) = served.state {
            let ready = ReadyResponse {
                job,
                request: served.request,
                response,
                fill: None,
            };
            self.start_transfer(host, ready);
        }
    }

    fn start_transfer(&mut self, host: HostId, ready: ReadyResponse) {
        let body_work = ready.response.body_bytes() as f64 / self.settings.bytes_per_s * 1e6;
        let work = body_work as u64 + FRAMING_WORK_US;
        self.update_link(host);
        let state = &mut self.hosts[host];
        let truncate = state.impairments.truncate_responses;
        let transferring = JobState::Transferring {
            truncated: truncate.affects(self.now, &mut self.rng),
            transfer: state.link.begin(self.now, ready.job, work),
            fill: ready.fill,
        };
        self.set_job(host, ready.job, ready.request, transferring);
        self.emit(ModelOutput::ResponseStart {
            host,
            job: ready.job,
            response: ready.response,
        });
        self.update_link(host);
    }

    /// Handles the end of a transfer over the host's link: the response ends now, or with the fill that it forwards.
    pub(super) fn transfer_ended(&mut self, host: HostId, job_id: JobId) {
        let state = &mut self.hosts[host];
        let Some(job) = state.jobs.get_mut(&job_id) else {
            return;
        };
        let JobState::Transferring {
            fill, truncated, ..
        } = job.state
        else {
            return;
        };
        if truncated {
            state.jobs.remove(&job_id);
            self.emit(ModelOutput::Disconnect { host, job: job_id });
            return self.release_slot(host);
        }
        let is_incomplete = |fill| {
            let fill = state.fills.get(fill);
            fill.is_some_and(|fill| !fill.is_complete())
        };
        match fill.filter(|fill| is_incomplete(*fill)) {
            Some(fill) => job.state = JobState::AwaitingFillEnd(fill),
            None => self.end_response(host, job_id),
        }
    }

    /// Ends a response and frees its slot.
    pub(super) fn end_response(&mut self, host: HostId, job: JobId) {
        self.hosts[host].jobs.remove(&job);
        self.emit(ModelOutput::ResponseEnd { host, job });
        self.release_slot(host);
    }

    /// Frees a slot and gives it to the request that has been queued longest.
    pub(super) fn release_slot(&mut self, host: HostId) {
        self.hosts[host].slots_in_use -= 1;
        while self.hosts[host].has_free_slot() {
            let state = &mut self.hosts[host];
            let Some(job) = state.queue.pop_front() else {
                break;
            };
            let Some(queued) = state.jobs.remove(&job) else {
                continue;
            };
            let JobState::Queued { response, fill } = queued.state else {
                continue;
            };
            let ready = ReadyResponse {
                job,
                request: queued.request,
                response,
                fill,
            };
            self.occupy_slot(host, ready);
        }
        self.update_link(host);
    }
}
