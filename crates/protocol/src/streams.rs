//! Which frames a peer may send on which stream, and how many bytes: the receiving half of a connection.
//!
//! Whoever opened the connection numbers its streams upwards by any step; a number is never used again. A
//! stream's credit comes back as its reader takes bytes, so that a slow reader stops its own stream. The
//! connection's credit comes back as bytes arrive in their streams' buffers, so that it stops nobody else. What
//! a connection can hold is therefore the number of streams times [`STREAM_WINDOW`].
use crate::frame::Frame;
use std::collections::{BTreeMap, BTreeSet};

/// Bytes of body that may be under way, unread, on one stream.
pub const STREAM_WINDOW: u32 = 256 * 1024;
/// ... where the receiver's memory is crowded: it gives no more than this back.
pub const CROWDED_WINDOW: u32 = 64 * 1024;
/// Bytes of body that may be under way on a connection before its reader has sorted them.
pub const CONNECTION_WINDOW: u32 = 1024 * 1024;
/// Streams that may be open at once on a connection, unless a listener says less.
pub const MAX_STREAMS: usize = 1024;

/// Cancelled streams remembered.
const CANCELLED_KEPT: usize = 4096;

#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum StreamError {
    #[error("stream {0} was used before; numbers only grow")]
    Reused(u32),
    #[error("{0} streams are open, no more are allowed")]
    TooMany(usize),
    #[error("stream {0} sent {1} bytes more than its credit allows")]
    OverCredit(u32, u64),
    #[error("the connection sent {0} bytes more than its credit allows")]
    OverConnectionCredit(u64),
    #[error("frame on stream {0} out of order: {1}")]
    OutOfOrder(u32, &'static str),
    #[error("stream {0} was answered before; this comes after its end")]
    AfterEnd(u32),
    #[error("a frame that only the other side may send: {0}")]
    WrongSide(&'static str),
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

/// What the peer has sent on a stream so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// A request of ours: no head yet.
    AwaitingHead,
    /// The head has come; data may follow.
    Body,
    /// A request of theirs: only a cancel may still come.
    Asked,
}

#[derive(Debug)]
struct Stream {
    phase: Phase,
    credit: u32,
    body: u64,
}

/// What a received frame means for the connection's owner.
#[derive(Debug, PartialEq)]
pub enum Received {
    /// A frame for the stream's owner; `closed`: the last one from the peer.
    Stream { id: u32, frame: Frame, closed: bool },
    /// Not of a stream (lists, purges, probes, go-away).
    Control(Frame),
    /// More may be sent on this stream, or on the connection (0).
    Credit { id: u32, more: u32 },
    /// For a stream that is closed here; `body` bytes went with it.
    Ignored { body: u32 },
}

/// The receiving half of a connection.
#[derive(Debug)]
pub struct Streams {
    side: Side,
    most: usize,
    open: BTreeMap<u32, Stream>,
    highest: u32,
    credit: u32,
    /// Streams that we cancelled and whose peer may not know yet; the oldest are dropped beyond a number.
    cancelled: BTreeSet<u32>,
    /// Up to here nothing is known of closed streams.
    dim: u32,
}

impl Streams {
    pub fn new(side: Side, most: usize) -> Self {
        let (open, cancelled) = (BTreeMap::new(), BTreeSet::new());
        Self {
            side,
            most,
            open,
            highest: 0,
            credit: CONNECTION_WINDOW,
            cancelled,
            dim: 0,
        }
    }

    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// A request of ours goes out; its number, or none if too many are open.
    pub fn call(&mut self) -> Option<u32> {
        if self.open.len() >= self.most || self.highest == u32::MAX {
            return None;
        }
        self.highest += 1;
        let stream = Stream {
            phase: Phase::AwaitingHead,
            credit: STREAM_WINDOW,
            body: 0,
        };
        self.open.insert(self.highest, stream);
        Some(self.highest)
    }

    /// The owner is done with a stream (answered it, or cancelled it): what still comes is ignored.
    pub fn close(&mut self, id: u32) {
        if self.open.remove(&id).is_some() && self.side == Side::Caller {
            self.cancelled.insert(id);
            if self.cancelled.len() > CANCELLED_KEPT {
                self.dim = self.cancelled.pop_first().unwrap_or(0);
            }
        }
    }

    /// The owner has taken bytes of a stream and gives their credit back; false if the stream is closed.
    pub fn give_back(&mut self, id: u32, taken: u32) -> bool {
        self.open.get_mut(&id).map(|s| s.credit += taken).is_some()
    }

    /// Bytes have been sorted into their streams: the connection's credit comes back.
    pub fn give_back_connection(&mut self, taken: u32) {
        self.credit += taken;
    }

    /// Judges a frame. An error ends the connection; [`StreamError::TooMany`] may be answered on the stream.
    pub fn receive(&mut self, frame: Frame) -> Result<Received, StreamError> {
        match frame {
            Frame::Request(id, _) => {
                if self.side == Side::Caller {
                    return Err(StreamError::WrongSide("request"));
                }
                if id <= self.highest {
                    return Err(StreamError::Reused(id));
                }
                self.highest = id;
                if self.open.len() >= self.most {
                    return Err(StreamError::TooMany(self.most));
                }
                self.open.insert(
                    id,
                    Stream {
                        phase: Phase::Asked,
                        credit: 0,
                        body: 0,
                    },
                );
                Ok(Received::Stream {
                    id,
                    frame,
                    closed: false,
                })
            }
            Frame::Cancel(id, _) => {
                if self.side == Side::Caller {
                    return Err(StreamError::WrongSide("cancel"));
                }
                Ok(match self.open.remove(&id) {
                    Some(_) => Received::Stream {
                        id,
                        frame,
                        closed: true,
                    },
                    None => Received::Ignored { body: 0 },
                })
            }
            Frame::Head(id, _) => self.answer(id, frame, |s| match s.phase {
                Phase::AwaitingHead => {
                    s.phase = Phase::Body;
                    Ok(false)
                }
                _ => Err("a second head"),
            }),
            Frame::Data(id, ref data) => {
                let len = data.len() as u32;
                if len > self.credit {
                    return Err(StreamError::OverConnectionCredit(
                        (len - self.credit) as u64,
                    ));
                }
                self.credit -= len;
                if let Some(s) = self.open.get_mut(&id).filter(|s| s.phase == Phase::Body) {
                    if len > s.credit {
                        return Err(StreamError::OverCredit(id, (len - s.credit) as u64));
                    }
                    s.credit -= len;
                    s.body += len as u64;
                }
                match self.answer(id, frame, |s| match s.phase {
                    Phase::Body => Ok(false),
                    _ => Err("data before the head"),
                })? {
                    Received::Ignored { .. } => Ok(Received::Ignored { body: len }),
                    other => Ok(other),
                }
            }
            Frame::End(id, ref end) => {
                let bytes = end.bytes;
                self.answer(id, frame, |s| match s.phase {
                    Phase::Body if s.body == bytes => Ok(true),
                    Phase::Body => Err("the end counts other bytes than came"),
                    _ => Err("an end before the head"),
                })
            }
            Frame::Error(id, _) => self.answer(id, frame, |_| Ok(true)),
            Frame::Credit(id, more) => Ok(Received::Credit { id, more }),
            Frame::Unknown(_) => Ok(Received::Ignored { body: 0 }),
            control => Ok(Received::Control(control)),
        }
    }

    /// A frame of an answer, on a stream that we called.
    fn answer(
        &mut self,
        id: u32,
        frame: Frame,
        step: impl FnOnce(&mut Stream) -> Result<bool, &'static str>,
    ) -> Result<Received, StreamError> {
        if self.side == Side::Answerer {
            return Err(StreamError::WrongSide("answer"));
        }
        if id > self.highest {
            return Err(StreamError::OutOfOrder(
                id,
                "an answer to nothing that was asked",
            ));
        }
        let Some(stream) = self.open.get_mut(&id) else {
            // Closed here by a cancel: the answer may have been under way. Else it had its end.
            let known = self.cancelled.contains(&id) || id <= self.dim;
            return if known {
                Ok(Received::Ignored { body: 0 })
            } else {
                Err(StreamError::AfterEnd(id))
            };
        };
        let closed = step(stream).map_err(|why| StreamError::OutOfOrder(id, why))?;
        if closed {
            self.open.remove(&id);
        }
        Ok(Received::Stream { id, frame, closed })
    }
}
