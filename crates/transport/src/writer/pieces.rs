//! The ordered entries of a send queue: encoded bytes, and requests that are not composed yet.
use crate::call::{CallEnd, ResponsePart};
use bytes::{Buf, Bytes};
use pointspindle_protocol::RequestHead;
use std::collections::VecDeque;
use tokio::sync::mpsc;

/// Composes a request immediately before its first byte is written; returns `None` if the request must no longer start.
/// Called again later if the socket accepted no byte.
pub type DeferredRequest = Box<dyn FnMut() -> Option<RequestHead> + Send>;

/// A queued request of which no byte was sent. Code that removes it from the queue must end its call
/// ([`QueuedRequest::end_unsent`]), unless the call itself withdrew the request.
pub(crate) struct QueuedRequest {
    pub(crate) id: u32,
    pub(crate) compose: DeferredRequest,
    pub(crate) parts: mpsc::UnboundedSender<Box<ResponsePart>>,
}

impl std::fmt::Debug for QueuedRequest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("QueuedRequest")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

impl QueuedRequest {
    /// Ends the call of the request as not sent.
    pub(super) fn end_unsent(self) {
        let end = ResponsePart::End(CallEnd::NotSent);
        let _ = self.parts.send(Box::new(end));
    }
}

#[derive(Debug)]
enum Piece {
    Bytes(Bytes),
    Request(QueuedRequest),
}

/// The pieces, in the order of sending.
#[derive(Debug, Default)]
pub(super) struct Pieces {
    pieces: VecDeque<Piece>,
    /// Number of pieces that are requests.
    requests: usize,
}

impl Pieces {
    pub(super) fn has_requests(&self) -> bool {
        self.requests > 0
    }

    pub(super) fn push_bytes(&mut self, bytes: Bytes) {
        self.pieces.push_back(Piece::Bytes(bytes));
    }

    pub(super) fn push_request(&mut self, request: QueuedRequest) {
        self.pieces.push_back(Piece::Request(request));
        self.requests += 1;
    }

    /// Prepends the remaining bytes of a request that was sent in part.
    pub(super) fn prepend_bytes(&mut self, bytes: Bytes) {
        self.pieces.push_front(Piece::Bytes(bytes));
    }

    /// Prepends a request of which no byte was sent.
    pub(super) fn prepend_request(&mut self, request: QueuedRequest) {
        self.pieces.push_front(Piece::Request(request));
        self.requests += 1;
    }

    /// Removes and returns the first piece if it is a request.
    pub(super) fn take_first_request(&mut self) -> Option<QueuedRequest> {
        match self.pieces.pop_front()? {
            Piece::Request(request) => {
                self.requests -= 1;
                Some(request)
            }
            bytes => {
                self.pieces.push_front(bytes);
                None
            }
        }
    }

    /// Removes the request of a stream; returns false if there is none.
    pub(super) fn remove_request(&mut self, id: u32) -> bool {
        let is_request =
            |piece: &Piece| matches!(piece, Piece::Request(request) if request.id == id);
        let Some(at) = self.pieces.iter().position(is_request) else {
            return false;
        };
        self.pieces.remove(at);
        self.requests -= 1;
        true
    }

    /// Removes every request and ends its call as not sent.
    pub(super) fn end_requests(&mut self) {
        self.requests = 0;
        for piece in std::mem::take(&mut self.pieces) {
            match piece {
                Piece::Request(request) => request.end_unsent(),
                bytes => self.pieces.push_back(bytes),
            }
        }
    }

    /// Returns the encoded bytes in front of the first request.
    pub(super) fn leading_bytes(&self) -> impl Iterator<Item = &[u8]> {
        self.pieces.iter().map_while(|piece| match piece {
            Piece::Bytes(bytes) => Some(&bytes[..]),
            Piece::Request(_) => None,
        })
    }

    /// Removes written bytes from the front; returns the number of written bytes that were not part of the pieces.
    pub(super) fn remove_written(&mut self, mut written: usize) -> usize {
        while let Some(Piece::Bytes(piece)) = self.pieces.front_mut() {
            let part = written.min(piece.len());
            piece.advance(part);
            written -= part;
            if !piece.is_empty() {
                return 0;
            }
            self.pieces.pop_front();
        }
        if self.pieces.is_empty() {
            // An idle connection holds no memory for pieces.
            self.pieces = VecDeque::new();
        }
        written
    }
}
