//! The sending half of a connection: a task that has a frame writes it at once. The writer's own task only writes what the
//! socket did not accept, and closes the connection.
//!
//! Frames gather while the socket is full, and where their sender announces that more follows (a head before its body): one
//! write then takes them together. Large bodies are not copied and are sent by vectored writes. Queued bytes are bounded by
//! [`MAX_QUEUED`] for senders that can wait; frames that cannot (requests, cancels, credit) are small and rare.
//!
//! A request is composed right before its first byte, when the socket accepts bytes: its owner then decides whether it may
//! still begin, and until then no part of it is in any buffer. A request that is withdrawn before ([`Writer::withdraw`]), or
//! still queued when the connection ends, was never sent, and its call ends so.
//!
//! An idle connection holds no buffer and no queue.
mod pieces;
mod queue;

pub use pieces::DeferredRequest;
pub(crate) use pieces::QueuedRequest;

use crate::buffer_meter::BufferMeter;
use crate::lock::lock;
use crate::socket::WriteHalf;
use pointspindle_protocol::Frame;
use queue::SendQueue;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Notify;

/// Queued bytes from which senders wait.
const MAX_QUEUED: usize = 256 * 1024;
/// Queued bytes that are written although more follows.
const WRITE_AT: usize = 64 * 1024;
/// Longest time to write what is queued when this side closes the connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The sending half of a connection, shared by its senders and the writer's task.
#[derive(Debug)]
pub(crate) struct Writer {
    queue: Mutex<SendQueue>,
    socket: WriteHalf,
    meter: BufferMeter,
    /// For the task: something is queued, or the connection closes.
    work: Notify,
    /// For senders: there is space again, or will never be.
    space: Notify,
}

/// When a frame is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendTime {
    Now,
    /// With the frame that follows at once; otherwise as soon as the writer's task runs.
    WithNext,
}

impl Writer {
    /// The state before the connection's first frame.
    pub fn new(socket: WriteHalf, meter: BufferMeter) -> Self {
        Self {
            queue: Mutex::default(),
            socket,
            meter,
            work: Notify::new(),
            space: Notify::new(),
        }
    }

    fn queue(&self) -> MutexGuard<'_, SendQueue> {
        lock(&self.queue)
    }

    /// Queues a frame without waiting; [`Writer::flush`] sends it. False if the connection closes.
    pub fn put(&self, frame: Frame) -> bool {
        let mut queue = self.queue();
        if !queue.is_open() {
            return false;
        }
        queue.put(frame);
        queue.failure().is_none()
    }

    /// Queues a request; [`Writer::flush`] composes and sends it. False if the connection closes.
    pub fn put_request(&self, request: QueuedRequest) -> bool {
        let mut queue = self.queue();
        let open = queue.is_open();
        if open {
            queue.put_request(request);
        }
        open
    }

    /// Removes a request of which nothing was sent; false if its first byte was.
    pub fn withdraw(&self, id: u32) -> bool {
        self.queue().withdraw(id)
    }

    /// Ends every request of which nothing was sent.
    pub fn drop_unsent(&self) {
        self.queue().drop_unsent();
    }

    /// Writes what the socket accepts; the task continues with the rest.
    pub fn flush(&self) {
        let mut queue = self.queue();
        if !queue.is_socket_full() {
            queue.flush(&self.socket);
        }
        queue.update_meter(&self.meter);
        if queue.is_socket_full() || queue.failure().is_some() {
            self.work.notify_one();
        }
    }

    /// Queues a frame, waiting for space, and writes it. False if the connection closes.
    pub async fn send(&self, frame: Frame, time: SendTime) -> bool {
        loop {
            // Registered before the check, so that space made in between is not missed.
            let space = self.space.notified();
            {
                let mut queue = self.queue();
                if !queue.is_open() {
                    return false;
                }
                if queue.queued_bytes() < MAX_QUEUED {
                    self.put_and_write(&mut queue, frame, time);
                    return queue.failure().is_none();
                }
            }
            space.await;
        }
    }

    fn put_and_write(&self, queue: &mut SendQueue, frame: Frame, time: SendTime) {
        queue.put(frame);
        let is_due = time == SendTime::Now || queue.queued_bytes() >= WRITE_AT;
        if is_due && !queue.is_socket_full() {
            queue.flush(&self.socket);
        }
        queue.update_meter(&self.meter);
        if queue.queued_bytes() > 0 || queue.failure().is_some() {
            self.work.notify_one();
        }
    }

    /// Accepts nothing more; what is queued is still written, for [`CLOSE_TIMEOUT`].
    pub fn close(&self) {
        self.queue().close();
        self.work.notify_one();
        self.space.notify_waiters();
    }

    /// Discards what is queued, and what the peer has not received yet.
    pub fn abort(&self) {
        self.queue().fail("given up");
        self.socket.abort();
        self.close();
    }

    /// The writer's task. Ends with the connection and returns why writing failed, if it did.
    pub async fn run(&self) -> Option<String> {
        let mut failure = self.write_until_closing().await;
        if failure.is_none() {
            // A peer that reads nothing gets no more time than this.
            failure = tokio::time::timeout(CLOSE_TIMEOUT, self.write_queue())
                .await
                .unwrap_or(None);
        }
        {
            let mut queue = self.queue();
            queue.close();
            queue.fail("closed");
            queue.update_meter(&self.meter);
        }
        self.space.notify_waiters();
        self.socket.shutdown();
        failure
    }

    async fn write_until_closing(&self) -> Option<String> {
        while !self.queue().is_closing() {
            self.work.notified().await;
            let failure = self.write_queue().await;
            if failure.is_some() {
                return failure;
            }
        }
        None
    }

    /// Writes until nothing is queued; returns why writing failed, if it did.
    async fn write_queue(&self) -> Option<String> {
        loop {
            {
                let mut queue = self.queue();
                queue.flush(&self.socket);
                queue.update_meter(&self.meter);
                if queue.queued_bytes() < MAX_QUEUED {
                    self.space.notify_waiters();
                }
                if queue.failure().is_some() || queue.is_empty() {
                    return queue.failure().map(str::to_owned);
                }
            }
            if let Err(error) = self.socket.writable().await {
                return Some(error.to_string());
            }
        }
    }
}
