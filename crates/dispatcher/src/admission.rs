//! Who may hold a connection at the doors: a decision without I/O.
//!
//! Over the soft limit idle connections are closed, longest idle first; at the hard limit, or over an address's share,
//! newcomers are turned away with a time to come back, unless an idle one of the same address can make room; the same for
//! a network's share (a branch's). A connection with a request under way is never closed for another.
//!
//! Idle time-outs are decided here too: those that idle stand in the order in which they fell idle, so a look at the first
//! one is enough, no connection has a timer, and one that is used touches none.
//!
//! Kept: one entry for each open connection and one count for each address that has any, dropped with the connection.
use pointspindle::Micros;
use pointspindle_config::NetworkQuota;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::IpAddr;

/// A newcomer turned away comes back after this, and so much more for each hundred turned away in the second before:
/// a crowd must not come back together.
const COME_BACK: Micros = 1_000_000;
const SPREAD: Micros = 50_000;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Connections in all.
    pub hard: usize,
    /// Over this many idle ones are closed.
    pub soft: usize,
    /// Of one client address.
    pub per_address: usize,
    /// Of addresses together; the first that holds an address counts.
    pub networks: Vec<NetworkQuota>,
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
    network: Option<usize>,
    /// None: a request is under way.
    idle_since: Option<Micros>,
    /// Told to close: not chosen again.
    closing: bool,
}

/// Of one client address, or a network: how many are open, and which of them are idle, longest first.
#[derive(Debug, Default)]
struct Share {
    open: usize,
    idle: BTreeSet<(Micros, ConnectionId)>,
}

#[derive(Debug)]
pub struct Admission {
    limits: Limits,
    next: ConnectionId,
    open: BTreeMap<ConnectionId, Connection>,
    by_address: HashMap<IpAddr, Share>,
    by_network: Vec<Share>,
    /// Longest idle first; without those told to close.
    idle: BTreeSet<(Micros, ConnectionId)>,
    closing: usize,
    /// Turned away lately: when the second began, and how many.
    turned: (Micros, u64),
}

impl Admission {
    pub fn new(limits: Limits) -> Self {
        Self {
            by_network: limits.networks.iter().map(|_| Share::default()).collect(),
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
        let network = self
            .limits
            .networks
            .iter()
            .position(|n| n.contains(address));
        let of_address = self
            .by_address
            .get(&address)
            .map(|share| (share, self.limits.per_address));
        let of_network =
            network.map(|n| (&self.by_network[n], self.limits.networks[n].connections));
        let full = of_address
            .into_iter()
            .chain(of_network)
            .filter(|(share, most)| share.open >= *most);
        // Its own longest idle one makes room; another address's does not.
        let own: Vec<Option<ConnectionId>> = full
            .map(|(share, _)| share.idle.first().map(|(_, id)| *id))
            .collect();
        if own.contains(&None) {
            return (self.turn_away(now), close);
        }
        for id in own.into_iter().flatten() {
            self.tell_to_close(id, &mut close);
        }
        if self.open.len() >= self.limits.hard {
            // Those told to close are still here: the hard limit counts what is held.
            self.trim(self.limits.soft.saturating_sub(1), &mut close);
            return (self.turn_away(now), close);
        }
        self.next += 1;
        let connection = Connection {
            address,
            network,
            idle_since: Some(now),
            closing: false,
        };
        self.open.insert(self.next, connection);
        self.shares(address, network)
            .for_each(|share| share.open += 1);
        // The newcomer is not what makes room for itself.
        self.trim(self.limits.soft, &mut close);
        self.rest((address, network), (now, self.next));
        (Verdict::Take(self.next), close)
    }

    /// What a connection counts in.
    fn shares(
        &mut self,
        address: IpAddr,
        network: Option<usize>,
    ) -> impl Iterator<Item = &mut Share> {
        let of_network = network.and_then(|n| self.by_network.get_mut(n));
        [self.by_address.entry(address).or_default()]
            .into_iter()
            .chain(of_network)
    }

    /// Among those that may be told to close, or not any more.
    fn rest(&mut self, (address, network): (IpAddr, Option<usize>), idle: (Micros, ConnectionId)) {
        self.idle.insert(idle);
        self.shares(address, network).for_each(|share| {
            share.idle.insert(idle);
        });
    }

    fn unrest(
        &mut self,
        (address, network): (IpAddr, Option<usize>),
        idle: (Micros, ConnectionId),
    ) {
        self.idle.remove(&idle);
        self.shares(address, network).for_each(|share| {
            share.idle.remove(&idle);
        });
    }

    /// Those idle for longer than this, longest first and at most so many: a crowd that fell idle in one moment is
    /// worked off in slices.
    pub fn expire(&mut self, now: Micros, longest: Micros, most: usize) -> Vec<ConnectionId> {
        let mut close = Vec::new();
        while close.len() < most {
            match self.idle.first().copied() {
                Some((since, id)) if now >= since + longest => self.tell_to_close(id, &mut close),
                _ => break,
            }
        }
        close
    }

    /// When [`Admission::expire`] next finds one, if nothing is used before.
    pub fn next_expiry(&self, longest: Micros) -> Option<Micros> {
        self.idle.first().map(|(since, _)| since + longest)
    }

    fn turn_away(&mut self, now: Micros) -> Verdict {
        if now >= self.turned.0 + 1_000_000 {
            self.turned = (now, 0);
        }
        self.turned.1 += 1;
        Verdict::TurnAway {
            come_back: COME_BACK + SPREAD * (self.turned.1 / 100),
        }
    }

    /// Tells idle connections to close until at most `most` stay.
    fn trim(&mut self, most: usize, close: &mut Vec<ConnectionId>) {
        while self.open.len() - self.closing > most {
            let Some((_, id)) = self.idle.first().copied() else {
                return;
            };
            self.tell_to_close(id, close);
        }
    }

    fn tell_to_close(&mut self, id: ConnectionId, close: &mut Vec<ConnectionId>) {
        let Some(c) = self.open.get_mut(&id).filter(|c| !c.closing) else {
            return;
        };
        c.closing = true;
        self.closing += 1;
        close.push(id);
        let (place, since) = ((c.address, c.network), c.idle_since);
        if let Some(since) = since {
            self.unrest(place, (since, id));
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
        let Some(c) = self.open.get_mut(&id) else {
            return;
        };
        let place = (c.address, c.network);
        if let Some(since) = c.idle_since.take() {
            self.unrest(place, (since, id));
        }
    }

    pub fn idle(&mut self, now: Micros, id: ConnectionId) {
        let Some(c) = self.open.get_mut(&id).filter(|c| c.idle_since.is_none()) else {
            return;
        };
        c.idle_since = Some(now);
        if !c.closing {
            let place = (c.address, c.network);
            self.rest(place, (now, id));
        }
    }

    pub fn closed(&mut self, id: ConnectionId) {
        let Some(c) = self.open.remove(&id) else {
            return;
        };
        if let Some(since) = c.idle_since {
            self.unrest((c.address, c.network), (since, id));
        }
        self.closing -= c.closing as usize;
        self.shares(c.address, c.network)
            .for_each(|share| share.open -= 1);
        if self
            .by_address
            .get(&c.address)
            .is_some_and(|share| share.open == 0)
        {
            self.by_address.remove(&c.address);
        }
    }

    /// Other limits from now on; idle connections over them are told to close.
    pub fn limit(&mut self, limits: Limits) -> Vec<ConnectionId> {
        self.limits = limits;
        self.by_network = self
            .limits
            .networks
            .iter()
            .map(|_| Share::default())
            .collect();
        for (id, c) in &mut self.open {
            c.network = self
                .limits
                .networks
                .iter()
                .position(|n| n.contains(c.address));
            let Some(share) = c.network.and_then(|n| self.by_network.get_mut(n)) else {
                continue;
            };
            share.open += 1;
            if let Some(since) = c.idle_since.filter(|_| !c.closing) {
                share.idle.insert((since, *id));
            }
        }
        let mut close = Vec::new();
        for n in 0..self.by_network.len() {
            let over = self.by_network[n]
                .open
                .saturating_sub(self.limits.networks[n].connections);
            let own: Vec<ConnectionId> = self.by_network[n]
                .idle
                .iter()
                .take(over)
                .map(|(_, id)| *id)
                .collect();
            own.into_iter()
                .for_each(|id| self.tell_to_close(id, &mut close));
        }
        self.trim(self.limits.soft, &mut close);
        close
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIMITS: Limits = Limits {
        hard: 10,
        soft: 6,
        per_address: 4,
        networks: Vec::new(),
    };

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
        let mut a = Admission::new(Limits {
            hard: 100,
            soft: 100,
            per_address: 3,
            ..LIMITS
        });
        let (other, _) = take(&mut a, 0, 2);
        let ids: Vec<ConnectionId> = (1..=3).map(|n| take(&mut a, n, 1).0).collect();
        let (newest, close) = take(&mut a, 10, 1);
        assert_eq!(
            close,
            [ids[0]],
            "not {other}, which has been idle for longer"
        );
        a.closed(ids[0]);
        a.busy(ids[1]);
        a.busy(ids[2]);
        a.busy(newest);
        let (verdict, close) = a.arrive(20, from(1));
        assert!(
            matches!(verdict, Verdict::TurnAway { .. }) && close.is_empty(),
            "{verdict:?} {close:?}"
        );
    }

    /// Told to close and asked something in the same moment: it is answered, counts until it is gone, and is not told
    /// twice.
    #[test]
    fn a_request_on_a_closing_connection_is_no_newly_idle_one() {
        let mut a = Admission::new(Limits {
            hard: 10,
            soft: 1,
            per_address: 10,
            ..LIMITS
        });
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
        assert_eq!(
            a.limit(Limits {
                hard: 3,
                soft: 2,
                per_address: 1,
                ..LIMITS
            }),
            ids[..4]
        );
        assert_eq!(
            a.make_room(10),
            [ids[4]],
            "the last idle one; the busy one is left"
        );
        ids.iter().for_each(|id| a.closed(*id));
        assert_eq!(
            (a.open.len(), a.by_address.len(), a.idle.len(), a.closing),
            (0, 0, 0, 0)
        );
    }

    fn network(name: &str, prefix: [u8; 4], bits: u8, connections: usize) -> NetworkQuota {
        NetworkQuota {
            name: name.into(),
            address: IpAddr::from(prefix),
            bits,
            connections,
        }
    }

    /// One branch with very many connections leaves the others theirs, whichever addresses it comes from.
    #[test]
    fn a_networks_share_is_its_own() {
        let networks = vec![
            network("one", [127, 1, 0, 0], 16, 2),
            network("all", [127, 0, 0, 0], 8, 3),
        ];
        let mut a = Admission::new(Limits {
            hard: 100,
            soft: 100,
            per_address: 100,
            networks: networks.clone(),
        });
        let come = |a: &mut Admission, now, ip: [u8; 4]| match a.arrive(now, IpAddr::from(ip)) {
            (Verdict::Take(id), close) => Some((id, close)),
            _ => None,
        };
        let (first, _) = come(&mut a, 0, [127, 1, 0, 1]).unwrap();
        let (second, _) = come(&mut a, 1, [127, 1, 7, 1]).unwrap();
        let (third, close) = come(&mut a, 2, [127, 1, 9, 9]).unwrap();
        assert_eq!(close, [first], "its own longest idle one makes room");
        a.closed(first);
        a.busy(second);
        a.busy(third);
        assert_eq!(
            come(&mut a, 3, [127, 1, 0, 1]),
            None,
            "all of its own are busy"
        );
        let (other, close) = come(&mut a, 4, [127, 2, 0, 1]).unwrap();
        assert!(close.is_empty(), "another network is not touched");
        a.idle(5, second);
        // Lowered while it is used: idle ones go, busy ones stay.
        let lower = networks
            .into_iter()
            .map(|n| NetworkQuota {
                connections: 1,
                ..n
            })
            .collect();
        assert_eq!(
            a.limit(Limits {
                hard: 100,
                soft: 100,
                per_address: 100,
                networks: lower
            }),
            [second]
        );
        [second, third, other]
            .into_iter()
            .for_each(|id| a.closed(id));
        assert!(a
            .by_network
            .iter()
            .all(|n| n.open == 0 && n.idle.is_empty()));
    }

    /// A hundred thousand that fall idle in the same instant go in slices, and one that is used in between stays.
    #[test]
    fn those_idle_for_too_long_go_longest_first_in_slices() {
        let mut a = Admission::new(Limits {
            hard: 200_000,
            soft: 200_000,
            per_address: 200_000,
            ..LIMITS
        });
        let ids: Vec<ConnectionId> = (0..100_000).map(|n| take(&mut a, 7, n as u8).0).collect();
        assert_eq!(a.next_expiry(1_000), Some(1_007));
        assert!(a.expire(1_006, 1_000, 256).is_empty());
        let used = ids[50_000];
        a.busy(used);
        a.idle(900, used);
        let mut gone = vec![];
        loop {
            let slice = a.expire(1_007, 1_000, 256);
            assert!(slice.len() <= 256);
            if slice.is_empty() {
                break;
            }
            gone.extend(slice);
        }
        assert_eq!(gone.len(), 99_999);
        assert!(!gone.contains(&used));
        assert_eq!(a.expire(1_900, 1_000, 256), [used]);
    }
}
