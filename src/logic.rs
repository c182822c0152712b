//! Every decision of the router. Settings, events and actions are in `src/interface.rs`.
//! Reading order: constants, state, events (membership, request, outcome, timer, purge), choosing.
use crate::interface::*;
use crate::roles::{Role, Roles};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const MS: Micros = 1_000;

/// Open requests are looked at this often: short against any aim, cheap against any budget.
const TICK: Micros = 25 * MS;
/// After a source failed, requests bound there accept old copies for this long (the design's own value).
const STALE_WINDOW: Micros = 10_000 * MS;
/// A member may have this many times the location's mean under way, for its weight, before it is skipped.
const BOUND: f64 = 1.25;
/// ... but below this many requests for each unit of weight nothing is skipped: its link is not full yet.
const BOUND_FLOOR: f64 = 1.0;
/// One router of many sees a thin part of a member's load: so many standard deviations may be chance.
const CHANCE: f64 = 2.0;
/// Requests that a cache takes at once for each unit of weight: at first, at least, at most.
const LIMIT_FIRST: f64 = 2.0;
const LIMIT_LEAST: f64 = 0.5;
const LIMIT_MOST: f64 = 4.0;
/// An answer in time raises a limit by this share, a late one lowers it: balanced at one late in eleven.
const LIMIT_UP: f64 = 0.02;
const LIMIT_DOWN: f64 = 0.2;
/// Looks at held copies that a full cache takes besides, for each unit of weight.
const LOOKS: f64 = 1.0;
/// A request worth more, or less, for its sending time than most may find the limit stretched by so much.
const LIMIT_STRETCH: (f64, f64) = (0.5, 2.0);
/// A refusal that takes longer than this came from further off than a cache of the own location.
const NEAR: Micros = 5 * MS;
/// Refused by so many members for want of room, a request is refused: more tries only add to the crowd.
const FULL_MOST: u32 = 2;
/// An uncacheable request turned away tries again after this, then twice as long.
const BACK_OFF: Micros = 80 * MS;
/// A client told to hold off comes back after this: soon, since its aim runs from its first try.
const HOLD_OFF: Micros = 100 * MS;
/// An answer is due after this plus `DUE_STRETCH` times its sending time.
const DUE: Micros = 300 * MS;
const DUE_STRETCH: f64 = 2.0;
/// So many answers overdue at a member not heard from meanwhile: it is silent.
const SILENT_COUNT: usize = 2;
/// Share by which one outcome moves a member's failure mark, and one that may be another's; the mark over
/// which it is held off; of a refused connection or of silence; under which it is trusted again.
const MARK_STEP: f64 = 0.2;
const MARK_CUT: f64 = 0.1;
const MARK_HOLD: f64 = 0.4;
const MARK_HARD: f64 = 0.5;
const MARK_TRUST: f64 = 0.3;
/// A member is first held off for this long, then twice as long each time, up to the longest.
const HOLD_FIRST: Micros = 500 * MS;
const HOLD_LONGEST: Micros = 4_000 * MS;
/// Share of a cold member's told budget that is spent: chance and late arrivals take the rest.
const COLD_SHARE: f64 = 0.7;
/// Connections refused over so long, with nothing under way and no word in between: no process is there, and
/// what answers next is a new one. A single refusal, or cut connections, are no restart.
const DOWN_LEAST: Micros = 250 * MS;
/// A member that was silent and answers may be a new process: careful with it for so many windows.
const UNSURE: Micros = 2;
/// A lease without a next one is waited on for so many times its length: the connection may be gone.
const LEASES_LOST: Micros = 3;
/// Share by which one answer moves a cache's pace, the log of its time over the sending time (of hits only,
/// where told); a cache slower than usual in the location by more than this factor weighs less by the rest.
const PACE_STEP: f64 = 0.1;
const PACE_SLOW: f64 = 2.0;
/// Share by which one answer moves a class's mean sending time, and the location's usual pace.
const MEAN_STEP: f64 = 0.02;
/// A fill that a parent or the origin answers in time raises the part of the fills that go there by this, one
/// late or turned away lowers it: balanced at a third bad. The least part finds out when it is well.
const PART_STEP: f64 = 0.5;
const PART_LEAST: f64 = 0.04;
/// The first guess of a class's mean (its aim) counts like so many answers.
const MEAN_GUESS: f64 = 5.0;
/// Where sizes are untold the mean is of quick answers: a cold member's budget is charged this much more.
const UNTOLD_COST: f64 = 1.5;
/// ... and lateness is judged by this share of it: most objects are smaller than the mean.
const UNTOLD_SIZE: f64 = 0.5;
/// Purges are remembered this much longer than copies from before them last.
const PURGE_MARGIN: Micros = 1_000 * MS;
/// A keyed request is not resent in the last stretch of its window: the resend takes time to arrive.
const KEY_MARGIN: Micros = 200 * MS;
/// A member that is gone is forgotten after this, unless an attempt refers to it: longer than any hold,
/// window or purge, so one that comes back under its number sooner finds its standing.
const FORGET: Micros = 60_000 * MS;
/// Purges are looked through for old ones when there are more than this, then at twice what was left.
const PURGES_FIRST: usize = 1024;
/// Copies remembered as asked for before; two such tables are held.
const SEEN_MOST: usize = 50_000;

/// What a process has shown of itself; void once another one has started in its place.
#[derive(Debug, Clone, Default)]
struct Health {
    mark: f64,
    holds: u32,
    held_until: Micros,
    /// How slow its answers are, as a log.
    pace: f64,
    /// As a source, when it last failed.
    failed_at: Option<Micros>,
}

/// Whether a process is there, and since when, by what this router saw.
#[derive(Debug, Clone, Default)]
struct Presence {
    /// Last word from it, and the first and last connection refused since.
    heard: Micros,
    refused: Option<(Micros, Micros)>,
    /// Found silent since.
    silent: bool,
    /// When an outage that was seen began, and when it was heard again: until the list tells of that start.
    back: Option<(Micros, Micros)>,
    /// It was only silent: as likely paused as replaced.
    unsure: bool,
}

#[derive(Debug, Clone, Default)]
struct Member {
    entry: EndpointEntry,
    health: Health,
    /// Requests under way at it, and their size.
    out: u32,
    out_kb: f64,
    /// ... of these, looks at what it holds.
    looks: u32,
    /// Requests under way that name it as the source, and the share of those bound for it that go there.
    fills: u32,
    part: f64,
    presence: Presence,
    /// Requests it may have under way before new ones go elsewhere or are refused.
    limit: f64,
    /// What was sent while it was cold: when, whose, sending time in seconds.
    spent: VecDeque<(Micros, RequestId, f64)>,
    /// What it takes from this router by its own word: how much is left of it, since when, for how long.
    lease: Option<(f64, Micros, Micros)>,
    /// Since when it is gone.
    gone: Option<Micros>,
}

#[derive(Debug, Clone)]
struct Out {
    attempt: u32,
    endpoint: EndpointId,
    source: Option<EndpointId>,
    sent: Micros,
    /// Cancelled, and for whose silence.
    cancelled: Option<Blame>,
    /// From what the cache holds only, within the grace.
    stale_try: bool,
}

#[derive(Debug, Clone, Default)]
struct Open {
    req: Request,
    deadline: Micros,
    attempts: u32,
    out: Vec<Out>,
    /// Caches and sources that failed this request.
    avoid: Vec<EndpointId>,
    stale_tried: bool,
    /// Times it was turned away for want of room, and until when it waits for that.
    fulls: u32,
    /// It asked a source for what that holds only, to spare the origin, or the origin has turned it away.
    spared: bool,
    not_before: Micros,
    /// First send that may have run, and where.
    ran: Option<(Micros, EndpointId)>,
    done: bool,
}

/// The decisions of one router. See [`Router::handle`].
#[derive(Debug)]
pub struct Router {
    set: RouterSettings,
    born: Option<Micros>,
    rng: u64,
    endpoints: BTreeMap<EndpointId, Member>,
    roles: Roles,
    open: BTreeMap<RequestId, Open>,
    /// Uncacheable requests with nothing under way, waiting for somebody to send to.
    parked: BTreeSet<RequestId>,
    ticking: bool,
    /// Usual pace of this location's caches.
    pace: f64,
    /// Mean sending time by class, seconds.
    mean: Vec<f64>,
    learned: Vec<u32>,
    /// Routers that send to this location's caches, and in all.
    sharing: f64,
    routers: u64,
    /// The share of its part of cold budgets that it takes: none while routers may count themselves unlike.
    cold_part: f64,
    sizes_told: bool,
    /// The limit that fills set for all caches, by weight.
    link: f64,
    /// Worth asked for a second of sending time, lately: both as running means.
    asked: (f64, f64),
    object_purges: BTreeMap<ObjectId, Micros>,
    group_purges: BTreeMap<u64, Micros>,
    /// Purges held when they are next looked through.
    sweep_at: usize,
    /// Copies and the cache that served each; the older table goes when the newer is full.
    seen: [BTreeMap<(ObjectId, u64), EndpointId>; 2],
}

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Caches and parents share out copies, which are parts: all of a wanted object would fill one parent's link.
fn copy_key(req: &Request) -> u64 {
    req.object.0 ^ mix(req.part)
}

/// Weighted rendezvous: the member with the highest score is the copy's home.
fn score(object: u64, endpoint: EndpointId, weight: f64) -> f64 {
    let u = (mix(object ^ mix(endpoint.0)) >> 11) as f64 / (1_u64 << 53) as f64;
    -weight / u.max(1e-12).ln().min(-1e-12)
}

/// One router's part of what `sharing` of them may have under way: the even share and room for chance.
fn part(whole: f64, sharing: f64) -> f64 {
    let even = whole / sharing;
    even + CHANCE * (even * (1.0 - 1.0 / sharing)).sqrt()
}

fn adapted(limit: f64, late: bool, least: f64, most: f64) -> f64 {
    (limit
        * if late {
            1.0 - LIMIT_DOWN
        } else {
            1.0 + LIMIT_UP
        })
    .clamp(least, most)
}

impl Presence {
    /// Word from it: a process is there, and a new one if there was none before.
    fn word(&mut self, now: Micros) {
        let down = self
            .refused
            .take()
            .filter(|(first, last)| *last >= first + DOWN_LEAST);
        if down.is_some() || self.silent {
            let from = down.map_or(self.heard, |d| d.0);
            (self.back, self.unsure) = (Some((from, now)), down.is_none());
        }
        (self.heard, self.silent) = (now, false);
    }

    /// A sign that no process is there, or not the one that was.
    fn missed(&mut self, from: Micros, now: Micros) {
        self.refused = Some((self.refused.map_or(from, |r| r.0), now));
    }

    /// A start is told: what was seen of an earlier one is void.
    fn told(&mut self, started: Micros) {
        self.refused = self.refused.filter(|r| r.1 >= started);
        self.back = self.back.filter(|b| b.0 >= started);
    }

    /// Since when another process is there than before, as far as it was seen. Without one: not yet.
    fn started(&self, now: Micros) -> Micros {
        if self
            .refused
            .is_some_and(|(first, last)| last >= first + DOWN_LEAST)
        {
            return now;
        }
        self.back.map_or(0, |b| b.1)
    }
}

impl Router {
    /// A router that knows nothing yet but its settings. The seed spreads timers and draws.
    pub fn new(settings: RouterSettings, seed: u64) -> Self {
        let all = settings
            .zones
            .iter()
            .map(|z| u64::from(z.routers))
            .sum::<u64>();
        let routers = all
            .max(settings.routers.into())
            .max(settings.router_index.map_or(0, u64::from) + 1);
        let here = settings
            .zones
            .get(settings.zone)
            .map_or(0, |z| u64::from(z.routers));
        let mean: Vec<f64> = settings
            .classes
            .iter()
            .map(|c| c.latency_objective as f64 / 1e6)
            .collect();
        Self {
            rng: seed,
            born: None,
            endpoints: BTreeMap::new(),
            roles: Roles::default(),
            open: BTreeMap::new(),
            parked: BTreeSet::new(),
            ticking: false,
            sizes_told: false,
            link: LIMIT_MOST,
            // Counts that are missing or contradict each other: the largest is the safe one.
            sharing: if here > 0 { here } else { routers } as f64,
            routers,
            cold_part: 1.0,
            learned: vec![0; mean.len()],
            pace: 0.0,
            mean,
            asked: (0.0, 0.0),
            object_purges: BTreeMap::new(),
            group_purges: BTreeMap::new(),
            sweep_at: PURGES_FIRST,
            seen: [BTreeMap::new(), BTreeMap::new()],
            set: settings,
        }
    }

    /// How many routers there are, here and in all, and which one this is; `cold`: it takes of cold budgets.
    pub fn set_fleet_position(&mut self, here: u32, all: u32, me: Option<u32>, cold: bool) {
        (self.sharing, self.routers) = (here.max(1) as f64, all.max(1).into());
        (self.set.router_index, self.cold_part) = (me, cold as u8 as f64);
    }

    /// Takes one event and appends what to do about it. `now` never runs backwards.
    pub fn handle(&mut self, now: Micros, event: Event, act: &mut Vec<Action>) {
        self.born.get_or_insert(now);
        match event {
            Event::EndpointList { update, entries } => self.on_members(now, update, entries),
            Event::Request(req) => self.on_request(now, req, act),
            Event::ResponseStarted(id) => self
                .endpoints
                .get_mut(&id)
                .into_iter()
                .for_each(|m| m.presence.word(now)),
            Event::Hello {
                endpoint,
                started_at: started,
            } => self.on_hello(now, endpoint, started),
            Event::Lease {
                endpoint,
                work_s: work,
                duration: lasts,
            } => {
                self.endpoints
                    .entry(endpoint)
                    .and_modify(|m| m.lease = Some((work, now, lasts)));
            }
            Event::Outcome(outcome) => self.on_outcome(now, outcome, act),
            Event::ClientDisconnected(id) => self.close(id, act),
            Event::FinishNow(id) => self.finish(id, act),
            Event::Timer(_) => self.on_timer(now, act),
            Event::Purge { object, group, age } => self.on_purge(now, object, group, age),
        }
        if !self.ticking && !self.open.is_empty() {
            self.ticking = true;
            act.push(Action::SetTimer {
                after: TICK + self.roll() % (TICK / 8),
                token: 0,
            });
        }
    }

    fn roll(&mut self) -> u64 {
        self.rng = mix(self.rng.wrapping_add(0x9e37_79b9_7f4a_7c15));
        self.rng
    }

    // ---- membership

    fn on_members(&mut self, now: Micros, update: ListUpdate, entries: Vec<EndpointEntry>) {
        if matches!(update, ListUpdate::Full | ListUpdate::Cached) {
            let listed: BTreeSet<EndpointId> = entries.iter().map(|e| e.id).collect();
            for m in self
                .endpoints
                .values_mut()
                .filter(|m| !listed.contains(&m.entry.id))
            {
                m.entry.state = EndpointState::Gone;
            }
        }
        for mut entry in entries {
            entry.weight = if entry.weight > 0.0 {
                entry.weight
            } else {
                1.0
            };
            self.roles.place(entry.id, Role::of(&entry, &self.set));
            match self.endpoints.get_mut(&entry.id) {
                Some(m) => {
                    // A start is never taken back: a list may be older than another word of it.
                    entry.started_at = entry.started_at.max(m.entry.started_at);
                    if entry.started_at != m.entry.started_at {
                        m.health = Health::default();
                        m.presence.told(entry.started_at);
                    }
                    m.entry = entry;
                }
                None => {
                    let (id, limit) = (entry.id, LIMIT_FIRST * entry.weight);
                    self.endpoints.insert(
                        id,
                        Member {
                            entry,
                            limit,
                            part: 1.0,
                            ..Member::default()
                        },
                    );
                }
            }
        }
        self.forget_gone(now);
    }

    /// What was guessed of its process gives way to what it says.
    fn on_hello(&mut self, now: Micros, id: EndpointId, started: Micros) {
        let Some(m) = self.endpoints.get_mut(&id) else {
            return;
        };
        m.presence = Presence {
            heard: now,
            ..Presence::default()
        };
        if started > m.entry.started_at {
            (m.entry.started_at, m.health, m.lease) = (started, Health::default(), None);
        }
    }

    /// Every choice looks at each member: those of past deploys go. One that an open request has out, was
    /// filled from, or may have run at is kept: its zone and cell bound a resend.
    fn forget_gone(&mut self, now: Micros) {
        for m in self.endpoints.values_mut() {
            let since = m.gone.unwrap_or(now);
            m.gone = (m.entry.state == EndpointState::Gone).then_some(since);
        }
        let due = |m: &Member| m.out + m.fills == 0 && m.gone.is_some_and(|at| now >= at + FORGET);
        if self.endpoints.values().any(due) {
            let ran: BTreeSet<EndpointId> = self
                .open
                .values()
                .filter_map(|o| o.ran)
                .map(|r| r.1)
                .collect();
            let forgotten = self
                .endpoints
                .extract_if(.., |id, m| due(m) && !ran.contains(id));
            forgotten.for_each(|(id, _)| self.roles.forget(id));
        }
    }

    /// Where a request would go if its home, which leases its warm-up out, had work left; and how much.
    pub fn warm_up_shortfall(&self, now: Micros, req: &Request) -> Option<(EndpointId, f64)> {
        let c = self.set.classes.get(req.class).filter(|c| !c.uncacheable)?;
        let ready = |m: &&Member| m.entry.state == EndpointState::Ready && self.healthy(now, m);
        let ready: Vec<&Member> = self.of(Role::Cache).filter(ready).collect();
        let home = self
            .endpoints
            .get(&self.pick(copy_key(req), &ready, |m| (m.out, m.out_kb))?)?;
        let short = home.lease.is_some()
            && c.priority_weight > 0.0
            && !self.cold_room(now, home, req.class);
        short.then(|| (home.entry.id, self.cost(req.class)))
    }

    // ---- request

    fn on_request(&mut self, now: Micros, req: Request, act: &mut Vec<Action>) {
        let id = req.id;
        if req.class >= self.set.classes.len() {
            return act.push(Action::Reject {
                request: id,
                retry_after: None,
            });
        }
        if let Some(kb) = req.size_kb.filter(|_| self.set.stream_kb_per_s > 0.0) {
            self.sizes_told = true;
            self.learn(req.class, kb / self.set.stream_kb_per_s);
        }
        let (worth, seconds) = (
            self.set.classes[req.class].priority_weight,
            self.seconds(req.class, req.size_kb),
        );
        self.asked.0 += MEAN_STEP * (worth - self.asked.0);
        self.asked.1 += MEAN_STEP * (seconds - self.asked.1);
        let open = Open {
            deadline: now + req.time_left,
            req,
            ..Open::default()
        };
        self.open.insert(id, open);
        self.go_on(now, id, act);
    }

    /// Makes the next attempt of a request with nothing under way, parks it, or ends it.
    fn go_on(&mut self, now: Micros, id: RequestId, act: &mut Vec<Action>) {
        let Some(o) = self.open.get(&id) else { return };
        if o.attempts >= self.set.max_attempts
            || !self.may_resend(now, o)
            || now + TICK >= o.deadline
        {
            return self.finish(id, act);
        }
        match if now < o.not_before {
            Choice::Wait
        } else {
            self.choose(now, o)
        } {
            Choice::Send(way) => self.send(now, id, way, act),
            Choice::Wait => _ = self.parked.insert(id),
            Choice::Refuse => self.finish(id, act),
        }
    }

    /// Whether an attempt of a request may still begin, where it had to wait since it was ordered. Rule: no effect twice.
    pub fn may_begin(&self, now: Micros, id: RequestId) -> bool {
        self.open
            .get(&id)
            .is_some_and(|o| !o.done && self.may_resend(now, o))
    }

    /// Rule: no effect twice. After an attempt that may have run, only safe classes go on freely.
    fn may_resend(&self, now: Micros, o: &Open) -> bool {
        match (o.ran, self.set.classes[o.req.class].idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (Some(_), Idempotency::NotIdempotent) => false,
            (Some((first, _)), Idempotency::WithKey { window, .. }) => {
                now + KEY_MARGIN < first + window
            }
        }
    }

    /// Whether a resend to this member is discarded where the first attempt has run.
    fn same_group(&self, o: &Open, endpoint: &Member) -> bool {
        let (Some((_, first)), Idempotency::WithKey { scope: group, .. }) =
            (o.ran, self.set.classes[o.req.class].idempotency)
        else {
            return true;
        };
        let first = self
            .endpoints
            .get(&first)
            .map(|m| (m.entry.zone, m.entry.cell));
        match group {
            KeyScope::All => true,
            KeyScope::Zone => first.is_some_and(|(zone, _)| zone == endpoint.entry.zone),
            KeyScope::Cell => first.is_some_and(|(_, cell)| cell == endpoint.entry.cell),
        }
    }

    /// Final answer: refused where a retry is surely harmless, else failed.
    fn finish(&mut self, id: RequestId, act: &mut Vec<Action>) {
        let Some(o) = self.open.get_mut(&id).filter(|o| !o.done) else {
            return;
        };
        let harmless = match self.set.classes[o.req.class].idempotency {
            Idempotency::Idempotent
            | Idempotency::WithKey {
                scope: KeyScope::All,
                ..
            } => true,
            _ => o.ran.is_none() && o.out.is_empty(),
        };
        let retry_after = self
            .set
            .retry_after
            .then_some(HOLD_OFF.min(self.set.max_retry_after));
        let refused = Action::Reject {
            request: id,
            retry_after,
        };
        act.push(if harmless {
            refused
        } else {
            Action::Fail { request: id }
        });
        self.close(id, act);
    }

    /// Nothing further goes out for it; what is still under way is cancelled and only counted.
    fn close(&mut self, id: RequestId, act: &mut Vec<Action>) {
        self.parked.remove(&id);
        let Some(o) = self.open.get_mut(&id) else {
            return;
        };
        o.done = true;
        for out in o
            .out
            .iter_mut()
            .filter(|out| out.cancelled.is_none() && self.set.may_cancel)
        {
            out.cancelled = Some(Blame::Nobody);
            act.push(Action::Cancel {
                request: id,
                attempt: out.attempt,
            });
        }
        if o.out.is_empty() {
            self.open.remove(&id);
        }
    }

    fn send(&mut self, now: Micros, id: RequestId, (endpoint, source): Way, act: &mut Vec<Action>) {
        // Drawn for each fill, so that the parts of all routers add up.
        let origin = self.origin();
        let mut past = |id: Option<EndpointId>| {
            let draw = (self.roll() >> 11) as f64 / (1_u64 << 53) as f64;
            id.and_then(|id| self.endpoints.get(&id))
                .is_some_and(|m| draw >= m.part || !self.healthy(now, m))
        };
        let (full, spared) = (past(source), past(origin));
        self.parked.remove(&id);
        let Some(o) = self.open.get(&id) else { return };
        let (class, kb) = (o.req.class, o.req.size_kb.unwrap_or(1.0));
        let purge_limit = self.purge_limit(now, &o.req);
        let c = &self.set.classes[class];
        let above = source
            .and_then(|s| self.endpoints.get(&s))
            .is_some_and(|m| !self.is_cache(m));
        let above = above && !c.uncacheable;
        let (full, spared) = (full && above, spared && above);
        // The origin in place of a parent that is full; of an origin that is, the parent's copies or none.
        let origin_open = origin.filter(|id| self.may_send(now, &self.endpoints[id], class));
        let source = match source {
            Some(_) if spared && source == origin => Some(endpoint),
            Some(_) if full && !spared && origin_open.is_some() => origin,
            _ => source,
        };
        let stale_try = source == Some(endpoint) && !c.uncacheable;
        let fetch = source.map(|source| {
            let failed_at = self.endpoints.get(&source).and_then(|m| m.health.failed_at);
            let old = stale_try || spared || failed_at.is_some_and(|at| now < at + STALE_WINDOW);
            let most = if old && c.fresh_for > 0 {
                c.fresh_for + c.stale_if_error
            } else {
                c.fresh_for
            };
            // Age 0 would mean the class's fresh time, so a purge limit stays above it.
            let age = match purge_limit {
                Some(limit) if most == 0 => limit.max(1),
                Some(limit) => limit.clamp(1, most),
                None => most,
            };
            FetchDirective {
                source,
                retention_rank: if c.uncacheable || stale_try {
                    0
                } else {
                    self.rank(&o.req)
                },
                max_age: age,
                // A fill begun before a purge would hand on the purged copy.
                coalesce: self.set.coalesces_fills && purge_limit.is_none() && !c.uncacheable,
                only_if_cached: spared && !stale_try,
                revalidate: c.fresh_for > 0 && !stale_try && !spared,
            }
        });
        let seconds = self.cost(class);
        let window = self
            .set
            .cache_slow_start
            .overload_window
            .max(self.set.parent_slow_start.overload_window);
        for (target, is_source) in [
            (Some(endpoint), false),
            (source.filter(|s| *s != endpoint), true),
        ] {
            let Some(m) = target.and_then(|t| self.endpoints.get_mut(&t)) else {
                continue;
            };
            if is_source {
                m.fills += 1;
            } else {
                m.out += 1;
                m.out_kb += kb;
                m.looks += stale_try as u32;
            }
            m.lease.iter_mut().for_each(|lease| lease.0 -= seconds);
            m.spent.push_back((now, id, seconds));
            while m.spent.front().is_some_and(|s| s.0 + window <= now) {
                m.spent.pop_front();
            }
        }
        let o = self.open.get_mut(&id).expect("looked up above");
        o.out.push(Out {
            attempt: o.attempts,
            endpoint,
            source,
            sent: now,
            cancelled: None,
            stale_try,
        });
        o.attempts += 1;
        o.stale_tried |= stale_try;
        o.spared |= spared;
        act.push(Action::Send {
            request: id,
            endpoint,
            timeout: o.deadline - now,
            fetch,
        });
    }

    // ---- outcome

    fn on_outcome(&mut self, now: Micros, e: AttemptOutcome, act: &mut Vec<Action>) {
        let Some(o) = self.open.get_mut(&e.request) else {
            return;
        };
        let Some(place) = o.out.iter().position(|out| out.attempt == e.attempt) else {
            return;
        };
        let out = o.out.swap_remove(place);
        let unsent = matches!(
            e.status,
            AttemptStatus::ConnectFailed | AttemptStatus::NotSent
        );
        let proves_idle =
            unsent || matches!(e.status, AttemptStatus::Rejected | AttemptStatus::Miss);
        if !proves_idle && o.ran.is_none() {
            o.ran = Some((out.sent, out.endpoint));
        }
        let full =
            e.status == AttemptStatus::Rejected || e.cache_status == CacheStatus::FillLimitReached;
        o.fulls += full as u32;
        o.spared |= e.cache_status == CacheStatus::OriginFailed;
        let (done, class, kb, key) = (
            o.done || e.request_closed,
            o.req.class,
            o.req.size_kb,
            (o.req.object, o.req.part),
        );
        let told = e.size_kb.or(kb).filter(|_| self.set.stream_kb_per_s > 0.0);
        let seconds = self.seconds(class, told);
        let source = out.source.filter(|s| *s != out.endpoint);
        if let Some(m) = self.endpoints.get_mut(&out.endpoint) {
            m.out = m.out.saturating_sub(1);
            m.looks = m.looks.saturating_sub(out.stale_try as u32);
            m.out_kb = (m.out_kb - kb.unwrap_or(1.0)).max(0.0);
            if unsent {
                m.spent.retain(|s| (s.0, s.1) != (out.sent, e.request));
            }
        }
        if let Some(m) = source.and_then(|s| self.endpoints.get_mut(&s)) {
            m.fills = m.fills.saturating_sub(1);
            if e.cache_status == CacheStatus::Hit || unsent {
                // A hit never reached the source: its cold budget has it back, and no other attempt's.
                m.spent.retain(|s| (s.0, s.1) != (out.sent, e.request));
            }
        }
        if e.status == AttemptStatus::Ok {
            self.remember(key, out.endpoint);
            let held = matches!(
                e.cache_status,
                CacheStatus::Hit | CacheStatus::Stale | CacheStatus::Unreported
            );
            if held && !self.set.classes[class].uncacheable {
                let pace = (e.elapsed.max(1) as f64 / 1e6 / seconds.max(1e-6)).ln();
                self.pace += MEAN_STEP * (pace - self.pace);
                if let Some(m) = self.endpoints.get_mut(&out.endpoint) {
                    m.health.pace += PACE_STEP * (pace - m.health.pace);
                }
            }
            // Told sizes are learned from, else quick hits: slow ones would raise what counts as late. They
            // leave large objects out, so not where others tell sizes: cold budgets were charged too little.
            let quick = e.elapsed <= self.set.classes[class].latency_objective;
            match told {
                _ if kb.is_some() => {}
                Some(_) => self.learn(class, seconds),
                None if !held || !quick || self.sizes_told => {}
                None => self.learn(class, e.elapsed as f64 / 1e6),
            }
        }
        let size = seconds * if told.is_some() { 1.0 } else { UNTOLD_SIZE };
        let c = &self.set.classes[class];
        let late = e.elapsed as f64 > c.latency_objective as f64 + c.objective_stretch * 1e6 * size
            || e.status == AttemptStatus::Rejected;
        // Who is late: of a fill by the origin that, of another the location's link, else the cache. No
        // answer says nothing of how fast answers are; where all are slow, those that come say so.
        match (e.status, e.cache_status) {
            (AttemptStatus::Miss | AttemptStatus::Cancelled | AttemptStatus::Timeout, _) => {}
            _ if unsent => {}
            (AttemptStatus::Ok, CacheStatus::FilledByOrigin) | (_, CacheStatus::OriginFailed)
                if source.is_some() =>
            {
                self.share(self.origin(), late);
            }
            (_, CacheStatus::SourceRejected) => self.share(source, true),
            (AttemptStatus::Ok, CacheStatus::Filled | CacheStatus::Coalesced) => {
                self.link = adapted(self.link, late, LIMIT_LEAST, LIMIT_MOST);
                self.share(source, late);
            }
            _ => {
                if let Some(m) = self.endpoints.get_mut(&out.endpoint) {
                    let w = m.entry.weight;
                    if late || m.out as f64 + 1.0 > m.limit / self.sharing / 2.0 {
                        m.limit = adapted(m.limit, late, LIMIT_LEAST * w, LIMIT_MOST * w);
                    }
                }
            }
        }
        let blame = self.judge(now, &e, &out, source);
        if done {
            return self.close(e.request, act);
        }
        let Some(o) = self.open.get_mut(&e.request).filter(|o| o.out.is_empty()) else {
            return;
        };
        if blame != Blame::Nobody {
            o.avoid.push(
                source
                    .filter(|_| blame == Blame::Source)
                    .unwrap_or(out.endpoint),
            );
        }
        if self.set.classes[class].uncacheable && (full || blame != Blame::Nobody && o.attempts > 1)
        {
            o.not_before = now + (BACK_OFF << o.fulls.min(6));
            o.avoid.clear();
        } else if o.fulls >= FULL_MOST {
            return self.finish(e.request, act);
        }
        // The design: a failed fill is answered from what that cache holds, within the grace.
        let c = &self.set.classes[o.req.class];
        let stale = blame == Blame::Source
            && e.cache_status != CacheStatus::SourceMiss
            && c.fresh_for > 0
            && c.stale_if_error > 0;
        if stale && !o.stale_tried && o.attempts < self.set.max_attempts && now + TICK < o.deadline
        {
            let usable = self
                .endpoints
                .get(&out.endpoint)
                .is_some_and(|m| self.may_send(now, m, class));
            if usable {
                return self.send(now, e.request, (out.endpoint, Some(out.endpoint)), act);
            }
        }
        self.go_on(now, e.request, act);
    }

    fn share(&mut self, id: Option<EndpointId>, late: bool) {
        let Some(m) = id.and_then(|id| self.endpoints.get_mut(&id)) else {
            return;
        };
        let step = if late {
            1.0 - PART_STEP
        } else {
            1.0 + PART_STEP
        };
        m.part = (m.part * step).clamp(PART_LEAST, 1.0);
    }

    fn learn(&mut self, class: usize, seconds: f64) {
        self.learned[class] += 1;
        let step = MEAN_STEP.max(1.0 / (MEAN_GUESS + self.learned[class] as f64));
        self.mean[class] += step * (seconds - self.mean[class]);
    }

    /// Whose failure an outcome is, and what it does to that member's standing.
    fn judge(
        &mut self,
        now: Micros,
        e: &AttemptOutcome,
        out: &Out,
        source: Option<EndpointId>,
    ) -> Blame {
        let quiet = self
            .endpoints
            .get(&out.endpoint)
            .is_none_or(|m| m.presence.heard < out.sent);
        if !matches!(
            e.status,
            AttemptStatus::Timeout
                | AttemptStatus::Cancelled
                | AttemptStatus::NotSent
                | AttemptStatus::ConnectFailed
        ) {
            if let Some(m) = self.endpoints.get_mut(&out.endpoint) {
                // A connection that breaks is the old process's end as well as a new one's.
                // That of a silent one is its peer's word that it knows nothing of it: another process.
                match e.status {
                    AttemptStatus::Reset if m.presence.silent => {
                        m.presence.missed(m.presence.heard, now)
                    }
                    AttemptStatus::Reset => m.presence.heard = now,
                    _ => m.presence.word(now),
                }
            }
        }
        let error = e.status == AttemptStatus::Error;
        match (e.status, e.cache_status) {
            (AttemptStatus::Ok, note) => {
                self.good(out.endpoint, MARK_STEP);
                match (note, source) {
                    (CacheStatus::Filled | CacheStatus::FilledByOrigin, Some(s)) => {
                        let origin = self
                            .origin()
                            .filter(|_| note == CacheStatus::FilledByOrigin);
                        origin
                            .into_iter()
                            .chain([s])
                            .for_each(|id| self.good(id, MARK_STEP));
                    }
                    // Untold, most answers are hits and say little of the source.
                    (CacheStatus::Unreported, Some(s)) => self.good(s, MARK_STEP / 4.0),
                    _ => {}
                }
                Blame::Nobody
            }
            (AttemptStatus::Miss, _) if out.stale_try => Blame::Nobody,
            (_, CacheStatus::SourceMiss) | (AttemptStatus::Miss, _) => Blame::Source,
            (
                _,
                CacheStatus::SourceRejected
                | CacheStatus::SourceUnreachable
                | CacheStatus::OriginFailed,
            ) => {
                let origin = self
                    .origin()
                    .filter(|_| e.cache_status == CacheStatus::OriginFailed);
                if let Some(s) = origin.or(source) {
                    // Not reached is as good as gone; one that broke off is there.
                    let unreached = if error { MARK_HOLD } else { MARK_HARD };
                    let least = if e.cache_status == CacheStatus::SourceUnreachable {
                        unreached
                    } else {
                        0.0
                    };
                    self.bad(now, s, least, MARK_STEP);
                    self.endpoints
                        .entry(s)
                        .and_modify(|m| m.health.failed_at = Some(now));
                }
                Blame::Source
            }
            // Nothing told: an error, or a refusal from afar, counts against the source that was named.
            (AttemptStatus::Error | AttemptStatus::Rejected, CacheStatus::Unreported)
                if source.is_some()
                    && self.set.cache_status_detail == CacheStatusDetail::None
                    && (error || e.elapsed > NEAR) =>
            {
                if let Some(s) = source {
                    self.bad(now, s, 0.0, MARK_STEP);
                    self.endpoints
                        .entry(s)
                        .and_modify(|m| m.health.failed_at = Some(now));
                }
                if error {
                    self.bad(now, out.endpoint, 0.0, MARK_STEP);
                }
                Blame::Source
            }
            (AttemptStatus::Rejected, _) | (_, CacheStatus::FillLimitReached) => Blame::Cache,
            (AttemptStatus::ConnectFailed, _) => {
                if let Some(m) = self.endpoints.get_mut(&out.endpoint).filter(|m| m.out == 0) {
                    m.presence.missed(out.sent, now);
                }
                self.bad(now, out.endpoint, MARK_HARD, MARK_STEP);
                Blame::Cache
            }
            // A cache that answers others lost this one, or its source is slow: some of its fills go past it.
            (AttemptStatus::Timeout, _) if !quiet => {
                self.share(source, true);
                source
                    .into_iter()
                    .for_each(|s| self.bad(now, s, 0.0, MARK_CUT));
                Blame::Source
            }
            // A dead process refuses the next connection: cuts that are the way's come from every host alike.
            (AttemptStatus::Reset | AttemptStatus::Error | AttemptStatus::Timeout, _) => {
                let cut = e.status == AttemptStatus::Reset;
                self.bad(
                    now,
                    out.endpoint,
                    0.0,
                    if cut { MARK_CUT } else { MARK_STEP },
                );
                Blame::Cache
            }
            (AttemptStatus::Cancelled, _) => out.cancelled.unwrap_or(Blame::Cache),
            (AttemptStatus::NotSent, _) => Blame::Nobody,
        }
    }

    fn good(&mut self, id: EndpointId, step: f64) {
        let Some(m) = self.endpoints.get_mut(&id) else {
            return;
        };
        m.health.mark *= 1.0 - step;
        if m.health.mark < MARK_TRUST / 2.0 {
            m.health.holds = 0;
        }
    }

    /// Moves the failure mark, at least to `least`; over the line the member is held off, longer each time.
    fn bad(&mut self, now: Micros, id: EndpointId, least: f64, step: f64) {
        let (gap, dice) = (
            self.endpoints.get(&id).map_or(0, |m| self.trial_gap(m)),
            self.roll(),
        );
        let Some(m) = self.endpoints.get_mut(&id) else {
            return;
        };
        m.health.mark = (m.health.mark * (1.0 - step) + step).max(least);
        if m.health.mark >= MARK_HOLD && now >= m.health.held_until {
            let longer = if least >= MARK_HARD && m.health.holds > 0 {
                gap
            } else {
                0
            };
            let hold = (HOLD_FIRST << m.health.holds.min(8))
                .min(HOLD_LONGEST)
                .max(longer);
            m.health.held_until = now + hold - hold / 4 + dice % (hold / 2);
            m.health.holds += 1;
        }
    }

    fn on_timer(&mut self, now: Micros, act: &mut Vec<Action>) {
        self.ticking = false;
        self.find_silent(now, act);
        for id in std::mem::take(&mut self.parked) {
            self.go_on(now, id, act);
        }
    }

    /// A cache that takes work and answers nothing: several answers overdue, no word since they were sent.
    /// They are cancelled and go elsewhere. A source is not judged so: a full link looks the same.
    fn find_silent(&mut self, now: Micros, act: &mut Vec<Action>) {
        let mut overdue: BTreeMap<EndpointId, usize> = BTreeMap::new();
        for o in self.open.values() {
            for out in o.out.iter().filter(|out| out.cancelled.is_none()) {
                let due = out.sent
                    + DUE
                    + (DUE_STRETCH * 1e6 * self.seconds(o.req.class, o.req.size_kb)) as Micros;
                let heard = self
                    .endpoints
                    .get(&out.endpoint)
                    .map_or(now, |m| m.presence.heard);
                if now > due && heard < out.sent {
                    *overdue.entry(out.endpoint).or_default() += 1;
                }
            }
        }
        for (id, count) in overdue {
            let on_trial = self
                .endpoints
                .get(&id)
                .is_some_and(|m| m.health.mark >= MARK_TRUST);
            if count >= SILENT_COUNT || on_trial {
                self.endpoints
                    .entry(id)
                    .and_modify(|m| m.presence.silent = true);
                self.bad(now, id, MARK_HARD, MARK_STEP);
                let set = &self.set;
                let once =
                    |o: &Open| set.classes[o.req.class].idempotency == Idempotency::NotIdempotent;
                for (request, o) in self
                    .open
                    .iter_mut()
                    .filter(|(_, o)| set.may_cancel && !once(o))
                {
                    for out in o
                        .out
                        .iter_mut()
                        .filter(|out| out.cancelled.is_none() && out.endpoint == id)
                    {
                        out.cancelled = Some(Blame::Cache);
                        act.push(Action::Cancel {
                            request: *request,
                            attempt: out.attempt,
                        });
                    }
                }
            }
        }
    }

    fn on_purge(&mut self, now: Micros, object: Option<ObjectId>, group: u64, age: Micros) {
        let at = now.saturating_sub(age);
        let kept = self.set.purge_horizon + PURGE_MARGIN;
        if self.object_purges.len() + self.group_purges.len() > self.sweep_at {
            self.object_purges.retain(|_, t| *t + kept > now);
            self.group_purges.retain(|_, t| *t + kept > now);
            self.sweep_at =
                PURGES_FIRST.max(2 * (self.object_purges.len() + self.group_purges.len()));
        }
        let newest = match object {
            Some(object) => self.object_purges.entry(object).or_default(),
            None => self.group_purges.entry(group).or_default(),
        };
        *newest = at.max(*newest);
    }

    /// The oldest copy that a purge allows, while copies from before it may be about.
    fn purge_limit(&self, now: Micros, req: &Request) -> Option<Micros> {
        let at = self
            .object_purges
            .get(&req.object)
            .max(self.group_purges.get(&req.group))?;
        (now < at + self.set.purge_horizon + PURGE_MARGIN).then_some(now.saturating_sub(*at))
    }

    // ---- choosing

    /// Members of a role, by their ids.
    fn of(&self, role: Role) -> impl Iterator<Item = &Member> {
        self.roles.of(role).filter_map(|id| self.endpoints.get(&id))
    }

    fn origin(&self) -> Option<EndpointId> {
        self.of(Role::Origin).next().map(|m| m.entry.id)
    }

    fn is_origin(&self, m: &Member) -> bool {
        Role::of(&m.entry, &self.set) == Role::Origin
    }

    fn is_parent(&self, m: &Member) -> bool {
        Role::of(&m.entry, &self.set) == Role::Parent
    }

    /// One of this location's caches.
    fn is_cache(&self, m: &Member) -> bool {
        Role::of(&m.entry, &self.set) == Role::Cache
    }

    /// Sending time of an answer: by its size where told, else its class's mean.
    fn seconds(&self, class: usize, kb: Option<f64>) -> f64 {
        let pace = self.set.stream_kb_per_s;
        kb.filter(|_| pace > 0.0)
            .map_or(self.mean[class], |kb| kb / pace)
    }

    fn weight(&self, m: &Member) -> f64 {
        let slow = if self.is_cache(m) {
            (self.pace - m.health.pace).exp() * PACE_SLOW
        } else {
            1.0
        };
        slow.min(1.0)
            * match self.set.weights {
                // Live weights change with the load and would move every object's home.
                Weights::None | Weights::Live => 1.0,
                Weights::Nominal | Weights::Rough => m.entry.weight,
            }
    }

    /// The rank a copy is kept at: first asked for, low; asked for again, above what was asked for once.
    fn rank(&self, req: &Request) -> u8 {
        1 + self
            .seen
            .iter()
            .any(|s| s.contains_key(&(req.object, req.part))) as u8
    }

    fn remember(&mut self, key: (ObjectId, u64), cache: EndpointId) {
        if self.seen[0].len() >= SEEN_MOST {
            self.seen.swap(0, 1);
            self.seen[0].clear();
        }
        self.seen[0].insert(key, cache);
    }

    /// A request sent past its home is filled from the cache that served the copy last, not over the link in.
    fn holder(&self, now: Micros, o: &Open, cache: EndpointId) -> Option<EndpointId> {
        let key = (o.req.object, o.req.part);
        let id = *self.seen.iter().find_map(|s| s.get(&key))?;
        let m = self
            .endpoints
            .get(&id)
            .filter(|m| self.set.siblings != Siblings::None && self.is_cache(m))?;
        let fit = id != cache && !o.avoid.contains(&id) && self.healthy(now, m);
        (fit && self.purge_limit(now, &o.req).is_none() && self.may_send(now, m, o.req.class))
            .then_some(id)
    }

    /// Rules: drains and cold members. Listed as ready, and its cold budget has room for one more.
    fn may_send(&self, now: Micros, m: &Member, class: usize) -> bool {
        m.entry.state == EndpointState::Ready && self.cold_room(now, m, class)
    }

    /// A cold member takes only so much in any window: the multiple of what it can do at the window's start.
    /// Too little of a parent for every router goes to some, by their numbers; a cache is shared evenly.
    /// A router that has just started knows nothing of its last window.
    fn cold_room(&self, now: Micros, m: &Member, class: usize) -> bool {
        let parent = self.is_parent(m);
        let (rule, mut sharing) = self.cold_rule(m);
        let seen = m.presence.started(now);
        // Silence may have been a pause: else the list tells soon. What it told before still holds.
        let pause = m.presence.unsure && now >= seen + UNSURE * rule.overload_window;
        let started = if pause {
            m.entry.started_at
        } else {
            m.entry.started_at.max(seen)
        };
        let warm_at = started + rule.ramp + rule.overload_window;
        if self.is_origin(m) || started == 0 || now >= warm_at {
            return true;
        }
        // Its own word stands in for the guess; a few leases late, it is lost.
        if let Some((work, since, lasts)) = m.lease.filter(|l| now < l.1 + LEASES_LOST * l.2) {
            return now < since + lasts && self.cost(class) <= work;
        }
        if now < self.born.unwrap_or(now) + rule.overload_window {
            return false;
        }
        let from = now.saturating_sub(rule.overload_window);
        let warm = from.saturating_sub(started) as f64 / rule.ramp.max(1) as f64;
        let share =
            self.cold_part * (rule.initial_share + (1.0 - rule.initial_share) * warm.min(1.0));
        let budget = COLD_SHARE
            * rule.overload_factor
            * share
            * m.entry.weight
            * rule.overload_window as f64
            / 1e6;
        if parent {
            let dearest = (0..self.mean.len())
                .map(|c| self.cost(c))
                .fold(0.0, f64::max);
            let some = ((budget / dearest.max(1e-6)) as u64).clamp(1, self.routers);
            let place = |me: u32| (me as u64 + m.entry.id.0 % self.routers) % self.routers;
            let turn = self.set.router_index.map_or(self.routers, place);
            if turn >= some && some < self.routers {
                return false;
            }
            sharing = some as f64;
        }
        let spent: f64 = m
            .spent
            .iter()
            .rev()
            .take_while(|s| s.0 > from)
            .map(|s| s.2)
            .sum();
        spent + self.cost(class) <= budget / sharing
    }

    /// A router's trials of a member that cannot be reached are so far apart that those of all together are
    /// within its cold budget: it may come back cold, and they learn of it from nobody.
    fn trial_gap(&self, m: &Member) -> Micros {
        let (rule, many) = self.cold_rule(m);
        let budget = COLD_SHARE * rule.overload_factor * rule.initial_share * m.entry.weight;
        if self.is_origin(m) || budget <= 0.0 {
            return 0;
        }
        let mean = self.mean.iter().sum::<f64>() / self.mean.len() as f64;
        ((many * self.asked.1.max(mean) / budget * 1e6) as Micros).min(FORGET / 5 * 4)
    }

    /// The rule that holds while it is cold, and how many routers share its budget.
    fn cold_rule(&self, m: &Member) -> (&SlowStartRule, f64) {
        match self.is_parent(m) {
            true => (&self.set.parent_slow_start, self.routers as f64),
            false => (&self.set.cache_slow_start, self.sharing),
        }
    }

    fn cost(&self, class: usize) -> f64 {
        self.mean[class] * if self.sizes_told { 1.0 } else { UNTOLD_COST }
    }

    /// Not held off for failures; just after a hold one request at a time tries it.
    fn healthy(&self, now: Micros, m: &Member) -> bool {
        now >= m.health.held_until
            && (m.health.mark < MARK_TRUST || m.health.holds == 0 || m.out + m.fills == 0)
    }

    /// Members of a role that the rules allow and that have not failed this request.
    fn able(&self, now: Micros, o: &Open, role: Role) -> Vec<&Member> {
        let able = |m: &&Member| {
            self.may_send(now, m, o.req.class)
                && self.same_group(o, m)
                && !o.avoid.contains(&m.entry.id)
        };
        self.of(role).filter(able).collect()
    }

    fn choose(&self, now: Micros, o: &Open) -> Choice {
        let c = &self.set.classes[o.req.class];
        if c.uncacheable {
            return self.choose_uncacheable(now, o);
        }
        let mut order = self.able(now, o, Role::Cache);
        // Held off, unless that is most of the location: what fails is not theirs alone, and some answer.
        let well = order.iter().filter(|m| self.healthy(now, m)).count();
        if 2 * well >= order.len() {
            order.retain(|m| self.healthy(now, m));
        }
        let stretch = self.stretch(&o.req);
        // The limits hold for the location as a whole: at one cache a router of many has room for chance.
        let busy = |m: &Member| m.out.saturating_sub(m.looks) as f64;
        let sum = |of: fn(&Member) -> f64| order.iter().map(|m| of(m)).sum::<f64>();
        let whole =
            sum(|m| m.limit).min(self.link * sum(|m| m.entry.weight)) * stretch / self.sharing;
        let spare = order.iter().map(|m| busy(m)).sum::<f64>() < whole.max(1.0);
        let room = |m: &&Member| busy(m) < part(m.limit * stretch, self.sharing);
        let open: Vec<&Member> = order.iter().filter(|m| spare && room(m)).copied().collect();
        let Some(cache) = self.pick(copy_key(&o.req), &open, |m| (m.out, m.out_kb)) else {
            // No room for what may need a fill: a copy held at home still answers, a miss comes back at once.
            order.retain(|m| (m.looks as f64) < LOOKS * m.entry.weight / self.sharing);
            let held = self
                .seen
                .iter()
                .find_map(|s| s.get(&(o.req.object, o.req.part)));
            let held = held
                .copied()
                .filter(|id| order.iter().any(|m| m.entry.id == *id));
            let home = held.or_else(|| self.pick(copy_key(&o.req), &order, |_| (0, 0.0)));
            return home
                .filter(|_| !o.stale_tried)
                .map_or(Choice::Refuse, |m| Choice::Send((m, Some(m))));
        };
        let source = self
            .holder(now, o, cache)
            .or_else(|| self.choose_source(now, o));
        // While the origin fails, one source is asked for what it holds: no miss adds to it, and what can
        // only run there keeps its place.
        match source.filter(|_| !o.spared) {
            Some(source) => Choice::Send((cache, Some(source))),
            None if o.stale_tried || o.spared => Choice::Refuse,
            None => Choice::Send((cache, Some(cache))),
        }
    }

    /// What earns more for its sending time than most comes first where there is not room for all.
    fn stretch(&self, req: &Request) -> f64 {
        let usual = self.asked.0 / self.asked.1.max(1e-6);
        let own = self.set.classes[req.class].priority_weight
            / self.seconds(req.class, req.size_kb).max(1e-6);
        (own / usual.max(1e-6))
            .sqrt()
            .clamp(LIMIT_STRETCH.0, LIMIT_STRETCH.1)
    }

    /// The copy's parent: hash order over all that are listed, then the origin.
    fn choose_source(&self, now: Micros, o: &Open) -> Option<EndpointId> {
        let parents = self.able(now, o, Role::Parent);
        let fit: Vec<&Member> = parents
            .iter()
            .filter(|m| self.healthy(now, m))
            .copied()
            .collect();
        let mut origin = self.able(now, o, Role::Origin);
        origin.retain(|m| self.healthy(now, m));
        let origin = origin.first().map(|m| m.entry.id);
        let pick =
            |from: &[&Member]| self.pick(copy_key(&o.req), from, |m| (m.fills, m.fills as f64));
        pick(&fit).or(origin).or_else(|| pick(&parents))
    }

    /// Rendezvous order of the copy, skipping members over the bound; all over it: the least loaded.
    fn pick(
        &self,
        object: u64,
        from: &[&Member],
        load: fn(&Member) -> (u32, f64),
    ) -> Option<EndpointId> {
        let total: f64 = from.iter().map(|m| self.weight(m)).sum();
        let under_way: f64 = from.iter().map(|m| load(m).1).sum();
        let within = |m: &&&Member| {
            let (count, size) = load(m);
            let w = self.weight(m);
            (count as f64) < part(BOUND_FLOOR * w, self.sharing)
                || size <= BOUND * under_way * w / total
        };
        let home = |a: &&&Member, b: &&&Member| {
            score(object, a.entry.id, self.weight(a)).total_cmp(&score(
                object,
                b.entry.id,
                self.weight(b),
            ))
        };
        let least = |a: &&&Member, b: &&&Member| {
            (load(a).1 / self.weight(a)).total_cmp(&(load(b).1 / self.weight(b)))
        };
        from.iter()
            .filter(within)
            .max_by(home)
            .or_else(|| from.iter().min_by(least))
            .map(|m| m.entry.id)
    }

    /// Runs at the origin: straight there where allowed, else through a cache that names it as the source.
    fn choose_uncacheable(&self, now: Micros, o: &Open) -> Choice {
        let fit = |mut from: Vec<&Member>| {
            from.retain(|m| self.healthy(now, m));
            self.pick(o.req.object.0, &from, |m| {
                (m.out + m.fills, (m.out + m.fills) as f64)
            })
        };
        let origin = self.able(now, o, Role::Origin).first().map(|m| m.entry.id);
        let parent = fit(self.able(now, o, Role::Parent));
        if self.set.direct_forwarding {
            // A parent that is its own source fills from nowhere.
            let listed = self
                .of(Role::Origin)
                .find(|m| self.may_send(now, m, o.req.class));
            let parent = parent.map(|p| Choice::Send((p, Some(listed.map_or(p, |m| m.entry.id)))));
            return origin
                .map(|m| Choice::Send((m, None)))
                .or(parent)
                .unwrap_or(Choice::Wait);
        }
        match (fit(self.able(now, o, Role::Cache)), origin.or(parent)) {
            (Some(cache), Some(source)) => Choice::Send((cache, Some(source))),
            _ => Choice::Wait,
        }
    }
}

/// To whom, and the source. A cache that is its own source is looked at: what it holds, within the grace.
type Way = (EndpointId, Option<EndpointId>);

enum Choice {
    Send(Way),
    Wait,
    Refuse,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Blame {
    Nobody,
    Cache,
    Source,
}
