//! All members, the locations' links and the origin's versions, stepped by events.
mod faults;
mod fills;

use super::host::{Host, Job, JobState, Wait};
use super::pipe::SharedLink;
use super::store::Key;
use super::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeSet, HashMap};

/// Bytes of an object's part, by name; none: the origin has no such object.
pub type SizeCatalogue = Box<dyn Fn(&ModelRequest) -> Option<u64> + Send>;

/// An answer without a body still takes its frames' time.
const BARE: Micros = 200;
/// A warming member's link is looked at this often while it has something to send.
const WARM_STEP: Micros = 50_000;
/// A copy past this share of its fresh time is renewed behind the answer.
const RENEW_FROM: f64 = 0.8;
/// How often in a run an origin that is pushed too far stops.
const ORIGIN_FALLS: u32 = 2;
/// Purges remembered at a member before old ones are dropped.
const PURGES: usize = 4096;
const PURGE_KEEP: Micros = 60_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Wake {
    Zone(usize),
    Host(HostId),
}

pub struct CacheModel {
    spec: CacheModelSettings,
    hosts: Vec<Host>,
    addresses: HashMap<String, HostId>,
    links: Vec<SharedLink>,
    link_wakes: Vec<Option<Micros>>,
    /// Whose fill a transfer on a location's link is.
    on_link: HashMap<FillId, HostId>,
    wakes: BTreeSet<(Micros, Wake)>,
    catalogue: SizeCatalogue,
    versions: HashMap<u64, u64>,
    group_versions: HashMap<u64, u64>,
    /// When the origin ran a key last.
    ran: HashMap<Arc<str>, Micros>,
    /// How often the origin ran each piece of work; what the rule on effects is judged by.
    effects: HashMap<Arc<str>, u32>,
    origin_falls: u32,
    origin_spent: cold::WarmUpLoad,
    next_fill: FillId,
    rng: StdRng,
}

impl std::fmt::Debug for CacheModel {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("World")
            .field("hosts", &self.hosts.len())
            .finish_non_exhaustive()
    }
}

impl CacheModel {
    pub fn new(
        spec: CacheModelSettings,
        hosts: Vec<HostSpec>,
        catalogue: SizeCatalogue,
        seed: u64,
    ) -> Self {
        let addresses = hosts
            .iter()
            .enumerate()
            .map(|(n, h)| (h.address.clone(), n))
            .collect();
        let link = |z: &ZoneSpec| SharedLink::new(z.link / spec.fill_speedup.max(1e-9), 0.0);
        let links: Vec<SharedLink> = spec.zones.iter().map(link).collect();
        let mut world = Self {
            link_wakes: vec![None; links.len()],
            links,
            spec,
            hosts: hosts.into_iter().map(Host::new).collect(),
            addresses,
            on_link: HashMap::new(),
            wakes: BTreeSet::new(),
            catalogue,
            versions: HashMap::new(),
            group_versions: HashMap::new(),
            ran: HashMap::new(),
            effects: HashMap::new(),
            origin_falls: 0,
            origin_spent: cold::WarmUpLoad::default(),
            next_fill: 0,
            rng: StdRng::seed_from_u64(seed),
        };
        for h in 0..world.hosts.len() {
            world.plan_pause(0, h);
            world.refresh(h);
        }
        world
    }

    pub fn hosts(&self) -> impl Iterator<Item = (HostId, &HostSpec)> {
        self.hosts.iter().map(|h| &h.spec).enumerate()
    }

    pub fn host_spec(&self, host: HostId) -> &HostSpec {
        &self.hosts[host].spec
    }

    pub fn host_by_address(&self, address: &str) -> Option<HostId> {
        self.addresses.get(address).copied()
    }

    pub fn is_up(&self, host: HostId) -> bool {
        self.hosts[host].up
    }

    /// Which start of the process this is, and when it was; none: long ago.
    pub fn incarnation(&self, host: HostId) -> (u64, Option<Micros>) {
        (self.hosts[host].start, self.hosts[host].started)
    }

    /// A member that joins later: its process begins when it is told to return.
    pub fn add_host(&mut self, spec: HostSpec) -> HostId {
        let id = self.hosts.len();
        self.addresses.insert(spec.address.clone(), id);
        let mut host = Host::new(spec);
        host.up = false;
        host.start = 0;
        self.hosts.push(host);
        id
    }

    /// How often each piece of keyed or unsafe work has run.
    pub fn effect_counts(&self) -> &HashMap<Arc<str>, u32> {
        &self.effects
    }

    /// The version that the origin gives out now.
    pub fn current_version(&self, number: u64, group: u64) -> u64 {
        let of = |map: &HashMap<u64, u64>, key| map.get(&key).copied().unwrap_or(0);
        of(&self.versions, number) + of(&self.group_versions, group)
    }

    /// Puts a copy where the run begins with one.
    pub fn preload(&mut self, host: HostId, key: Key, group: u64, copy: CachedCopy) -> bool {
        self.hosts[host].store.put(key, group, copy, 1)
    }

    /// Transfers on a member's link, over those that it carries; for heat maps.
    pub fn link_load(&self, host: HostId) -> f64 {
        self.hosts[host].pipe.load()
    }

    pub fn next_timer(&self) -> Option<Micros> {
        self.wakes.first().map(|(at, _)| *at)
    }

    pub fn handle(&mut self, now: Micros, input: ModelInput, out: &mut Vec<ModelOutput>) {
        // What should have happened before this input happens first.
        self.tick(now, out);
        match input {
            ModelInput::Arrive {
                host,
                job,
                request: wanted,
            } => self.arrive(now, host, job, wanted, out),
            ModelInput::Cancel { host, job } => self.cancel(now, host, job, out),
            ModelInput::FillResponse {
                host,
                fill,
                response: answer,
            } => self.source_head(now, host, fill, answer, out),
            ModelInput::FillEnded {
                host,
                fill,
                outcome: end,
            } => self.source_end(now, host, fill, end, out),
            ModelInput::Purge {
                host,
                object,
                group,
                at,
            } => {
                let h = &mut self.hosts[host];
                h.store.purge(object, group, at);
                for map in [&mut h.purged_objects, &mut h.purged_groups] {
                    if map.len() > PURGES {
                        map.retain(|_, t| *t + PURGE_KEEP > now);
                    }
                }
                let newest = match object {
                    Some(object) => h.purged_objects.entry(object).or_default(),
                    None => h.purged_groups.entry(group).or_default(),
                };
                *newest = at.max(*newest);
            }
            ModelInput::OriginUpdate {
                object: Some(object),
                ..
            } => *self.versions.entry(object).or_default() += 1,
            ModelInput::OriginUpdate {
                object: None,
                group,
            } => *self.group_versions.entry(group).or_default() += 1,
            ModelInput::Fault { host, fault } => self.fault(now, host, fault, out),
            ModelInput::Tick => {}
        }
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<ModelOutput>) {
        while let Some((at, wake)) = self.wakes.first().copied().filter(|(at, _)| *at <= now) {
            self.wakes.pop_first();
            match wake {
                Wake::Zone(z) => {
                    self.link_wakes[z] = None;
                    while let Some(fill) = self.links[z].ended(at) {
                        if let Some(h) = self.on_link.remove(&fill) {
                            if let Some(fill) = self.hosts[h].fills.get_mut(&fill) {
                                fill.on_link = None;
                            }
                            self.if_complete(at, h, fill, out);
                            self.refresh(h);
                        }
                    }
                    self.refresh_link(z);
                }
                Wake::Host(h) => {
                    self.hosts[h].wake = None;
                    self.look(at, h, out);
                    self.refresh(h);
                }
            }
        }
    }

    /// Registers when the member next does something by itself.
    fn refresh(&mut self, h: HostId) {
        let host = &mut self.hosts[h];
        let next = if host.up { host.next() } else { None };
        if host.wake == next {
            return;
        }
        if let Some(old) = std::mem::replace(&mut host.wake, next) {
            self.wakes.remove(&(old, Wake::Host(h)));
        }
        if let Some(at) = next {
            self.wakes.insert((at, Wake::Host(h)));
        }
    }

    fn refresh_link(&mut self, z: usize) {
        let next = self.links[z].next();
        if self.link_wakes[z] == next {
            return;
        }
        if let Some(old) = std::mem::replace(&mut self.link_wakes[z], next) {
            self.wakes.remove(&(old, Wake::Zone(z)));
        }
        if let Some(at) = next {
            self.wakes.insert((at, Wake::Zone(z)));
        }
    }

    /// What is due at a member: transfers that end, timers, the warm-up's next step.
    fn look(&mut self, now: Micros, h: HostId, out: &mut Vec<ModelOutput>) {
        self.warm(now, h);
        while let Some(job) = self.hosts[h].pipe.ended(now) {
            self.sent(now, h, job, out);
        }
        while let Some((at, wait)) = self.hosts[h]
            .waits
            .first()
            .copied()
            .filter(|(at, _)| *at <= now)
        {
            self.hosts[h].waits.remove(&(at, wait));
            match wait {
                Wait::Think(job) => self.thought(now, h, job, out),
                Wait::FillDue(fill) => self.fill_due(now, h, fill, out),
                Wait::Look => {}
            }
        }
        let host = &mut self.hosts[h];
        if host.next_pause > 0 && now >= host.next_pause {
            let until = now + host.spec.pause;
            host.faults.hang = host.faults.hang.max(until);
            host.waits.insert((until, Wait::Look));
            self.plan_pause(until, h);
        }
        self.warm(now, h);
        if !self.hosts[h].hangs(now) && !self.hosts[h].deferred.is_empty() {
            for input in std::mem::take(&mut self.hosts[h].deferred) {
                match input {
                    ModelInput::Arrive {
                        job,
                        request: wanted,
                        ..
                    } => self.take(now, h, job, wanted, out),
                    ModelInput::FillResponse {
                        fill,
                        response: answer,
                        ..
                    } => self.source_head(now, h, fill, answer, out),
                    ModelInput::FillEnded {
                        fill, outcome: end, ..
                    } => self.source_end(now, h, fill, end, out),
                    _ => {}
                }
            }
        }
    }

    fn plan_pause(&mut self, now: Micros, h: HostId) {
        let spec = &self.hosts[h].spec;
        if spec.pause_interval == 0 {
            return;
        }
        let wait = -(spec.pause_interval as f64) * (1.0 - self.rng.gen::<f64>()).ln();
        let at = now + wait as Micros + 1;
        self.hosts[h].next_pause = at;
        self.hosts[h].waits.insert((at, Wait::Look));
    }

    /// The link's present width; while it changes by itself, a look is planned.
    fn warm(&mut self, now: Micros, h: HostId) {
        let host = &mut self.hosts[h];
        let capacity = host.capacity(now);
        host.pipe.set_capacity(now, capacity);
        if host.is_cold(now) && host.pipe.transfers() > 0 {
            // On a common grid, so that many looks of one moment are one.
            host.waits
                .insert(((now / WARM_STEP + 1) * WARM_STEP, Wait::Look));
        }
    }

    // ---- requests

    fn arrive(
        &mut self,
        now: Micros,
        h: HostId,
        job: JobId,
        wanted: ModelRequest,
        out: &mut Vec<ModelOutput>,
    ) {
        if !self.hosts[h].up {
            return out.push(ModelOutput::Disconnect { host: h, job });
        }
        if self.pushed_over(now, h, &wanted, out) {
            return;
        }
        if self.hosts[h].hangs(now) {
            self.hosts[h].deferred.push(ModelInput::Arrive {
                host: h,
                job,
                request: wanted,
            });
            return self.refresh(h);
        }
        self.take(now, h, job, wanted, out);
        self.refresh(h);
    }

    /// Every attempt that reaches a cold member counts, also one that only looks or is turned away.
    fn pushed_over(
        &mut self,
        now: Micros,
        h: HostId,
        wanted: &ModelRequest,
        out: &mut Vec<ModelOutput>,
    ) -> bool {
        let work = self
            .spec
            .classes
            .get(wanted.class)
            .map_or(0.0, |c| c.mean_transfer_time as f64 / 1e6);
        let host = &mut self.hosts[h];
        match (host.spec.role, host.started) {
            (Role::Origin, _) => {
                let spec = cold::WarmUpSpec {
                    initial_share: 1.0,
                    duration: 0,
                    overload_factor: host.spec.overload_multiple,
                    overload_window: host.spec.overload_window,
                };
                if spec.overload_factor <= 0.0 || self.origin_falls >= ORIGIN_FALLS {
                    return false;
                }
                let used = self
                    .origin_spent
                    .send(now, 0, host.spec.weight, &spec, work);
                if used > cold::ROUNDING_TOLERANCE {
                    self.origin_falls += 1;
                    self.origin_spent = cold::WarmUpLoad::default();
                    let until = now + host.spec.overload_downtime;
                    host.faults.hang = host.faults.hang.max(until);
                    host.waits.insert((until, Wait::Look));
                    self.warm(now, h);
                }
                false
            }
            (_, Some(started)) if host.is_cold(now) => {
                let (weight, spec) = (host.spec.weight, host.spec.warm_up);
                if host.spent.send(now, started, weight, &spec, work) <= cold::ROUNDING_TOLERANCE {
                    return false;
                }
                self.down(now, h, "pushed over while cold", out);
                true
            }
            _ => false,
        }
    }

    fn take(
        &mut self,
        now: Micros,
        h: HostId,
        job: JobId,
        wanted: ModelRequest,
        out: &mut Vec<ModelOutput>,
    ) {
        let host = &self.hosts[h];
        let faults = &host.faults;
        if now < faults.refuse {
            return self.reject(
                now,
                h,
                job,
                WireStatus::Rejected,
                WireCacheStatus::Unreported,
                false,
                out,
            );
        }
        let (err, lose) = (faults.err, faults.lose);
        if now < err.1 && self.rng.gen::<f64>() < err.0 {
            return self.reject(
                now,
                h,
                job,
                WireStatus::Error,
                WireCacheStatus::Unreported,
                true,
                out,
            );
        }
        if host.busy >= host.spec.concurrency && host.queue.len() >= host.spec.queue {
            return self.reject(
                now,
                h,
                job,
                WireStatus::Rejected,
                WireCacheStatus::Unreported,
                false,
                out,
            );
        }
        if now < lose.1 && self.rng.gen::<f64>() < lose.0 {
            let lost = Job {
                wanted,
                arrived: now,
                state: JobState::Lost,
            };
            self.hosts[h].jobs.insert(job, lost);
            return;
        }
        if host.spec.role == Role::Origin {
            return self.at_origin(now, h, job, wanted, out);
        }
        let class = self.spec.classes.get(wanted.class);
        let uncacheable = class.is_some_and(|c| c.uncacheable);
        let key = (wanted.object_number, wanted.part);
        let floor = self.floor(h, now, &wanted);
        let held = host.store.get(key).filter(|_| !uncacheable);
        match held.filter(|copy| copy.validated_at >= floor) {
            Some(copy) => self.hit(now, h, job, wanted, copy, out),
            None => {
                self.hosts[h].hits *= 0.98;
                self.miss(now, h, job, wanted, held, out);
            }
        }
    }

    /// The oldest birth of a copy that a request takes. The member's own knowledge counts as well: past the time in
    /// which copies from before a purge are dropped, a request may join no fill that began before it and is slow
    /// (one of 34 MB over a crowded link ran for nine seconds).
    fn floor(&self, h: HostId, arrived: Micros, wanted: &ModelRequest) -> Micros {
        let fresh = self
            .spec
            .classes
            .get(wanted.class)
            .map_or(0, |c| c.freshness_lifetime);
        let asked = match (wanted.max_age, fresh) {
            (0, 0) => 0,
            (0, fresh) => arrived.saturating_sub(fresh),
            (age, _) => arrived.saturating_sub(age),
        };
        let purged = self.hosts[h]
            .purged(wanted.object_number, wanted.group)
            .filter(|at| *at <= arrived);
        asked.max(purged.unwrap_or(0))
    }

    fn hit(
        &mut self,
        now: Micros,
        h: HostId,
        job: JobId,
        wanted: ModelRequest,
        copy: CachedCopy,
        out: &mut Vec<ModelOutput>,
    ) {
        let key = (wanted.object_number, wanted.part);
        let fresh = self
            .spec
            .classes
            .get(wanted.class)
            .map_or(0, |c| c.freshness_lifetime);
        let age = now.saturating_sub(copy.validated_at);
        let rank = self.rank(h, wanted.retention_rank);
        let host = &mut self.hosts[h];
        host.store.touch(key, rank);
        host.hits = host.hits * 0.98 + 0.02;
        let old = fresh > 0 && age > fresh;
        let note = if old {
            WireCacheStatus::Stale
        } else {
            WireCacheStatus::Hit
        };
        let renew = wanted.revalidate && fresh > 0 && age as f64 > RENEW_FROM * fresh as f64;
        let behind = renew.then(|| wanted.clone());
        let answer = self.answer(now, h, note, copy, &wanted);
        self.admit(now, h, job, wanted, answer, None, out);
        if let Some(wanted) = behind.filter(|_| !self.hosts[h].filling.contains_key(&key)) {
            // Behind the answer the copy must be new, whatever age the answer itself could have.
            let wanted = ModelRequest {
                max_age: 1,
                coalesce: false,
                only_if_cached: false,
                ..wanted
            };
            self.begin_fill(now, h, None, wanted, Some(copy), out);
        }
    }

    /// Parents know no ranks.
    fn rank(&self, h: HostId, keep: u8) -> u8 {
        if self.hosts[h].spec.role == Role::Parent {
            1
        } else {
            keep
        }
    }

    fn answer(
        &mut self,
        now: Micros,
        h: HostId,
        note: WireCacheStatus,
        copy: CachedCopy,
        wanted: &ModelRequest,
    ) -> ModelResponse {
        let zone = self.hosts[h].spec.zone;
        let link = self.links.get(zone).map_or(0.0, |l| l.load());
        let load = self.hosts[h].load(now, link);
        let age = now.saturating_sub(copy.validated_at);
        let fresh = self
            .spec
            .classes
            .get(wanted.class)
            .map_or(0, |c| c.freshness_lifetime);
        let fresh_left = (fresh > 0).then(|| fresh.saturating_sub(age));
        let not_modified = wanted.cached_version == Some(copy.version);
        ModelResponse {
            cache_status: note,
            copy,
            age,
            freshness_left: fresh_left,
            not_modified,
            load,
            status_code: 200,
        }
    }

    fn miss(
        &mut self,
        now: Micros,
        h: HostId,
        job: JobId,
        wanted: ModelRequest,
        held: Option<CachedCopy>,
        out: &mut Vec<ModelOutput>,
    ) {
        let key = (wanted.object_number, wanted.part);
        let parent = self.hosts[h].spec.role == Role::Parent;
        let join = if parent {
            self.hosts[h].spec.coalesces_fills && !wanted.has_idempotency_key()
        } else {
            wanted.coalesce
        };
        let under_way = self.hosts[h].filling.get(&key).copied();
        if let Some(fill) = under_way.filter(|_| join) {
            let host = &mut self.hosts[h];
            if let Some(found) = host.fills.get_mut(&fill) {
                found.waiting.push(job);
                let head = found.head.clone();
                let state = JobState::Filling(fill);
                host.jobs.insert(
                    job,
                    Job {
                        wanted,
                        arrived: now,
                        state,
                    },
                );
                if let Some(head) = head {
                    self.serve_from_fill(now, h, fill, job, &head, WireCacheStatus::Coalesced, out);
                }
                return;
            }
        }
        self.begin_fill(now, h, Some((job, now)), wanted, held, out);
    }

    /// Gives a request its place, or lets it wait; there is room for it, or it had come before.
    #[allow(clippy::too_many_arguments)]
    fn admit(
        &mut self,
        now: Micros,
        h: HostId,
        job: JobId,
        wanted: ModelRequest,
        answer: ModelResponse,
        fill: Option<FillId>,
        out: &mut Vec<ModelOutput>,
    ) {
        let host = &mut self.hosts[h];
        if host.busy >= host.spec.concurrency {
            host.queue.push_back(job);
            let state = JobState::Queued(answer, fill);
            host.jobs.insert(
                job,
                Job {
                    wanted,
                    arrived: now,
                    state,
                },
            );
            return;
        }
        self.begin(now, h, job, wanted, answer, fill, out);
    }

    #[allow(clippy::too_many_arguments)]
    fn begin(
        &mut self,
        now: Micros,
        h: HostId,
        job: JobId,
        wanted: ModelRequest,
        answer: ModelResponse,
        fill: Option<FillId>,
        out: &mut Vec<ModelOutput>,
    ) {
        self.hosts[h].busy += 1;
        let think = self.hosts[h].spec.service_time;
        if self.hosts[h].spec.role == Role::Origin && think > 0 {
            let slow = match self.hosts[h].faults.slow {
                (factor, until) if now < until => factor,
                _ => 1.0,
            };
            let wait = -(think as f64) * slow * (1.0 - self.rng.gen::<f64>()).ln();
            let at = now + wait as Micros + 1;
            self.hosts[h].waits.insert((at, Wait::Think(job)));
            let state = JobState::Thinking(answer);
            self.hosts[h].jobs.insert(
                job,
                Job {
                    wanted,
                    arrived: now,
                    state,
                },
            );
            return;
        }
        self.transfer(now, h, job, wanted, answer, fill, out);
    }

    #[allow(clippy::too_many_arguments)]
    fn transfer(
        &mut self,
        now: Micros,
        h: HostId,
        job: JobId,
        wanted: ModelRequest,
        answer: ModelResponse,
        fill: Option<FillId>,
        out: &mut Vec<ModelOutput>,
    ) {
        let bytes = if answer.not_modified {
            0
        } else {
            answer.copy.size
        };
        let work = (bytes as f64 / self.spec.bytes_per_s * 1e6) as u64 + BARE;
        self.warm(now, h);
        let cut = match self.hosts[h].faults.cut {
            (share, until) if now < until => self.rng.gen::<f64>() < share,
            _ => false,
        };
        let host = &mut self.hosts[h];
        let key = host.pipe.begin(now, job, work);
        host.jobs.insert(
            job,
            Job {
                wanted,
                arrived: now,
                state: JobState::Sending { key, fill, cut },
            },
        );
        out.push(ModelOutput::ResponseStart {
            host: h,
            job,
            response: answer,
        });
        self.warm(now, h);
    }

    /// The origin's work before the first byte is done.
    fn thought(&mut self, now: Micros, h: HostId, job: JobId, out: &mut Vec<ModelOutput>) {
        let Some(found) = self.hosts[h].jobs.remove(&job) else {
            return;
        };
        let JobState::Thinking(answer) = found.state else {
            return;
        };
        self.transfer(now, h, job, found.wanted, answer, None, out);
    }

    /// Its part of the link is through.
    fn sent(&mut self, now: Micros, h: HostId, job: JobId, out: &mut Vec<ModelOutput>) {
        let host = &mut self.hosts[h];
        let Some(found) = host.jobs.get_mut(&job) else {
            return;
        };
        let JobState::Sending { fill, cut, .. } = found.state else {
            return;
        };
        if cut {
            host.jobs.remove(&job);
            out.push(ModelOutput::Disconnect { host: h, job });
            return self.leave_place(now, h, out);
        }
        match fill.filter(|f| host.fills.get(f).is_some_and(|f| !f.is_complete())) {
            Some(fill) => found.state = JobState::Trailing(fill),
            None => {
                host.jobs.remove(&job);
                out.push(ModelOutput::ResponseEnd { host: h, job });
                self.leave_place(now, h, out);
            }
        }
    }

    /// A place is free: the longest waiting request gets it.
    fn leave_place(&mut self, now: Micros, h: HostId, out: &mut Vec<ModelOutput>) {
        self.hosts[h].busy -= 1;
        while self.hosts[h].busy < self.hosts[h].spec.concurrency {
            let Some(job) = self.hosts[h].queue.pop_front() else {
                break;
            };
            let Some(found) = self.hosts[h].jobs.remove(&job) else {
                continue;
            };
            let JobState::Queued(answer, fill) = found.state else {
                continue;
            };
            self.begin(now, h, job, found.wanted, answer, fill, out);
        }
        self.warm(now, h);
    }

    #[allow(clippy::too_many_arguments)]
    fn reject(
        &mut self,
        now: Micros,
        h: HostId,
        job: JobId,
        status: WireStatus,
        note: WireCacheStatus,
        may_have_run: bool,
        out: &mut Vec<ModelOutput>,
    ) {
        let load = self.hosts[h].load(now, 0.0);
        out.push(ModelOutput::Reject {
            host: h,
            job,
            status,
            cache_status: note,
            may_have_run,
            load,
        });
    }

    fn cancel(&mut self, now: Micros, h: HostId, job: JobId, out: &mut Vec<ModelOutput>) {
        let host = &mut self.hosts[h];
        host.deferred
            .retain(|i| !matches!(i, ModelInput::Arrive { job: j, .. } if *j == job));
        let Some(found) = host.jobs.remove(&job) else {
            return;
        };
        match found.state {
            JobState::Filling(fill) => self.unwait(now, h, fill, job, out),
            JobState::Queued(_, fill) => {
                host.queue.retain(|j| *j != job);
                if let Some(fill) = fill {
                    self.unwait(now, h, fill, job, out);
                }
            }
            JobState::Thinking(_) => self.leave_place(now, h, out),
            JobState::Sending { key, fill, .. } => {
                host.pipe.leave(now, key);
                self.leave_place(now, h, out);
                if let Some(fill) = fill {
                    self.unwait(now, h, fill, job, out);
                }
            }
            JobState::Trailing(fill) => {
                self.leave_place(now, h, out);
                self.unwait(now, h, fill, job, out);
            }
            JobState::Lost => {}
        }
        self.refresh(h);
    }

    // ---- the origin

    fn at_origin(
        &mut self,
        now: Micros,
        h: HostId,
        job: JobId,
        wanted: ModelRequest,
        out: &mut Vec<ModelOutput>,
    ) {
        if wanted.has_idempotency_key() {
            let window = self.spec.idempotency_window;
            if self.ran.len() > PURGES {
                self.ran.retain(|_, at| *at + window > now);
            }
            let dedupes = self
                .spec
                .classes
                .get(wanted.class)
                .is_some_and(|c| c.deduplicates);
            let repeat = dedupes
                && self
                    .ran
                    .get(&wanted.idempotency_key)
                    .is_some_and(|at| now < *at + window);
            if !repeat {
                self.ran.insert(wanted.idempotency_key.clone(), now);
                *self
                    .effects
                    .entry(wanted.idempotency_key.clone())
                    .or_default() += 1;
            }
        }
        let copy = (self.catalogue)(&wanted).map(|size| CachedCopy {
            version: self.current_version(wanted.object_number, wanted.group),
            size,
            validated_at: now,
        });
        let code = if copy.is_some() { 200 } else { 404 };
        let copy = copy.unwrap_or(CachedCopy {
            version: 0,
            size: 0,
            validated_at: now,
        });
        let mut answer = self.answer(now, h, WireCacheStatus::Hit, copy, &wanted);
        answer.status_code = code;
        self.admit(now, h, job, wanted, answer, None, out);
    }
}

impl ModelRequest {
    /// Work that must not run twice.
    pub fn has_idempotency_key(&self) -> bool {
        !self.idempotency_key.is_empty()
    }
}
