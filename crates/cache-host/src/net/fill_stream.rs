//! Buffer between the source of a fill and the readers of its response.
//!
//! It holds at most [`MAX_UNREAD_BYTES`] and one more piece for the slowest readers. The writer waits for them up to a
//! timeout, after which they lose the stream. Without readers the body is not buffered.
use bytes::Bytes;
use pointspindle_protocol::{ErrorHead, ResponseHead};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Notify;

/// Maximum number of unread bytes up to which the writer continues without waiting for the slowest reader.
pub const MAX_UNREAD_BYTES: usize = 512 * 1024;

/// How a fill ended.
#[derive(Clone, Debug, PartialEq)]
pub enum FillEnd {
    /// The response is complete.
    Complete,
    /// The fill failed; its readers get this error.
    Failed(Box<ErrorHead>),
}

/// Next part of the stream for a reader.
#[derive(Clone, Debug, PartialEq)]
pub enum FillStreamPart {
    /// A piece of the body.
    Data(Bytes),
    /// The fill has ended, and the reader has read all of the body that arrived.
    End(FillEnd),
    /// The reader was too slow and gets no more of the stream.
    TooSlow,
}

#[derive(Debug, Default)]
struct State {
    head: Option<Arc<ResponseHead>>,
    /// Number of the first buffered piece.
    first_piece: u64,
    pieces: VecDeque<Bytes>,
    unread_bytes: usize,
    /// Number of the next piece of each reader, by reader.
    readers: BTreeMap<u64, u64>,
    next_reader: u64,
    end: Option<FillEnd>,
}

/// Buffers a response between one writer and its readers. The writer must call [`FillStream::end`].
#[derive(Debug, Default)]
pub struct FillStream {
    state: Mutex<State>,
    changed: Notify,
}

/// Reader of a [`FillStream`]. Dropping it releases the pieces that only it has not read.
#[derive(Debug)]
pub struct FillStreamReader {
    stream: Arc<FillStream>,
    id: u64,
}

impl FillStream {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Adds a reader; returns `None` if the beginning of the body is no longer buffered.
    pub fn reader(self: &Arc<Self>) -> Option<FillStreamReader> {
        let mut state = self.lock();
        if state.first_piece > 0 {
            return None;
        }
        state.next_reader += 1;
        let id = state.next_reader;
        state.readers.insert(id, 0);
        Some(FillStreamReader {
            stream: self.clone(),
            id,
        })
    }

    /// Whether the stream has readers.
    pub fn has_readers(&self) -> bool {
        !self.lock().readers.is_empty()
    }

    /// Publishes the head.
    pub fn head(&self, head: ResponseHead) {
        self.lock().head = Some(Arc::new(head));
        self.changed.notify_waiters();
    }

    /// Publishes a piece of the body. If too much is unread, waits for the slowest readers, which lose the stream
    /// after `reader_timeout`.
    pub async fn data(&self, data: Bytes, reader_timeout: Duration) {
        {
            let mut state = self.lock();
            state.unread_bytes += data.len();
            state.pieces.push_back(data);
            state.trim();
        }
        self.changed.notify_waiters();
        let has_capacity = async {
            loop {
                let changed = self.changed.notified();
                tokio::pin!(changed);
                changed.as_mut().enable();
                if self.lock().unread_bytes <= MAX_UNREAD_BYTES {
                    return;
                }
                changed.await;
            }
        };
        if tokio::time::timeout(reader_timeout, has_capacity)
            .await
            .is_err()
        {
            let mut state = self.lock();
            let first_piece = state.first_piece;
            state
                .readers
                .retain(|_, next_piece| *next_piece > first_piece);
            state.trim();
            drop(state);
            self.changed.notify_waiters();
        }
    }

    /// Ends the stream; only the first call has an effect.
    pub fn end(&self, end: FillEnd) {
        self.lock().end.get_or_insert(end);
        self.changed.notify_waiters();
    }

    /// Waits for the end of the fill and returns it.
    pub async fn ended(&self) -> FillEnd {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(end) = self.lock().end.clone() {
                return end;
            }
            changed.await;
        }
    }
}

impl State {
    /// Releases the pieces that every reader has read.
    fn trim(&mut self) {
        let slowest = self.readers.values().min().copied().unwrap_or(u64::MAX);
        while self.first_piece < slowest {
            let Some(piece) = self.pieces.pop_front() else {
                break;
            };
            self.unread_bytes -= piece.len();
            self.first_piece += 1;
        }
    }
}

impl FillStreamReader {
    /// Waits for the head; returns the end of the fill as the error if there was no head.
    pub async fn head(&self) -> Result<Arc<ResponseHead>, FillEnd> {
        loop {
            let changed = self.stream.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            {
                let state = self.stream.lock();
                if let Some(head) = &state.head {
                    return Ok(head.clone());
                }
                if let Some(end) = &state.end {
                    return Err(end.clone());
                }
            }
            changed.await;
        }
    }

    /// Waits for the next part.
    pub async fn next(&self) -> FillStreamPart {
        loop {
            let changed = self.stream.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let taken = {
                let mut state = self.stream.lock();
                let first_piece = state.first_piece;
                let Some(next_piece) = state.readers.get(&self.id).copied() else {
                    return FillStreamPart::TooSlow;
                };
                match state
                    .pieces
                    .get((next_piece - first_piece) as usize)
                    .cloned()
                {
                    Some(piece) => {
                        state.readers.insert(self.id, next_piece + 1);
                        state.trim();
                        Some(FillStreamPart::Data(piece))
                    }
                    None => state.end.clone().map(FillStreamPart::End),
                }
            };
            if let Some(part) = taken {
                self.stream.changed.notify_waiters();
                return part;
            }
            changed.await;
        }
    }
}

impl Drop for FillStreamReader {
    fn drop(&mut self) {
        {
            let mut state = self.stream.lock();
            state.readers.remove(&self.id);
            state.trim();
        }
        self.stream.changed.notify_waiters();
    }
}

#[cfg(test)]
mod tests;
