//! Seeded random events: the rules hold whatever comes, and the same events give the same actions.
mod common;
use common::{entry, settings, MS, S, T0};
use pointspindle::*;
use std::collections::BTreeMap;

struct Dice(u64);
impl Dice {
    fn roll(&mut self, sides: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % sides
    }
}

#[derive(Default)]
struct Watch {
    deadline: Micros,
    class: usize,
    out: BTreeMap<u32, (EndpointId, Micros)>,
    sent: u32,
    ran: bool,
    finished: bool,
}

const STATUS: [AttemptStatus; 9] = [
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
const NOTE: [CacheStatus; 5] = [
    CacheStatus::Unreported,
    CacheStatus::SourceUnreachable,
    CacheStatus::SourceMiss,
    CacheStatus::FillLimitReached,
    CacheStatus::OriginFailed,
];

/// Plays one seed and returns every action, checking the rules as it goes.
fn play(seed: u64) -> Vec<(Micros, Action)> {
    let mut dice = Dice(seed * 7919 + 1);
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
    let mut watch: BTreeMap<RequestId, Watch> = BTreeMap::new();
    let mut away: Vec<EndpointId> = vec![];
    let mut timers: Vec<Micros> = vec![];
    for step in 0..3000 {
        // Time stands still until everything that is due has been told.
        let waiting = watch.values().any(|w| w.out.values().any(|o| now >= o.1))
            || timers.iter().any(|t| *t <= now);
        now += if waiting { 0 } else { dice.roll(8) * MS };
        let due = watch
            .iter()
            .flat_map(|(id, w)| w.out.iter().map(|(n, o)| (*id, *n, o.0, o.1)));
        let due = due.collect::<Vec<_>>();
        let late = due.iter().find(|d| now >= d.3).copied();
        let event = if let Some((id, attempt, endpoint, _)) = late {
            end(
                &mut watch,
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
            match dice.roll(10) {
                0 => {
                    let names = ["c1", "c2", "c3", "p1", "p2", "origin"];
                    let i = dice.roll(6) as usize;
                    let mut e = entry(names[i], [0, 0, 0, 1, 1, 2][i]);
                    e.weight = dice.roll(3) as f64 * 3.0;
                    e.started_at = if dice.roll(3) == 0 { now } else { 0 };
                    e.state = [
                        EndpointState::Ready,
                        EndpointState::Draining,
                        EndpointState::Gone,
                    ][dice.roll(3) as usize];
                    away.retain(|m| *m != e.id);
                    if e.state != EndpointState::Ready {
                        away.push(e.id);
                    }
                    Event::EndpointList {
                        update: ListUpdate::Delta,
                        entries: vec![e],
                    }
                }
                1 => Event::Purge {
                    object: None,
                    group: dice.roll(3),
                    age: dice.roll(3) * 50 * MS,
                },
                2 if !watch.is_empty() => {
                    let id = *watch
                        .keys()
                        .nth(dice.roll(watch.len() as u64) as usize)
                        .unwrap();
                    watch.get_mut(&id).unwrap().finished = true;
                    Event::ClientDisconnected(id)
                }
                3..=6 if !due.is_empty() => {
                    let (id, attempt, endpoint, _) = due[dice.roll(due.len() as u64) as usize];
                    let status = STATUS[dice.roll(9) as usize];
                    let note = if status == AttemptStatus::Ok {
                        CacheStatus::Filled
                    } else {
                        NOTE[dice.roll(5) as usize]
                    };
                    end(&mut watch, id, attempt, endpoint, status, note)
                }
                _ => {
                    let (id, class, left) = (
                        RequestId(step),
                        dice.roll(4) as usize,
                        dice.roll(30) * 100 * MS + 50 * MS,
                    );
                    watch.insert(
                        id,
                        Watch {
                            deadline: now + left,
                            class,
                            ..Default::default()
                        },
                    );
                    let object = ObjectId(dice.roll(20));
                    let kb = (dice.roll(2) == 0).then_some(300.0);
                    let (part, group) = (dice.roll(3), dice.roll(3));
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
                    let w = watch.get_mut(request).expect("a known request");
                    assert!(
                        !w.finished && w.out.is_empty() && w.sent < set.max_attempts,
                        "seed {seed}: {action:?}"
                    );
                    assert!(now + timeout <= w.deadline && *timeout > 0);
                    assert!(
                        !(w.ran && w.class == common::UNSAFE),
                        "seed {seed}: an unsafe repeat"
                    );
                    let source = fetch.as_ref().map(|f| f.source);
                    assert!(!away.contains(endpoint) && !source.is_some_and(|s| away.contains(&s)));
                    w.out.insert(w.sent, (*endpoint, now + timeout));
                    w.sent += 1;
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    let w = watch.get_mut(request).unwrap();
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
        for (id, w) in &watch {
            let overdue = !w.finished && w.out.is_empty() && now > w.deadline + 8 * MS;
            assert!(!overdue, "seed {seed}: {id:?} got no answer");
        }
        watch.retain(|_, w| !w.finished || !w.out.is_empty() || now < w.deadline + S);
    }
    log
}

fn end(
    watch: &mut BTreeMap<RequestId, Watch>,
    id: RequestId,
    attempt: u32,
    endpoint: EndpointId,
    status: AttemptStatus,
    note: CacheStatus,
) -> Event {
    let w = watch.get_mut(&id).unwrap();
    w.out.remove(&attempt);
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
        cache_status: note,
        elapsed: 40 * MS,
        size_kb: None,
        request_closed: w.finished,
    })
}

#[test]
fn the_rules_hold_whatever_comes() {
    for seed in 1..=18 {
        assert!(play(seed).len() > 500);
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    for seed in 1..=3 {
        assert_eq!(play(seed), play(seed));
    }
}
