//! Reads the input of a FastCGI session, and decodes or discards it.
use super::TRANSIT_TIME;
use bytes::BytesMut;
use futures_util::StreamExt;
use pointspindle_platform_protocol::fastcgi::{Record, RecordCodec, RecordError};
use pointspindle_transport::RetryingReadHalf;
use tokio::io::AsyncReadExt;
use tokio_util::codec::{Decoder, FramedRead};

const READ_BUFFER_BYTES: usize = 1024;
/// Largest number of bytes that one read discards.
const DISCARD_BUFFER_BYTES: usize = 16 * 1024;

/// How input is processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InputMode {
    /// Records are decoded, and requests are accepted.
    Accepting,
    /// Records are decoded, and all but cancellations are ignored, because too many requests were invalid.
    CancellationsOnly,
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
    records: FramedRead<RetryingReadHalf, RecordCodec>,
}

impl SessionInput {
    /// Creates the input of a new session.
    pub fn new(socket: RetryingReadHalf) -> Self {
        Self {
            records: FramedRead::with_capacity(socket, RecordCodec, READ_BUFFER_BYTES),
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
        // [`SessionInput::read_now`] may have added bytes to the buffer, which the stream decodes only after its next
        // read.
        match RecordCodec.decode(self.records.read_buffer_mut()) {
            Ok(None) => {}
            Ok(Some(record)) => return InputEvent::Record(record),
            Err(error) => return InputEvent::Undecodable(error),
        }
        match self.records.next().await {
            Some(Ok(record)) => InputEvent::Record(record),
            Some(Err(RecordError::Io(error))) => {
                tracing::debug!(%error, "reading from client connection failed");
                InputEvent::Disconnected
            }
            Some(Err(error)) => InputEvent::Undecodable(error),
            None => InputEvent::Disconnected,
        }
    }

    /// Reads the available input without waiting.
    pub fn read_now(&mut self, mode: InputMode) -> ImmediateInput {
        let mut bytes = [0; READ_BUFFER_BYTES];
        match self.records.get_ref().read_now(&mut bytes) {
            Ok(None) => ImmediateInput::Empty,
            Ok(Some(0)) | Err(_) => ImmediateInput::Disconnected,
            Ok(Some(read)) if mode == InputMode::Accepting => {
                let buffer = self.records.read_buffer_mut();
                buffer.extend_from_slice(&bytes[..read]);
                ImmediateInput::Buffered
            }
            Ok(Some(_)) => ImmediateInput::Discarded,
        }
    }

    /// Closes the connection for writing. The client may still send.
    pub fn close_write_half(&self) {
        let _ = self.records.get_ref().shutdown_write();
    }

    /// Discards input until the client has closed the connection or has sent no input for [`TRANSIT_TIME`].
    pub async fn discard_until_idle(&mut self) {
        while let Ok(Ok(1..)) = tokio::time::timeout(TRANSIT_TIME, self.discard()).await {}
    }

    /// Reads and drops some bytes. Returns their number, which is 0 if the client has closed the connection. Cancel
    /// safe.
    async fn discard(&mut self) -> std::io::Result<usize> {
        self.records.read_buffer_mut().clear();
        let mut discarded = BytesMut::with_capacity(DISCARD_BUFFER_BYTES);
        self.records.get_mut().read_buf(&mut discarded).await
    }
}
