//! The dispatcher without I/O: request table, timers, member list and purges around one router.
//!
//! [`Core::handle`] takes one [`Input`] with the time at which it happened and appends [`Output`]s, to be carried out in
//! order. Between inputs, call it with [`Input::Tick`] at [`Core::next_timer`] or soon after.
//!
//! Kept: an entry for each open request, dropped with its last attempt's end; two timers for each at most; a
//! line for each listed member, dropped a minute after it is gone; purges until no older copy can be left.
mod endpoint_list;
mod purge_lease;
mod purge_log;
pub mod state;
mod timers;
mod work_requests;

use crate::dispatcher_registry::{DispatcherRegistry, FleetCounts, Roster};
use endpoint_list::EndpointList;
use pointspindle::*;
use pointspindle_config::{DispatcherSettings, Role};
use pointspindle_protocol::{
    EndpointListHead, HelloHead, LeaseHead, PurgeHead, WireCacheStatus, WireStatus,
};
use purge_lease::Hold;
use purge_log::PurgeLog;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use timers::Timers;
use work_requests::Asks;

pub use endpoint_list::EndpointListChange;

/// Longest lease that is believed.
const LONGEST_LEASE: Micros = 60_000_000;

/// A client's request as the door tells it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClientRequest {
    pub class: usize,
    pub object: String,
    pub part: u64,
    pub group: u64,
    /// Time that the client still waits.
    pub time_left: Micros,
    /// Bytes of the answer, where told.
    pub size: Option<u64>,
}

/// How an attempt ended, as the shell saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptEnd {
    /// The whole answer has come.
    Complete,
    /// The member said so, with an error frame.
    ErrorReported {
        status: WireStatus,
        cache_status: WireCacheStatus,
        may_have_run: bool,
    },
    /// No connection; nothing was sent.
    ConnectFailed,
    /// Nothing was sent: no place on the connection, or it might not begin any more ([`Core::begin`]).
    NotSent,
    /// The connection broke; it may have run.
    Broken,
}

/// What the core is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The number is the shell's own, never used before.
    Request(u64, ClientRequest),
    /// The head of an attempt's answer has come; nothing of it has been passed on yet.
    ResponseStarted {
        request: u64,
        attempt: u32,
        cache_status: WireCacheStatus,
        size: Option<u64>,
    },
    AttemptEnded {
        request: u64,
        attempt: u32,
        end: AttemptEnd,
    },
    /// The client has left, or its answer is finished with an error on its side.
    ClientDisconnected(u64),
    /// The process ends: every open request whose answer is not being passed on gets its final answer now.
    FinishAll,
    EndpointList(EndpointListHead),
    Purge(PurgeHead),
    /// A member's word of its process, first on each connection to it. Tell it before anything else of that
    /// connection, and end what waits to be sent on it with [`AttemptEnd::NotSent`] where [`Output::HelloApplied`] says that
    /// the process is another one: it was meant for the one before.
    Hello {
        endpoint: String,
        hello: HelloHead,
    },
    /// What a member that warms up takes from this dispatcher.
    Lease {
        endpoint: String,
        lease: LeaseHead,
    },
    /// Purges may have been missed, nobody knows which: every copy from before now counts as purged.
    UpdatesMissed,
    /// Which dispatchers are registered.
    Roster(Roster),
    /// This dispatcher's registration was kept, so long ago for so long.
    RegistrationRenewed {
        ago: Micros,
        duration: Micros,
    },
    /// Whether lists, purges and the roster are as new as they should be.
    SourceFreshness(bool),
    /// All purges that were acknowledged up to so long ago are in force here ([`hold`]).
    PurgesConfirmed {
        ago: Micros,
    },
    /// Time has passed.
    Tick,
}

/// Where a miss is filled from, with the source by address.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressedFetch {
    pub source: Option<String>,
    pub retention_rank: u8,
    pub max_age: Micros,
    pub coalesce: bool,
    pub only_if_cached: bool,
    pub revalidate: bool,
}

/// What the shell is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Send {
        request: u64,
        attempt: u32,
        endpoint: String,
        timeout: Micros,
        fetch: Option<AddressedFetch>,
    },
    /// Cancel at the member; nothing of this attempt is told any more.
    CancelAttempt { request: u64, attempt: u32 },
    /// Pass the answer on from its head.
    ForwardResponse { request: u64, attempt: u32 },
    /// Final: a retry is harmless.
    Reject {
        request: u64,
        retry_after: Option<Micros>,
    },
    /// Final: no promise.
    Fail { request: u64 },
    /// Final, after the head was passed on: the answer stays incomplete and the client must see that.
    AbortResponse { request: u64 },
    /// The list in force, after [`Input::EndpointList`].
    EndpointListApplied(EndpointListChange),
    /// After [`Input::Hello`]: whether another process was at that address before.
    HelloApplied { replaced: bool },
    /// Ask a member for work, on its connection; its answer is an [`Input::Lease`].
    RequestWork { endpoint: String, work_us: u64 },
    /// Connect to a member, so that it can say who it is and what it takes, though no request goes there yet.
    Connect { endpoint: String },
}

/// Counts of how attempts ended, for metrics; told with [`Core::take_attempt_counts`].
pub type AttemptCounts = BTreeMap<&'static str, u64>;

#[derive(Debug)]
struct Attempt {
    number: u32,
    endpoint: EndpointId,
    sent: Micros,
    due: Micros,
    note: WireCacheStatus,
    kb: Option<f64>,
    source: Option<EndpointId>,
    /// What the answer may be, as of the purges told so far; see [`Core::begin`].
    age: Micros,
    join: bool,
    /// Its first byte may have gone out. Until then it has surely not run.
    begun: bool,
}

impl Attempt {
    /// A copy may be no older than this, and none is taken from a fill that began before.
    fn no_older(&mut self, limit: Micros) {
        // 0 would say nothing of the age.
        self.age = if self.age == 0 {
            limit.max(1)
        } else {
            self.age.min(limit).max(1)
        };
        self.join = false;
    }
}

/// What holds for an attempt at the moment of its first byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptTerms {
    /// Time that is left for it.
    pub left: Micros,
    /// The oldest copy that will do; 0: the class's own word.
    pub age: Micros,
    /// It may join a fill that is under way.
    pub join: bool,
    /// No older copy is used, since purges that may have struck it cannot be proven to be known.
    pub held: bool,
}

#[derive(Debug, Default)]
struct Open {
    class: usize,
    object: ObjectId,
    group: u64,
    /// Attempts made so far; the router numbers them in this order.
    attempts: u32,
    out: Option<Attempt>,
    /// The answer is being passed on: no other attempt may follow.
    committed: bool,
    /// It has had its final answer, or its client has left.
    done: bool,
}

/// See the module's documentation.
#[derive(Debug)]
pub struct Core {
    router: Router,
    list: EndpointList,
    purges: PurgeLog,
    answer_slack: Micros,
    asks: Asks,
    peers: DispatcherRegistry,
    counts: Option<FleetCounts>,
    /// When the counts have to be looked at again.
    count_at: Option<Micros>,
    /// Since when purges may have been missed, and the groups that were purged for it since: as many as are asked for before no
    /// older copy can be left.
    missed: Option<(Micros, BTreeSet<u64>)>,
    purge_done: Micros,
    hold: Option<Hold>,
    /// Own zone.
    zone: usize,
    open: BTreeMap<u64, Open>,
    timers: Timers,
    actions: Vec<Action>,
    ends: AttemptCounts,
}

impl Core {
    pub fn new(settings: &DispatcherSettings, seed: u64) -> Self {
        Self {
            router: Router::new(settings.router.clone(), seed),
            list: EndpointList::new(&settings.zones, settings.upstream.endpoints_have_ids),
            purges: PurgeLog::new(settings.router.purge_horizon),
            answer_slack: settings.answer_slack_us,
            asks: Asks::default(),
            peers: DispatcherRegistry::new(
                &settings.name,
                &settings.zones[settings.router.zone],
                settings
                    .router
                    .cache_slow_start
                    .overload_window
                    .max(settings.router.parent_slow_start.overload_window),
            ),
            counts: None,
            count_at: None,
            missed: None,
            purge_done: settings.router.purge_horizon,
            hold: Hold::of(settings),
            zone: settings.router.zone,
            open: BTreeMap::new(),
            timers: Timers::default(),
            actions: Vec::new(),
            ends: AttemptCounts::new(),
        }
    }

    /// When [`Input::Tick`] is next wanted.
    pub fn next_timer(&self) -> Option<Micros> {
        self.timers.next()
    }

    pub fn open_requests(&self) -> usize {
        self.open.values().filter(|o| !o.done).count()
    }

    /// Number of the list in force; 0: none yet.
    pub fn endpoint_list_seq(&self) -> u64 {
        self.list.seq()
    }

    pub fn endpoint_list(&self, now: Micros) -> EndpointListHead {
        self.list.whole(now)
    }

    /// How attempts ended since this was last asked.
    pub fn take_attempt_counts(&mut self) -> AttemptCounts {
        std::mem::take(&mut self.ends)
    }

    /// Whether purges are proven to be known, where that is promised.
    pub fn purges_confirmed(&self, now: Micros) -> Option<bool> {
        self.hold.as_ref().map(|h| h.is_proven(now))
    }

    /// Members, purges and dispatchers that are kept.
    pub fn state_counts(&mut self, now: Micros) -> (usize, usize, usize) {
        (
            self.list.whole(now).endpoints.len(),
            self.purges.recent(now).len(),
            self.peers.len(),
        )
    }

    /// What is worth keeping over a restart.
    pub fn snapshot(&mut self, now: Micros) -> state::Snapshot {
        state::Snapshot::new(self.list.whole(now), self.purges.recent(now))
    }

    /// Takes one input and appends what to do about it. `now` never runs backwards.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        // Not left to the timer: a process that was stopped goes on with a request, not with a tick.
        if self.count_at.is_some_and(|at| now >= at) {
            self.count(now);
        }
        match input {
            Input::Request(id, ask) => {
                let object = ObjectId::named(&ask.object);
                self.open.insert(
                    id,
                    Open {
                        class: ask.class,
                        object,
                        group: ask.group,
                        ..Open::default()
                    },
                );
                let request = Request {
                    id: RequestId(id),
                    class: ask.class,
                    object,
                    part: ask.part,
                    group: ask.group,
                    time_left: ask.time_left.saturating_sub(self.answer_slack),
                    size_kb: ask.size.map(|bytes| bytes as f64 / 1024.0),
                };
                self.purge_if_missed(now, ask.group, out);
                if !self.ask_first(now, &request, out) {
                    self.drive(now, Event::Request(request), out);
                }
            }
            Input::ResponseStarted {
                request,
                attempt,
                cache_status: note,
                size,
            } => {
                let Some(open) = self.open.get_mut(&request).filter(|o| !o.done) else {
                    return;
                };
                let Some(sent) = open.out.as_mut().filter(|a| a.number == attempt) else {
                    return;
                };
                sent.note = note;
                sent.kb = size.map(|bytes| bytes as f64 / 1024.0);
                let endpoint = sent.endpoint;
                self.list.heard(now, endpoint);
                open.committed = true;
                out.push(Output::ForwardResponse { request, attempt });
                self.drive(now, Event::ResponseStarted(endpoint), out);
            }
            Input::AttemptEnded {
                request,
                attempt,
                end,
            } => {
                let (status, note) = match end {
                    AttemptEnd::Complete => (AttemptStatus::Ok, None),
                    AttemptEnd::ConnectFailed => (AttemptStatus::ConnectFailed, None),
                    AttemptEnd::NotSent => (AttemptStatus::NotSent, None),
                    AttemptEnd::Broken => (AttemptStatus::Reset, None),
                    AttemptEnd::ErrorReported {
                        status,
                        cache_status: note,
                        may_have_run,
                    } => {
                        // A status that promises more than the frame's own word is not believed.
                        let status = match status {
                            WireStatus::Rejected if !may_have_run => AttemptStatus::Rejected,
                            WireStatus::Miss if !may_have_run => AttemptStatus::Miss,
                            WireStatus::Unspecified if !may_have_run => AttemptStatus::NotSent,
                            _ => AttemptStatus::Error,
                        };
                        (status, Some(note))
                    }
                };
                self.attempt_over(now, request, attempt, status, note, out);
            }
            Input::ClientDisconnected(request) => {
                let Some(open) = self.open.get_mut(&request) else {
                    return;
                };
                if let Some(waiting) = self.asks.take(request) {
                    self.timers.cancel(waiting.due, timers::Timer::Ask(request));
                }
                if !open.done {
                    open.done = true;
                    self.drive(now, Event::ClientDisconnected(RequestId(request)), out);
                }
                self.forget_if_over(request);
            }
            Input::FinishAll => self.give_up_all(now, out),
            Input::EndpointList(head) => {
                let (event, news) = self.list.take(now, head);
                out.push(Output::EndpointListApplied(news));
                if let Some(event) = event {
                    self.meet(&event, out);
                    self.drive(now, event, out);
                    let list = &self.list;
                    self.asks.keep(|endpoint| list.address(endpoint).is_some());
                }
            }
            Input::Purge(head) => {
                let object = head.object.as_deref().map(ObjectId::named);
                self.purges.add(now, &head);
                self.tighten(head.age_us, |o| match object {
                    Some(object) => o.object == object,
                    None => o.group == head.group,
                });
                self.drive(
                    now,
                    Event::Purge {
                        object,
                        group: head.group,
                        age: head.age_us,
                    },
                    out,
                );
            }
            Input::Hello { endpoint, hello } => {
                let id = EndpointId::named(&endpoint);
                let found = self.list.hello(now, id, &hello);
                out.push(Output::HelloApplied {
                    replaced: found.is_some_and(|h| h.replaced),
                });
                if let Some(found) = found {
                    self.drive(
                        now,
                        Event::Hello {
                            endpoint: id,
                            started_at: found.started,
                        },
                        out,
                    );
                }
            }
            Input::Lease { endpoint, lease } => {
                // Longer than a minute is no lease of a warm-up.
                let (work, lasts) = (
                    lease.work_us as f64 / 1e6,
                    lease.duration_us.min(LONGEST_LEASE),
                );
                let endpoint = EndpointId::named(&endpoint);
                self.asks.told(endpoint, lease.on_request);
                self.drive(
                    now,
                    Event::Lease {
                        endpoint,
                        work_s: work,
                        duration: lasts,
                    },
                    out,
                );
                if let Some(waiting) = lease
                    .in_reply
                    .then(|| self.asks.answered(endpoint))
                    .flatten()
                {
                    self.timers
                        .cancel(waiting.due, timers::Timer::Ask(waiting.request.id.0));
                    self.drive(now, Event::Request(waiting.go_on(now)), out);
                }
            }
            Input::UpdatesMissed => {
                self.missed = Some((now, BTreeSet::new()));
                self.tighten(0, |_| true);
            }
            Input::Roster(roster) => {
                self.peers.roster(now, roster);
                self.count(now);
            }
            Input::RegistrationRenewed {
                ago,
                duration: lasts,
            } => {
                self.peers.kept(now.saturating_sub(ago), lasts);
                self.count(now);
            }
            Input::SourceFreshness(current) => {
                self.peers.view(current);
                self.count(now);
            }
            Input::PurgesConfirmed { ago } => {
                if let Some(hold) = &mut self.hold {
                    hold.proven(now.saturating_sub(ago));
                }
            }
            Input::Tick => self.tick(now, out),
        }
    }

    /// Whether an attempt may begin, and on what terms. Asked right before its first byte, by whoever is about to write it:
    /// since it was ordered its client may have left or been answered, its time or the window of its key be over, its member or
    /// the source of its fill be drained or gone, or its object be purged. None: nothing of it goes out, and it ends as [`AttemptEnd::NotSent`].
    ///
    /// Owed after a yes: the attempt's end. After a no: that end, where the request is still open.
    pub fn begin(&mut self, now: Micros, request: u64, attempt: u32) -> Option<AttemptTerms> {
        if !self.may_begin(now, request, attempt) {
            return None;
        }
        let open = self.open.get_mut(&request)?;
        // Judged here and not by a timer: a process that stood still goes on with a request.
        let limit = self.hold.as_ref().and_then(|h| h.limit(now, open.class));
        let ordered = open.out.as_mut()?;
        if let Some(limit) = limit {
            ordered.no_older(limit);
        }
        ordered.begun = true;
        let (age, join) = (ordered.age, ordered.join);
        Some(AttemptTerms {
            left: ordered.due - now,
            age,
            join,
            held: limit.is_some(),
        })
    }

    /// The same question without the promise, for what still waits.
    pub fn may_begin(&self, now: Micros, request: u64, attempt: u32) -> bool {
        let Some(open) = self.open.get(&request).filter(|o| !o.done) else {
            return false;
        };
        let Some(ordered) = open.out.as_ref().filter(|a| a.number == attempt) else {
            return false;
        };
        let ready = |id| self.list.is_ready(id);
        self.router.may_begin(now, RequestId(request))
            && now < ordered.due
            && ready(ordered.endpoint)
            && ordered.source.is_none_or(ready)
    }

    /// A purge was told: what has been ordered and not begun asks for no copy from before it.
    fn tighten(&mut self, limit: Micros, of: impl Fn(&Open) -> bool) {
        for open in self.open.values_mut().filter(|o| of(o)) {
            open.out
                .iter_mut()
                .filter(|a| !a.begun)
                .for_each(|a| a.no_older(limit));
        }
    }

    fn give_up_all(&mut self, now: Micros, out: &mut Vec<Output>) {
        // Those that wait for a member's word are not known to the router yet.
        for waiting in self.asks.take_all() {
            self.timers
                .cancel(waiting.due, timers::Timer::Ask(waiting.request.id.0));
            self.drive(now, Event::Request(waiting.go_on(now)), out);
        }
        let unanswered = self.open.iter().filter(|(_, o)| !o.done && !o.committed);
        let ids: Vec<u64> = unanswered.map(|(id, _)| *id).collect();
        for id in ids {
            self.drive(now, Event::FinishNow(RequestId(id)), out);
        }
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        while let Some(timer) = self.timers.due(now) {
            match timer {
                timers::Timer::Router(token) => self.drive(now, Event::Timer(token), out),
                timers::Timer::Ask(request) => {
                    if let Some(waiting) = self.asks.take(request) {
                        self.drive(now, Event::Request(waiting.go_on(now)), out);
                    }
                }
                timers::Timer::Peers => {}
                timers::Timer::Attempt(request, attempt) => {
                    if self.is_out(request, attempt) {
                        out.push(Output::CancelAttempt { request, attempt });
                        self.attempt_over(now, request, attempt, AttemptStatus::Timeout, None, out);
                    }
                }
            }
        }
    }

    /// Tells the router how many dispatchers there are, where that has changed.
    fn count(&mut self, now: Micros) {
        let counts = self.peers.counts(now);
        if let Some(c) = counts.filter(|_| counts != self.counts) {
            self.router.set_fleet_position(FleetPosition {
                routers_in_zone: c.in_zone,
                routers_total: c.total,
                router_index: c.index,
                takes_warm_up_budget: c.takes_warm_up_budget,
            });
            self.counts = counts;
        }
        if let Some(at) = self.count_at.take() {
            self.timers.cancel(at, timers::Timer::Peers);
        }
        self.count_at = self.peers.next(now);
        if let Some(at) = self.count_at {
            self.timers.set(at, timers::Timer::Peers);
        }
    }

    /// A request of a group whose purges may have been missed purges the group as of then, once.
    fn purge_if_missed(&mut self, now: Micros, group: u64, out: &mut Vec<Output>) {
        let Some((at, told)) = &mut self.missed else {
            return;
        };
        let age = now.saturating_sub(*at);
        if age > self.purge_done {
            self.missed = None;
        } else if told.insert(group) {
            self.purges.add(
                now,
                &PurgeHead {
                    object: None,
                    group,
                    age_us: age,
                    seq: 0,
                },
            );
            self.drive(
                now,
                Event::Purge {
                    object: None,
                    group,
                    age,
                },
                out,
            );
        }
    }

    /// Has a request wait for the word of the member whose it is, if that gives its work by asking and has none left here.
    fn ask_first(&mut self, now: Micros, request: &Request, out: &mut Vec<Output>) -> bool {
        let short = self
            .asks
            .any()
            .then(|| self.router.warm_up_shortfall(now, request))
            .flatten();
        let Some((endpoint, work)) = short else {
            return false;
        };
        let Some(address) = self.list.address(endpoint) else {
            return false;
        };
        let Some(due) = self.asks.wait(now, endpoint, request) else {
            return false;
        };
        self.timers.set(due, timers::Timer::Ask(request.id.0));
        // Rounded up: what is given is compared with what it costs.
        out.push(Output::RequestWork {
            endpoint: address,
            work_us: (work * 1e6) as u64 + 1,
        });
        true
    }

    /// Caches of the own zone that are listed as ready are connected to before a request goes there: one that is met for
    /// the first time with a request in hand would get it whatever it has to say of itself, and from all dispatchers.
    fn meet(&self, event: &Event, out: &mut Vec<Output>) {
        let Event::EndpointList { entries, .. } = event else {
            return;
        };
        let cache = |e: &&EndpointEntry| {
            e.state == EndpointState::Ready && e.zone == self.zone && e.kind == Role::Cache.kind()
        };
        let caches = entries
            .iter()
            .filter(cache)
            .filter_map(|e| self.list.address(e.id));
        out.extend(caches.map(|endpoint| Output::Connect { endpoint }));
    }

    fn is_out(&self, request: u64, attempt: u32) -> bool {
        self.open
            .get(&request)
            .and_then(|o| o.out.as_ref())
            .is_some_and(|a| a.number == attempt)
    }

    /// An attempt is over: the router hears of it once, and a request whose answer was being passed on ends.
    fn attempt_over(
        &mut self,
        now: Micros,
        request: u64,
        attempt: u32,
        status: AttemptStatus,
        note: Option<WireCacheStatus>,
        out: &mut Vec<Output>,
    ) {
        if !self.is_out(request, attempt) {
            return;
        }
        match self.open.get_mut(&request) {
            Some(open) if open.committed && status == AttemptStatus::Ok => open.done = true,
            _ => self.break_if_passed_on(request, out),
        }
        if let Some(event) = self.outcome(now, request, status, note) {
            self.drive(now, event, out);
        }
        self.forget_if_over(request);
    }

    /// An answer whose head was passed on cannot be had elsewhere: whatever ends its attempt early, be it a member
    /// that hangs in mid-body and is given up with all that it holds, breaks the answer off.
    fn break_if_passed_on(&mut self, request: u64, out: &mut Vec<Output>) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        if open.committed && !open.done {
            open.done = true;
            out.push(Output::AbortResponse { request });
        }
    }

    /// Takes the attempt off the table and words its end for the router.
    fn outcome(
        &mut self,
        now: Micros,
        request: u64,
        status: AttemptStatus,
        note: Option<WireCacheStatus>,
    ) -> Option<Event> {
        let open = self.open.get_mut(&request)?;
        let attempt = open.out.take()?;
        // What never began has not run, whatever ended it: the module hears the truth of that.
        let status = match status {
            AttemptStatus::Timeout | AttemptStatus::Cancelled if attempt.begun => status,
            // Wanted no longer: that says nothing of the member.
            AttemptStatus::Cancelled if open.done => AttemptStatus::NotSent,
            // Nothing could be written there in its time.
            AttemptStatus::Timeout | AttemptStatus::Cancelled => AttemptStatus::ConnectFailed,
            _ => status,
        };
        self.timers
            .cancel(attempt.due, timers::Timer::Attempt(request, attempt.number));
        *self.ends.entry(status_word(status)).or_default() += 1;
        Some(Event::Outcome(AttemptOutcome {
            request: RequestId(request),
            attempt: attempt.number,
            endpoint: attempt.endpoint,
            status,
            cache_status: note_of(note.unwrap_or(attempt.note)),
            elapsed: now.saturating_sub(attempt.sent),
            size_kb: attempt.kb,
            request_closed: open.committed,
        }))
    }

    /// Tells the router, and what follows at once from what it wants, until it wants nothing more.
    fn drive(&mut self, now: Micros, first: Event, out: &mut Vec<Output>) {
        let mut events = VecDeque::from([first]);
        while let Some(event) = events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.router.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                match action {
                    Action::Send {
                        request,
                        endpoint,
                        timeout,
                        fetch,
                    } => {
                        events.extend(self.send(now, request.0, endpoint, timeout, fetch, out));
                    }
                    Action::Cancel { request, attempt } => {
                        if self.is_out(request.0, attempt) {
                            out.push(Output::CancelAttempt {
                                request: request.0,
                                attempt,
                            });
                            self.break_if_passed_on(request.0, out);
                            events.extend(self.outcome(
                                now,
                                request.0,
                                AttemptStatus::Cancelled,
                                None,
                            ));
                            self.forget_if_over(request.0);
                        }
                    }
                    Action::Reject {
                        request,
                        retry_after,
                    } => {
                        if self.finish(request.0) {
                            out.push(Output::Reject {
                                request: request.0,
                                retry_after,
                            });
                        }
                    }
                    Action::Fail { request } => {
                        if self.finish(request.0) {
                            out.push(Output::Fail { request: request.0 });
                        }
                    }
                    Action::SetTimer { after, token } => {
                        self.timers.set(now + after, timers::Timer::Router(token));
                    }
                }
            }
            self.actions = actions;
        }
    }

    fn send(
        &mut self,
        now: Micros,
        request: u64,
        endpoint: EndpointId,
        timeout: Micros,
        fetch: Option<FetchDirective>,
        out: &mut Vec<Output>,
    ) -> Option<Event> {
        let open = self.open.get_mut(&request)?;
        let (number, due) = (open.attempts, now + timeout);
        open.attempts += 1;
        let from = fetch
            .as_ref()
            .map(|f| f.source)
            .filter(|source| *source != endpoint);
        open.out = Some(Attempt {
            number,
            endpoint,
            sent: now,
            due,
            note: WireCacheStatus::Unreported,
            kb: None,
            source: from,
            age: fetch.as_ref().map_or(0, |f| f.max_age),
            join: fetch.as_ref().is_some_and(|f| f.coalesce),
            begun: false,
        });
        let address = self.list.address(endpoint);
        let source = from.map(|source| self.list.address(source));
        // A member that the list no longer names, as receiver or source: nothing was sent.
        let (Some(address), None | Some(Some(_))) = (address, &source) else {
            return self.outcome(now, request, AttemptStatus::NotSent, None);
        };
        self.timers
            .set(due, timers::Timer::Attempt(request, number));
        let fetch = fetch.map(|f| AddressedFetch {
            source: source.flatten(),
            retention_rank: f.retention_rank,
            max_age: f.max_age,
            coalesce: f.coalesce,
            only_if_cached: f.only_if_cached,
            revalidate: f.revalidate,
        });
        out.push(Output::Send {
            request,
            attempt: number,
            endpoint: address,
            timeout,
            fetch,
        });
        None
    }

    /// Marks a request as answered; false if it was before.
    fn finish(&mut self, request: u64) -> bool {
        let Some(open) = self.open.get_mut(&request) else {
            return false;
        };
        let first = !std::mem::replace(&mut open.done, true);
        self.forget_if_over(request);
        first
    }

    fn forget_if_over(&mut self, request: u64) {
        if self
            .open
            .get(&request)
            .is_some_and(|o| o.done && o.out.is_none())
        {
            self.open.remove(&request);
        }
    }
}

fn status_word(status: AttemptStatus) -> &'static str {
    match status {
        AttemptStatus::Ok => "ok",
        AttemptStatus::Error => "error",
        AttemptStatus::Rejected => "full",
        AttemptStatus::Timeout => "timeout",
        AttemptStatus::ConnectFailed => "connect_failed",
        AttemptStatus::Reset => "reset",
        AttemptStatus::Cancelled => "cancelled",
        AttemptStatus::NotSent => "not_sent",
        AttemptStatus::Miss => "miss",
    }
}

fn note_of(note: WireCacheStatus) -> CacheStatus {
    match note {
        WireCacheStatus::Unreported => CacheStatus::Unreported,
        WireCacheStatus::Hit => CacheStatus::Hit,
        WireCacheStatus::Filled => CacheStatus::Filled,
        WireCacheStatus::FilledByOrigin => CacheStatus::FilledByOrigin,
        WireCacheStatus::Coalesced => CacheStatus::Coalesced,
        WireCacheStatus::Stale => CacheStatus::Stale,
        WireCacheStatus::SourceRejected => CacheStatus::SourceRejected,
        WireCacheStatus::SourceUnreachable => CacheStatus::SourceUnreachable,
        WireCacheStatus::SourceMiss => CacheStatus::SourceMiss,
        WireCacheStatus::FillLimitReached => CacheStatus::FillLimitReached,
        WireCacheStatus::OriginFailed => CacheStatus::OriginFailed,
    }
}
