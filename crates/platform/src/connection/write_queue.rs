//! What a connection is to write, in order: requests, encoded at their first byte, and controls.
use bytes::{Buf, Bytes};
use std::collections::VecDeque;
use tokio::time::Instant;

/// Encodes a request at the moment of its first byte; none: it is not to begin any more.
pub(crate) type RequestEncoder = Box<dyn FnMut() -> Option<Bytes> + Send>;

enum QueuedWrite {
    Request { id: String, encode: RequestEncoder },
    Control(Bytes),
}

/// What is being written.
struct CurrentWrite {
    /// None: a control.
    request_id: Option<String>,
    /// Some: no byte of the request is sent, and it is encoded anew before the next try.
    reencode: Option<RequestEncoder>,
    unsent: Bytes,
    /// When the request was cancelled in the middle of its bytes.
    cancelled_at: Option<Instant>,
}

/// What is to be written next.
pub(super) enum NextWrite {
    /// The current write.
    Current,
    /// A request that is to be encoded.
    Request {
        id: String,
        encode: RequestEncoder,
    },
    Nothing,
}

/// See the module's documentation.
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

    /// Queues the bytes of a control.
    pub fn push_control(&mut self, bytes: Bytes) {
        self.queue.push_back(QueuedWrite::Control(bytes));
    }

    /// Whether anything is to be written.
    pub fn has_writes(&self) -> bool {
        self.current.is_some() || !self.queue.is_empty()
    }

    /// Whether nothing is being written and a request is first in the queue.
    pub fn is_next_a_request(&self) -> bool {
        let is_request = matches!(self.queue.front(), Some(QueuedWrite::Request { .. }));
        is_request && self.current.is_none()
    }

    /// Takes the next write from the queue, unless one is current.
    pub fn begin_next(&mut self) -> NextWrite {
        if self.current.is_some() {
            return NextWrite::Current;
        }
        match self.queue.pop_front() {
            None => NextWrite::Nothing,
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

    /// The rest of the current write.
    pub fn unsent(&self) -> Bytes {
        self.current
            .as_ref()
            .map(|current| current.unsent.clone())
            .unwrap_or_default()
    }

    /// Bytes of the current write were sent. Returns the request that is now sent completely.
    pub fn advance(&mut self, sent: usize) -> Option<String> {
        let current = self.current.as_mut()?;
        current.unsent.advance(sent);
        current.reencode = None;
        if !current.unsent.is_empty() {
            return None;
        }
        self.current.take()?.request_id
    }

    /// Puts a request of which no byte was sent back into the queue.
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

    /// Removes a request that has not begun. False: there is none.
    pub fn remove_request(&mut self, id: &str) -> bool {
        let before = self.queue.len();
        self.queue.retain(
            |write| !matches!(write, QueuedWrite::Request { id: queued, .. } if queued == id),
        );
        self.queue.len() < before
    }

    /// Notes that the request is cancelled, if it is being written.
    pub fn cancel_current(&mut self, id: &str, now: Instant) {
        if let Some(current) = &mut self.current {
            if current.request_id.as_deref() == Some(id) {
                current.cancelled_at = Some(now);
            }
        }
    }

    /// Since when the rest of a cancelled request is being written.
    pub fn cancelled_since(&self) -> Option<Instant> {
        self.current
            .as_ref()
            .and_then(|current| current.cancelled_at)
    }

    /// Drops everything.
    pub fn clear(&mut self) {
        self.queue.clear();
        self.current = None;
    }

    /// The queue as text: requests as `PULL id`.
    #[cfg(test)]
    pub fn queued(&self) -> Vec<String> {
        let text = |write: &QueuedWrite| match write {
            QueuedWrite::Request { id, .. } => format!("PULL {id}"),
            QueuedWrite::Control(bytes) => String::from_utf8_lossy(bytes).into_owned(),
        };
        self.queue.iter().map(text).collect()
    }
}
