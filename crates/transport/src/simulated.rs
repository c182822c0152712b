//! A network in memory, on tokio's clock: under a paused clock a day of the real shell takes as long as its work.
//!
//! Each connection is two directions of a stream. What is written arrives after the way's latency, later when a segment is
//! lost (it is sent again, as TCP does, and what follows waits for it), in order within its direction; connections overtake each
//! other. A parted way delivers nothing, in neither direction, and tells nobody: after it is healed, what was sent arrives. A cut is
//! seen at once by both ends.
//!
//! Kept: a direction's unread bytes, at most [`WINDOW`]; a listener's queue; a way for each pair of addresses that ever
//! spoke (a simulation has few).
use crate::line::{Socket, LEAVING_LOOK};
use bytes::{Buf, Bytes, BytesMut};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::{mpsc, Notify};
use tokio::time::{Instant, Sleep};

/// Bytes that a direction holds before its writer waits: a socket's two buffers.
const WINDOW: usize = 256 * 1024;
/// Connections that wait to be accepted; more are refused.
const BACKLOG: usize = 1024;

/// How a network behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetworkConditions {
    /// One way.
    pub latency: Duration,
    /// Up to so much more, drawn for each piece.
    pub jitter: Duration,
    /// Share of pieces that have to be sent again, and how much later they then arrive.
    pub loss: f64,
    pub resend: Duration,
}

impl Default for NetworkConditions {
    fn default() -> Self {
        Self {
            latency: Duration::from_micros(200),
            jitter: Duration::from_micros(100),
            loss: 0.0,
            resend: Duration::from_millis(200),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Between two addresses.
#[derive(Debug, Default)]
struct Road {
    parted: AtomicBool,
    healed: Notify,
}

#[derive(Debug)]
struct Inner {
    weather: NetworkConditions,
    dice: StdRng,
    listeners: BTreeMap<SocketAddr, mpsc::Sender<(Socket, SocketAddr)>>,
    roads: BTreeMap<(IpAddr, IpAddr), Arc<Road>>,
    ways: Vec<(IpAddr, IpAddr, Weak<Way>)>,
    sweep_at: usize,
    port: u16,
}

/// Clones are the same network, seen from the same process.
#[derive(Clone, Debug)]
pub struct SimulatedNetwork(Arc<Mutex<Inner>>, Arc<AtomicBool>);

/// One direction of a connection.
#[derive(Debug)]
struct Way {
    net: SimulatedNetwork,
    road: Arc<Road>,
    state: Mutex<WayState>,
}

#[derive(Debug, Default)]
struct WayState {
    /// With the time of their arrival, which never goes back.
    pieces: VecDeque<(Instant, Bytes)>,
    held: usize,
    end: Option<Instant>,
    reader_gone: bool,
    cut: bool,
    /// The writer has taken back what was not delivered; seen when the way is open.
    aborted: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
    /// Wakes the reader when the first piece arrives.
    alarm: Option<Pin<Box<Sleep>>>,
}

#[derive(Debug)]
pub struct SimulatedReadHalf(Arc<Way>);

#[derive(Debug)]
pub struct SimulatedWriteHalf(Arc<Way>);

#[derive(Debug)]
pub struct SimulatedListener {
    net: SimulatedNetwork,
    at: SocketAddr,
    queue: mpsc::Receiver<(Socket, SocketAddr)>,
}

impl SimulatedNetwork {
    pub fn new(weather: NetworkConditions, seed: u64) -> Self {
        let dice = StdRng::seed_from_u64(seed);
        let (listeners, roads, ways) = Default::default();
        let inner = Inner {
            weather,
            dice,
            listeners,
            roads,
            ways,
            sweep_at: 256,
            port: 20_000,
        };
        Self(Arc::new(Mutex::new(inner)), Arc::new(AtomicBool::new(true)))
    }

    /// The same network as another process sees it.
    pub fn incarnation(&self) -> Self {
        Self(self.0.clone(), Arc::new(AtomicBool::new(true)))
    }

    /// This process is over: what is left of its tasks connects to nobody any more.
    pub fn end(&self) {
        self.1.store(false, Ordering::SeqCst);
    }

    fn delay(&self) -> Duration {
        let mut net = lock(&self.0);
        let NetworkConditions {
            latency,
            jitter,
            loss,
            resend,
        } = net.weather;
        let resent = loss > 0.0 && net.dice.gen_bool(loss.min(1.0));
        latency + jitter.mul_f64(net.dice.gen()) + if resent { resend } else { Duration::ZERO }
    }

    fn road(&self, a: IpAddr, b: IpAddr) -> Arc<Road> {
        lock(&self.0)
            .roads
            .entry((a.min(b), a.max(b)))
            .or_default()
            .clone()
    }

    /// From now on nothing passes between these two, and neither is told.
    pub fn partition(&self, a: IpAddr, b: IpAddr) {
        self.road(a, b).parted.store(true, Ordering::SeqCst);
    }

    pub fn heal(&self, a: IpAddr, b: IpAddr) {
        let road = self.road(a, b);
        road.parted.store(false, Ordering::SeqCst);
        road.healed.notify_waiters();
        for way in self.ways(|x, y| (x, y) == (a, b) || (x, y) == (b, a)) {
            way.wake();
        }
    }

    /// Every connection of this address breaks.
    pub fn cut(&self, address: IpAddr) {
        for way in self.ways(|a, b| a == address || b == address) {
            lock(&way.state).cut = true;
            way.wake();
        }
    }

    fn ways(&self, fits: impl Fn(IpAddr, IpAddr) -> bool) -> Vec<Arc<Way>> {
        let net = lock(&self.0);
        net.ways
            .iter()
            .filter(|w| fits(w.0, w.1))
            .filter_map(|w| w.2.upgrade())
            .collect()
    }

    pub fn listen(&self, mut at: SocketAddr) -> Result<SimulatedListener> {
        let mut net = lock(&self.0);
        while at.port() == 0 {
            net.port = net.port.wrapping_add(1).max(20_000);
            let free = SocketAddr::new(at.ip(), net.port);
            if !net.listeners.contains_key(&free) {
                at = free;
            }
        }
        if net.listeners.contains_key(&at) {
            return Err(Error::new(ErrorKind::AddrInUse, format!("{at} is in use")));
        }
        let (sender, queue) = mpsc::channel(BACKLOG);
        net.listeners.insert(at, sender);
        drop(net);
        Ok(SimulatedListener {
            net: self.clone(),
            at,
            queue,
        })
    }

    /// Waits for as long as the way is parted: whoever connects brings a time-out.
    pub async fn connect(&self, from: Option<IpAddr>, to: SocketAddr) -> Result<Socket> {
        let from = from.unwrap_or(IpAddr::V4(Ipv4Addr::LOCALHOST));
        let road = self.road(from, to.ip());
        tokio::time::sleep(self.delay() + self.delay()).await;
        loop {
            let healed = road.healed.notified();
            if !road.parted.load(Ordering::SeqCst) {
                break;
            }
            healed.await;
        }
        if !self.1.load(Ordering::SeqCst) {
            return Err(Error::new(ErrorKind::NotConnected, "this process is over"));
        }
        let (here, there, from, listener) = {
            let mut net = lock(&self.0);
            net.port = net.port.wrapping_add(1).max(20_000);
            let from = SocketAddr::new(from, net.port);
            let listener = net.listeners.get(&to).cloned();
            let way = || {
                Arc::new(Way {
                    net: self.clone(),
                    road: road.clone(),
                    state: Mutex::default(),
                })
            };
            let (out, back) = (way(), way());
            net.ways.push((from.ip(), to.ip(), Arc::downgrade(&out)));
            net.ways.push((to.ip(), from.ip(), Arc::downgrade(&back)));
            if net.ways.len() > net.sweep_at {
                net.ways.retain(|w| w.2.strong_count() > 0);
                net.sweep_at = 256.max(2 * net.ways.len());
            }
            let here = Socket::Simulated(
                SimulatedReadHalf(back.clone()),
                SimulatedWriteHalf(out.clone()),
            );
            (
                here,
                Socket::Simulated(SimulatedReadHalf(out), SimulatedWriteHalf(back)),
                from,
                listener,
            )
        };
        let taken = listener.map(|l| l.try_send((there, from)).is_ok());
        match taken {
            Some(true) => Ok(here),
            _ => Err(Error::new(
                ErrorKind::ConnectionRefused,
                format!("nobody listens at {to}"),
            )),
        }
    }
}

impl SimulatedListener {
    pub async fn accept(&mut self) -> Result<(Socket, SocketAddr)> {
        self.queue
            .recv()
            .await
            .ok_or_else(|| ErrorKind::NotConnected.into())
    }

    pub fn at(&self) -> SocketAddr {
        self.at
    }
}

impl Drop for SimulatedListener {
    fn drop(&mut self) {
        lock(&self.net.0).listeners.remove(&self.at);
    }
}

impl Way {
    fn wake(&self) {
        let (reader, writer) = {
            let mut state = lock(&self.state);
            (state.reader.take(), state.writer.take())
        };
        for waker in [reader, writer].into_iter().flatten() {
            waker.wake();
        }
    }

    fn parted(&self) -> bool {
        self.road.parted.load(Ordering::SeqCst)
    }

    fn end(&self) {
        let at = Instant::now() + self.net.delay();
        {
            let mut state = lock(&self.state);
            let last = state.pieces.back().map_or(at, |p| p.0);
            state.end.get_or_insert(at.max(last));
        }
        self.wake();
    }
}

impl WayState {
    /// When the reader has something to look at.
    fn due(&self) -> Option<Instant> {
        self.pieces.front().map(|p| p.0).or(self.end)
    }

    fn is_cut(&self, parted: bool) -> bool {
        self.cut || (self.aborted && !parted)
    }

    fn poll_readable(&mut self, parted: bool, cx: &mut Context<'_>) -> Poll<()> {
        if self.is_cut(parted) {
            return Poll::Ready(());
        }
        self.reader = Some(cx.waker().clone());
        let Some(due) = self.due().filter(|_| !parted) else {
            self.alarm = None;
            return Poll::Pending;
        };
        if due <= Instant::now() {
            self.alarm = None;
            return Poll::Ready(());
        }
        let alarm = self
            .alarm
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(due)));
        if alarm.deadline() != due {
            alarm.as_mut().reset(due);
        }
        alarm.as_mut().poll(cx)
    }
}

impl SimulatedReadHalf {
    pub async fn readable(&self) {
        std::future::poll_fn(|cx| lock(&self.0.state).poll_readable(self.0.parted(), cx)).await;
    }

    /// Returns when the peer has ended its direction, though bytes before that are not read yet.
    pub async fn peer_closed(&self) {
        loop {
            let parted = self.0.parted();
            let left = {
                let state = lock(&self.0.state);
                let ended = state.end.is_some_and(|at| at <= Instant::now());
                state.is_cut(parted) || (ended && !parted)
            };
            if left {
                return;
            }
            tokio::time::sleep(LEAVING_LOOK).await;
        }
    }

    pub fn try_read(&self, put: &mut dyn FnMut(&[u8]) -> usize) -> Result<usize> {
        let parted = self.0.parted();
        let (taken, writer) = {
            let mut state = lock(&self.0.state);
            if state.is_cut(parted) {
                return Err(ErrorKind::ConnectionReset.into());
            }
            if parted || state.due().is_none_or(|due| due > Instant::now()) {
                return Err(ErrorKind::WouldBlock.into());
            }
            let Some((_, piece)) = state.pieces.front_mut() else {
                return Ok(0);
            };
            let taken = put(piece);
            piece.advance(taken);
            if piece.is_empty() {
                state.pieces.pop_front();
            }
            state.held -= taken;
            (taken, state.writer.take())
        };
        if let Some(writer) = writer {
            writer.wake();
        }
        Ok(taken)
    }
}

impl Drop for SimulatedReadHalf {
    fn drop(&mut self) {
        lock(&self.0.state).reader_gone = true;
        self.0.wake();
    }
}

impl SimulatedWriteHalf {
    pub async fn writable(&self) {
        std::future::poll_fn(|cx| {
            let mut state = lock(&self.0.state);
            if state.cut || state.reader_gone || state.held < WINDOW {
                return Poll::Ready(());
            }
            state.writer = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }

    pub fn try_write(&self, slices: &[IoSlice<'_>]) -> Result<usize> {
        let at = Instant::now() + self.0.net.delay();
        let (taken, reader) = {
            let mut state = lock(&self.0.state);
            if state.cut || state.end.is_some() {
                return Err(ErrorKind::BrokenPipe.into());
            }
            // A peer that has closed answers with a reset.
            if state.reader_gone {
                return Err(ErrorKind::ConnectionReset.into());
            }
            let room = WINDOW.saturating_sub(state.held);
            if room == 0 {
                return Err(ErrorKind::WouldBlock.into());
            }
            let mut piece = BytesMut::new();
            for slice in slices {
                let some = slice.len().min(room - piece.len());
                piece.extend_from_slice(&slice[..some]);
            }
            let taken = piece.len();
            if taken > 0 {
                let last = state.pieces.back().map_or(at, |p| p.0);
                state.pieces.push_back((at.max(last), piece.freeze()));
                state.held += taken;
            }
            (taken, state.reader.take())
        };
        if let Some(reader) = reader {
            reader.wake();
        }
        Ok(taken)
    }

    pub fn shutdown(&self) {
        self.0.end();
    }

    pub fn abort(&self) {
        {
            let mut state = lock(&self.0.state);
            state.pieces.clear();
            (state.held, state.aborted) = (0, true);
        }
        self.0.wake();
    }
}

impl Drop for SimulatedWriteHalf {
    fn drop(&mut self) {
        self.0.end();
    }
}

#[cfg(test)]
mod tests;
