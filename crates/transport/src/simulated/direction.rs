//! One direction of a simulated connection.
use super::link::Link;
use super::SimulatedNetwork;
use crate::lock::lock;
use bytes::{Buf, Bytes, BytesMut};
use std::collections::VecDeque;
use std::future::Future;
use std::io::{ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};
use tokio::time::{Instant, Sleep};

/// Bytes that a direction buffers before its writer waits, as the buffers of two sockets do.
pub(super) const WINDOW_BYTES: usize = 256 * 1024;

/// One direction of a connection, shared by its writer and its reader.
#[derive(Debug)]
pub(super) struct Direction {
    network: SimulatedNetwork,
    link: Arc<Link>,
    state: Mutex<DirectionState>,
}

/// Bytes in flight.
#[derive(Debug)]
struct Segment {
    arrives_at: Instant,
    bytes: Bytes,
}

#[derive(Debug, Default)]
struct DirectionState {
    /// Segments in flight or unread; the times of arrival never decrease.
    segments: VecDeque<Segment>,
    /// Bytes of all segments; at most [`WINDOW_BYTES`].
    buffered: usize,
    /// When the end of the direction arrives, once the writer has ended it.
    end: Option<Instant>,
    reader_dropped: bool,
    cut: bool,
    /// The writer has withdrawn what was not delivered; seen once the link is not partitioned.
    aborted: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
    /// Wakes the reader when the next segment arrives.
    arrival: Option<Pin<Box<Sleep>>>,
}

impl DirectionState {
    /// When the reader has something to read: a segment or the end.
    fn next_arrival(&self) -> Option<Instant> {
        self.segments
            .front()
            .map(|segment| segment.arrives_at)
            .or(self.end)
    }

    fn is_broken(&self, partitioned: bool) -> bool {
        self.cut || (self.aborted && !partitioned)
    }

    fn poll_readable(&mut self, partitioned: bool, context: &mut Context<'_>) -> Poll<()> {
        if self.is_broken(partitioned) {
            return Poll::Ready(());
        }
        self.reader = Some(context.waker().clone());
        let Some(arrives_at) = self.next_arrival().filter(|_| !partitioned) else {
            self.arrival = None;
            return Poll::Pending;
        };
        if arrives_at <= Instant::now() {
            self.arrival = None;
            return Poll::Ready(());
        }
        let arrival = self
            .arrival
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(arrives_at)));
        if arrival.deadline() != arrives_at {
            arrival.as_mut().reset(arrives_at);
        }
        arrival.as_mut().poll(context)
    }

    fn read(
        &mut self,
        partitioned: bool,
        consume: &mut dyn FnMut(&[u8]) -> usize,
    ) -> Result<usize> {
        if self.is_broken(partitioned) {
            return Err(ErrorKind::ConnectionReset.into());
        }
        let has_arrived = self
            .next_arrival()
            .is_some_and(|arrives_at| arrives_at <= Instant::now());
        if partitioned || !has_arrived {
            return Err(ErrorKind::WouldBlock.into());
        }
        let Some(segment) = self.segments.front_mut() else {
            return Ok(0);
        };
        let taken = consume(&segment.bytes);
        segment.bytes.advance(taken);
        if segment.bytes.is_empty() {
            self.segments.pop_front();
        }
        self.buffered -= taken;
        Ok(taken)
    }

    fn write(&mut self, arrives_at: Instant, slices: &[IoSlice<'_>]) -> Result<usize> {
        if self.cut || self.end.is_some() {
            return Err(ErrorKind::BrokenPipe.into());
        }
        // As a peer that has closed its socket answers with a reset.
        if self.reader_dropped {
            return Err(ErrorKind::ConnectionReset.into());
        }
        let space = WINDOW_BYTES.saturating_sub(self.buffered);
        if space == 0 {
            return Err(ErrorKind::WouldBlock.into());
        }
        let mut bytes = BytesMut::new();
        for slice in slices {
            let part = slice.len().min(space - bytes.len());
            bytes.extend_from_slice(&slice[..part]);
        }
        let taken = bytes.len();
        if taken > 0 {
            self.segments.push_back(Segment {
                arrives_at: self.not_before_last_segment(arrives_at),
                bytes: bytes.freeze(),
            });
            self.buffered += taken;
        }
        Ok(taken)
    }

    fn not_before_last_segment(&self, time: Instant) -> Instant {
        self.segments
            .back()
            .map_or(time, |last| time.max(last.arrives_at))
    }
}

impl Direction {
    pub(super) fn new(network: SimulatedNetwork, link: Arc<Link>) -> Self {
        Self {
            network,
            link,
            state: Mutex::default(),
        }
    }

    /// Wakes both sides.
    pub(super) fn wake(&self) {
        let (reader, writer) = {
            let mut state = lock(&self.state);
            (state.reader.take(), state.writer.take())
        };
        for waker in [reader, writer].into_iter().flatten() {
            waker.wake();
        }
    }

    /// Breaks the connection for both sides.
    pub(super) fn cut(&self) {
        lock(&self.state).cut = true;
        self.wake();
    }

    /// Ends the direction: the reader sees the end behind what was written.
    pub(super) fn end(&self) {
        let arrives_at = Instant::now() + self.network.delay();
        {
            let mut state = lock(&self.state);
            let arrives_at = state.not_before_last_segment(arrives_at);
            state.end.get_or_insert(arrives_at);
        }
        self.wake();
    }

    /// Withdraws what was not delivered and breaks the connection.
    pub(super) fn abort(&self) {
        {
            let mut state = lock(&self.state);
            state.segments.clear();
            state.buffered = 0;
            state.aborted = true;
        }
        self.wake();
    }

    pub(super) fn drop_reader(&self) {
        lock(&self.state).reader_dropped = true;
        self.wake();
    }

    pub(super) fn poll_readable(&self, context: &mut Context<'_>) -> Poll<()> {
        lock(&self.state).poll_readable(self.link.is_partitioned(), context)
    }

    pub(super) fn poll_writable(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut state = lock(&self.state);
        if state.cut || state.reader_dropped || state.buffered < WINDOW_BYTES {
            return Poll::Ready(());
        }
        state.writer = Some(context.waker().clone());
        Poll::Pending
    }

    /// Whether the end has arrived, although bytes before it may be unread, or the connection is broken.
    pub(super) fn is_ended(&self) -> bool {
        let partitioned = self.link.is_partitioned();
        let state = lock(&self.state);
        let end_arrived = state.end.is_some_and(|end| end <= Instant::now());
        state.is_broken(partitioned) || (end_arrived && !partitioned)
    }

    /// Passes arrived bytes to `consume`, which returns how many it has taken.
    pub(super) fn read(&self, consume: &mut dyn FnMut(&[u8]) -> usize) -> Result<usize> {
        let partitioned = self.link.is_partitioned();
        let (taken, writer) = {
            let mut state = lock(&self.state);
            let taken = state.read(partitioned, consume)?;
            if taken == 0 && state.segments.is_empty() {
                return Ok(0);
            }
            (taken, state.writer.take())
        };
        if let Some(writer) = writer {
            writer.wake();
        }
        Ok(taken)
    }

    /// Sends as many bytes as the window allows.
    pub(super) fn write(&self, slices: &[IoSlice<'_>]) -> Result<usize> {
        let arrives_at = Instant::now() + self.network.delay();
        let (taken, reader) = {
            let mut state = lock(&self.state);
            let taken = state.write(arrives_at, slices)?;
            (taken, state.reader.take())
        };
        if let Some(reader) = reader {
            reader.wake();
        }
        Ok(taken)
    }
}
