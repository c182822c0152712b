//! Fills: begun, passed on to who waits, kept, failed.
use super::CacheModel;
use crate::host::Job;
use crate::host::{JobState, Wait};
use crate::*;

impl CacheModel {
    /// Asks the source, or turns the request away where there is none or no place.
    pub(super) fn begin_fill(
        &mut self,
        now: Micros,
        h: HostId,
        job: Option<(JobId, Micros)>,
        wanted: ModelRequest,
        held: Option<CachedCopy>,
        out: &mut Vec<ModelOutput>,
    ) {
        let source = wanted
            .source
            .clone()
            .filter(|s| *s != self.hosts[h].spec.address);
        let source = source.or_else(|| self.upstream(h)).filter(|_| {
            // Held only, at the member itself: no fill.
            !(wanted.only_if_cached && wanted.source.is_none())
        });
        let Some(source) = source else {
            if let Some((job, _)) = job {
                let under_way = self.hosts[h]
                    .filling
                    .contains_key(&(wanted.object_number, wanted.part));
                let note = if under_way {
                    WireCacheStatus::Coalesced
                } else {
                    WireCacheStatus::Unreported
                };
                self.reject(now, h, job, WireStatus::Miss, note, false, out);
            }
            return;
        };
        let host = &mut self.hosts[h];
        if host.fills.len() >= host.spec.fill_concurrency {
            if let Some((job, _)) = job {
                self.reject(
                    now,
                    h,
                    job,
                    WireStatus::Rejected,
                    WireCacheStatus::FillLimitReached,
                    false,
                    out,
                );
            }
            return;
        }
        self.next_fill += 1;
        let fill = self.next_fill;
        let key = (wanted.object_number, wanted.part);
        let due = now + host.spec.fill_timeout;
        // The source fills for us, unless it is to give only what it holds.
        let asked = ModelRequest {
            source: None,
            cached_version: held.map(|c| c.version),
            ..wanted.clone()
        };
        let waiting = job.map(|(job, _)| job).into_iter().collect();
        let found = fill::Fill {
            key,
            wanted: wanted.clone(),
            source: source.clone(),
            waiting,
            behind: job.is_none(),
            tries_left: host.spec.fill_retries,
            due,
            began: now,
            head: None,
            all_sent: false,
            on_link: None,
        };
        host.fills.insert(fill, found);
        host.filling.insert(key, fill);
        host.waits.insert((due, Wait::FillDue(fill)));
        if let Some((job, arrived)) = job {
            host.jobs.insert(
                job,
                Job {
                    wanted,
                    arrived,
                    state: JobState::Filling(fill),
                },
            );
        }
        out.push(ModelOutput::StartFill {
            host: h,
            fill,
            source,
            request: asked,
        });
    }

    /// A parent's own source.
    pub(super) fn upstream(&self, h: HostId) -> Option<String> {
        if self.hosts[h].spec.role != Role::Parent {
            return None;
        }
        self.hosts
            .iter()
            .find(|o| o.spec.role == Role::Origin)
            .map(|o| o.spec.address.clone())
    }

    /// A request leaves its fill, which runs on or is dropped with its last one.
    pub(super) fn unwait(
        &mut self,
        now: Micros,
        h: HostId,
        fill: FillId,
        job: JobId,
        out: &mut Vec<ModelOutput>,
    ) {
        let host = &mut self.hosts[h];
        let Some(found) = host.fills.get_mut(&fill) else {
            return;
        };
        found.waiting.retain(|j| *j != job);
        if found.waiting.is_empty() && !found.behind && host.spec.abort_fill && !found.is_complete()
        {
            self.forget_fill(now, h, fill);
            out.push(ModelOutput::CancelFill { host: h, fill });
        }
    }

    pub(super) fn forget_fill(
        &mut self,
        now: Micros,
        h: HostId,
        fill: FillId,
    ) -> Option<fill::Fill> {
        let host = &mut self.hosts[h];
        let found = host.fills.remove(&fill)?;
        host.waits.remove(&(found.due, Wait::FillDue(fill)));
        if host.filling.get(&found.key) == Some(&fill) {
            host.filling.remove(&found.key);
        }
        if let Some(key) = found.on_link {
            let zone = host.spec.zone;
            self.on_link.remove(&fill);
            self.links[zone].leave(now, key);
            self.refresh_link(zone);
        }
        Some(found)
    }

    pub(super) fn source_head(
        &mut self,
        now: Micros,
        h: HostId,
        fill: FillId,
        answer: ModelResponse,
        out: &mut Vec<ModelOutput>,
    ) {
        if self.hosts[h].hangs(now) {
            self.hosts[h].deferred.push(ModelInput::FillResponse {
                host: h,
                fill,
                response: answer,
            });
            return;
        }
        let zone = self.hosts[h].spec.zone;
        let Some(found) = self.hosts[h]
            .fills
            .get_mut(&fill)
            .filter(|f| f.head.is_none())
        else {
            return;
        };
        let key = found.key;
        // A copy that the source confirmed has the body that is held here.
        let held = self.hosts[h].store.get(key);
        let copy = match held.filter(|_| answer.not_modified) {
            Some(held) => CachedCopy {
                validated_at: answer.copy.validated_at,
                ..held
            },
            None => answer.copy,
        };
        let outside = self
            .host_of_source(h, fill)
            .is_none_or(|s| self.hosts[s].spec.zone != zone);
        let bytes = if answer.not_modified { 0 } else { copy.size };
        let found = self.hosts[h].fills.get_mut(&fill).expect("looked up above");
        let head = ModelResponse { copy, ..answer };
        found.head = Some(head.clone());
        if outside && bytes > 0 && self.spec.zones[zone].link > 0.0 {
            let work =
                (bytes as f64 / (self.spec.bytes_per_s * self.spec.fill_speedup) * 1e6) as u64;
            found.on_link = Some(self.links[zone].begin(now, fill, work));
            self.on_link.insert(fill, h);
        }
        let waiting = found.waiting.clone();
        self.refresh_link(zone);
        for (n, job) in waiting.into_iter().enumerate() {
            let note = match (n, head.cache_status, self.source_is_origin(h, fill)) {
                (1.., ..) => WireCacheStatus::Coalesced,
                (_, _, true)
                | (
                    _,
                    WireCacheStatus::Filled
                    | WireCacheStatus::FilledByOrigin
                    | WireCacheStatus::Coalesced,
                    _,
                ) => WireCacheStatus::FilledByOrigin,
                _ => WireCacheStatus::Filled,
            };
            self.serve_from_fill(now, h, fill, job, &head, note, out);
        }
        self.refresh(h);
    }

    pub(super) fn host_of_source(&self, h: HostId, fill: FillId) -> Option<HostId> {
        self.host_by_address(&self.hosts[h].fills.get(&fill)?.source)
    }

    pub(super) fn source_is_origin(&self, h: HostId, fill: FillId) -> bool {
        self.host_of_source(h, fill)
            .is_some_and(|s| self.hosts[s].spec.role == Role::Origin)
    }

    /// Passes a fill on to one who waits for it, if its copy is young enough for that request.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn serve_from_fill(
        &mut self,
        now: Micros,
        h: HostId,
        fill: FillId,
        job: JobId,
        head: &ModelResponse,
        note: WireCacheStatus,
        out: &mut Vec<ModelOutput>,
    ) {
        let Some(found) = self.hosts[h].jobs.remove(&job) else {
            return;
        };
        let floor = self.floor(h, found.arrived, &found.wanted);
        if head.copy.validated_at < floor {
            // Joined a fill that was asked for with less: a fill of its own.
            if let Some(fill) = self.hosts[h].fills.get_mut(&fill) {
                fill.waiting.retain(|j| *j != job);
            }
            return self.begin_fill(now, h, Some((job, found.arrived)), found.wanted, None, out);
        }
        let mut answer = self.answer(now, h, note, head.copy, &found.wanted);
        answer.status_code = head.status_code;
        self.admit(now, h, job, found.wanted, answer, Some(fill), out);
    }

    pub(super) fn source_end(
        &mut self,
        now: Micros,
        h: HostId,
        fill: FillId,
        end: FillOutcome,
        out: &mut Vec<ModelOutput>,
    ) {
        if self.hosts[h].hangs(now) {
            self.hosts[h].deferred.push(ModelInput::FillEnded {
                host: h,
                fill,
                outcome: end,
            });
            return;
        }
        match end {
            FillOutcome::Complete => {
                if let Some(found) = self.hosts[h].fills.get_mut(&fill) {
                    found.all_sent = true;
                }
                self.if_complete(now, h, fill, out);
            }
            FillOutcome::Rejected {
                status,
                cache_status: note,
            } => self.fill_failed(now, h, fill, Some((status, note)), out),
            FillOutcome::Unreachable => self.fill_failed(now, h, fill, None, out),
        }
        self.refresh(h);
    }

    pub(super) fn fill_due(
        &mut self,
        now: Micros,
        h: HostId,
        fill: FillId,
        out: &mut Vec<ModelOutput>,
    ) {
        if self.hosts[h]
            .fills
            .get(&fill)
            .is_some_and(|f| f.head.is_none())
        {
            out.push(ModelOutput::CancelFill { host: h, fill });
            self.fill_failed(now, h, fill, None, out);
        }
    }

    /// Nothing more comes of a fill: another try, or the word to all who wait.
    pub(super) fn fill_failed(
        &mut self,
        now: Micros,
        h: HostId,
        fill: FillId,
        told: Option<(WireStatus, WireCacheStatus)>,
        out: &mut Vec<ModelOutput>,
    ) {
        let origin = self.source_is_origin(h, fill);
        let parent = self.hosts[h].spec.role == Role::Parent;
        let Some(found) = self.forget_fill(now, h, fill) else {
            return;
        };
        let lacks = matches!(told, Some((WireStatus::Miss, _)));
        let safe = !found.wanted.has_idempotency_key();
        if found.head.is_none()
            && found.tries_left > 0
            && !lacks
            && safe
            && !found.waiting.is_empty()
        {
            self.next_fill += 1;
            let (id, due) = (self.next_fill, now + self.hosts[h].spec.fill_timeout);
            let wanted = ModelRequest {
                source: None,
                ..found.wanted.clone()
            };
            let source = found.source.clone();
            for job in &found.waiting {
                if let Some(job) = self.hosts[h].jobs.get_mut(job) {
                    job.state = JobState::Filling(id);
                }
            }
            let again = fill::Fill {
                tries_left: found.tries_left - 1,
                due,
                began: now,
                ..found
            };
            self.hosts[h].filling.insert(again.key, id);
            self.hosts[h].waits.insert((due, Wait::FillDue(id)));
            self.hosts[h].fills.insert(id, again);
            return out.push(ModelOutput::StartFill {
                host: h,
                fill: id,
                source,
                request: wanted,
            });
        }
        let (status, note, ran) = match told {
            Some((WireStatus::Rejected, _)) => {
                (WireStatus::Rejected, WireCacheStatus::SourceRejected, false)
            }
            Some((WireStatus::Miss, _)) => (WireStatus::Miss, WireCacheStatus::SourceMiss, false),
            Some((
                _,
                WireCacheStatus::SourceRejected
                | WireCacheStatus::SourceUnreachable
                | WireCacheStatus::OriginFailed,
            )) => (WireStatus::Error, WireCacheStatus::OriginFailed, true),
            _ => (WireStatus::Error, WireCacheStatus::SourceUnreachable, true),
        };
        // A parent whose origin turned it away says so as a failure of the origin, not as its own lack of room.
        let (status, note) = match (parent && origin, note) {
            (true, WireCacheStatus::SourceRejected) => (WireStatus::Error, note),
            _ => (status, note),
        };
        for job in found.waiting {
            let Some(state) = self.hosts[h].jobs.get(&job).map(|j| &j.state) else {
                continue;
            };
            match state {
                JobState::Filling(_) => {
                    self.hosts[h].jobs.remove(&job);
                    self.reject(now, h, job, status, note, ran, out);
                }
                // The head is out, or the answer waits for a place with half a copy behind it.
                JobState::Sending { key, .. } => {
                    let key = *key;
                    self.hosts[h].pipe.leave(now, key);
                    self.hosts[h].jobs.remove(&job);
                    self.reject(now, h, job, WireStatus::Error, note, true, out);
                    self.leave_place(now, h, out);
                }
                JobState::Trailing(_) => {
                    self.hosts[h].jobs.remove(&job);
                    self.reject(now, h, job, WireStatus::Error, note, true, out);
                    self.leave_place(now, h, out);
                }
                JobState::Queued(..) => {
                    self.hosts[h].jobs.remove(&job);
                    self.hosts[h].queue.retain(|j| *j != job);
                    self.reject(now, h, job, WireStatus::Error, note, true, out);
                }
                JobState::Thinking(_) | JobState::Lost => {}
            }
        }
    }

    /// Keeps a copy that is here to its last byte, and ends the answers that waited for that.
    pub(super) fn if_complete(
        &mut self,
        now: Micros,
        h: HostId,
        fill: FillId,
        out: &mut Vec<ModelOutput>,
    ) {
        if !self.hosts[h]
            .fills
            .get(&fill)
            .is_some_and(|f| f.is_complete())
        {
            return;
        }
        let Some(found) = self.forget_fill(now, h, fill) else {
            return;
        };
        let Some(head) = found.head else { return };
        let (number, group) = (found.wanted.object_number, found.wanted.group);
        let uncacheable = self
            .spec
            .classes
            .get(found.wanted.class)
            .is_some_and(|c| c.uncacheable);
        let rank = self.rank(h, found.wanted.retention_rank);
        let host = &mut self.hosts[h];
        if !uncacheable
            && head.status_code == 200
            && !host.is_purged(number, group, head.copy.validated_at)
        {
            if head.not_modified {
                host.store.renew(found.key, head.copy.validated_at);
            } else {
                host.store.put(found.key, group, head.copy, rank);
            }
        }
        for job in found.waiting {
            let trailing = self.hosts[h]
                .jobs
                .get(&job)
                .is_some_and(|j| matches!(j.state, JobState::Trailing(_)));
            if trailing {
                self.hosts[h].jobs.remove(&job);
                out.push(ModelOutput::ResponseEnd { host: h, job });
                self.leave_place(now, h, out);
            }
        }
    }
}
