//! The start, joining, leaving and cancellation of fills.
use super::requests::{FillWaiter, Rejection};
use super::CacheModel;
use crate::fill::Fill;
use crate::host::HostTimer;
use crate::job::{Job, JobState};
use crate::{CachedCopy, FillId, HostId, JobId, ModelOutput, ModelRequest, Role};
use pointspindle_protocol::{WireCacheStatus, WireStatus};

impl CacheModel {
    /// Starts a fill, or rejects its request if there is no source or no capacity for the fill. `cached` is a copy to
    /// revalidate.
    pub(super) fn start_fill(
        &mut self,
        host: HostId,
        waiter: Option<FillWaiter>,
        request: ModelRequest,
        cached: Option<CachedCopy>,
    ) {
        let Some(source) = self.fill_source(host, &request) else {
            if let Some(waiter) = waiter {
                self.reject_without_source(host, waiter.job, &request);
            }
            return;
        };
        let state = &mut self.hosts[host];
        if state.fills.len() >= state.spec.fill_concurrency {
            if let Some(waiter) = waiter {
                self.reject(host, waiter.job, Rejection::FILL_LIMIT_REACHED);
            }
            return;
        }
        let fill = Fill {
            waiting: waiter.map(|waiter| waiter.job).into_iter().collect(),
            background: waiter.is_none(),
            retries_left: state.spec.fill_retries,
            deadline: self.now + state.spec.fill_timeout,
            ..Fill::new(request.clone(), source)
        };
        let cached_version = cached.map(|copy| copy.version);
        let id = self.send_fill(host, fill, cached_version);
        if let Some(waiter) = waiter {
            let job = Job {
                request,
                arrived: waiter.arrived,
                state: JobState::AwaitingFill(id),
            };
            self.hosts[host].jobs.insert(waiter.job, job);
        }
    }

    /// Registers a fill and sends its request to the source.
    pub(super) fn send_fill(
        &mut self,
        host: HostId,
        fill: Fill,
        cached_version: Option<u64>,
    ) -> FillId {
        self.last_fill += 1;
        let id = self.last_fill;
        self.emit(ModelOutput::StartFill {
            host,
            fill: id,
            source: fill.source.clone(),
            // Without a source in the request, the receiving host fills a miss from its own upstream.
            request: ModelRequest {
                source: None,
                cached_version,
                ..fill.request.clone()
            },
        });
        let state = &mut self.hosts[host];
        let timeout = (fill.deadline, HostTimer::FillTimeout(id));
        state.timers.insert(timeout);
        state.fills.insert(id, fill);
        id
    }

    /// Returns the address that a host fills a request from: the request's source, or the host's own upstream. A
    /// request for a cached copy without a source is not filled.
    fn fill_source(&self, host: HostId, request: &ModelRequest) -> Option<String> {
        if request.only_if_cached && request.source.is_none() {
            return None;
        }
        let own_address = &self.hosts[host].spec.address;
        request
            .source
            .clone()
            .filter(|source| source != own_address)
            .or_else(|| self.upstream(host))
    }

    /// Returns the upstream of a host: the origin for a parent, `None` for other hosts.
    fn upstream(&self, host: HostId) -> Option<String> {
        if self.hosts[host].spec.role != Role::Parent {
            return None;
        }
        let origin = self
            .hosts
            .iter()
            .find(|host| host.spec.role == Role::Origin)?;
        Some(origin.spec.address.clone())
    }

    fn reject_without_source(&mut self, host: HostId, job: JobId, request: &ModelRequest) {
        let cache_status = match self.hosts[host].fills.latest_for_key(request.key()) {
            Some(_) => WireCacheStatus::Coalesced,
            None => WireCacheStatus::Unreported,
        };
        let rejection = Rejection {
            status: WireStatus::Miss,
            cache_status,
            may_have_run: false,
        };
        self.reject(host, job, rejection);
    }

    /// Adds a request to a fill in progress.
    pub(super) fn join_fill(
        &mut self,
        host: HostId,
        fill_id: FillId,
        job: JobId,
        request: ModelRequest,
    ) {
        self.set_job(host, job, request, JobState::AwaitingFill(fill_id));
        let Some(fill) = self.hosts[host].fills.get_mut(fill_id) else {
            return;
        };
        fill.waiting.push(job);
        if let Some(response) = fill.response.clone() {
            self.serve_from_fill(host, fill_id, job, &response, WireCacheStatus::Coalesced);
        }
    }

    /// Removes a cancelled request from its fill. A host that aborts unused fills cancels the fill when no request is
    /// left.
    pub(super) fn leave_fill(&mut self, host: HostId, fill_id: FillId, job: JobId) {
        let state = &mut self.hosts[host];
        let Some(fill) = state.fills.get_mut(fill_id) else {
            return;
        };
        fill.waiting.retain(|waiting| *waiting != job);
        let unused = fill.waiting.is_empty() && !fill.background && !fill.is_complete();
        if unused && state.spec.abort_fill {
            self.cancel_fill(host, fill_id);
        }
    }

    pub(super) fn cancel_fill(&mut self, host: HostId, fill: FillId) {
        self.remove_fill(host, fill);
        self.emit(ModelOutput::CancelFill { host, fill });
    }

    /// Removes a fill with its timer and its transfer over the zone's link.
    pub(super) fn remove_fill(&mut self, host: HostId, fill_id: FillId) -> Option<Fill> {
        let state = &mut self.hosts[host];
        let fill = state.fills.remove(fill_id)?;
        let timeout = (fill.deadline, HostTimer::FillTimeout(fill_id));
        state.timers.remove(&timeout);
        if let Some(transfer) = fill.link_transfer {
            let zone = state.spec.zone;
            self.zone_transfers.remove(&fill_id);
            self.zone_links[zone].link.cancel(self.now, transfer);
            self.schedule_zone_link(zone);
        }
        Some(fill)
    }
}
