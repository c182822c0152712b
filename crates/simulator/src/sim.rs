//! The event loop: clients, dispatchers' cores, the world, control and the script.
use super::links::{Links, Owner};
use super::queue::Queue;
use super::RunCost;
use pointspindle::{Micros, ObjectId};
use pointspindle_audit::trace::{
    AttemptOutcome, ClientAttemptId, ClientOutcome, TraceEntry, TraceEvent,
};
use pointspindle_cache_host::lease::WorkLedger;
use pointspindle_cache_model::{
    CacheModel, Fault, FillOutcome, HostId, HostSpec, JobId, ModelInput, ModelOutput, ModelRequest,
    ModelResponse, Role,
};
use pointspindle_config::DispatcherSettings;
use pointspindle_dispatcher::core::{AttemptEnd, AttemptTerms};
use pointspindle_dispatcher::{ClientRequest, Core, Input, Output};
use pointspindle_fleet_model::control_plane::{self, ControlPlane, ControlUpdate, ListedEndpoint};
use pointspindle_fleet_model::dispatcher_settings::{dispatcher_ini, ListenAddresses};
use pointspindle_fleet_model::purge_propagation::purge_drop_delay;
use pointspindle_protocol::*;
use pointspindle_scenario::fault_injection::InjectedFault;
use pointspindle_scenario::script::{purge_groups, ListedState, PartitionDirections};
use pointspindle_scenario::{
    derive_seed, Idempotency, PlannedCall, Scenario, Script, ScriptStep, Traffic,
};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

/// The model's clock at the day's first moment: members may have started before it.
pub(super) const EPOCH: Micros = 1_000_000_000_000;
/// A client goes on listening so long after its deadline.
const AFTER: Micros = 1_000_000;
/// From a client to its dispatcher, one way.
const CLIENT_WAY: Micros = 500;
/// A dispatcher that was told to stop is looked after so often.
const LEAVING: Micros = 20_000;

pub(super) enum Event {
    Call(usize),
    /// A try's turn to be sent.
    Try(ClientAttemptId),
    Asked(ClientAttemptId),
    Leave(ClientAttemptId),
    ClientEnd(ClientAttemptId, ClientOutcome),
    Patience(ClientAttemptId),
    Arrive(JobId, ModelRequest),
    Cancel(JobId),
    Head(JobId, ModelResponse),
    Over(JobId, Ending),
    Step(usize),
    DropCopies {
        host: HostId,
        object: Option<u64>,
        group: u64,
        at: Micros,
    },
    /// A connection that an attempt waits for is there, or cannot be had.
    Connected(JobId, ModelRequest, Option<u64>),
    /// A connection without a request for it is there.
    Meet {
        dispatcher: usize,
        life: u32,
        host: HostId,
    },
    Want {
        dispatcher: usize,
        life: u32,
        host: HostId,
        work_us: u64,
    },
    /// The next slot of a warming member's leases.
    Slot(HostId, u64),
    Lease {
        dispatcher: usize,
        life: u32,
        host: HostId,
        lease: LeaseHead,
    },
}

/// How a member's part of a job ended.
pub(super) enum Ending {
    Finish,
    Reject {
        status: WireStatus,
        note: WireCacheStatus,
        ran: bool,
    },
    Broken,
    Refused,
}

pub(super) struct Dispatcher {
    core: Core,
    pub(super) life: u32,
    pub(super) up: bool,
    settings: DispatcherSettings,
    next: u64,
    /// Open requests and whose they are.
    pub(super) open: HashMap<u64, ClientAttemptId>,
    /// The answer that is being passed on: its version and bytes, and whether it is old.
    passing: HashMap<u64, (u64, u64, bool)>,
    heads: HashMap<u64, (u64, u64, bool)>,
    pub(super) timer: Option<Micros>,
    /// Stands still: what it will read, and what ended meanwhile, once it goes on.
    pub(super) hung: bool,
    pub(super) backlog: Vec<Input>,
    pub(super) held: Vec<Event>,
    /// Told to stop: takes nothing new.
    pub(super) leaving: bool,
    /// Connections to members: to which start of the process, and which ones were met before.
    pub(super) connected: HashMap<HostId, u64>,
    pub(super) met: HashMap<HostId, u64>,
}

/// A try that its client still waits for.
struct Waiting {
    dispatcher: usize,
    request: Option<u64>,
}

pub struct Sim<'a> {
    pub(super) s: &'a Scenario,
    calls: &'a [PlannedCall],
    pub(super) plant: Option<InjectedFault>,
    pub(super) world: CacheModel,
    pub(super) book: ControlPlane,
    script: Script,
    pub(super) dispatchers: Vec<Dispatcher>,
    pub(super) links: Links,
    pub(super) queue: Queue<Event>,
    waiting: HashMap<ClientAttemptId, Waiting>,
    /// By call: tries that found nobody.
    missed: HashMap<u64, u32>,
    /// Zones that are cut off, which way, until when.
    pub(super) walls: BTreeMap<usize, PartitionDirections>,
    pub(super) walled_until: Micros,
    sights: Vec<TraceEntry>,
    pub(super) now: Micros,
    /// By member: kind, zone's name, weight, zone.
    members: Vec<(String, String, f64, usize)>,
    addresses: Vec<String>,
    world_timer: Option<Micros>,
    cost: RunCost,
    out: Vec<ModelOutput>,
    pub(super) ledgers: HashMap<HostId, WorkLedger>,
    /// Members that cannot be reached though they live.
    pub(super) cut_off: HashSet<HostId>,
}

impl<'a> Sim<'a> {
    pub fn new(
        s: &'a Scenario,
        traffic: &'a Traffic,
        plant: Option<InjectedFault>,
    ) -> Result<Self, String> {
        let address = |n: usize| format!("10.{}.{}.{}:80", n / 62_500, n / 250 % 250, n % 250 + 1);
        let hosts = s.hosts(address);
        let script = Script::generate(s, &hosts, address);
        let mut world = CacheModel::new(
            s.cache_model_settings(),
            hosts.clone(),
            s.size_catalogue(),
            derive_seed(s.seed, "world"),
        );
        for newcomer in &script.newcomers {
            world.add_host(newcomer.clone());
        }
        let zones = s.zones();
        let line = |h: &HostSpec| {
            (
                h.role.name().to_owned(),
                zones[h.zone].clone(),
                h.weight,
                h.zone,
            )
        };
        let all: Vec<HostSpec> = hosts.iter().chain(&script.newcomers).cloned().collect();
        let book = ControlPlane::new(s.limits.rules, &hosts, s.dispatcher_count(), s.seed);
        let mut sim = Self {
            s,
            calls: &traffic.calls,
            plant,
            world,
            book,
            dispatchers: Vec::new(),
            links: Links::default(),
            queue: Queue::default(),
            waiting: HashMap::new(),
            missed: HashMap::new(),
            walls: BTreeMap::new(),
            walled_until: 0,
            sights: Vec::new(),
            now: 0,
            members: all.iter().map(line).collect(),
            addresses: all.iter().map(|h| h.address.clone()).collect(),
            world_timer: None,
            cost: RunCost::default(),
            out: Vec::new(),
            ledgers: HashMap::new(),
            cut_off: HashSet::new(),
            script,
        };
        for h in &all {
            let (host, role) = (h.address.clone(), h.role);
            sim.saw(TraceEvent::HostDeclared {
                host,
                role,
                zone: h.zone,
                weight: h.weight,
            });
        }
        for n in 0..s.dispatcher_count() {
            let any = "127.0.0.1:0".parse().expect("an address");
            let doors = ListenAddresses {
                http: any,
                framed: any,
                control: any,
                metrics: any,
            };
            let text = dispatcher_ini(s, n, &doors, "127.0.0.1", std::path::Path::new(""), None);
            let settings =
                pointspindle_config::parse("the scenario", &text).map_err(|e| e.to_string())?;
            let core = Core::new(&settings, derive_seed(s.seed, &format!("core {n}")));
            let (open, passing, heads) = Default::default();
            let (connected, met) = Default::default();
            let (life, timer) = (0, None);
            let (hung, backlog, held, leaving) = Default::default();
            #[rustfmt::skip]
            let d = Dispatcher {
                core, life, up: true, settings, next: 0, open, passing, heads, timer, hung, backlog, held,
                leaving, connected, met,
            };
            sim.dispatchers.push(d);
            sim.book.connect(0, n);
        }
        for (n, call) in sim.calls.iter().enumerate() {
            sim.queue.plan(call.at, Event::Call(n));
        }
        for n in 0..sim.script.steps.len() {
            sim.queue.plan(sim.script.steps[n].0, Event::Step(n));
        }
        Ok(sim)
    }

    pub(super) fn saw(&mut self, saw: TraceEvent) {
        self.sights.push(TraceEntry {
            at: self.now,
            event: saw,
        });
    }

    pub fn finish(self) -> (Vec<TraceEntry>, Vec<(String, u32)>, RunCost) {
        let mut effects: Vec<(String, u32)> = self
            .world
            .effect_counts()
            .iter()
            .map(|(work, n)| (work.to_string(), *n))
            .collect();
        effects.sort();
        (
            self.sights,
            effects,
            RunCost {
                events: self.queue.planned() + self.cost.core_calls,
                ..self.cost
            },
        )
    }

    /// Until nothing is planned and no client waits.
    pub fn run(&mut self) {
        loop {
            let timer = self.dispatchers.iter().filter_map(|d| d.timer).min();
            let moments = [
                self.queue.next_at(),
                self.world_timer,
                timer,
                self.book.next_due(),
            ];
            let Some(at) = moments.into_iter().flatten().min() else {
                break;
            };
            // Timers of idle dispatchers and warming members go on for ever: the day ends with its clients.
            if self.queue.next_at().is_none() && self.waiting.is_empty() {
                break;
            }
            self.now = at.max(self.now);
            for (dispatcher, told) in self.book.take_due(self.now) {
                self.told(dispatcher, told);
            }
            if self.world_timer.is_some_and(|t| t <= self.now) {
                self.tell_world(ModelInput::Tick);
            }
            if timer.is_some_and(|t| t <= self.now) {
                for n in 0..self.dispatchers.len() {
                    if self.dispatchers[n].timer.is_some_and(|t| t <= self.now) {
                        self.tell_core(n, Input::Tick);
                    }
                }
            }
            while self.queue.next_at().is_some_and(|t| t <= self.now) {
                let Some((_, event)) = self.queue.pop() else {
                    break;
                };
                self.event(event);
            }
        }
    }

    fn event(&mut self, event: Event) {
        let Some(event) = self.later(event) else {
            return;
        };
        match event {
            Event::Call(n) => self.try_call(ClientAttemptId {
                call: n as u64,
                attempt: 0,
            }),
            Event::Try(id) => self.try_call(id),
            Event::Asked(id) => self.asked(id),
            Event::Leave(id) => {
                if let Some(waiting) = self.waiting.remove(&id) {
                    self.saw(TraceEvent::RequestEnded {
                        id,
                        outcome: ClientOutcome::Cancelled,
                    });
                    self.gone(&waiting);
                }
            }
            Event::Patience(id) => {
                // Nothing came: silent. The client hangs up.
                if let Some(waiting) = self.waiting.remove(&id) {
                    self.gone(&waiting);
                }
            }
            Event::ClientEnd(id, end) => self.client_end(id, end),
            Event::Arrive(job, wanted) => self.arrive(job, wanted),
            Event::Cancel(job) => {
                let Some(found) = self.links.close(job) else {
                    return;
                };
                self.left(&found, AttemptOutcome::Cancelled);
                self.tell_world(ModelInput::Cancel {
                    host: found.host,
                    job,
                });
            }
            Event::Head(job, answer) => self.head(job, answer),
            Event::Over(job, ending) => self.over(job, ending),
            Event::Step(n) => self.step(n),
            Event::DropCopies {
                host,
                object,
                group,
                at,
            } => {
                self.tell_world(ModelInput::Purge {
                    host,
                    object,
                    group,
                    at: EPOCH + at,
                });
            }
            Event::Connected(job, wanted, met) => self.connected(job, wanted, met),
            Event::Slot(host, start) => self.slot(host, start),
            Event::Meet {
                dispatcher,
                life,
                host,
            } => self.met(dispatcher, life, host),
            Event::Want {
                dispatcher,
                life,
                host,
                work_us,
            } => self.wanted(dispatcher, life, host, work_us),
            Event::Lease {
                dispatcher,
                life,
                host,
                lease,
            } => {
                if self.dispatchers[dispatcher].life == life {
                    let member = self.address(host);
                    self.tell_core(
                        dispatcher,
                        Input::Lease {
                            endpoint: member,
                            lease,
                        },
                    );
                }
            }
        }
    }

    // ---- clients

    fn try_call(&mut self, id: ClientAttemptId) {
        let call = &self.calls[id.call as usize];
        let missed = self.missed.get(&id.call).copied().unwrap_or(0);
        let dispatcher = self.s.dispatcher_for(call, id.call, id.attempt, missed);
        if !self.dispatchers[dispatcher].up || self.dispatchers[dispatcher].leaving {
            *self.missed.entry(id.call).or_default() += 1;
            return self.again(id, None);
        }
        let class = &self.s.workload.classes[call.class];
        let deadline = self.now + class.deadline;
        let (number, group, part) = (call.object_number, call.group, call.part);
        self.saw(TraceEvent::RequestSent {
            id,
            dispatcher,
            class: call.class,
            object_number: number,
            group,
            part,
            deadline,
        });
        self.waiting.insert(
            id,
            Waiting {
                dispatcher,
                request: None,
            },
        );
        self.queue.plan(self.now + CLIENT_WAY, Event::Asked(id));
        self.queue.plan(deadline + AFTER, Event::Patience(id));
        if let Some(leaves) = call.cancel_after.filter(|_| id.attempt == 0) {
            self.queue.plan(self.now + leaves, Event::Leave(id));
        }
    }

    fn asked(&mut self, id: ClientAttemptId) {
        let Some(waiting) = self.waiting.get_mut(&id) else {
            return;
        };
        let dispatcher = waiting.dispatcher;
        let d = &mut self.dispatchers[dispatcher];
        if !d.up {
            return;
        }
        d.next += 1;
        let request = d.next;
        waiting.request = Some(request);
        d.open.insert(request, id);
        let call = &self.calls[id.call as usize];
        // HTTP tells no sizes.
        let size = (self.s.dispatchers.knows_sizes && !call.uses_http).then_some(call.size);
        let ask = ClientRequest {
            class: call.class,
            object: call.object.clone(),
            part: call.part,
            group: call.group,
            time_left: self.s.workload.classes[call.class].deadline,
            size,
        };
        self.tell_core(dispatcher, Input::Request(request, ask));
    }

    fn gone(&mut self, waiting: &Waiting) {
        if let Some(request) = waiting.request {
            self.dispatchers[waiting.dispatcher].open.remove(&request);
            self.dispatchers[waiting.dispatcher]
                .passing
                .remove(&request);
            self.tell_core(waiting.dispatcher, Input::ClientDisconnected(request));
        }
    }

    fn client_end(&mut self, id: ClientAttemptId, end: ClientOutcome) {
        if self.waiting.remove(&id).is_none() {
            return;
        }
        self.saw(TraceEvent::RequestEnded {
            id,
            outcome: end.clone(),
        });
        let call = &self.calls[id.call as usize];
        let safe = self.s.workload.classes[call.class].idempotency == Idempotency::Idempotent;
        if end == ClientOutcome::ConnectionLost {
            *self.missed.entry(id.call).or_default() += 1;
        }
        match end {
            ClientOutcome::Rejected {
                retry_after: come_back,
            } => self.again(id, come_back.filter(|_| call.honours_retry_after)),
            ClientOutcome::Failed | ClientOutcome::Truncated | ClientOutcome::ConnectionLost
                if safe =>
            {
                self.again(id, None)
            }
            _ => {}
        }
    }

    /// The client's next try, if it has one left.
    fn again(&mut self, id: ClientAttemptId, come_back: Option<Micros>) {
        if id.attempt >= self.s.clients.retries {
            return;
        }
        let call = &self.calls[id.call as usize];
        let wait = self.s.retry_delay(call, id.attempt, come_back);
        let next = ClientAttemptId {
            attempt: id.attempt + 1,
            ..id
        };
        self.queue.plan(self.now + wait, Event::Try(next));
    }

    // ---- dispatchers

    pub(super) fn tell_core(&mut self, n: usize, input: Input) {
        let mut out = Vec::new();
        let now = EPOCH + self.now;
        let d = &mut self.dispatchers[n];
        if !d.up {
            return;
        }
        if d.hung {
            return d.backlog.push(input);
        }
        let began = std::time::Instant::now();
        d.core.handle(now, input, &mut out);
        self.cost.core_s += began.elapsed().as_secs_f64();
        self.cost.core_calls += 1;
        d.timer = d.core.next_timer().map(|at| at - EPOCH);
        for output in out {
            self.output(n, output);
        }
    }

    /// As a shell asks, right before an attempt's first byte.
    pub(super) fn begin(&mut self, n: usize, request: u64, attempt: u32) -> Option<AttemptTerms> {
        self.dispatchers[n]
            .core
            .begin(EPOCH + self.now, request, attempt)
    }

    fn output(&mut self, n: usize, output: Output) {
        let life = self.dispatchers[n].life;
        match output {
            Output::Send {
                request,
                attempt,
                endpoint: member,
                fetch,
                ..
            } => {
                let Some(id) = self.dispatchers[n].open.get(&request).copied() else {
                    return;
                };
                let Some(host) = self.world.host_by_address(&member) else {
                    return;
                };
                let waits = self.s.dispatchers.uses_hello
                    && !self.dispatchers[n].connected.contains_key(&host);
                if !waits && self.begin(n, request, attempt).is_none() {
                    return self.tell_core(
                        n,
                        Input::AttemptEnded {
                            request,
                            attempt,
                            end: AttemptEnd::NotSent,
                        },
                    );
                }
                let owner = Owner::Attempt {
                    dispatcher: n,
                    life,
                    request,
                    attempt,
                    id,
                };
                let call = &self.calls[id.call as usize];
                let plain = fetch.is_none();
                let fetch = fetch.unwrap_or(pointspindle_dispatcher::core::AddressedFetch {
                    source: None,
                    retention_rank: 0,
                    max_age: 0,
                    coalesce: false,
                    only_if_cached: true,
                    revalidate: false,
                });
                let safe =
                    self.s.workload.classes[call.class].idempotency == Idempotency::Idempotent;
                let wanted = ModelRequest {
                    object: Arc::from(call.object.as_str()),
                    object_number: call.object_number,
                    part: call.part,
                    group: call.group,
                    class: call.class,
                    source: fetch.source,
                    retention_rank: fetch.retention_rank,
                    max_age: if self.plant == Some(InjectedFault::IgnorePurge) {
                        u64::MAX / 2
                    } else {
                        fetch.max_age
                    },
                    coalesce: fetch.coalesce,
                    only_if_cached: fetch.only_if_cached && (safe || !plain),
                    revalidate: fetch.revalidate,
                    cached_version: None,
                    idempotency_key: Arc::from(if safe { String::new() } else { id.trace() }),
                    trace: Arc::from(id.trace()),
                    attempt,
                };
                let job = self.links.open(host, owner);
                let way = self.way_of(&owner, host);
                if waits {
                    let met = self.dispatchers[n].met.get(&host).copied();
                    self.queue
                        .plan(self.now + 2 * way, Event::Connected(job, wanted, met));
                } else {
                    self.queue.plan(self.now + way, Event::Arrive(job, wanted));
                }
            }
            Output::CancelAttempt { request, attempt } => {
                if let Some(job) = self.links.of_attempt(n, life, request, attempt) {
                    self.cancel(job);
                }
            }
            Output::ForwardResponse { request, .. } => {
                let d = &mut self.dispatchers[n];
                if let Some(head) = d.heads.remove(&request) {
                    d.passing.insert(request, head);
                }
            }
            Output::Reject {
                request,
                retry_after,
            } => {
                self.answer(n, request, ClientOutcome::Rejected { retry_after });
            }
            Output::Fail { request } => self.answer(n, request, ClientOutcome::Failed),
            Output::AbortResponse { request } => self.answer(n, request, ClientOutcome::Truncated),
            Output::EndpointListApplied(_) => {}
            Output::HelloApplied { .. } => {}
            Output::RequestWork {
                endpoint: member,
                work_us,
            } => {
                let Some(host) = self.world.host_by_address(&member) else {
                    return;
                };
                let way = self
                    .s
                    .latency_between(self.s.branch_of_dispatcher(n), self.zone_of_host(host));
                self.queue.plan(
                    self.now + way,
                    Event::Want {
                        dispatcher: n,
                        life,
                        host,
                        work_us,
                    },
                );
            }
            Output::Connect { endpoint: member } => {
                if let Some(host) = self.world.host_by_address(&member) {
                    self.plan_meeting(n, host, 0);
                }
            }
        }
    }

    /// A final answer leaves for the client.
    fn answer(&mut self, n: usize, request: u64, end: ClientOutcome) {
        let d = &mut self.dispatchers[n];
        d.passing.remove(&request);
        d.heads.remove(&request);
        if let Some(id) = d.open.remove(&request) {
            self.queue
                .plan(self.now + CLIENT_WAY, Event::ClientEnd(id, end));
        }
    }

    /// Troubles may overlap: who is down is not killed again.
    pub(super) fn kill(&mut self, n: usize) {
        if !self.dispatchers[n].up {
            return;
        }
        self.saw(TraceEvent::DispatcherKilled { dispatcher: n });
        self.book.disconnect(n);
        let life = self.dispatchers[n].life;
        self.disconnect(n);
        let d = &mut self.dispatchers[n];
        (d.up, d.timer, d.hung, d.leaving) = (false, None, false, false);
        d.backlog.clear();
        d.held.clear();
        let open = std::mem::take(&mut d.open);
        d.passing.clear();
        d.heads.clear();
        let mut lost: Vec<ClientAttemptId> = open.into_values().collect();
        let sent = self
            .waiting
            .iter()
            .filter(|(_, w)| w.dispatcher == n && w.request.is_none());
        lost.extend(sent.map(|(id, _)| *id));
        lost.sort_unstable();
        for id in lost {
            self.queue.plan(
                self.now + CLIENT_WAY,
                Event::ClientEnd(id, ClientOutcome::ConnectionLost),
            );
        }
        let mine = |j: &super::links::Job| matches!(j.owner, Owner::Attempt { dispatcher, life: l, .. } if dispatcher == n && l == life);
        for job in self.links.all(mine) {
            self.cancel(job);
        }
    }

    fn revive(&mut self, n: usize) {
        if self.dispatchers[n].up {
            return;
        }
        let d = &mut self.dispatchers[n];
        d.life += 1;
        d.up = true;
        let seed = derive_seed(self.s.seed, &format!("core {n} life {}", d.life));
        d.core = Core::new(&d.settings, seed);
        self.book.connect(self.now, n);
        self.saw(TraceEvent::DispatcherStarted { dispatcher: n });
    }

    // ---- members

    pub(super) fn zone_of(&self, owner: &Owner) -> usize {
        match owner {
            Owner::Attempt { dispatcher, .. } => self.s.branch_of_dispatcher(*dispatcher),
            Owner::Fill { host, .. } => self.members[*host].3,
        }
    }

    pub(super) fn way_of(&self, owner: &Owner, host: HostId) -> Micros {
        self.s
            .latency_between(self.zone_of(owner), self.members[host].3)
    }

    /// A word of its owner to stop travels to the member.
    fn cancel(&mut self, job: JobId) {
        let Some(found) = self.links.get(job).copied() else {
            return;
        };
        let way = self.way_of(&found.owner, found.host);
        self.queue.plan(self.now + way, Event::Cancel(job));
    }

    fn arrive(&mut self, job: JobId, wanted: ModelRequest) {
        let Some(found) = self.links.get(job) else {
            return;
        };
        let (host, owner) = (found.host, found.owner);
        if !self.world.is_up(host) || self.cut_off.contains(&host) {
            let way = self.way_of(&owner, host);
            self.queue
                .plan(self.now + way, Event::Over(job, Ending::Refused));
            return;
        }
        found.reached = true;
        let (by, id) = match owner {
            Owner::Attempt { dispatcher, id, .. } => (Some(dispatcher), Some(id)),
            Owner::Fill { id, .. } => (None, id),
        };
        let address = self.address(host);
        let (source, class) = (wanted.source.clone(), wanted.class);
        if let Some(ledger) = self.ledgers.get_mut(&host) {
            let class = self.s.workload.classes.get(class);
            ledger.record_arrival(
                by.map(|by| by as u64),
                class.map_or(0.0, |c| c.mean_bytes / self.s.network.bytes_per_s),
            );
        }
        self.saw(TraceEvent::AttemptArrived {
            host: address,
            dispatcher: by,
            id,
            attempt: wanted.attempt,
            source,
            class,
        });
        self.tell_world(ModelInput::Arrive {
            host,
            job,
            request: wanted,
        });
    }

    pub(super) fn zone_of_host(&self, host: HostId) -> usize {
        self.members[host].3
    }

    pub(super) fn address(&self, host: HostId) -> String {
        self.addresses[host].clone()
    }

    fn left(&mut self, job: &super::links::Job, how: AttemptOutcome) {
        if !job.reached {
            return;
        }
        let (by, id, attempt) = match job.owner {
            Owner::Attempt {
                dispatcher,
                id,
                attempt,
                ..
            } => (Some(dispatcher), Some(id), attempt),
            Owner::Fill { id, .. } => (None, id, 0),
        };
        let host = self.address(job.host);
        self.saw(TraceEvent::AttemptEnded {
            host,
            id,
            attempt,
            dispatcher: by,
            outcome: how,
        });
    }

    pub(super) fn tell_world(&mut self, input: ModelInput) {
        let mut out = std::mem::take(&mut self.out);
        self.world.handle(EPOCH + self.now, input, &mut out);
        let wishes = std::mem::take(&mut out);
        self.out = out;
        for wish in wishes {
            self.wish(wish);
        }
        self.world_timer = self.world.next_timer().map(|at| at.saturating_sub(EPOCH));
    }

    fn wish(&mut self, wish: ModelOutput) {
        match wish {
            ModelOutput::ResponseStart {
                job,
                response: answer,
                ..
            } => {
                let Some(found) = self.links.get(job).copied() else {
                    return;
                };
                let way = self.way_of(&found.owner, found.host);
                self.queue.plan(self.now + way, Event::Head(job, answer));
            }
            ModelOutput::ResponseEnd { job, .. } => {
                self.ending(job, Ending::Finish, AttemptOutcome::Completed)
            }
            ModelOutput::Reject {
                job,
                status,
                cache_status: note,
                may_have_run,
                ..
            } => {
                let ending = Ending::Reject {
                    status,
                    note,
                    ran: may_have_run,
                };
                self.ending(job, ending, AttemptOutcome::Completed);
            }
            ModelOutput::Disconnect { job, .. } => {
                self.ending(job, Ending::Broken, AttemptOutcome::ConnectionLost)
            }
            ModelOutput::HostDown { host, reason: why } => {
                let address = self.address(host);
                self.saw(TraceEvent::HostCrashed {
                    host: address,
                    reason: why.into(),
                });
                self.unreachable(host);
                for job in self.links.all(|j| j.host == host && j.reached) {
                    self.ending(job, Ending::Broken, AttemptOutcome::ConnectionLost);
                }
            }
            ModelOutput::HostUp { host } => {
                let address = self.address(host);
                let start = self.world.incarnation(host).0;
                self.saw(TraceEvent::HostStarted {
                    host: address,
                    cold: true,
                    incarnation: start,
                });
                self.warms_up(host);
            }
            ModelOutput::StartFill {
                host,
                fill,
                source,
                request: wanted,
            } => {
                let id = ClientAttemptId::parse(&wanted.trace);
                let start = self.world.incarnation(host).0;
                // Nobody of that name: the fill runs out of time, as it would with a wrong address.
                let Some(at) = self.world.host_by_address(&source) else {
                    return;
                };
                let owner = Owner::Fill {
                    host,
                    start,
                    fill,
                    id,
                };
                let job = self.links.open(at, owner);
                let way = self.way_of(&owner, at);
                self.queue.plan(self.now + way, Event::Arrive(job, wanted));
            }
            ModelOutput::CancelFill { fill, .. } => {
                if let Some(job) = self.links.of_fill(fill) {
                    self.cancel(job);
                }
            }
        }
    }

    /// The member is done with a job; its word travels to the owner.
    pub(super) fn ending(&mut self, job: JobId, ending: Ending, how: AttemptOutcome) {
        let Some(found) = self.links.get(job) else {
            return;
        };
        let seen = *found;
        found.reached = false;
        self.left(&seen, how);
        let way = self.way_of(&seen.owner, seen.host);
        self.queue.plan(self.now + way, Event::Over(job, ending));
    }

    fn head(&mut self, job: JobId, answer: ModelResponse) {
        let Some(found) = self.links.get(job).copied() else {
            return;
        };
        match found.owner {
            Owner::Attempt {
                dispatcher,
                life,
                request,
                attempt,
                ..
            } => {
                let d = &mut self.dispatchers[dispatcher];
                if d.life != life {
                    return;
                }
                let old = answer.cache_status == WireCacheStatus::Stale;
                d.heads
                    .insert(request, (answer.copy.version, answer.copy.size, old));
                let (note, size) = (answer.cache_status, Some(answer.copy.size));
                self.tell_core(
                    dispatcher,
                    Input::ResponseStarted {
                        request,
                        attempt,
                        cache_status: note,
                        size,
                    },
                );
            }
            Owner::Fill {
                host, start, fill, ..
            } => {
                if self.world.incarnation(host).0 == start {
                    self.tell_world(ModelInput::FillResponse {
                        host,
                        fill,
                        response: answer,
                    });
                }
            }
        }
    }

    pub(super) fn over(&mut self, job: JobId, ending: Ending) {
        let Some(found) = self.links.close(job) else {
            return;
        };
        match found.owner {
            Owner::Attempt {
                dispatcher,
                life,
                request,
                attempt,
                ..
            } => {
                if self.dispatchers[dispatcher].life != life {
                    return;
                }
                let end = match ending {
                    Ending::Finish => AttemptEnd::Complete,
                    Ending::Reject { status, note, ran } => AttemptEnd::ErrorReported {
                        status,
                        cache_status: note,
                        may_have_run: ran,
                    },
                    Ending::Broken => AttemptEnd::Broken,
                    Ending::Refused => AttemptEnd::ConnectFailed,
                };
                if end == AttemptEnd::Complete {
                    if let Some((version, bytes, old)) =
                        self.dispatchers[dispatcher].passing.remove(&request)
                    {
                        let end = ClientOutcome::Served {
                            version: Some(version),
                            bytes,
                            stale: old,
                        };
                        self.answer(dispatcher, request, end);
                    }
                }
                self.tell_core(
                    dispatcher,
                    Input::AttemptEnded {
                        request,
                        attempt,
                        end,
                    },
                );
            }
            Owner::Fill {
                host, start, fill, ..
            } => {
                if self.world.incarnation(host).0 != start {
                    return;
                }
                let end = match ending {
                    Ending::Finish => FillOutcome::Complete,
                    Ending::Reject { status, note, .. } => FillOutcome::Rejected {
                        status,
                        cache_status: note,
                    },
                    Ending::Broken | Ending::Refused => FillOutcome::Unreachable,
                };
                self.tell_world(ModelInput::FillEnded {
                    host,
                    fill,
                    outcome: end,
                });
            }
        }
    }

    // ---- control and script

    fn told(&mut self, n: usize, told: ControlUpdate) {
        let now = self.now;
        let (input, saw, hidden) = match told {
            ControlUpdate::Purge { object, group, at } => {
                let number = object.as_deref().map(|o| ObjectId::named(o).0);
                let version_from = self.world.current_version(number.unwrap_or(0), group);
                let head = PurgeHead {
                    object,
                    group,
                    age_us: now.saturating_sub(at),
                    seq: 0,
                };
                let saw = TraceEvent::PurgeDelivered {
                    dispatcher: n,
                    object: number,
                    group,
                    version_from,
                };
                (Input::Purge(head), saw, false)
            }
            ControlUpdate::Delta(seq, lines) => self.list(n, EndpointListForm::Delta, seq, &lines),
            ControlUpdate::Full(seq, lines) => self.list(n, EndpointListForm::Full, seq, &lines),
        };
        self.saw(saw);
        if !hidden {
            self.tell_core(n, input);
        }
    }

    fn list(
        &self,
        dispatcher: usize,
        form: EndpointListForm,
        seq: u64,
        lines: &[ListedEndpoint],
    ) -> (Input, TraceEvent, bool) {
        let member = |host: HostId| {
            let (kind, zone, weight, _) = self.members.get(host)?;
            Some((kind.as_str(), zone.as_str(), *weight))
        };
        let told =
            control_plane::list_update(dispatcher, form, seq, lines, self.now, self.plant, member);
        (Input::EndpointList(told.head), told.event, told.withheld)
    }

    fn step(&mut self, n: usize) {
        let step = self.script.steps[n].1.clone();
        match step {
            ScriptStep::Note(text) => self.saw(TraceEvent::ScriptNote { text }),
            ScriptStep::Fault { host, fault } => {
                let fault: Fault = fault.delayed_by(EPOCH);
                self.tell_world(ModelInput::Fault { host, fault });
            }
            ScriptStep::EndpointUpdate {
                host,
                state: listed,
            } => {
                if listed == ListedState::Ready && !self.world.is_up(host) {
                    return;
                }
                let (start, started) = self.world.incarnation(host);
                let started = started.map(|at| at - EPOCH);
                let address = self.address(host);
                self.book.update_endpoint(
                    self.now,
                    ListedEndpoint {
                        host,
                        address,
                        state: listed,
                        incarnation: start,
                        started_at: started,
                    },
                );
            }
            ScriptStep::PurgeGroup { group } => {
                for group in purge_groups(self.s, group) {
                    self.purge(None, group);
                }
            }
            ScriptStep::PurgeObject { object, group } => self.purge(Some(object), group),
            ScriptStep::KillDispatcher { dispatcher } => self.kill(dispatcher),
            ScriptStep::StartDispatcher { dispatcher } if self.leaves(dispatcher) => {
                self.queue.plan(self.now + LEAVING, Event::Step(n));
            }
            ScriptStep::StartDispatcher { dispatcher } => self.revive(dispatcher),
            ScriptStep::PauseDispatcher {
                dispatcher,
                paused: hung,
            } => self.hang(dispatcher, hung),
            ScriptStep::StopDispatcher { dispatcher } => self.stop(dispatcher),
            ScriptStep::ZonePartition {
                zone,
                directions: ways,
                until,
            } => self.wall(zone, ways, until),
            ScriptStep::EndpointUpdateDelay { extra: more, until } => {
                self.book.delay_updates(more, until)
            }
            ScriptStep::Reachability {
                host,
                reachable: true,
            } => {
                self.cut_off.remove(&host);
            }
            ScriptStep::Reachability {
                host,
                reachable: false,
            } => self.cut(host),
            // Turned away before the day begins.
            ScriptStep::Partition { .. } => {}
        }
    }

    fn purge(&mut self, object: Option<String>, group: u64) {
        let number = object.as_deref().map(|o| ObjectId::named(o).0);
        self.tell_world(ModelInput::OriginUpdate {
            object: number,
            group,
        });
        self.book.purge(self.now, object, group);
        if self.plant == Some(InjectedFault::IgnorePurge) {
            return;
        }
        let hosts: Vec<HostId> = self
            .world
            .hosts()
            .filter(|(_, h)| h.role != Role::Origin)
            .map(|(id, _)| id)
            .collect();
        for host in hosts {
            let after = purge_drop_delay(self.s, number.unwrap_or(group), host, self.now);
            let (object, at) = (number, self.now);
            self.queue.plan(
                self.now + after,
                Event::DropCopies {
                    host,
                    object,
                    group,
                    at,
                },
            );
        }
    }
}
