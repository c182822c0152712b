//! The receiving half of a connection: reads as large as the connection has shown to need, and no buffer while it is idle.
use crate::line::ReadHalf;
use bytes::{BufMut, BytesMut};
use pointspindle_protocol::ReadSizeHint;

/// A read asks for so many bytes at first and at least, and at most: doubled when one is filled, halved when one is not
/// filled to a quarter.
const LEAST: usize = 2 * 1024;
/// Small on purpose: a codec that knows its frame's length says so, and a larger read would end in the middle of a next
/// large frame, whose first half would be copied (660 us a MiB against 490 with reads of 128 KiB).
const MOST: usize = 8 * 1024;

/// ... but never more than this ahead of what has come: a peer that announces a large frame and stops must not hold its room.
const MOST_KNOWN: usize = 66 * 1024;

/// What a codec makes of a socket's bytes. Frames are handed out of the buffer they were read into.
#[derive(Debug)]
pub struct FrameReader<D> {
    socket: ReadHalf,
    codec: D,
    buffer: BytesMut,
    size: usize,
    /// The peer sends nothing more, or the connection is of no more use.
    ended: bool,
}

/// What an idle connection has brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleState {
    Quiet,
    Closed,
    /// Bytes that nobody asked for.
    Stray,
}

impl<D: ReadSizeHint> FrameReader<D>
where
    D::Error: From<std::io::Error>,
{
    pub fn new(socket: ReadHalf, codec: D) -> Self {
        Self {
            socket,
            codec,
            buffer: BytesMut::new(),
            size: LEAST,
            ended: false,
        }
    }

    /// Nothing of a next frame has come.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// The codec, to be told what comes next.
    pub fn codec(&mut self) -> &mut D {
        &mut self.codec
    }

    /// What has come on a connection on which nothing is asked. Looking takes a byte: use it only where any byte is one too many.
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

    /// Returns when the peer has left, though what it sent before is not read yet: for who holds its reading back.
    pub async fn peer_closed(&self) {
        let _ = self.socket.peer_closed().await;
    }

    /// Waits, without a buffer, until there is something to read.
    pub async fn readable(&self) -> std::io::Result<()> {
        self.socket.readable().await
    }

    /// The next frame; none at the end. After an error there is nothing more. Safe to drop while waiting.
    pub async fn next(&mut self) -> Option<Result<D::Item, D::Error>> {
        loop {
            // Also without a byte: the end of a body may need none.
            let frame = if self.ended {
                self.codec.decode_eof(&mut self.buffer)
            } else {
                self.codec.decode(&mut self.buffer)
            };
            match frame {
                Ok(Some(frame)) => return Some(Ok(frame)),
                Ok(None) => {}
                Err(e) => return self.fail(e),
            }
            if self.ended {
                return None;
            }
            if self.buffer.is_empty() {
                // Frames still in use keep their bytes; an idle connection holds none.
                self.buffer = BytesMut::new();
            }
            if let Err(e) = self.socket.readable().await {
                return self.fail(e.into());
            }
            // A known frame is read in one go, whatever the connection has shown.
            let known = self
                .codec
                .read_size_hint()
                .filter(|_| !self.buffer.is_empty());
            let room = known.unwrap_or(self.size).min(MOST_KNOWN);
            self.buffer.reserve(room);
            match self
                .socket
                .try_read_buf(&mut (&mut self.buffer).limit(room))
            {
                Ok(0) => self.ended = true,
                Ok(_) if known.is_some() => {}
                Ok(read) if read == room => self.size = (self.size * 2).min(MOST),
                Ok(read) if read < self.size / 4 => self.size = (self.size / 2).max(LEAST),
                Ok(_) => {}
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(e) => return self.fail(e.into()),
            }
        }
    }

    fn fail(&mut self, e: D::Error) -> Option<Result<D::Item, D::Error>> {
        (self.ended, self.buffer) = (true, BytesMut::new());
        Some(Err(e))
    }
}
