//! The bytes that a client sends on a FastCGI session, as records or discarded.
use super::TRANSIT_TIME;
use bytes::BytesMut;
use futures_util::StreamExt;
use pointspindle_platform_protocol::fastcgi::{Record, RecordCodec, RecordError};
use pointspindle_transport::RetryingReadHalf;
use tokio::io::AsyncReadExt;
use tokio_util::codec::{Decoder, FramedRead};

const READ_BUFFER_BYTES: usize = 1024;
/// Read at once of what is discarded.
const DISCARD_BUFFER_BYTES: usize = 16 * 1024;

/// What is done with the bytes that a client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InputMode {
    /// Requests are accepted.
    Accepting,
    /// Records are decoded, and only cancellations are obeyed: too many requests were invalid.
    Ignoring,
    /// Bytes are not decoded any more.
    Discarding,
}

/// What arrived from a client.
pub(super) enum InputEvent {
    Record(Record),
    /// Bytes that cannot be decoded.
    Undecodable(RecordError),
    Discarded,
    Disconnected,
}

/// What is there right now, without waiting.
pub(super) enum ImmediateInput {
    Nothing,
    /// Bytes, to be decoded by the next [`SessionInput::next`].
    Buffered,
    /// Bytes that are not decoded any more.
    Discarded,
    Disconnected,
}

/// See the module's documentation.
pub(super) struct SessionInput {
    records: FramedRead<RetryingReadHalf, RecordCodec>,
}

impl SessionInput {
    /// The input of a new session.
    pub fn new(socket: RetryingReadHalf) -> Self {
        Self {
            records: FramedRead::with_capacity(socket, RecordCodec, READ_BUFFER_BYTES),
        }
    }

    /// Waits for what arrives next. Cancel safe.
    pub async fn next(&mut self, mode: InputMode) -> InputEvent {
        if mode == InputMode::Discarding {
            return match self.discard().await {
                Ok(1..) => InputEvent::Discarded,
                Ok(0) | Err(_) => InputEvent::Disconnected,
            };
        }
        // Bytes may be in the buffer that the stream does not know of ([`SessionInput::read_now`]).
        match RecordCodec.decode(self.records.read_buffer_mut()) {
            Ok(None) => {}
            Ok(Some(record)) => return InputEvent::Record(record),
            Err(error) => return InputEvent::Undecodable(error),
        }
        match self.records.next().await {
            Some(Ok(record)) => InputEvent::Record(record),
            Some(Err(RecordError::Io(error))) => {
                tracing::debug!(%error, "client connection failed");
                InputEvent::Disconnected
            }
            Some(Err(error)) => InputEvent::Undecodable(error),
            None => InputEvent::Disconnected,
        }
    }

    /// Reads what is there right now.
    pub fn read_now(&mut self, mode: InputMode) -> ImmediateInput {
        let mut bytes = [0; READ_BUFFER_BYTES];
        match self.records.get_ref().read_now(&mut bytes) {
            Ok(None) => ImmediateInput::Nothing,
            Ok(Some(0)) | Err(_) => ImmediateInput::Disconnected,
            Ok(Some(read)) if mode == InputMode::Accepting => {
                let buffer = self.records.read_buffer_mut();
                buffer.extend_from_slice(&bytes[..read]);
                ImmediateInput::Buffered
            }
            Ok(Some(_)) => ImmediateInput::Discarded,
        }
    }

    /// Sends the end of the connection to the client, which may still send.
    pub fn close_write_half(&self) {
        let _ = self.records.get_ref().shutdown_write();
    }

    /// Discards input until the client has closed, or has sent nothing for a while.
    pub async fn discard_until_silent(&mut self) {
        while let Ok(Ok(1..)) = tokio::time::timeout(TRANSIT_TIME, self.discard()).await {}
    }

    /// Reads some bytes and drops them; none: the client has closed. Cancel safe.
    async fn discard(&mut self) -> std::io::Result<usize> {
        self.records.read_buffer_mut().clear();
        let mut discarded = BytesMut::with_capacity(DISCARD_BUFFER_BYTES);
        self.records.get_mut().read_buf(&mut discarded).await
    }
}
