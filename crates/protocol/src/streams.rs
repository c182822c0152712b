//! The receiving half of a connection: checks which frames the peer may send on which stream, and how many bytes of body.
//!
//! The side that opened the connection assigns increasing stream numbers, with any step, and never reuses one. The
//! credit of a stream is returned as its reader consumes bytes, so that a slow reader stalls only its own stream. The
//! credit of the connection is returned as bytes reach the buffers of their streams, so that no stream stalls another.
//! A connection therefore buffers at most [`STREAM_WINDOW`] bytes for each of its streams.
use crate::frame::Frame;
use crate::messages::EndHead;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of body bytes in flight or unread on one stream.
pub const STREAM_WINDOW: u32 = 256 * 1024;
/// Window of a stream, in bytes, while the receiver is short of buffer memory: it returns no more credit than this.
pub const REDUCED_WINDOW: u32 = 64 * 1024;
/// Maximum number of body bytes in flight on a connection that its reader has not yet assigned to streams.
pub const CONNECTION_WINDOW: u32 = 1024 * 1024;
/// Maximum number of streams open at once on a connection, unless a listener allows fewer.
pub const MAX_STREAMS: usize = 1024;

/// Maximum number of cancelled streams that are recorded individually.
const MAX_RECORDED_CANCELS: usize = 4096;

/// A violation of the stream states or the flow control by the peer.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum StreamError {
    /// A request whose stream number is not higher than all earlier ones.
    #[error("stream number {0} is not higher than all earlier ones")]
    Reused(u32),
    /// A request beyond the limit of open streams. The receiver may reject the request and keep the connection open.
    #[error("{0} streams are open, no more are allowed")]
    TooManyStreams(usize),
    /// Data beyond the credit of the stream; holds the stream number and the number of excess bytes.
    #[error("stream {0} sent {1} bytes more than its credit allows")]
    OverCredit(u32, u64),
    /// Data beyond the credit of the connection; holds the number of excess bytes.
    #[error("the connection sent {0} bytes more than its credit allows")]
    OverConnectionCredit(u64),
    /// A frame that must not follow the earlier frames of its stream.
    #[error("frame on stream {0} out of order: {1}")]
    OutOfOrder(u32, &'static str),
    /// A frame that arrived after the end of its stream.
    #[error("stream {0} was answered before; this comes after its end")]
    AfterEnd(u32),
    /// A frame that the peer's end of the connection may not send, such as a request from the responder.
    #[error("the peer's end of the connection may not send a frame of type {0}")]
    WrongSide(&'static str),
    /// Credit that exceeds the maximum window.
    #[error("credit on stream {0} exceeds the maximum window")]
    CreditTooLarge(u32),
}

/// An end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The end that opened the connection and sends requests.
    Caller,
    /// The end that accepted the connection and responds to requests.
    Responder,
}

/// State of a stream, which determines what the peer may send next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// This side sent the request and has not received the head of the response.
    AwaitingHead,
    /// The head of the response was received; data may follow.
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
    /// Number of body bytes that the peer may still send.
    credit: u32,
    /// Number of body bytes received.
    body: u64,
}

impl Stream {
    /// Returns a stream for a request that this side sends.
    fn awaiting_response() -> Self {
        Self {
            phase: Phase::AwaitingHead,
            credit: STREAM_WINDOW,
            body: 0,
        }
    }

    /// Returns a stream for a request that the peer sent.
    fn with_request_received() -> Self {
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
            return Err("the end frame states a different number of body bytes than were received");
        }
        Ok(Progress::Closed)
    }

    /// Counts body data against the credit; an error holds the number of excess bytes. Data that arrives out of order
    /// is not counted, because the caller rejects it for its order.
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

/// The result of checking a received frame, for the owner of the connection.
#[derive(Debug, PartialEq)]
pub enum Received {
    /// A frame to pass to the owner of a stream.
    Stream {
        /// Number of the stream.
        id: u32,
        /// The frame.
        frame: Frame,
        /// Whether this is the peer's last frame on the stream; if so, the stream has been removed.
        closed: bool,
    },
    /// A frame that belongs to no stream, such as an endpoint list, a purge, a ping or a go-away.
    Control(Frame),
    /// Credit granted by the peer for sending body data.
    Credit {
        /// Number of the stream; 0: the connection.
        id: u32,
        /// Number of additional bytes.
        bytes: u32,
    },
    /// A frame without effect, because its stream is closed on this side or its type is unknown.
    Ignored {
        /// Number of body bytes that the frame carried.
        body: u32,
    },
}

/// The receiving half of a connection.
///
/// Holds an entry for each open stream, up to the limit given to [`Streams::new`]. An entry is removed when the stream
/// ends or its owner closes it. Of the streams that a caller closed, the 4096 highest numbers are recorded.
#[derive(Debug)]
pub struct Streams {
    side: Side,
    max_open: usize,
    open: BTreeMap<u32, Stream>,
    /// Highest stream number used so far.
    highest_id: u32,
    /// Number of body bytes that the peer may still send on the connection.
    credit: u32,
    /// Numbers of streams that this side closed before their end, and on which the peer may still send.
    cancelled: BTreeSet<u32>,
    /// Highest number removed from `cancelled` to limit its size. Late frames on streams up to it are ignored as well.
    highest_evicted_cancel: u32,
}

impl Streams {
    /// Returns the state at the start of a connection; `max_open` limits the number of open streams.
    pub fn new(side: Side, max_open: usize) -> Self {
        Self {
            side,
            max_open,
            open: BTreeMap::new(),
            highest_id: 0,
            credit: CONNECTION_WINDOW,
            cancelled: BTreeSet::new(),
            highest_evicted_cancel: 0,
        }
    }

    /// Returns the number of open streams.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Opens a stream for a request of this side and returns its number; `None` if the limit of open streams is reached
    /// or the stream numbers are used up.
    pub fn open_stream(&mut self) -> Option<u32> {
        if self.open.len() >= self.max_open || self.highest_id == u32::MAX {
            return None;
        }
        self.highest_id += 1;
        self.open
            .insert(self.highest_id, Stream::awaiting_response());
        Some(self.highest_id)
    }

    /// Closes a stream that its owner has answered or cancelled; further frames on it are ignored.
    pub fn close(&mut self, id: u32) {
        if self.open.remove(&id).is_some() && self.side == Side::Caller {
            self.cancelled.insert(id);
            if self.cancelled.len() > MAX_RECORDED_CANCELS {
                self.highest_evicted_cancel = self.cancelled.pop_first().unwrap_or(0);
            }
        }
    }

    /// Returns credit to the stream for bytes that its owner has consumed; returns false if the stream is closed.
    pub fn return_credit(&mut self, id: u32, taken: u32) -> bool {
        let Some(stream) = self.open.get_mut(&id) else {
            return false;
        };
        stream.credit += taken;
        true
    }

    /// Returns credit to the connection for bytes that have been assigned to their streams.
    pub fn return_connection_credit(&mut self, taken: u32) {
        self.credit += taken;
    }

    /// Checks a received frame. After an error the connection must be closed, except after
    /// [`StreamError::TooManyStreams`]: that request may instead be rejected on its stream.
    pub fn receive(&mut self, frame: Frame) -> Result<Received, StreamError> {
        match frame {
            Frame::Request(id, _) => self.receive_request(id, frame),
            Frame::Cancel(id, _) => self.receive_cancel(id, frame),
            Frame::Head(id, _) => self.receive_response(id, frame, Stream::receive_head),
            Frame::Data(id, ref data) => {
                let len = data.len() as u32;
                self.receive_data(id, len, frame)
            }
            Frame::End(id, EndHead { bytes, .. }) => {
                self.receive_response(id, frame, |stream| stream.receive_end(bytes))
            }
            Frame::Error(id, _) => self.receive_response(id, frame, |_| Ok(Progress::Closed)),
            Frame::Credit(id, bytes) => Ok(Received::Credit { id, bytes }),
            Frame::Unknown(_) => Ok(Received::Ignored { body: 0 }),
            control => Ok(Received::Control(control)),
        }
    }

    fn receive_request(&mut self, id: u32, frame: Frame) -> Result<Received, StreamError> {
        if self.side == Side::Caller {
            return Err(StreamError::WrongSide("request"));
        }
        if id <= self.highest_id {
            return Err(StreamError::Reused(id));
        }
        self.highest_id = id;
        if self.open.len() >= self.max_open {
            return Err(StreamError::TooManyStreams(self.max_open));
        }
        self.open.insert(id, Stream::with_request_received());
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
        let received = self.receive_response(id, frame, Stream::receive_data)?;
        Ok(match received {
            Received::Ignored { .. } => Received::Ignored { body: len },
            other => other,
        })
    }

    /// Checks a frame of a response on a stream that this side opened.
    fn receive_response(
        &mut self,
        id: u32,
        frame: Frame,
        receive: impl FnOnce(&mut Stream) -> Result<Progress, &'static str>,
    ) -> Result<Received, StreamError> {
        if self.side == Side::Responder {
            return Err(StreamError::WrongSide("answer"));
        }
        if id > self.highest_id {
            let reason = "response on a stream without a request";
            return Err(StreamError::OutOfOrder(id, reason));
        }
        let Some(stream) = self.open.get_mut(&id) else {
            return self.receive_on_closed(id);
        };
        let progress = receive(stream).map_err(|reason| StreamError::OutOfOrder(id, reason))?;
        let closed = progress == Progress::Closed;
        if closed {
            self.open.remove(&id);
        }
        Ok(Received::Stream { id, frame, closed })
    }

    /// Handles a response frame on a closed stream. After a cancel by this side the frame may have been in flight;
    /// otherwise the peer sent it after ending the stream.
    fn receive_on_closed(&self, id: u32) -> Result<Received, StreamError> {
        if self.cancelled.contains(&id) || id <= self.highest_evicted_cancel {
            return Ok(Received::Ignored { body: 0 });
        }
        Err(StreamError::AfterEnd(id))
    }
}
