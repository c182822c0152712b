//! The sending half of a connection. A task that sends a frame writes it to the socket itself; the writer task only writes
//! bytes that the socket did not accept, and closes the connection.
//!
//! Frames are queued while the socket is full, and when their sender announces that another frame follows (a head before
//! its body); they are then sent in one write. Large bodies are sent by vectored writes without being copied. Senders that
//! can wait do so while [`MAX_QUEUED_BYTES`] are queued; frames whose senders cannot wait (requests, cancels, credit) are
//! small and rare.
//!
//! A request is composed immediately before its first byte is written, when the socket accepts bytes. Its owner then
//! decides whether the request may still start; until then no part of it is in any buffer. A request that is withdrawn
//! before that ([`Writer::withdraw`]) is never sent. The call of a request that is still queued when the connection ends is
//! ended as not sent.
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

/// Number of queued bytes from which on senders wait.
const MAX_QUEUED_BYTES: usize = 256 * 1024;
/// Number of queued bytes that are written even if the sender has announced another frame.
const WRITE_THRESHOLD_BYTES: usize = 64 * 1024;
/// Maximum time for writing the queued frames after this side has closed the connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The sending half of a connection, shared by its senders and the writer task.
#[derive(Debug)]
pub(crate) struct Writer {
    queue: Mutex<SendQueue>,
    socket: WriteHalf,
    meter: BufferMeter,
    /// Notifies the writer task that bytes are queued or that the connection closes.
    work: Notify,
    /// Notifies waiting senders that the queue has space again or accepts no more frames.
    space: Notify,
}

/// When a frame is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendTime {
    /// At once.
    Now,
    /// Together with the next frame if that one follows at once; otherwise as soon as the writer task runs.
    WithNext,
}

impl Writer {
    /// Creates a writer with an empty queue.
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

    /// Queues a frame without waiting; [`Writer::flush`] sends it. Returns false if the connection is closing or the frame
    /// cannot be encoded.
    pub fn put(&self, frame: Frame) -> bool {
        let mut queue = self.queue();
        if !queue.is_open() {
            return false;
        }
        queue.put(frame);
        queue.failure().is_none()
    }

    /// Queues a request; [`Writer::flush`] composes and sends it. Returns false if the connection is closing.
    pub fn put_request(&self, request: QueuedRequest) -> bool {
        let mut queue = self.queue();
        let open = queue.is_open();
        if open {
            queue.put_request(request);
        }
        open
    }

    /// Removes an unsent request from the queue; returns false if the request is not queued, for example because its first
    /// byte was sent.
    pub fn withdraw(&self, id: u32) -> bool {
        self.queue().withdraw(id)
    }

    /// Removes every unsent request from the queue and ends its call as not sent.
    pub fn drop_unsent(&self) {
        self.queue().drop_unsent();
    }

    /// Writes as many queued bytes as the socket accepts; the writer task writes the rest.
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

    /// Waits for space in the queue, queues a frame and writes it at `time`. Returns false if the connection is closing or
    /// fails.
    pub async fn send(&self, frame: Frame, time: SendTime) -> bool {
        loop {
            // Registered before the check, so that space that becomes free in between is not missed.
            let space = self.space.notified();
            {
                let mut queue = self.queue();
                if !queue.is_open() {
                    return false;
                }
                if queue.queued_bytes() < MAX_QUEUED_BYTES {
                    self.put_and_write(&mut queue, frame, time);
                    return queue.failure().is_none();
                }
            }
            space.await;
        }
    }

    fn put_and_write(&self, queue: &mut SendQueue, frame: Frame, time: SendTime) {
        queue.put(frame);
        let is_due = time == SendTime::Now || queue.queued_bytes() >= WRITE_THRESHOLD_BYTES;
        if is_due && !queue.is_socket_full() {
            queue.flush(&self.socket);
        }
        queue.update_meter(&self.meter);
        if queue.queued_bytes() > 0 || queue.failure().is_some() {
            self.work.notify_one();
        }
    }

    /// Refuses further frames; queued frames are still written, for up to [`CLOSE_TIMEOUT`].
    pub fn close(&self) {
        self.queue().close();
        self.work.notify_one();
        self.space.notify_waiters();
    }

    /// Discards the queued frames, and the written bytes that the peer has not received yet.
    pub fn abort(&self) {
        self.queue().fail("given up");
        self.socket.abort();
        self.close();
    }

    /// Runs the writer task until the connection ends; returns the reason if writing failed.
    pub async fn run(&self) -> Option<String> {
        let mut failure = self.write_until_closing().await;
        if failure.is_none() {
            // Limits the wait for a peer that has stopped reading.
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

    /// Writes until the queue is empty; returns the reason if writing failed.
    async fn write_queue(&self) -> Option<String> {
        loop {
            {
                let mut queue = self.queue();
                queue.flush(&self.socket);
                queue.update_meter(&self.meter);
                if queue.queued_bytes() < MAX_QUEUED_BYTES {
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
