//! A fill's answer on its way to all who read it.
//!
//! Held: at most [`WINDOW`] bytes that the slowest reader has not taken. The writer waits for it, up to a time; then that reader is let
//! go, and its answer is broken off. Without readers nothing is held.
use bytes::Bytes;
use pointspindle_protocol::{ErrorHead, ResponseHead};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Notify;

/// Bytes that wait for the slowest reader.
pub const WINDOW: usize = 512 * 1024;

/// How a fill ended.
#[derive(Clone, Debug, PartialEq)]
pub enum FlowEnd {
    Complete,
    /// For the askers, as it is.
    Failed(Box<ErrorHead>),
}

/// What a reader gets.
#[derive(Clone, Debug, PartialEq)]
pub enum FlowPart {
    Data(Bytes),
    End(FlowEnd),
    /// Too slow: let go.
    Lost,
}

#[derive(Debug, Default)]
struct State {
    head: Option<Arc<ResponseHead>>,
    /// Number of the first piece that is held.
    base: u64,
    pieces: VecDeque<Bytes>,
    held: usize,
    /// By reader: the number of its next piece.
    readers: BTreeMap<u64, u64>,
    next_reader: u64,
    end: Option<FlowEnd>,
}

#[derive(Debug, Default)]
pub struct Flow {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug)]
pub struct FlowReader {
    flow: Arc<Flow>,
    id: u64,
}

impl Flow {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// None: its beginning has gone by.
    pub fn reader(self: &Arc<Self>) -> Option<FlowReader> {
        let mut state = self.lock();
        if state.base > 0 {
            return None;
        }
        state.next_reader += 1;
        let id = state.next_reader;
        state.readers.insert(id, 0);
        Some(FlowReader {
            flow: self.clone(),
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

    /// The next piece; waits for the slowest reader, at most `longest`.
    pub async fn data(&self, data: Bytes, longest: Duration) {
        {
            let mut state = self.lock();
            state.held += data.len();
            state.pieces.push_back(data);
            state.trim();
        }
        self.changed.notify_waiters();
        let room = async {
            loop {
                let changed = self.changed.notified();
                tokio::pin!(changed);
                changed.as_mut().enable();
                if self.lock().held <= WINDOW {
                    return;
                }
                changed.await;
            }
        };
        if tokio::time::timeout(longest, room).await.is_err() {
            let mut state = self.lock();
            let base = state.base;
            state.readers.retain(|_, at| *at > base);
            state.trim();
            drop(state);
            self.changed.notify_waiters();
        }
    }

    pub fn end(&self, end: FlowEnd) {
        self.lock().end.get_or_insert(end);
        self.changed.notify_waiters();
    }

    /// Returns with the fill's end.
    pub async fn over(&self) -> FlowEnd {
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
        while self.base < slowest {
            let Some(piece) = self.pieces.pop_front() else {
                break;
            };
            self.held -= piece.len();
            self.base += 1;
        }
    }
}

impl FlowReader {
    /// The head, or how the fill ended without one.
    pub async fn head(&self) -> Result<Arc<ResponseHead>, FlowEnd> {
        loop {
            let changed = self.flow.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            {
                let state = self.flow.lock();
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

    pub async fn next(&self) -> FlowPart {
        loop {
            let changed = self.flow.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let taken = {
                let mut state = self.flow.lock();
                let base = state.base;
                let Some(at) = state.readers.get(&self.id).copied() else {
                    return FlowPart::Lost;
                };
                match state.pieces.get((at - base) as usize).cloned() {
                    Some(piece) => {
                        state.readers.insert(self.id, at + 1);
                        state.trim();
                        Some(FlowPart::Data(piece))
                    }
                    None => state.end.clone().map(FlowPart::End),
                }
            };
            if let Some(part) = taken {
                self.flow.changed.notify_waiters();
                return part;
            }
            changed.await;
        }
    }
}

impl Drop for FlowReader {
    fn drop(&mut self) {
        {
            let mut state = self.flow.lock();
            state.readers.remove(&self.id);
            state.trim();
        }
        self.flow.changed.notify_waiters();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test(start_paused = true)]
    async fn the_slowest_reader_is_waited_for_and_then_let_go() {
        let flow = Arc::new(Flow::default());
        let (quick, slow) = (flow.reader().unwrap(), flow.reader().unwrap());
        let piece = Bytes::from(vec![7; WINDOW / 2]);
        let reading = tokio::spawn(async move {
            let mut count = 0;
            while let FlowPart::Data(_) = quick.next().await {
                count += 1;
            }
            count
        });
        let began = tokio::time::Instant::now();
        for _ in 0..4 {
            flow.data(piece.clone(), Duration::from_secs(5)).await;
        }
        assert_eq!(
            began.elapsed(),
            Duration::from_secs(5),
            "one wait, then it is let go"
        );
        assert!(flow.reader().is_none(), "its beginning has gone by");
        flow.end(FlowEnd::Complete);
        assert_eq!(reading.await.unwrap(), 4);
        assert_eq!(slow.next().await, FlowPart::Lost);
    }
}
