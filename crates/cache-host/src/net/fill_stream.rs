//! A fill's answer on its way to all who read it.
//!
//! Held: at most [`MAX_UNREAD_BYTES`] bytes that the slowest reader has not taken. The writer waits for it, up to a time; then that reader is let
//! go, and its answer is broken off. Without readers nothing is held.
use bytes::Bytes;
use pointspindle_protocol::{ErrorHead, ResponseHead};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Notify;

/// Bytes that wait for the slowest reader.
pub const MAX_UNREAD_BYTES: usize = 512 * 1024;

/// How a fill ended.
#[derive(Clone, Debug, PartialEq)]
pub enum FillEnd {
    Complete,
    /// For the askers, as it is.
    Failed(Box<ErrorHead>),
}

/// What a reader gets.
#[derive(Clone, Debug, PartialEq)]
pub enum FillStreamPart {
    Data(Bytes),
    End(FillEnd),
    /// Too slow: let go.
    TooSlow,
}

#[derive(Debug, Default)]
struct State {
    head: Option<Arc<ResponseHead>>,
    /// Number of the first piece that is held.
    first_piece: u64,
    pieces: VecDeque<Bytes>,
    unread_bytes: usize,
    /// By reader: the number of its next piece.
    readers: BTreeMap<u64, u64>,
    next_reader: u64,
    end: Option<FillEnd>,
}

#[derive(Debug, Default)]
pub struct FillStream {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug)]
pub struct FillStreamReader {
    fill_stream: Arc<FillStream>,
    id: u64,
}

impl FillStream {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// None: its beginning has gone by.
    pub fn reader(self: &Arc<Self>) -> Option<FillStreamReader> {
        let mut state = self.lock();
        if state.first_piece > 0 {
            return None;
        }
        state.next_reader += 1;
        let id = state.next_reader;
        state.readers.insert(id, 0);
        Some(FillStreamReader {
            fill_stream: self.clone(),
            id,
        })
    }

    pub fn has_readers(&self) -> bool {
        !self.lock().readers.is_empty()
    }

    pub fn head(&self, head: ResponseHead) {
        self.lock().head = Some(Arc::new(head));
        self.changed.notify_waiters();
    }

    /// The next piece; waits for the slowest reader, at most `reader_timeout`.
    pub async fn data(&self, data: Bytes, reader_timeout: Duration) {
        {
            let mut state = self.lock();
            state.unread_bytes += data.len();
            state.pieces.push_back(data);
            state.trim();
        }
        self.changed.notify_waiters();
        let room = async {
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
        if tokio::time::timeout(reader_timeout, room).await.is_err() {
            let mut state = self.lock();
            let first_piece = state.first_piece;
            state.readers.retain(|_, at| *at > first_piece);
            state.trim();
            drop(state);
            self.changed.notify_waiters();
        }
    }

    pub fn end(&self, end: FillEnd) {
        self.lock().end.get_or_insert(end);
        self.changed.notify_waiters();
    }

    /// Returns with the fill's end.
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
    /// Drops what every reader has.
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
    /// The head, or how the fill ended without one.
    pub async fn head(&self) -> Result<Arc<ResponseHead>, FillEnd> {
        loop {
            let changed = self.fill_stream.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            {
                let state = self.fill_stream.lock();
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

    pub async fn next(&self) -> FillStreamPart {
        loop {
            let changed = self.fill_stream.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let taken = {
                let mut state = self.fill_stream.lock();
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
                self.fill_stream.changed.notify_waiters();
                return part;
            }
            changed.await;
        }
    }
}

impl Drop for FillStreamReader {
    fn drop(&mut self) {
        {
            let mut state = self.fill_stream.lock();
            state.readers.remove(&self.id);
            state.trim();
        }
        self.fill_stream.changed.notify_waiters();
    }
}

#[cfg(test)]
mod tests;
