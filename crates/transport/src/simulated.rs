//! An in-memory network that runs on tokio's clock: while the clock is paused, a simulated run takes only its computing
//! time.
//!
//! Each connection has two directions. Written bytes arrive after the latency of the link. A lost segment arrives later,
//! since it is retransmitted as by TCP, and the segments behind it wait for it: bytes arrive in order within a direction,
//! while different connections may overtake each other. A partitioned link delivers no bytes in either direction and
//! reports no error; bytes sent meanwhile arrive once the link is healed. Both ends see at once that a cut connection is
//! broken.
//!
//! The network holds the unread bytes of each direction, at most 256 KiB; the accept queue of each listener, at most 1024
//! connections; and a link for each pair of addresses that ever communicated. Links are never removed, because a simulation
//! has few of them.
mod direction;
mod half;
mod link;
mod listener;

pub use half::{SimulatedReadHalf, SimulatedWriteHalf};
pub use listener::SimulatedListener;

use crate::lock::lock;
use crate::socket::Socket;
use direction::Direction;
use link::Link;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;
use tokio::sync::mpsc;

/// Maximum length of a listener's accept queue; further connections are refused.
const BACKLOG: usize = 1024;
/// Lowest port that is assigned automatically.
const MIN_ASSIGNED_PORT: u16 = 20_000;
/// Minimum number of direction entries before closed ones are removed. The actual limit is twice the number of entries that
/// the last removal left, if that is larger.
const MIN_SWEEP_ENTRIES: usize = 256;

/// Latency and loss of a simulated network.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetworkConditions {
    /// Time that a segment takes in one direction, without jitter and retransmission.
    pub latency: Duration,
    /// Upper bound of the additional random time of each segment.
    pub jitter: Duration,
    /// Fraction of segments that are lost and retransmitted, from 0 to 1.
    pub loss: f64,
    /// Additional time of a retransmitted segment.
    pub retransmission_delay: Duration,
}

impl Default for NetworkConditions {
    fn default() -> Self {
        Self {
            latency: Duration::from_micros(200),
            jitter: Duration::from_micros(100),
            loss: 0.0,
            retransmission_delay: Duration::from_millis(200),
        }
    }
}

/// A direction of a connection, with the addresses of its ends.
#[derive(Debug)]
struct DirectionEntry {
    from: IpAddr,
    to: IpAddr,
    direction: Weak<Direction>,
}

#[derive(Debug)]
struct NetworkState {
    conditions: NetworkConditions,
    rng: StdRng,
    listeners: BTreeMap<SocketAddr, mpsc::Sender<(Socket, SocketAddr)>>,
    /// The links, keyed by the lower and the higher address of their ends.
    links: BTreeMap<(IpAddr, IpAddr), Arc<Link>>,
    directions: Vec<DirectionEntry>,
    /// Number of entries above which closed directions are removed.
    sweep_above: usize,
    last_port: u16,
}

impl NetworkState {
    fn assign_port(&mut self) -> u16 {
        self.last_port = self.last_port.wrapping_add(1).max(MIN_ASSIGNED_PORT);
        self.last_port
    }

    fn add_direction(&mut self, from: IpAddr, to: IpAddr, direction: &Arc<Direction>) {
        let direction = Arc::downgrade(direction);
        self.directions.push(DirectionEntry {
            from,
            to,
            direction,
        });
    }

    fn sweep_closed_directions(&mut self) {
        if self.directions.len() > self.sweep_above {
            self.directions
                .retain(|entry| entry.direction.strong_count() > 0);
            self.sweep_above = MIN_SWEEP_ENTRIES.max(2 * self.directions.len());
        }
    }
}

/// The handle of one process on a simulated network. Clones belong to the same network and the same process.
#[derive(Clone, Debug)]
pub struct SimulatedNetwork {
    state: Arc<Mutex<NetworkState>>,
    is_process_running: Arc<AtomicBool>,
}

impl SimulatedNetwork {
    /// Creates an empty network. Equal seeds give equal sequences of random delays.
    pub fn new(conditions: NetworkConditions, seed: u64) -> Self {
        let state = NetworkState {
            conditions,
            rng: StdRng::seed_from_u64(seed),
            listeners: BTreeMap::new(),
            links: BTreeMap::new(),
            directions: Vec::new(),
            sweep_above: MIN_SWEEP_ENTRIES,
            last_port: MIN_ASSIGNED_PORT,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            is_process_running: Arc::new(AtomicBool::new(true)),
        }
    }

    /// Returns a handle of another process on the same network.
    pub fn new_process(&self) -> Self {
        Self {
            state: self.state.clone(),
            is_process_running: Arc::new(AtomicBool::new(true)),
        }
    }

    /// Ends this process: its remaining tasks can no longer connect.
    pub fn end_process(&self) {
        self.is_process_running.store(false, Ordering::SeqCst);
    }

    /// Draws the time that the next segment takes.
    fn delay(&self) -> Duration {
        let mut state = lock(&self.state);
        let conditions = state.conditions;
        let lost = conditions.loss > 0.0 && state.rng.gen_bool(conditions.loss.min(1.0));
        let jitter = conditions.jitter.mul_f64(state.rng.gen());
        let retransmission = if lost {
            conditions.retransmission_delay
        } else {
            Duration::ZERO
        };
        conditions.latency + jitter + retransmission
    }

    fn link(&self, a: IpAddr, b: IpAddr) -> Arc<Link> {
        let mut state = lock(&self.state);
        let link = state.links.entry((a.min(b), a.max(b))).or_default();
        link.clone()
    }

    /// Stops delivery between two addresses until [`SimulatedNetwork::heal`] is called. Neither end sees an error.
    pub fn partition(&self, a: IpAddr, b: IpAddr) {
        self.link(a, b).partition();
    }

    /// Ends a partition; bytes that were sent meanwhile are delivered.
    pub fn heal(&self, a: IpAddr, b: IpAddr) {
        self.link(a, b).heal();
        let is_between = |from, to| (from, to) == (a, b) || (from, to) == (b, a);
        for direction in self.open_directions(is_between) {
            direction.wake();
        }
    }

    /// Breaks every open connection from or to an address.
    pub fn break_connections(&self, address: IpAddr) {
        for direction in self.open_directions(|from, to| from == address || to == address) {
            direction.cut();
        }
    }

    fn open_directions(&self, matches: impl Fn(IpAddr, IpAddr) -> bool) -> Vec<Arc<Direction>> {
        let state = lock(&self.state);
        state
            .directions
            .iter()
            .filter(|entry| matches(entry.from, entry.to))
            .filter_map(|entry| entry.direction.upgrade())
            .collect()
    }

    /// Listens at an address; port 0 selects any free port.
    pub fn listen(&self, mut address: SocketAddr) -> Result<SimulatedListener> {
        let mut state = lock(&self.state);
        while address.port() == 0 {
            let candidate = SocketAddr::new(address.ip(), state.assign_port());
            if !state.listeners.contains_key(&candidate) {
                address = candidate;
            }
        }
        if state.listeners.contains_key(&address) {
            let reason = format!("address {address} is already in use");
            return Err(Error::new(ErrorKind::AddrInUse, reason));
        }
        let (sender, queue) = mpsc::channel(BACKLOG);
        state.listeners.insert(address, sender);
        drop(state);
        Ok(SimulatedListener::new(self.clone(), address, queue))
    }

    /// Connects to `to`, from the local address `from` or, without one, from the loopback address. Waits for as long as the
    /// link is partitioned: the caller must impose a timeout.
    pub async fn connect(&self, from: Option<IpAddr>, to: SocketAddr) -> Result<Socket> {
        let from = from.unwrap_or(IpAddr::V4(Ipv4Addr::LOCALHOST));
        let link = self.link(from, to.ip());
        let round_trip = self.delay() + self.delay();
        tokio::time::sleep(round_trip).await;
        link.wait_until_open().await;
        if !self.is_process_running.load(Ordering::SeqCst) {
            return Err(Error::new(
                ErrorKind::NotConnected,
                "this process has ended",
            ));
        }
        let handshake = self.handshake(from, to, link);
        let accepted = handshake
            .listener
            .is_some_and(|queue| queue.try_send((handshake.server, handshake.from)).is_ok());
        if !accepted {
            let reason = format!("no listener at {to}");
            return Err(Error::new(ErrorKind::ConnectionRefused, reason));
        }
        Ok(handshake.client)
    }

    fn handshake(&self, from: IpAddr, to: SocketAddr, link: Arc<Link>) -> Handshake {
        let mut state = lock(&self.state);
        let from = SocketAddr::new(from, state.assign_port());
        let request = Arc::new(Direction::new(self.clone(), link.clone()));
        let response = Arc::new(Direction::new(self.clone(), link));
        state.add_direction(from.ip(), to.ip(), &request);
        state.add_direction(to.ip(), from.ip(), &response);
        state.sweep_closed_directions();
        Handshake {
            client: half::socket(response.clone(), request.clone()),
            server: half::socket(request, response),
            from,
            listener: state.listeners.get(&to).cloned(),
        }
    }
}

/// Both ends of a new connection, and the queue of the listener that may accept it.
struct Handshake {
    client: Socket,
    server: Socket,
    from: SocketAddr,
    listener: Option<mpsc::Sender<(Socket, SocketAddr)>>,
}

#[cfg(test)]
mod tests;
