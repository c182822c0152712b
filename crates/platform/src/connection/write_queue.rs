//! The ordered queue of writes of a connection: requests, which are encoded right before their first byte is sent, and
//! control messages, which are written before the requests that have not begun.
use super::cancellation::UnwrittenCancellation;
use bytes::{Buf, Bytes, BytesMut};
use pointspindle_platform_protocol::line_protocol::LINE_END;
use std::collections::VecDeque;
use tokio::time::Instant;

/// An encoded request. The body is not copied, so a request that is partly sent occupies no memory beyond its body.
#[derive(Clone, Debug)]
pub(crate) struct EncodedRequest {
    line: Bytes,
    body: Bytes,
}

impl EncodedRequest {
    /// Creates a request from its line and its body, without the line end after the body.
    pub fn new(mut line: BytesMut, body: Bytes) -> Self {
        if body.is_empty() {
            line.extend_from_slice(LINE_END);
        }
        Self {
            line: line.freeze(),
            body,
        }
    }

    /// Returns the pieces in which the request is written.
    fn into_pieces(self) -> VecDeque<Bytes> {
        if self.body.is_empty() {
            return VecDeque::from([self.line]);
        }
        VecDeque::from([self.line, self.body, Bytes::from_static(LINE_END)])
    }
}

/// Encodes a request right before its first byte is sent. Returns `None` if the request must not begin any more.
pub(crate) type RequestEncoder = Box<dyn FnMut() -> Option<EncodedRequest> + Send>;

struct QueuedRequest {
    id: String,
    encode: RequestEncoder,
}

struct ControlMessage {
    bytes: Bytes,
    /// Present if the message is a cancellation.
    cancellation: Option<UnwrittenCancellation>,
}

/// Whether requests may begin, or only what is written without them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestStarts {
    /// Requests may begin.
    Allowed,
    /// Responses are not read for lack of memory: only control messages and the rest of a request are written.
    Paused,
}

/// A write in progress.
struct CurrentWrite {
    /// Id of the request; `None` for a control message.
    request_id: Option<String>,
    /// Present while no byte of the request is sent: it is encoded again before the next try.
    reencode: Option<RequestEncoder>,
    /// Pieces that are not sent yet.
    unsent: VecDeque<Bytes>,
    /// Present if the write is a cancellation.
    cancellation: Option<UnwrittenCancellation>,
    /// Time at which the request was cancelled while it was partly sent.
    cancelled_at: Option<Instant>,
}

/// The next write.
pub(super) enum NextWrite {
    /// The rest of the current write.
    Current,
    /// A request that has to be encoded first.
    Request { id: String, encode: RequestEncoder },
    /// No write is queued.
    Empty,
}

/// Queue of writes; see the documentation of the module.
#[derive(Default)]
pub(super) struct WriteQueue {
    control_messages: VecDeque<ControlMessage>,
    requests: VecDeque<QueuedRequest>,
    current: Option<CurrentWrite>,
}

impl WriteQueue {
    /// Queues a request.
    pub fn push_request(&mut self, id: String, encode: RequestEncoder) {
        self.requests.push_back(QueuedRequest { id, encode });
    }

    /// Queues an encoded control message.
    pub fn push_control(&mut self, bytes: Bytes) {
        self.control_messages.push_back(ControlMessage {
            bytes,
            cancellation: None,
        });
    }

    /// Queues an encoded cancellation.
    pub fn push_cancellation(&mut self, bytes: Bytes, cancellation: UnwrittenCancellation) {
        self.control_messages.push_back(ControlMessage {
            bytes,
            cancellation: Some(cancellation),
        });
    }

    /// Returns whether a write is in progress or may begin.
    pub fn has_writes(&self, starts: RequestStarts) -> bool {
        let may_begin = starts == RequestStarts::Allowed && !self.requests.is_empty();
        self.current.is_some() || !self.control_messages.is_empty() || may_begin
    }

    /// Returns whether no write is in progress and a request is first in the queue.
    pub fn is_next_a_request(&self) -> bool {
        self.current.is_none() && self.control_messages.is_empty() && !self.requests.is_empty()
    }

    /// Begins the next write of the queue, unless a write is in progress.
    pub fn begin_next(&mut self, starts: RequestStarts) -> NextWrite {
        if self.current.is_some() {
            return NextWrite::Current;
        }
        if let Some(message) = self.control_messages.pop_front() {
            self.current = Some(CurrentWrite {
                request_id: None,
                reencode: None,
                unsent: VecDeque::from([message.bytes]),
                cancellation: message.cancellation,
                cancelled_at: None,
            });
            return NextWrite::Current;
        }
        if starts == RequestStarts::Paused {
            return NextWrite::Empty;
        }
        match self.requests.pop_front() {
            None => NextWrite::Empty,
            Some(QueuedRequest { id, encode }) => NextWrite::Request { id, encode },
        }
    }

    /// Makes an encoded request the current write.
    pub fn start_request(&mut self, id: String, encode: RequestEncoder, encoded: EncodedRequest) {
        self.current = Some(CurrentWrite {
            request_id: Some(id),
            reencode: Some(encode),
            unsent: encoded.into_pieces(),
            cancellation: None,
            cancelled_at: None,
        });
    }

    /// Returns the unsent pieces of the current write.
    pub fn unsent(&self) -> Vec<Bytes> {
        let current = self.current.iter();
        current.flat_map(|c| c.unsent.iter().cloned()).collect()
    }

    /// Records that bytes of the current write were sent. Returns the id of the request that is now sent completely.
    pub fn advance(&mut self, sent: usize) -> Option<String> {
        let current = self.current.as_mut()?;
        advance_pieces(&mut current.unsent, sent);
        current.reencode = None;
        if !current.unsent.is_empty() {
            return None;
        }
        self.current.take()?.request_id
    }

    /// Puts the current request back into the queue if no byte of it was sent.
    pub fn requeue_unstarted(&mut self) {
        let Some(mut current) = self.current.take() else {
            return;
        };
        match (current.request_id.take(), current.reencode.take()) {
            (Some(id), Some(encode)) => {
                self.requests.push_front(QueuedRequest { id, encode });
            }
            (request_id, _) => {
                self.current = Some(CurrentWrite {
                    request_id,
                    ..current
                });
            }
        }
    }

    /// Removes a request that has not begun. Returns whether there was one.
    pub fn remove_request(&mut self, id: &str) -> bool {
        let before = self.requests.len();
        self.requests.retain(|request| request.id != id);
        self.requests.len() < before
    }

    /// Records that the request is cancelled, if it is the current write.
    pub fn cancel_current(&mut self, id: &str, now: Instant) {
        if let Some(current) = &mut self.current {
            if current.request_id.as_deref() == Some(id) {
                current.cancelled_at = Some(now);
            }
        }
    }

    /// Returns the time since which the current write has been the rest of a cancelled request.
    pub fn cancelled_since(&self) -> Option<Instant> {
        self.current
            .as_ref()
            .and_then(|current| current.cancelled_at)
    }

    /// Returns the time since which the oldest cancellation has not been written.
    pub fn oldest_cancellation(&self) -> Option<Instant> {
        let current = self.current.iter().filter_map(|c| c.cancellation.as_ref());
        let queued = self.control_messages.iter();
        let queued = queued.filter_map(|message| message.cancellation.as_ref());
        current.chain(queued).map(|c| c.since).min()
    }

    /// Drops all writes.
    pub fn clear(&mut self) {
        self.control_messages.clear();
        self.requests.clear();
        self.current = None;
    }

    /// Returns whether a part of a request is sent and the rest is not.
    #[cfg(test)]
    pub fn is_partly_sent(&self) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|c| c.request_id.is_some() && c.reencode.is_none())
    }

    /// Returns the queue as text, in the order in which it is written, with requests as `PULL id`.
    #[cfg(test)]
    pub fn queued(&self) -> Vec<String> {
        let messages = self.control_messages.iter();
        let messages = messages.map(|m| String::from_utf8_lossy(&m.bytes).into_owned());
        let requests = self.requests.iter().map(|r| format!("PULL {}", r.id));
        messages.chain(requests).collect()
    }
}

/// Removes the first `count` bytes of the pieces.
fn advance_pieces(pieces: &mut VecDeque<Bytes>, mut count: usize) {
    while let Some(piece) = pieces.front_mut() {
        let from_piece = count.min(piece.len());
        piece.advance(from_piece);
        count -= from_piece;
        if !piece.is_empty() {
            return;
        }
        pieces.pop_front();
    }
}
