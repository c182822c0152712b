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

/// Number of bytes that a direction buffers before its writer must wait, like the send and receive buffers of two sockets.
pub(super) const WINDOW_BYTES: usize = 256 * 1024;

/// One direction of a connection, shared by its writer and its reader.
#[derive(Debug)]
pub(super) struct Direction {
    network: SimulatedNetwork,
    link: Arc<Link>,
    state: Mutex<DirectionState>,
}

/// Bytes that were written together and arrive together.
#[derive(Debug)]
struct Segment {
    arrives_at: Instant,
    bytes: Bytes,
}

#[derive(Debug, Default)]
struct DirectionState {
    /// Segments in flight or unread, in the order of writing; the times of arrival never decrease.
    segments: VecDeque<Segment>,
    /// Number of bytes in all segments; at most [`WINDOW_BYTES`].
    buffered_bytes: usize,
    /// Time at which the end of the direction arrives; `None` until the writer has ended the direction.
    end: Option<Instant>,
    reader_dropped: bool,
    cut: bool,
    /// Whether the writer has aborted the connection and withdrawn undelivered bytes. The reader sees this only while the
    /// link is not partitioned.
    aborted: bool,
    reader_waker: Option<Waker>,
    writer_waker: Option<Waker>,
    /// Wakes the reader when the next segment arrives.
    arrival: Option<Pin<Box<Sleep>>>,
}

impl DirectionState {
    /// Returns the time at which the next segment or the end arrives, if either is in flight or unread.
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
        self.reader_waker = Some(context.waker().clone());
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
        self.buffered_bytes -= taken;
        Ok(taken)
    }

    fn write(&mut self, arrives_at: Instant, slices: &[IoSlice<'_>]) -> Result<usize> {
        if self.cut || self.end.is_some() {
            return Err(ErrorKind::BrokenPipe.into());
        }
        // TCP, too, reports a reset to a writer whose peer has closed its socket.
        if self.reader_dropped {
            return Err(ErrorKind::ConnectionReset.into());
        }
        let space = WINDOW_BYTES.saturating_sub(self.buffered_bytes);
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
            self.buffered_bytes += taken;
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

    /// Wakes the reader and the writer.
    pub(super) fn wake(&self) {
        let (reader, writer) = {
            let mut state = lock(&self.state);
            (state.reader_waker.take(), state.writer_waker.take())
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

    /// Ends the direction; the reader sees the end after all written bytes.
    pub(super) fn end(&self) {
        let arrives_at = Instant::now() + self.network.delay();
        {
            let mut state = lock(&self.state);
            let arrives_at = state.not_before_last_segment(arrives_at);
            state.end.get_or_insert(arrives_at);
        }
        self.wake();
    }

    /// Discards undelivered bytes and breaks the direction.
    pub(super) fn abort(&self) {
        {
            let mut state = lock(&self.state);
            state.segments.clear();
            state.buffered_bytes = 0;
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
        if state.cut || state.reader_dropped || state.buffered_bytes < WINDOW_BYTES {
            return Poll::Ready(());
        }
        state.writer_waker = Some(context.waker().clone());
        Poll::Pending
    }

    /// Whether the connection is broken or the end has arrived, even if bytes before the end are unread.
    pub(super) fn is_ended(&self) -> bool {
        let partitioned = self.link.is_partitioned();
        let state = lock(&self.state);
        let end_arrived = state.end.is_some_and(|end| end <= Instant::now());
        state.is_broken(partitioned) || (end_arrived && !partitioned)
    }

    /// Passes arrived bytes to `consume`, which returns how many it has taken. Returns that number; 0 means the end of the
    /// direction.
    pub(super) fn read(&self, consume: &mut dyn FnMut(&[u8]) -> usize) -> Result<usize> {
        let partitioned = self.link.is_partitioned();
        let (taken, writer) = {
            let mut state = lock(&self.state);
            let taken = state.read(partitioned, consume)?;
            if taken == 0 && state.segments.is_empty() {
                return Ok(0);
            }
            (taken, state.writer_waker.take())
        };
        if let Some(writer) = writer {
            writer.wake();
        }
        Ok(taken)
    }

    /// Sends as many bytes as the window allows and returns their number.
    pub(super) fn write(&self, slices: &[IoSlice<'_>]) -> Result<usize> {
        let arrives_at = Instant::now() + self.network.delay();
        let (taken, reader) = {
            let mut state = lock(&self.state);
            let taken = state.write(arrives_at, slices)?;
            (taken, state.reader_waker.take())
        };
        if let Some(reader) = reader {
            reader.wake();
        }
        Ok(taken)
    }
}
