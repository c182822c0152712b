//! Reads the input of a FastCGI session, and decodes or discards it.
//!
//! No memory is allocated for input before it arrives, and the codec leaves no more than the start of a record in the
//! buffer, so a connection that waits for input holds next to nothing.
use super::TRANSIT_TIME;
use bytes::BytesMut;
use pointspindle_platform_protocol::fastcgi::{Record, RecordCodec, RecordError};
use pointspindle_transport::RetryingReadHalf;
use std::io::Result;
use tokio_util::codec::Decoder;

/// Largest number of bytes that one read takes from the socket.
const READ_BYTES: usize = 16 * 1024;

/// How input is processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InputMode {
    /// Records are decoded, and requests are accepted.
    Accepting,
    /// Records are decoded, and new requests are rejected, because too many requests were invalid.
    Rejecting,
    /// Input is not decoded any more.
    Discarding,
}

/// An event on the input.
pub(super) enum InputEvent {
    /// A record was received.
    Record(Record),
    /// The input cannot be decoded.
    Undecodable(RecordError),
    /// Input was received and discarded.
    Discarded,
    /// The client has closed the connection, or reading from it failed.
    Disconnected,
}

/// Input that can be read without waiting.
pub(super) enum ImmediateInput {
    /// No input is available.
    Empty,
    /// Input was read into the buffer, which the next [`SessionInput::next`] decodes.
    Buffered,
    /// Input was read and discarded.
    Discarded,
    /// The client has closed the connection, or reading from it failed.
    Disconnected,
}

/// Input of a session.
pub(super) struct SessionInput {
    socket: RetryingReadHalf,
    codec: RecordCodec,
    /// Input that is not decoded yet.
    buffer: BytesMut,
    /// Number of reads from the socket since [`SessionInput::take_reads`].
    reads: usize,
}

impl SessionInput {
    /// Creates the input of a new session.
    pub fn new(socket: RetryingReadHalf) -> Self {
        Self {
            socket,
            codec: RecordCodec::default(),
            buffer: BytesMut::new(),
            reads: 0,
        }
    }

    /// Returns the number of reads from the socket since the previous call.
    pub fn take_reads(&mut self) -> usize {
        std::mem::take(&mut self.reads)
    }

    /// Waits for the next event on the input. Cancel safe.
    pub async fn next(&mut self, mode: InputMode) -> InputEvent {
        if mode == InputMode::Discarding {
            return match self.discard().await {
                Ok(1..) => InputEvent::Discarded,
                Ok(0) | Err(_) => InputEvent::Disconnected,
            };
        }
        loop {
            if let Some(event) = self.next_buffered() {
                return event;
            }
            match self.receive().await {
                Ok(1..) => {}
                Ok(0) => return InputEvent::Disconnected,
                Err(error) => {
                    tracing::debug!(%error, "reading from client connection failed");
                    return InputEvent::Disconnected;
                }
            }
        }
    }

    /// Returns the next event of the input that has been read already, if it holds one. It is not for
    /// [`InputMode::Discarding`].
    pub fn next_buffered(&mut self) -> Option<InputEvent> {
        match self.codec.decode(&mut self.buffer) {
            Ok(record) => record.map(InputEvent::Record),
            Err(error) => Some(InputEvent::Undecodable(error)),
        }
    }

    /// Reads the available input without waiting.
    pub fn read_now(&mut self, mode: InputMode) -> ImmediateInput {
        let mut bytes = [0; READ_BYTES];
        match self.socket.read_now(&mut bytes) {
            Ok(None) => ImmediateInput::Empty,
            Ok(Some(0)) | Err(_) => ImmediateInput::Disconnected,
            Ok(Some(_)) if mode == InputMode::Discarding => ImmediateInput::Discarded,
            Ok(Some(read)) => {
                self.buffer.extend_from_slice(&bytes[..read]);
                ImmediateInput::Buffered
            }
        }
    }

    /// Closes the connection for writing. The client may still send.
    pub fn close_write_half(&self) {
        let _ = self.socket.shutdown_write();
    }

    /// Discards input until the client has closed the connection or has sent no input for [`TRANSIT_TIME`].
    pub async fn discard_until_idle(&mut self) {
        while let Ok(Ok(1..)) = tokio::time::timeout(TRANSIT_TIME, self.discard()).await {
            tokio::task::yield_now().await;
        }
    }

    /// Waits for input and adds it to the buffer. Returns the number of bytes, which is 0 if the client has closed the
    /// connection. Cancel safe.
    async fn receive(&mut self) -> Result<usize> {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        loop {
            self.socket.readable().await?;
            let mut bytes = [0; READ_BYTES];
            if let Some(read) = self.socket.try_read(&mut bytes)? {
                self.buffer.extend_from_slice(&bytes[..read]);
                self.reads += 1;
                return Ok(read);
            }
        }
    }

    /// Waits for input and drops it. Returns the number of bytes, which is 0 if the client has closed the connection.
    /// Cancel safe.
    async fn discard(&mut self) -> Result<usize> {
        self.buffer = BytesMut::new();
        loop {
            self.socket.readable().await?;
            if let Some(read) = self.socket.try_read(&mut [0; READ_BYTES])? {
                self.reads += 1;
                return Ok(read);
            }
        }
    }
}
