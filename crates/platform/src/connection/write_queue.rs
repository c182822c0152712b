//! The ordered queue of writes of a connection: requests, which are encoded right before their first byte is sent, and
//! control messages.
use bytes::{Buf, Bytes};
use std::collections::VecDeque;
use tokio::time::Instant;

/// Encodes a request right before its first byte is sent. Returns `None` if the request must not begin any more.
pub(crate) type RequestEncoder = Box<dyn FnMut() -> Option<Bytes> + Send>;

enum QueuedWrite {
    Request { id: String, encode: RequestEncoder },
    Control(Bytes),
}

/// A write in progress.
struct CurrentWrite {
    /// Id of the request; `None` for a control message.
    request_id: Option<String>,
    /// Present while no byte of the request is sent: it is encoded again before the next try.
    reencode: Option<RequestEncoder>,
    unsent: Bytes,
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
    queue: VecDeque<QueuedWrite>,
    current: Option<CurrentWrite>,
}

impl WriteQueue {
    /// Queues a request.
    pub fn push_request(&mut self, id: String, encode: RequestEncoder) {
        self.queue.push_back(QueuedWrite::Request { id, encode });
    }

    /// Queues an encoded control message.
    pub fn push_control(&mut self, bytes: Bytes) {
        self.queue.push_back(QueuedWrite::Control(bytes));
    }

    /// Returns whether a write is in progress or queued.
    pub fn has_writes(&self) -> bool {
        self.current.is_some() || !self.queue.is_empty()
    }

    /// Returns whether no write is in progress and a request is first in the queue.
    pub fn is_next_a_request(&self) -> bool {
        let is_request = matches!(self.queue.front(), Some(QueuedWrite::Request { .. }));
        is_request && self.current.is_none()
    }

    /// Begins the next write of the queue, unless a write is in progress.
    pub fn begin_next(&mut self) -> NextWrite {
        if self.current.is_some() {
            return NextWrite::Current;
        }
        match self.queue.pop_front() {
            None => NextWrite::Empty,
            Some(QueuedWrite::Request { id, encode }) => NextWrite::Request { id, encode },
            Some(QueuedWrite::Control(unsent)) => {
                self.current = Some(CurrentWrite {
                    request_id: None,
                    reencode: None,
                    unsent,
                    cancelled_at: None,
                });
                NextWrite::Current
            }
        }
    }

    /// Makes an encoded request the current write.
    pub fn start_request(&mut self, id: String, encode: RequestEncoder, unsent: Bytes) {
        self.current = Some(CurrentWrite {
            request_id: Some(id),
            reencode: Some(encode),
            unsent,
            cancelled_at: None,
        });
    }

    /// Returns the unsent rest of the current write.
    pub fn unsent(&self) -> Bytes {
        self.current
            .as_ref()
            .map(|current| current.unsent.clone())
            .unwrap_or_default()
    }

    /// Records that bytes of the current write were sent. Returns the id of the request that is now sent completely.
    pub fn advance(&mut self, sent: usize) -> Option<String> {
        let current = self.current.as_mut()?;
        current.unsent.advance(sent);
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
                self.queue.push_front(QueuedWrite::Request { id, encode });
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
        let before = self.queue.len();
        self.queue.retain(
            |write| !matches!(write, QueuedWrite::Request { id: queued, .. } if queued == id),
        );
        self.queue.len() < before
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

    /// Drops all writes.
    pub fn clear(&mut self) {
        self.queue.clear();
        self.current = None;
    }

    /// Returns the queue as text, with requests as `PULL id`.
    #[cfg(test)]
    pub fn queued(&self) -> Vec<String> {
        let text = |write: &QueuedWrite| match write {
            QueuedWrite::Request { id, .. } => format!("PULL {id}"),
            QueuedWrite::Control(bytes) => String::from_utf8_lossy(bytes).into_owned(),
        };
        self.queue.iter().map(text).collect()
    }
}
