//! Seeded random events: the rules hold whatever comes, and the same events give the same actions.
mod common;
use common::{entry, settings, MS, S, T0};
use pointspindle::*;
use std::collections::BTreeMap;

struct Random(u64);
impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit
    }
}

#[derive(Default)]
struct TrackedRequest {
    deadline: Micros,
    class: usize,
    in_flight: BTreeMap<u32, (EndpointId, Micros)>,
    sent: u32,
    ran: bool,
    finished: bool,
}

const STATUSES: [AttemptStatus; 9] = [
    AttemptStatus::Ok,
    AttemptStatus::Error,
    AttemptStatus::Rejected,
    AttemptStatus::Timeout,
    AttemptStatus::ConnectFailed,
    AttemptStatus::Reset,
    AttemptStatus::Cancelled,
    AttemptStatus::NotSent,
    AttemptStatus::Miss,
];
const CACHE_STATUSES: [CacheStatus; 5] = [
    CacheStatus::Unreported,
    CacheStatus::SourceUnreachable,
    CacheStatus::SourceMiss,
    CacheStatus::FillLimitReached,
    CacheStatus::OriginFailed,
];

/// Runs one seed and returns every action, checking the invariants after each event.
fn run_random_events(seed: u64) -> Vec<(Micros, Action)> {
    let mut random = Random(seed * 7919 + 1);
    let mut set = settings();
    set.direct_forwarding = seed.is_multiple_of(2);
    (set.routers, set.router_index) =
        [(2, Some(1)), (0, None), (90, Some(200))][(seed % 3) as usize];
    set.zones[1].routers = [1, 0, 12][(seed % 3) as usize];
    set.cache_status_detail = [
        CacheStatusDetail::All,
        CacheStatusDetail::HitOnly,
        CacheStatusDetail::None,
    ][(seed % 3) as usize];
    let (mut router, mut now, mut log) = (Router::new(set.clone(), seed), T0, vec![]);
    let mut tracked: BTreeMap<RequestId, TrackedRequest> = BTreeMap::new();
    let mut unavailable: Vec<EndpointId> = vec![];
    let mut timers: Vec<Micros> = vec![];
    for step in 0..3000 {
        // The clock stands still until every event that is due has been handled.
        let waiting = tracked
            .values()
            .any(|w| w.in_flight.values().any(|o| now >= o.1))
            || timers.iter().any(|t| *t <= now);
        now += if waiting { 0 } else { random.below(8) * MS };
        let due = tracked
            .iter()
            .flat_map(|(id, w)| w.in_flight.iter().map(|(n, o)| (*id, *n, o.0, o.1)));
        let due = due.collect::<Vec<_>>();
        let late = due.iter().find(|d| now >= d.3).copied();
        let event = if let Some((id, attempt, endpoint, _)) = late {
            complete(
                &mut tracked,
                id,
                attempt,
                endpoint,
                AttemptStatus::Timeout,
                CacheStatus::Unreported,
            )
        } else if let Some(i) = timers.iter().position(|t| *t <= now) {
            timers.swap_remove(i);
            Event::Timer(0)
        } else {
            match random.below(10) {
                0 => {
                    let names = ["c1", "c2", "c3", "p1", "p2", "origin"];
                    let i = random.below(6) as usize;
                    let mut e = entry(names[i], [0, 0, 0, 1, 1, 2][i]);
                    e.weight = random.below(3) as f64 * 3.0;
                    e.started_at = if random.below(3) == 0 { now } else { 0 };
                    e.state = [
                        EndpointState::Ready,
                        EndpointState::Draining,
                        EndpointState::Gone,
                    ][random.below(3) as usize];
                    unavailable.retain(|m| *m != e.id);
                    if e.state != EndpointState::Ready {
                        unavailable.push(e.id);
                    }
                    Event::EndpointList {
                        update: ListUpdate::Delta,
                        entries: vec![e],
                    }
                }
                1 => Event::Purge {
                    object: None,
                    group: random.below(3),
                    age: random.below(3) * 50 * MS,
                },
                2 if !tracked.is_empty() => {
                    let id = *tracked
                        .keys()
                        .nth(random.below(tracked.len() as u64) as usize)
                        .unwrap();
                    tracked.get_mut(&id).unwrap().finished = true;
                    Event::ClientDisconnected(id)
                }
                3..=6 if !due.is_empty() => {
                    let (id, attempt, endpoint, _) = due[random.below(due.len() as u64) as usize];
                    let status = STATUSES[random.below(9) as usize];
                    let cache_status = if status == AttemptStatus::Ok {
                        CacheStatus::Filled
                    } else {
                        CACHE_STATUSES[random.below(5) as usize]
                    };
                    complete(&mut tracked, id, attempt, endpoint, status, cache_status)
                }
                _ => {
                    let (id, class, left) = (
                        RequestId(step),
                        random.below(4) as usize,
                        random.below(30) * 100 * MS + 50 * MS,
                    );
                    tracked.insert(
                        id,
                        TrackedRequest {
                            deadline: now + left,
                            class,
                            ..Default::default()
                        },
                    );
                    let object = ObjectId(random.below(20));
                    let kb = (random.below(2) == 0).then_some(300.0);
                    let (part, group) = (random.below(3), random.below(3));
                    Event::Request(Request {
                        id,
                        class,
                        object,
                        part,
                        group,
                        time_left: left,
                        size_kb: kb,
                    })
                }
            }
        };
        let mut actions = vec![];
        router.handle(now, event, &mut actions);
        for action in actions {
            match &action {
                Action::Send {
                    request,
                    endpoint,
                    timeout,
                    fetch,
                } => {
                    let w = tracked.get_mut(request).expect("a known request");
                    assert!(
                        !w.finished && w.in_flight.is_empty() && w.sent < set.max_attempts,
                        "seed {seed}: {action:?}"
                    );
                    assert!(now + timeout <= w.deadline && *timeout > 0);
                    assert!(
                        !(w.ran && w.class == common::UNSAFE),
                        "seed {seed}: an unsafe repeat"
                    );
                    let source = fetch.as_ref().map(|f| f.source);
                    assert!(
                        !unavailable.contains(endpoint)
                            && !source.is_some_and(|s| unavailable.contains(&s))
                    );
                    w.in_flight.insert(w.sent, (*endpoint, now + timeout));
                    w.sent += 1;
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    let w = tracked.get_mut(request).unwrap();
                    assert!(!w.finished, "seed {seed}: two final answers");
                    let refused = matches!(action, Action::Reject { .. });
                    assert!(!(refused && w.ran && w.class == common::UNSAFE));
                    w.finished = true;
                }
                Action::SetTimer { after, .. } => timers.push(now + after),
                _ => {}
            }
            log.push((now, action));
        }
        for (id, w) in &tracked {
            let overdue = !w.finished && w.in_flight.is_empty() && now > w.deadline + 8 * MS;
            assert!(!overdue, "seed {seed}: {id:?} got no answer");
        }
        tracked.retain(|_, w| !w.finished || !w.in_flight.is_empty() || now < w.deadline + S);
    }
    log
}

fn complete(
    tracked: &mut BTreeMap<RequestId, TrackedRequest>,
    id: RequestId,
    attempt: u32,
    endpoint: EndpointId,
    status: AttemptStatus,
    cache_status: CacheStatus,
) -> Event {
    let w = tracked.get_mut(&id).unwrap();
    w.in_flight.remove(&attempt);
    w.finished |= status == AttemptStatus::Ok;
    w.ran |= !matches!(
        status,
        AttemptStatus::Rejected
            | AttemptStatus::ConnectFailed
            | AttemptStatus::NotSent
            | AttemptStatus::Miss
    );
    Event::Outcome(AttemptOutcome {
        request: id,
        attempt,
        endpoint,
        status,
        cache_status,
        elapsed: 40 * MS,
        size_kb: None,
        request_closed: w.finished,
    })
}

#[test]
fn invariants_hold_under_random_events() {
    for seed in 1..=18 {
        assert!(run_random_events(seed).len() > 500);
    }
}

#[test]
fn same_events_and_seed_give_the_same_actions() {
    for seed in 1..=3 {
        assert_eq!(run_random_events(seed), run_random_events(seed));
    }
}
