//! Who may hold a connection at the doors: a decision without I/O.
//!
//! Over the soft limit idle connections are closed, longest idle first; at the hard limit, or over an address's share,
//! newcomers are turned away with a time to come back, unless an idle one of the same address can make room. A
//! connection with a request under way is never closed for another.
//!
//! Kept: one entry for each open connection and one count for each address that has any, dropped with the connection.
use pointspindle::Micros;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::IpAddr;

/// A newcomer turned away comes back after this, and so much more for each hundred turned away in the second before:
/// a crowd must not come back together.
const COME_BACK: Micros = 1_000_000;
const SPREAD: Micros = 50_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Connections in all.
    pub hard: usize,
    /// Over this many idle ones are closed.
    pub soft: usize,
    /// Of one client address.
    pub per_address: usize,
}

pub type ConnectionId = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Take(ConnectionId),
    TurnAway { come_back: Micros },
}

#[derive(Debug)]
struct Connection {
    address: IpAddr,
    /// None: a request is under way.
    idle_since: Option<Micros>,
    /// Told to close: not chosen again.
    closing: bool,
}

/// Of one client address: how many are open, and which of them are idle, longest first.
#[derive(Debug, Default)]
struct Address {
    open: usize,
    idle: BTreeSet<(Micros, ConnectionId)>,
}

#[derive(Debug)]
pub struct Admission {
    limits: Limits,
    next: ConnectionId,
    open: BTreeMap<ConnectionId, Connection>,
    by_address: HashMap<IpAddr, Address>,
    /// Longest idle first; without those told to close.
    idle: BTreeSet<(Micros, ConnectionId)>,
    closing: usize,
    /// Turned away lately: when the second began, and how many.
    turned: (Micros, u64),
}

impl Admission {
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            next: 0,
            open: BTreeMap::new(),
            by_address: HashMap::new(),
            idle: BTreeSet::new(),
            closing: 0,
            turned: (0, 0),
        }
    }

    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// A client has connected; and which connections to close.
    pub fn arrive(&mut self, now: Micros, address: IpAddr) -> (Verdict, Vec<ConnectionId>) {
        let mut close = Vec::new();
        if self.by_address.get(&address).map_or(0, |a| a.open) >= self.limits.per_address {
            // Its own longest idle one makes room; another address's does not.
            let own = self.by_address.get(&address).and_then(|a| a.idle.first());
            let Some((_, id)) = own.copied() else {
                return (self.turn_away(now), close);
            };
            self.tell_to_close(id, &mut close);
        }
        if self.open.len() >= self.limits.hard {
            // Those told to close are still here: the hard limit counts what is held.
            self.trim(self.limits.soft.saturating_sub(1), &mut close);
            return (self.turn_away(now), close);
        }
        self.next += 1;
        let connection = Connection { address, idle_since: Some(now), closing: false };
        self.open.insert(self.next, connection);
        self.by_address.entry(address).or_default().open += 1;
        // The newcomer is not what makes room for itself.
        self.trim(self.limits.soft, &mut close);
        self.rest(address, (now, self.next));
        (Verdict::Take(self.next), close)
    }

    /// Among those that may be told to close, or not any more.
    fn rest(&mut self, address: IpAddr, idle: (Micros, ConnectionId)) {
        self.idle.insert(idle);
        self.by_address.entry(address).or_default().idle.insert(idle);
    }

    fn unrest(&mut self, address: IpAddr, idle: (Micros, ConnectionId)) {
        self.idle.remove(&idle);
        if let Some(a) = self.by_address.get_mut(&address) {
            a.idle.remove(&idle);
        }
    }

    fn turn_away(&mut self, now: Micros) -> Verdict {
        if now >= self.turned.0 + 1_000_000 {
            self.turned = (now, 0);
        }
        self.turned.1 += 1;
        Verdict::TurnAway { come_back: COME_BACK + SPREAD * (self.turned.1 / 100) }
    }

    /// Tells idle connections to close until at most `most` stay.
    fn trim(&mut self, most: usize, close: &mut Vec<ConnectionId>) {
        while self.open.len() - self.closing > most {
            let Some((_, id)) = self.idle.first().copied() else { return };
            self.tell_to_close(id, close);
        }
    }

    fn tell_to_close(&mut self, id: ConnectionId, close: &mut Vec<ConnectionId>) {
        let Some(c) = self.open.get_mut(&id).filter(|c| !c.closing) else { return };
        c.closing = true;
        self.closing += 1;
        close.push(id);
        let (address, since) = (c.address, c.idle_since);
        if let Some(since) = since {
            self.unrest(address, (since, id));
        }
    }

    /// Room for so many, whatever the limits say: descriptors have run out.
    pub fn make_room(&mut self, count: usize) -> Vec<ConnectionId> {
        let mut close = Vec::new();
        for (_, id) in self.idle.iter().take(count).copied().collect::<Vec<_>>() {
            self.tell_to_close(id, &mut close);
        }
        close
    }

    /// A request has begun on it. One that was told to close in the same moment is answered all the same, and closes
    /// after that.
    pub fn busy(&mut self, id: ConnectionId) {
        let Some(c) = self.open.get_mut(&id) else { return };
        let address = c.address;
        if let Some(since) = c.idle_since.take() {
            self.unrest(address, (since, id));
        }
    }

    pub fn idle(&mut self, now: Micros, id: ConnectionId) {
        let Some(c) = self.open.get_mut(&id).filter(|c| c.idle_since.is_none()) else { return };
        c.idle_since = Some(now);
        if !c.closing {
            let address = c.address;
            self.rest(address, (now, id));
        }
    }

    pub fn closed(&mut self, id: ConnectionId) {
        let Some(c) = self.open.remove(&id) else { return };
        if let Some(since) = c.idle_since {
            self.unrest(c.address, (since, id));
        }
        self.closing -= c.closing as usize;
        if let Some(address) = self.by_address.get_mut(&c.address) {
            address.open -= 1;
            if address.open == 0 {
                self.by_address.remove(&c.address);
            }
        }
    }

    /// Other limits from now on; idle connections over them are told to close.
    pub fn limit(&mut self, limits: Limits) -> Vec<ConnectionId> {
        self.limits = limits;
        let mut close = Vec::new();
        self.trim(limits.soft, &mut close);
        close
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIMITS: Limits = Limits { hard: 10, soft: 6, per_address: 4 };

    fn from(n: u8) -> IpAddr {
        IpAddr::from([127, 0, 0, n])
    }

    fn take(a: &mut Admission, now: Micros, address: u8) -> (ConnectionId, Vec<ConnectionId>) {
        match a.arrive(now, from(address)) {
            (Verdict::Take(id), close) => (id, close),
            other => panic!("{other:?}"),
        }
    }

    #[test]
    fn over_the_soft_limit_the_longest_idle_goes_and_never_a_busy_one() {
        let mut a = Admission::new(LIMITS);
        let ids: Vec<ConnectionId> = (0..6).map(|n| take(&mut a, n, n as u8).0).collect();
        a.busy(ids[0]);
        a.idle(100, ids[1]);
        let (_, close) = take(&mut a, 200, 50);
        assert_eq!(
            close,
            [ids[1]],
            "the first idle one: it was never busy, so its time counts from its coming"
        );
        a.closed(ids[1]);
        for id in &ids[2..] {
            a.busy(*id);
        }
        let (last, close) = take(&mut a, 300, 51);
        assert!(!close.contains(&last), "a newcomer does not close itself");
        assert_eq!(close.len(), 1, "the other newcomer, idle since 200");
        let (_, close) = take(&mut a, 301, 52);
        assert_eq!(close, [last]);
    }

    #[test]
    fn at_the_hard_limit_newcomers_are_turned_away_to_come_back_apart() {
        let mut a = Admission::new(Limits { soft: 10, ..LIMITS });
        for n in 0..10 {
            let (id, _) = take(&mut a, 0, n);
            a.busy(id);
        }
        let come_back = |a: &mut Admission| match a.arrive(5, from(99)) {
            (Verdict::TurnAway { come_back }, close) if close.is_empty() => come_back,
            other => panic!("{other:?}"),
        };
        let first = come_back(&mut a);
        let later = (0..500).map(|_| come_back(&mut a)).last().unwrap();
        assert!(first == COME_BACK && later > first, "{first} {later}");
        a.closed(1);
        take(&mut a, 6, 99);
    }

    #[test]
    fn an_address_makes_room_with_its_own_idle_ones_only() {
        let mut a = Admission::new(Limits { hard: 100, soft: 100, per_address: 3 });
        let (other, _) = take(&mut a, 0, 2);
        let ids: Vec<ConnectionId> = (1..=3).map(|n| take(&mut a, n, 1).0).collect();
        let (newest, close) = take(&mut a, 10, 1);
        assert_eq!(close, [ids[0]], "not {other}, which has been idle for longer");
        a.closed(ids[0]);
        a.busy(ids[1]);
        a.busy(ids[2]);
        a.busy(newest);
        let (verdict, close) = a.arrive(20, from(1));
        assert!(matches!(verdict, Verdict::TurnAway { .. }) && close.is_empty(), "{verdict:?} {close:?}");
    }

    /// Told to close and asked something in the same moment: it is answered, counts until it is gone, and is not told
    /// twice.
    #[test]
    fn a_request_on_a_closing_connection_is_no_newly_idle_one() {
        let mut a = Admission::new(Limits { hard: 10, soft: 1, per_address: 10 });
        let (first, _) = take(&mut a, 0, 1);
        let (_, close) = take(&mut a, 1, 2);
        assert_eq!(close, [first]);
        a.busy(first);
        a.idle(2, first);
        assert!(!take(&mut a, 3, 3).1.contains(&first));
        assert_eq!(a.open_count(), 3);
        a.closed(first);
        assert_eq!(a.open_count(), 2);
    }

    #[test]
    fn lower_limits_close_idle_ones_at_once_and_nothing_is_kept_of_who_left() {
        let mut a = Admission::new(LIMITS);
        let ids: Vec<ConnectionId> = (0..6).map(|n| take(&mut a, n, n as u8).0).collect();
        a.busy(ids[5]);
        assert_eq!(a.limit(Limits { hard: 3, soft: 2, per_address: 1 }), ids[..4]);
        assert_eq!(a.make_room(10), [ids[4]], "the last idle one; the busy one is left");
        ids.iter().for_each(|id| a.closed(*id));
        assert_eq!((a.open.len(), a.by_address.len(), a.idle.len(), a.closing), (0, 0, 0, 0));
    }
}
