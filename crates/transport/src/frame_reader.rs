//! The receiving half of a connection: read sizes follow the traffic, and an idle connection holds no buffer.
use crate::socket::ReadHalf;
use bytes::{BufMut, BytesMut};
use pointspindle_protocol::ReadSizeHint;

/// Bytes that a read requests at first and at least. The size is doubled when a read is filled, and halved when it is not
/// filled to a quarter.
const MIN_READ: usize = 2 * 1024;
/// Bytes that a read requests at most, unless the codec knows a frame's length: a larger read would end inside the next
/// large frame, and that part would be copied.
const MAX_READ: usize = 8 * 1024;
/// Bytes that are reserved ahead of what was received at most: a peer that announces a large frame and then stops must not
/// occupy the memory for it.
const MAX_READ_OF_KNOWN_FRAME: usize = 66 * 1024;

/// Decodes frames from a socket. Frames share the buffer that they were read into.
#[derive(Debug)]
pub struct FrameReader<D> {
    socket: ReadHalf,
    codec: D,
    buffer: BytesMut,
    /// Bytes that the next read requests.
    read_size: usize,
    /// The peer sends nothing more, or the connection has failed.
    ended: bool,
}

/// What was received on an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleState {
    /// Nothing.
    Quiet,
    /// The peer's end, or an error.
    Closed,
    /// Bytes that belong to no request.
    Stray,
}

impl<D: ReadSizeHint> FrameReader<D>
where
    D::Error: From<std::io::Error>,
{
    /// A reader without buffered bytes.
    pub fn new(socket: ReadHalf, codec: D) -> Self {
        Self {
            socket,
            codec,
            buffer: BytesMut::new(),
            read_size: MIN_READ,
            ended: false,
        }
    }

    /// Whether no byte of a next frame is buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// The codec, to be set up for what comes next.
    pub fn codec(&mut self) -> &mut D {
        &mut self.codec
    }

    /// What was received on a connection without requests in flight. Consumes a byte if there is one: use it only where any
    /// byte is an error.
    pub fn idle(&self) -> IdleState {
        if !self.buffer.is_empty() {
            return IdleState::Stray;
        }
        match self.socket.try_read_buf(&mut &mut [0; 1][..]) {
            Ok(0) => IdleState::Closed,
            Ok(_) => IdleState::Stray,
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => IdleState::Quiet,
            Err(_) => IdleState::Closed,
        }
    }

    /// Returns when the peer has closed its direction, although earlier bytes may be unread: for callers that pause reading.
    pub async fn peer_closed(&self) {
        let _ = self.socket.peer_closed().await;
    }

    /// Waits, without a buffer, until there is something to read.
    pub async fn readable(&self) -> std::io::Result<()> {
        self.socket.readable().await
    }

    /// The next frame; `None` at the end. After an error there is nothing more. Cancel-safe.
    pub async fn next(&mut self) -> Option<Result<D::Item, D::Error>> {
        loop {
            // Decoded even without new bytes: the end of a body may need none.
            match self.decode() {
                Ok(Some(frame)) => return Some(Ok(frame)),
                Ok(None) if self.ended => return None,
                Ok(None) => {}
                Err(error) => return Some(Err(self.fail(error))),
            }
            if self.buffer.is_empty() {
                // Frames in use keep their bytes; an idle connection holds none.
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

    /// Reads once and adapts the size of the next read. A frame of known length is read in one go.
    fn read(&mut self) -> std::io::Result<()> {
        let rest_of_frame = self
            .codec
            .read_size_hint()
            .filter(|_| !self.buffer.is_empty());
        let requested = rest_of_frame
            .unwrap_or(self.read_size)
            .min(MAX_READ_OF_KNOWN_FRAME);
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
        return (current * 2).min(MAX_READ);
    }
    if read < current / 4 {
        return (current / 2).max(MIN_READ);
    }
    current
}
