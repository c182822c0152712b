//! The queue of frames and requests that wait for a connection's socket, and the writes to that socket.
use super::pieces::{Pieces, QueuedRequest};
use crate::buffer_meter::BufferMeter;
use crate::socket::{WriteHalf, MAX_SLICES};
use bytes::{Buf, BytesMut};
use pointspindle_protocol::{Frame, FrameCodec, FrameError};
use std::io::{ErrorKind, IoSlice};
use tokio_util::codec::Encoder;

/// Minimum size of a body that is sent without being copied.
const MIN_UNCOPIED_BODY_BYTES: usize = 8 * 1024;
/// Capacity above which an empty buffer is released.
const MAX_IDLE_BUFFER_BYTES: usize = 1024;

/// Result of one step of writing the queue.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// The step is done; the next one can follow.
    Made,
    /// The socket accepts no more bytes for now.
    SocketFull,
}

/// The send queue of a connection. The pieces are sent first, then the tail.
#[derive(Debug, Default)]
pub(super) struct SendQueue {
    codec: FrameCodec,
    pieces: Pieces,
    /// Encoded frames behind the pieces, to which further frames are appended.
    tail: BytesMut,
    /// Number of encoded bytes in the pieces and the tail.
    queued_bytes: usize,
    /// Number of queued bytes that the meter has counted.
    metered_bytes: usize,
    /// Whether the socket accepted no more bytes at the last write. The writer task continues when it does.
    socket_full: bool,
    closing: bool,
    /// Reason for which sending failed; no more bytes are sent then.
    failure: Option<String>,
}

impl SendQueue {
    /// Whether frames may be added.
    pub(super) fn is_open(&self) -> bool {
        self.failure.is_none() && !self.closing
    }

    pub(super) fn is_closing(&self) -> bool {
        self.closing
    }

    pub(super) fn is_socket_full(&self) -> bool {
        self.socket_full
    }

    pub(super) fn is_empty(&self) -> bool {
        self.queued_bytes == 0 && !self.pieces.has_requests()
    }

    pub(super) fn queued_bytes(&self) -> usize {
        self.queued_bytes
    }

    pub(super) fn failure(&self) -> Option<&str> {
        self.failure.as_deref()
    }

    /// Refuses further frames; queued frames are still sent.
    pub(super) fn close(&mut self) {
        self.closing = true;
    }

    /// Discards all queued frames, ends the calls of unsent requests and refuses further frames.
    pub(super) fn fail(&mut self, reason: &str) {
        self.failure = Some(reason.to_owned());
        self.drop_unsent();
        self.pieces = Pieces::default();
        self.tail = BytesMut::new();
        self.queued_bytes = 0;
    }

    /// Adds a frame; if the frame cannot be encoded, the queue fails.
    pub(super) fn put(&mut self, frame: Frame) {
        if let Err(error) = self.encode(frame) {
            self.fail(&error.to_string());
        }
    }

    fn encode(&mut self, frame: Frame) -> Result<(), FrameError> {
        let before = self.tail.len();
        match frame {
            Frame::Data(stream, body) if body.len() >= MIN_UNCOPIED_BODY_BYTES => {
                self.codec
                    .encode_data_header(stream, body.len(), &mut self.tail)?;
                self.queued_bytes += self.tail.len() - before + body.len();
                self.move_tail_to_pieces();
                self.pieces.push_bytes(body);
            }
            frame => {
                self.codec.encode(frame, &mut self.tail)?;
                self.queued_bytes += self.tail.len() - before;
            }
        }
        Ok(())
    }

    /// Adds a request at the end of the queue.
    pub(super) fn put_request(&mut self, request: QueuedRequest) {
        if !self.tail.is_empty() {
            self.move_tail_to_pieces();
        }
        self.pieces.push_request(request);
    }

    fn move_tail_to_pieces(&mut self) {
        let encoded = self.tail.split().freeze();
        self.pieces.push_bytes(encoded);
    }

    /// Removes an unsent request; returns false if the request is not queued, for example because its first byte was sent.
    pub(super) fn withdraw(&mut self, id: u32) -> bool {
        self.pieces.remove_request(id)
    }

    /// Removes every unsent request and ends its call as not sent.
    pub(super) fn drop_unsent(&mut self) {
        self.pieces.end_requests();
    }

    /// Writes until the queue is empty, the socket accepts no more bytes or writing fails.
    pub(super) fn flush(&mut self, socket: &WriteHalf) {
        while !self.is_empty() && self.failure.is_none() {
            let progress = match self.pieces.take_first_request() {
                Some(request) => self.start(request, socket),
                None => self.write_bytes(socket),
            };
            if progress == Progress::SocketFull {
                self.socket_full = true;
                return;
            }
        }
        self.socket_full = false;
        if self.tail.capacity() > MAX_IDLE_BUFFER_BYTES {
            // Releases the buffer of a burst: the connection may now be idle for long.
            self.tail = BytesMut::new();
        }
    }

    /// Composes a request and writes its first bytes. If the socket accepts none, the composed bytes are dropped and the
    /// request is queued again.
    fn start(&mut self, mut request: QueuedRequest, socket: &WriteHalf) -> Progress {
        let Some(head) = (request.compose)() else {
            request.end_unsent();
            return Progress::Made;
        };
        // Restored if no byte is sent: the codec must then encode the preface again.
        let codec_before = self.codec.clone();
        let mut bytes = BytesMut::new();
        if let Err(error) = self
            .codec
            .encode(Frame::Request(request.id, head), &mut bytes)
        {
            self.fail(&error.to_string());
            return Progress::Made;
        }
        match socket.try_write_vectored(&[IoSlice::new(&bytes)]) {
            Ok(0) => self.fail("the socket accepts no more bytes"),
            Ok(written) => {
                bytes.advance(written);
                self.queued_bytes += bytes.len();
                if !bytes.is_empty() {
                    self.pieces.prepend_bytes(bytes.freeze());
                }
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                self.codec = codec_before;
                self.pieces.prepend_request(request);
                return Progress::SocketFull;
            }
            Err(error) => self.fail(&error.to_string()),
        }
        Progress::Made
    }

    /// Writes once, from the encoded bytes in front of the next request.
    fn write_bytes(&mut self, socket: &WriteHalf) -> Progress {
        let mut slices = [IoSlice::new(&[]); MAX_SLICES];
        let count = self.gather(&mut slices);
        match socket.try_write_vectored(&slices[..count]) {
            Ok(0) => self.fail("the socket accepts no more bytes"),
            Ok(written) => self.remove_written(written),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Progress::SocketFull,
            Err(error) => self.fail(&error.to_string()),
        }
        Progress::Made
    }

    /// Fills slices with the encoded bytes in front of the next request; returns the number of slices filled.
    fn gather<'a>(&'a self, slices: &mut [IoSlice<'a>]) -> usize {
        let tail = (!self.pieces.has_requests()).then_some(&self.tail[..]);
        let encoded = self
            .pieces
            .leading_bytes()
            .chain(tail)
            .filter(|bytes| !bytes.is_empty());
        let mut count = 0;
        for (slice, bytes) in slices.iter_mut().zip(encoded) {
            *slice = IoSlice::new(bytes);
            count += 1;
        }
        count
    }

    fn remove_written(&mut self, written: usize) {
        self.queued_bytes -= written;
        let written_of_tail = self.pieces.remove_written(written);
        self.tail.advance(written_of_tail);
    }

    /// Updates the meter by the change in the number of queued bytes since the last call.
    pub(super) fn update_meter(&mut self, meter: &BufferMeter) {
        match self.queued_bytes.checked_sub(self.metered_bytes) {
            Some(more) => meter.add(more),
            None => meter.sub(self.metered_bytes - self.queued_bytes),
        }
        self.metered_bytes = self.queued_bytes;
    }
}
