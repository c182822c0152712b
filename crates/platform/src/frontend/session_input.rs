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
}

impl SessionInput {
    /// Creates the input of a new session.
    pub fn new(socket: RetryingReadHalf) -> Self {
        Self {
            socket,
            codec: RecordCodec::default(),
            buffer: BytesMut::new(),
        }
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
            match self.codec.decode(&mut self.buffer) {
                Ok(None) => {}
                Ok(Some(record)) => return InputEvent::Record(record),
                Err(error) => return InputEvent::Undecodable(error),
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
        while let Ok(Ok(1..)) = tokio::time::timeout(TRANSIT_TIME, self.discard()).await {}
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
                return Ok(read);
            }
        }
    }
}
