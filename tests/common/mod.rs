//! A small stage for the tests: one location of three caches, two parents and the origin.
#![allow(dead_code)]
use pointspindle::*;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
/// Late enough that a router's own start and old member starts are long past.
pub const T0: Micros = 1_000 * S;

pub const VIDEO: usize = 0;
pub const PAGE: usize = 1;
pub const KEYED: usize = 2;
pub const UNSAFE: usize = 3;

fn class(repeat: Repeat, fresh: Micros, grace: Micros, uncacheable: bool) -> Class {
    Class {
        aim: 300 * MS,
        aim_stretch: 2.0,
        worth: 1.0,
        repeat,
        uncacheable,
        fresh,
        grace,
    }
}

pub fn settings() -> Settings {
    Settings {
        zone: 1,
        zones: vec![Zone { routers: 0 }, Zone { routers: 1 }],
        routers: 2,
        me: Some(0),
        classes: vec![
            class(Repeat::Safe, 0, 0, false),
            class(Repeat::Safe, 12 * S, 20 * S, false),
            class(
                Repeat::Keyed {
                    group: KeyGroup::All,
                    window: 2 * S,
                },
                0,
                0,
                true,
            ),
            class(Repeat::Unsafe, 0, 0, true),
        ],
        parent_kind: Some(1),
        origin_kind: Some(2),
        weights: Weights::Nominal,
        notes: Notes::All,
        siblings: Siblings::Any,
        straight: true,
        joins: true,
        may_cancel: true,
        retry_after: true,
        max_retry_after: S,
        max_attempts: 6,
        stream_kb_per_s: 6000.0,
        cold_cache: ColdRule {
            start_share: 0.2,
            warm_within: 10 * S,
            multiple: 2.0,
            window: 2 * S,
        },
        cold_parent: ColdRule {
            start_share: 0.1,
            warm_within: 20 * S,
            multiple: 2.0,
            window: 2 * S,
        },
        purge_done: 6 * S,
    }
}

pub fn entry(name: &str, kind: usize) -> MemberEntry {
    let zone = if kind == 0 { 1 } else { 0 };
    MemberEntry {
        id: MemberId::named(name),
        state: MemberState::Ready,
        weight: 6.0,
        zone,
        kind,
        cell: 0,
        started: 0,
    }
}

pub fn fleet() -> Vec<MemberEntry> {
    let caches = ["c1", "c2", "c3"].map(|n| entry(n, 0));
    let upper = [("p1", 1), ("p2", 1), ("origin", 2)].map(|(n, k)| entry(n, k));
    caches.into_iter().chain(upper).collect()
}

/// One attempt that a router made.
#[derive(Clone, Debug)]
pub struct Sent {
    pub request: RequestId,
    pub attempt: u32,
    pub member: MemberId,
    pub timeout: Micros,
    pub fetch: Option<Fetch>,
}

impl Sent {
    pub fn fetch(&self) -> &Fetch {
        self.fetch.as_ref().expect("a fetch, not a plain look")
    }
    pub fn source(&self) -> MemberId {
        self.fetch().source
    }
}

pub struct Stage {
    pub router: Router,
    pub now: Micros,
    pub last: Vec<Action>,
    next: u64,
    attempts: std::collections::BTreeMap<RequestId, u32>,
}

impl Stage {
    pub fn with(settings: Settings, members: Vec<MemberEntry>) -> Self {
        Self::seeded(1, settings, members)
    }
    pub fn seeded(seed: u64, settings: Settings, members: Vec<MemberEntry>) -> Self {
        let router = Router::new(settings, seed);
        let mut stage = Self {
            router,
            now: T0,
            last: vec![],
            next: 0,
            attempts: Default::default(),
        };
        stage.tell(Event::Members {
            update: ListUpdate::Cached,
            entries: members,
        });
        stage
    }
    pub fn new() -> Self {
        Self::with(settings(), fleet())
    }
    /// Tells the router and returns the attempts it made.
    pub fn tell(&mut self, event: Event) -> Vec<Sent> {
        self.last.clear();
        self.router.handle(self.now, event, &mut self.last);
        let mut sent = vec![];
        for action in &self.last {
            if let Action::Send {
                request,
                member,
                timeout,
                fetch,
            } = action
            {
                let n = self.attempts.entry(*request).or_default();
                let (attempt, fetch) = (*n, fetch.clone());
                sent.push(Sent {
                    request: *request,
                    attempt,
                    member: *member,
                    timeout: *timeout,
                    fetch,
                });
                *n += 1;
            }
        }
        sent
    }
    pub fn wait(&mut self, by: Micros) -> Vec<Sent> {
        self.now += by;
        self.tell(Event::Timer(0))
    }
    pub fn ask(&mut self, class: usize, object: &str) -> Vec<Sent> {
        self.next += 1;
        self.tell(Event::Request(Request {
            id: RequestId(self.next),
            class,
            object: ObjectId::named(object),
            part: 0,
            group: 5,
            left: 3 * S,
            kb: Some(300.0),
        }))
    }
    pub fn end(&mut self, sent: &Sent, status: Status, note: Note) -> Vec<Sent> {
        self.end_after(sent, status, note, 50 * MS)
    }
    pub fn end_after(
        &mut self,
        sent: &Sent,
        status: Status,
        note: Note,
        elapsed: Micros,
    ) -> Vec<Sent> {
        self.tell(Event::Outcome(Outcome {
            request: sent.request,
            attempt: sent.attempt,
            member: sent.member,
            status,
            note,
            elapsed,
            kb: None,
            closed: status == Status::Ok,
        }))
    }
    pub fn update(&mut self, entries: Vec<MemberEntry>) {
        self.tell(Event::Members {
            update: ListUpdate::Delta,
            entries,
        });
    }
    pub fn finals(&self) -> Vec<&Action> {
        self.last
            .iter()
            .filter(|a| matches!(a, Action::Refuse { .. } | Action::Fail { .. }))
            .collect()
    }
}
