//! The response of a fill on its way to its readers.
//!
//! At most [`MAX_UNREAD_BYTES`], and one piece more, wait for the slowest reader. The writer waits for it up to a timeout;
//! then that reader loses the stream. Without readers nothing is buffered.
use bytes::Bytes;
use pointspindle_protocol::{ErrorHead, ResponseHead};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Notify;

/// Bytes that may wait for the slowest reader while the writer goes on.
pub const MAX_UNREAD_BYTES: usize = 512 * 1024;

/// How a fill ended.
#[derive(Clone, Debug, PartialEq)]
pub enum FillEnd {
    /// The response is complete.
    Complete,
    /// The error that its readers get.
    Failed(Box<ErrorHead>),
}

/// What a reader receives next.
#[derive(Clone, Debug, PartialEq)]
pub enum FillStreamPart {
    /// A piece of the body.
    Data(Bytes),
    /// The fill has ended, and all of the body was read.
    End(FillEnd),
    /// The reader was too slow and has lost the stream.
    TooSlow,
}

#[derive(Debug, Default)]
struct State {
    head: Option<Arc<ResponseHead>>,
    /// Number of the first buffered piece.
    first_piece: u64,
    pieces: VecDeque<Bytes>,
    unread_bytes: usize,
    /// For each reader the number of its next piece.
    readers: BTreeMap<u64, u64>,
    next_reader: u64,
    end: Option<FillEnd>,
}

/// Buffers a response between one writer and its readers. [`FillStream::end`] is owed by the writer.
#[derive(Debug, Default)]
pub struct FillStream {
    state: Mutex<State>,
    changed: Notify,
}

/// Reads a [`FillStream`]; dropping it releases what it has not read.
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

    /// Adds a reader; none if the beginning of the body is no longer buffered.
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

    /// Whether anybody reads.
    pub fn has_readers(&self) -> bool {
        !self.lock().readers.is_empty()
    }

    /// Publishes the head.
    pub fn head(&self, head: ResponseHead) {
        self.lock().head = Some(Arc::new(head));
        self.changed.notify_waiters();
    }

    /// Publishes a piece of the body; waits for the slowest reader, at most for `reader_timeout`.
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
            state.readers.retain(|_, at| *at > first_piece);
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

    /// Waits for the end of the fill.
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
    /// Waits for the head; the end of the fill if it had none.
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
                let Some(at) = state.readers.get(&self.id).copied() else {
                    return FillStreamPart::TooSlow;
                };
                match state.pieces.get((at - first_piece) as usize).cloned() {
                    Some(piece) => {
                        state.readers.insert(self.id, at + 1);
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
