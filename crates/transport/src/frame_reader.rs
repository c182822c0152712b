//! The receiving half of a connection. The size of reads adapts to the traffic, and an idle connection holds no buffer.
use crate::socket::ReadHalf;
use bytes::{BufMut, BytesMut};
use pointspindle_protocol::ReadSizeHint;

/// Initial and minimum number of bytes that a read requests. The size is doubled after a read that was filled, and halved
/// after a read that was filled to less than a quarter.
const MIN_READ_BYTES: usize = 2 * 1024;
/// Maximum number of bytes that a read requests while the codec does not know the length of the next frame: a larger read
/// would end inside the next large frame, and the part of that frame that was read would be copied.
const MAX_READ_BYTES: usize = 8 * 1024;
/// Maximum number of bytes that a read requests, and that are reserved, while the length of the frame is known: a peer that
/// announces a large frame and then stops sending must not occupy memory for all of it.
const MAX_KNOWN_FRAME_READ_BYTES: usize = 66 * 1024;

/// Decodes frames from a socket. Decoded frames share the buffer into which they were read.
#[derive(Debug)]
pub struct FrameReader<D> {
    socket: ReadHalf,
    codec: D,
    buffer: BytesMut,
    /// Number of bytes that the next read requests.
    read_size: usize,
    /// Whether the peer has ended its direction or reading has failed.
    ended: bool,
}

/// State of a connection without requests in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleState {
    /// The connection is open, and no bytes were received.
    Idle,
    /// The peer has ended its direction, or reading failed.
    Closed,
    /// Bytes were received that belong to no request.
    UnexpectedBytes,
}

impl<D: ReadSizeHint> FrameReader<D>
where
    D::Error: From<std::io::Error>,
{
    /// Creates a reader without buffered bytes.
    pub fn new(socket: ReadHalf, codec: D) -> Self {
        Self {
            socket,
            codec,
            buffer: BytesMut::new(),
            read_size: MIN_READ_BYTES,
            ended: false,
        }
    }

    /// Whether no bytes of a further frame are buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the codec, so that the caller can configure it for the next frame.
    pub fn codec(&mut self) -> &mut D {
        &mut self.codec
    }

    /// Checks a connection without requests in flight for received bytes or its end. Consumes a byte if one was received:
    /// use it only where any received byte is an error.
    pub fn idle(&self) -> IdleState {
        if !self.buffer.is_empty() {
            return IdleState::UnexpectedBytes;
        }
        match self.socket.try_read_buf(&mut &mut [0; 1][..]) {
            Ok(0) => IdleState::Closed,
            Ok(_) => IdleState::UnexpectedBytes,
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => IdleState::Idle,
            Err(_) => IdleState::Closed,
        }
    }

    /// Returns when the peer has closed its direction, even if earlier bytes are unread. Meant for callers that pause
    /// reading.
    pub async fn peer_closed(&self) {
        let _ = self.socket.peer_closed().await;
    }

    /// Waits until a read may return bytes, the end of the stream or an error. Needs no buffer.
    pub async fn readable(&self) -> std::io::Result<()> {
        self.socket.readable().await
    }

    /// Returns the next frame, or `None` at the end of the stream. No frame follows after an error. Cancel-safe.
    pub async fn next(&mut self) -> Option<Result<D::Item, D::Error>> {
        loop {
            // Decodes even without new bytes: the end of a body may need none.
            match self.decode() {
                Ok(Some(frame)) => return Some(Ok(frame)),
                Ok(None) if self.ended => return None,
                Ok(None) => {}
                Err(error) => return Some(Err(self.fail(error))),
            }
            if self.buffer.is_empty() {
                // Releases the buffer: decoded frames keep their bytes alive, and an idle connection holds no buffer.
                self.buffer = BytesMut::new();
            }
            if let Err(error) = self.socket.readable().await {
                return Some(Err(self.fail(error.into())));
            }
            match self.read() {
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(error) => return Some(Err(self.fail(error.into()))),
                Ok(()) => {}
            }
        }
    }

    fn decode(&mut self) -> Result<Option<D::Item>, D::Error> {
        if self.ended {
            return self.codec.decode_eof(&mut self.buffer);
        }
        self.codec.decode(&mut self.buffer)
    }

    /// Reads once and adapts the size of the next read. If the length of the current frame is known, the read requests all
    /// of its remaining bytes, up to [`MAX_KNOWN_FRAME_READ_BYTES`].
    fn read(&mut self) -> std::io::Result<()> {
        let rest_of_frame = self
            .codec
            .read_size_hint()
            .filter(|_| !self.buffer.is_empty());
        let requested = rest_of_frame
            .unwrap_or(self.read_size)
            .min(MAX_KNOWN_FRAME_READ_BYTES);
        self.buffer.reserve(requested);
        let read = self
            .socket
            .try_read_buf(&mut (&mut self.buffer).limit(requested))?;
        if read == 0 {
            self.ended = true;
        } else if rest_of_frame.is_none() {
            self.read_size = next_read_size(self.read_size, requested, read);
        }
        Ok(())
    }

    fn fail(&mut self, error: D::Error) -> D::Error {
        self.ended = true;
        self.buffer = BytesMut::new();
        error
    }
}

fn next_read_size(current: usize, requested: usize, read: usize) -> usize {
    if read == requested {
        return (current * 2).min(MAX_READ_BYTES);
    }
    if read < current / 4 {
        return (current / 2).max(MIN_READ_BYTES);
    }
    current
}
