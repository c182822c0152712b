//! Which frames a peer may send on which stream, and how many bytes: the receiving half of a connection.
//!
//! The side that opened the connection numbers its streams upwards by any step; a number is never used again. A stream's
//! credit is returned as its reader takes bytes, so that a slow reader stalls its own stream. The connection's credit is
//! returned as bytes reach their streams' buffers, so that no stream stalls another. A connection therefore buffers at most
//! the number of its streams times [`STREAM_WINDOW`].
use crate::frame::Frame;
use crate::messages::EndHead;
use std::collections::{BTreeMap, BTreeSet};

/// Bytes of body that may be in flight, unread, on one stream.
pub const STREAM_WINDOW: u32 = 256 * 1024;
/// Window of a stream while the receiver is short of buffer memory: it returns no more credit than this.
pub const CROWDED_WINDOW: u32 = 64 * 1024;
/// Bytes of body that may be in flight on a connection before its reader has assigned them to streams.
pub const CONNECTION_WINDOW: u32 = 1024 * 1024;
/// Streams that may be open at once on a connection, unless a listener allows fewer.
pub const MAX_STREAMS: usize = 1024;

/// Cancelled streams that are remembered one by one.
const MAX_REMEMBERED_CANCELS: usize = 4096;

/// A frame that the peer may not send.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum StreamError {
    /// A request on a stream that is not above all earlier ones.
    #[error("stream {0} was used before; numbers only grow")]
    Reused(u32),
    /// A request above the limit of open streams; the stream may be rejected and the connection kept.
    #[error("{0} streams are open, no more are allowed")]
    TooManyStreams(usize),
    /// Data beyond the credit of its stream.
    #[error("stream {0} sent {1} bytes more than its credit allows")]
    OverCredit(u32, u64),
    /// Data beyond the credit of the connection.
    #[error("the connection sent {0} bytes more than its credit allows")]
    OverConnectionCredit(u64),
    /// A frame that does not follow the frames before it.
    #[error("frame on stream {0} out of order: {1}")]
    OutOfOrder(u32, &'static str),
    /// A frame after the end of its stream.
    #[error("stream {0} was answered before; this comes after its end")]
    AfterEnd(u32),
    /// A frame that only this side may send.
    #[error("a frame that only the other side may send: {0}")]
    WrongSide(&'static str),
    /// More credit than a window can have.
    #[error("credit on stream {0} grows past what a window can be")]
    CreditTooLarge(u32),
}

/// Which end of the connection this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Opened the connection: sends requests.
    Caller,
    /// Accepted it: answers them.
    Answerer,
}

/// What the peer may send next on a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// This side sent the request, and the response's head has not been received.
    AwaitingHead,
    /// The response's head was received; data may follow.
    Body,
    /// The peer sent the request; only a cancel may follow.
    RequestReceived,
}

/// Whether a frame is the last one on its stream.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Progress {
    Open,
    Closed,
}

/// An open stream.
#[derive(Debug)]
struct Stream {
    phase: Phase,
    /// Bytes of body that the peer may still send.
    credit: u32,
    /// Bytes of body received.
    body: u64,
}

impl Stream {
    /// A stream for a request of this side.
    fn of_call() -> Self {
        Self {
            phase: Phase::AwaitingHead,
            credit: STREAM_WINDOW,
            body: 0,
        }
    }

    /// A stream for a request of the peer.
    fn of_request() -> Self {
        Self {
            phase: Phase::RequestReceived,
            credit: 0,
            body: 0,
        }
    }

    fn receive_head(&mut self) -> Result<Progress, &'static str> {
        if self.phase != Phase::AwaitingHead {
            return Err("a second head");
        }
        self.phase = Phase::Body;
        Ok(Progress::Open)
    }

    fn receive_data(&mut self) -> Result<Progress, &'static str> {
        if self.phase != Phase::Body {
            return Err("data before the head");
        }
        Ok(Progress::Open)
    }

    fn receive_end(&mut self, sent: u64) -> Result<Progress, &'static str> {
        if self.phase != Phase::Body {
            return Err("an end before the head");
        }
        if self.body != sent {
            return Err("the end counts other bytes than came");
        }
        Ok(Progress::Closed)
    }

    /// Counts data of a body; an error holds the number of bytes beyond the credit. Data out of order is not counted: it is
    /// rejected as such.
    fn use_credit(&mut self, len: u32) -> Result<(), u64> {
        if self.phase != Phase::Body {
            return Ok(());
        }
        if len > self.credit {
            return Err(u64::from(len - self.credit));
        }
        self.credit -= len;
        self.body += u64::from(len);
        Ok(())
    }
}

/// What a received frame means for the connection's owner.
#[derive(Debug, PartialEq)]
pub enum Received {
    /// A frame for the stream's owner.
    Stream {
        /// The stream.
        id: u32,
        /// The frame.
        frame: Frame,
        /// The peer's last frame on the stream, which is now forgotten.
        closed: bool,
    },
    /// A frame of no stream (endpoint lists, purges, pings, go-away).
    Control(Frame),
    /// More may be sent.
    Credit {
        /// On this stream; 0: on the connection.
        id: u32,
        /// Bytes.
        more: u32,
    },
    /// A frame for a stream that is closed here.
    Ignored {
        /// Bytes of body that it carried.
        body: u32,
    },
}

/// The receiving half of a connection.
///
/// Holds an entry for each open stream, at most the limit that it was created with. An entry is forgotten when the stream
/// ends or its owner closes it; of streams that a caller closed, the last 4096 numbers are
/// remembered.
#[derive(Debug)]
pub struct Streams {
    side: Side,
    max_open: usize,
    open: BTreeMap<u32, Stream>,
    /// The highest stream number so far.
    highest: u32,
    /// Bytes of body that the peer may still send on the connection.
    credit: u32,
    /// Streams closed by this side before their end, on which the peer may still send.
    cancelled: BTreeSet<u32>,
    /// Numbers dropped from `cancelled` lie up to here: a late frame on such a stream is ignored as well.
    forgotten_up_to: u32,
}

impl Streams {
    /// The state at the start of a connection; `max_open` limits the open streams.
    pub fn new(side: Side, max_open: usize) -> Self {
        Self {
            side,
            max_open,
            open: BTreeMap::new(),
            highest: 0,
            credit: CONNECTION_WINDOW,
            cancelled: BTreeSet::new(),
            forgotten_up_to: 0,
        }
    }

    /// Open streams.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Opens a stream for a request of this side; `None` if too many are open or the numbers are used up.
    pub fn open_call(&mut self) -> Option<u32> {
        if self.open.len() >= self.max_open || self.highest == u32::MAX {
            return None;
        }
        self.highest += 1;
        self.open.insert(self.highest, Stream::of_call());
        Some(self.highest)
    }

    /// The owner has finished with a stream (answered or cancelled it): further frames on it are ignored.
    pub fn close(&mut self, id: u32) {
        if self.open.remove(&id).is_some() && self.side == Side::Caller {
            self.cancelled.insert(id);
            if self.cancelled.len() > MAX_REMEMBERED_CANCELS {
                self.forgotten_up_to = self.cancelled.pop_first().unwrap_or(0);
            }
        }
    }

    /// Returns credit for bytes that the owner has taken; false if the stream is closed.
    pub fn return_credit(&mut self, id: u32, taken: u32) -> bool {
        let Some(stream) = self.open.get_mut(&id) else {
            return false;
        };
        stream.credit += taken;
        true
    }

    /// Returns credit of the connection for bytes that have been assigned to their streams.
    pub fn return_connection_credit(&mut self, taken: u32) {
        self.credit += taken;
    }

    /// Checks a frame. After an error the connection must be closed, except that a request rejected by
    /// [`StreamError::TooManyStreams`] may be answered on its stream.
    pub fn receive(&mut self, frame: Frame) -> Result<Received, StreamError> {
        match frame {
            Frame::Request(id, _) => self.receive_request(id, frame),
            Frame::Cancel(id, _) => self.receive_cancel(id, frame),
            Frame::Head(id, _) => self.receive_answer(id, frame, Stream::receive_head),
            Frame::Data(id, ref data) => {
                let len = data.len() as u32;
                self.receive_data(id, len, frame)
            }
            Frame::End(id, EndHead { bytes, .. }) => {
                self.receive_answer(id, frame, |stream| stream.receive_end(bytes))
            }
            Frame::Error(id, _) => self.receive_answer(id, frame, |_| Ok(Progress::Closed)),
            Frame::Credit(id, more) => Ok(Received::Credit { id, more }),
            Frame::Unknown(_) => Ok(Received::Ignored { body: 0 }),
            control => Ok(Received::Control(control)),
        }
    }

    fn receive_request(&mut self, id: u32, frame: Frame) -> Result<Received, StreamError> {
        if self.side == Side::Caller {
            return Err(StreamError::WrongSide("request"));
        }
        if id <= self.highest {
            return Err(StreamError::Reused(id));
        }
        self.highest = id;
        if self.open.len() >= self.max_open {
            return Err(StreamError::TooManyStreams(self.max_open));
        }
        self.open.insert(id, Stream::of_request());
        let closed = false;
        Ok(Received::Stream { id, frame, closed })
    }

    fn receive_cancel(&mut self, id: u32, frame: Frame) -> Result<Received, StreamError> {
        if self.side == Side::Caller {
            return Err(StreamError::WrongSide("cancel"));
        }
        if self.open.remove(&id).is_none() {
            return Ok(Received::Ignored { body: 0 });
        }
        let closed = true;
        Ok(Received::Stream { id, frame, closed })
    }

    fn receive_data(&mut self, id: u32, len: u32, frame: Frame) -> Result<Received, StreamError> {
        if len > self.credit {
            let excess = u64::from(len - self.credit);
            return Err(StreamError::OverConnectionCredit(excess));
        }
        self.credit -= len;
        if let Some(stream) = self.open.get_mut(&id) {
            stream
                .use_credit(len)
                .map_err(|excess| StreamError::OverCredit(id, excess))?;
        }
        let received = self.receive_answer(id, frame, Stream::receive_data)?;
        Ok(match received {
            Received::Ignored { .. } => Received::Ignored { body: len },
            other => other,
        })
    }

    /// Checks a frame of a response, which belongs to a stream that this side opened.
    fn receive_answer(
        &mut self,
        id: u32,
        frame: Frame,
        receive: impl FnOnce(&mut Stream) -> Result<Progress, &'static str>,
    ) -> Result<Received, StreamError> {
        if self.side == Side::Answerer {
            return Err(StreamError::WrongSide("answer"));
        }
        if id > self.highest {
            let reason = "an answer to nothing that was asked";
            return Err(StreamError::OutOfOrder(id, reason));
        }
        let Some(stream) = self.open.get_mut(&id) else {
            return self.receive_late(id);
        };
        let progress = receive(stream).map_err(|reason| StreamError::OutOfOrder(id, reason))?;
        let closed = progress == Progress::Closed;
        if closed {
            self.open.remove(&id);
        }
        Ok(Received::Stream { id, frame, closed })
    }

    /// A response on a closed stream: after a cancel it may have been in flight, otherwise the peer had ended it.
    fn receive_late(&self, id: u32) -> Result<Received, StreamError> {
        if self.cancelled.contains(&id) || id <= self.forgotten_up_to {
            return Ok(Received::Ignored { body: 0 });
        }
        Err(StreamError::AfterEnd(id))
    }
}
