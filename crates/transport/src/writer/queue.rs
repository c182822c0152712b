//! What waits for a connection's socket, and its writing.
use super::pieces::{Pieces, QueuedRequest};
use crate::buffer_meter::BufferMeter;
use crate::socket::{WriteHalf, MAX_SLICES};
use bytes::{Buf, BytesMut};
use pointspindle_protocol::{Frame, FrameCodec, FrameError};
use std::io::{ErrorKind, IoSlice};
use tokio_util::codec::Encoder;

/// Bodies of at least this size are not copied on their way to the socket.
const MIN_UNCOPIED_BODY: usize = 8 * 1024;
/// A larger buffer is released once it is empty.
const MAX_IDLE_BUFFER: usize = 1024;

/// Whether the socket accepted bytes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Progress {
    Made,
    SocketFull,
}

/// The queue of a connection, in the order of sending: the pieces, then the tail.
#[derive(Debug, Default)]
pub(super) struct SendQueue {
    codec: FrameCodec,
    pieces: Pieces,
    /// Encoded frames that are being gathered.
    tail: BytesMut,
    /// Encoded bytes of the pieces and the tail.
    queued_bytes: usize,
    /// Of these, the bytes that the meter counts.
    metered_bytes: usize,
    /// The writer's task writes on when the socket accepts more.
    socket_full: bool,
    closing: bool,
    /// Why nothing more is sent.
    failure: Option<String>,
}

impl SendQueue {
    /// Frames may be added.
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

    /// Refuses further frames; what is queued is still sent.
    pub(super) fn close(&mut self) {
        self.closing = true;
    }

    /// Discards everything and refuses further frames.
    pub(super) fn fail(&mut self, reason: &str) {
        self.failure = Some(reason.to_owned());
        self.drop_unsent();
        self.pieces = Pieces::default();
        self.tail = BytesMut::new();
        self.queued_bytes = 0;
    }

    /// Adds a frame; the queue fails if it cannot be encoded.
    pub(super) fn put(&mut self, frame: Frame) {
        if let Err(error) = self.encode(frame) {
            self.fail(&error.to_string());
        }
    }

    fn encode(&mut self, frame: Frame) -> Result<(), FrameError> {
        let before = self.tail.len();
        match frame {
            Frame::Data(stream, body) if body.len() >= MIN_UNCOPIED_BODY => {
                self.codec
                    .encode_data_head(stream, body.len(), &mut self.tail)?;
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

    /// Adds a request behind everything that is queued.
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

    /// Removes a request of which nothing was sent; false if its first byte was.
    pub(super) fn withdraw(&mut self, id: u32) -> bool {
        self.pieces.remove_request(id)
    }

    /// Removes every request of which nothing was sent and ends its call.
    pub(super) fn drop_unsent(&mut self) {
        self.pieces.end_requests();
    }

    /// Writes what the socket accepts.
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
        if self.tail.capacity() > MAX_IDLE_BUFFER {
            // The buffer of a burst is not held by a connection that may be idle for long.
            self.tail = BytesMut::new();
        }
    }

    /// Composes a request and writes its first bytes; if the socket accepts none, the request is queued again uncomposed.
    fn start(&mut self, mut request: QueuedRequest, socket: &WriteHalf) -> Progress {
        let Some(head) = (request.compose)() else {
            request.end_unsent();
            return Progress::Made;
        };
        // Restored if nothing is sent: the preface, too, is then still to be sent.
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
            Ok(0) => self.fail("the socket takes nothing more"),
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

    /// Writes encoded bytes once, as far as the next request.
    fn write_bytes(&mut self, socket: &WriteHalf) -> Progress {
        let mut slices = [IoSlice::new(&[]); MAX_SLICES];
        let count = self.gather(&mut slices);
        match socket.try_write_vectored(&slices[..count]) {
            Ok(0) => self.fail("the socket takes nothing more"),
            Ok(written) => self.remove_written(written),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Progress::SocketFull,
            Err(error) => self.fail(&error.to_string()),
        }
        Progress::Made
    }

    /// Fills slices with the encoded bytes up to the next request; returns how many it filled.
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

    /// Counts the change of the queued bytes since the last call.
    pub(super) fn update_meter(&mut self, meter: &BufferMeter) {
        match self.queued_bytes.checked_sub(self.metered_bytes) {
            Some(more) => meter.add(more),
            None => meter.sub(self.metered_bytes - self.queued_bytes),
        }
        self.metered_bytes = self.queued_bytes;
    }
}
