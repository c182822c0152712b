//! The two handles of a stream: the caller's [`Call`] and the answerer's [`Responder`].
use crate::connection::Shared;
use crate::credit::Credit;
use crate::writer::SendTime;
use crate::ConnectionError;
use bytes::Bytes;
use pointspindle_protocol::streams::{CROWDED_WINDOW, STREAM_WINDOW};
use pointspindle_protocol::*;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// A part of a response.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponsePart {
    /// The head.
    Head(ResponseHead),
    /// A piece of the body.
    Data(Bytes),
    /// The end.
    End(CallEnd),
}

/// How a call ended; nothing follows.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEnd {
    /// The response is complete.
    Complete(EndHead),
    /// The peer answered with an error.
    Error(ErrorHead),
    /// None of its bytes were sent, and none will be.
    NotSent,
    /// The connection has closed for this reason; the work may have run.
    Broken(String),
}

/// A request of this side in flight. Dropped before its end, it is cancelled at the peer.
#[derive(Debug)]
pub struct Call {
    pub(crate) id: u32,
    pub(crate) shared: Arc<Shared>,
    pub(crate) parts: mpsc::UnboundedReceiver<Box<ResponsePart>>,
    pub(crate) ended: bool,
    /// Bytes taken from the stream for which credit has not been returned yet.
    pub(crate) taken: u32,
}

impl Call {
    /// The next part; `None` after the end.
    pub async fn next(&mut self) -> Option<ResponsePart> {
        if self.ended {
            return None;
        }
        let part = match self.parts.recv().await {
            Some(part) => *part,
            None => ResponsePart::End(CallEnd::Broken(self.shared.close_reason())),
        };
        Some(self.accept(part))
    }

    /// The next part if it is available already.
    pub fn try_next(&mut self) -> Option<ResponsePart> {
        if self.ended {
            return None;
        }
        let part = *self.parts.try_recv().ok()?;
        Some(self.accept(part))
    }

    fn accept(&mut self, part: ResponsePart) -> ResponsePart {
        match &part {
            ResponsePart::Data(data) => self.return_credit(data.len() as u32),
            ResponsePart::End(_) => self.ended = true,
            ResponsePart::Head(_) => {}
        }
        part
    }

    /// Returns credit for taken bytes in halves of the window: a frame for every chunk would double the frames. While buffer
    /// memory is short the window is small, and the rest of the credit is withheld.
    fn return_credit(&mut self, bytes: u32) {
        let meter = &self.shared.meter;
        meter.sub(bytes as usize);
        self.taken += bytes;
        let window = if meter.is_crowded() {
            CROWDED_WINDOW
        } else {
            STREAM_WINDOW
        };
        let withheld = STREAM_WINDOW - window;
        let returned = self.taken.saturating_sub(withheld);
        if returned >= window / 2 {
            self.shared.return_credit(self.id, returned);
            self.taken -= returned;
        }
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.shared.forget(self.id);
        while let Ok(part) = self.parts.try_recv() {
            if let ResponsePart::Data(data) = *part {
                self.shared.meter.sub(data.len());
            }
        }
        if !self.ended && !self.shared.withdraw(self.id) {
            let reason = String::new();
            self.shared
                .push(Frame::Cancel(self.id, CancelHead { reason }));
        }
    }
}

/// A request of the peer, to be answered. Dropped without an end, it answers with an error that may have run.
#[derive(Debug)]
pub struct Responder {
    pub(crate) id: u32,
    pub(crate) shared: Arc<Shared>,
    pub(crate) credit: Arc<Credit>,
    /// True once the peer has cancelled or the connection has closed.
    pub(crate) cancelled: watch::Receiver<bool>,
    /// Bytes of body sent.
    pub(crate) sent: u64,
    pub(crate) ended: bool,
}

impl Responder {
    /// Returns when the peer has cancelled or the connection has closed.
    pub async fn cancelled(&self) {
        let mut cancelled = self.cancelled.clone();
        let _ = cancelled.wait_for(|cancelled| *cancelled).await;
    }

    /// Whether the peer has cancelled or the connection has closed.
    pub fn is_cancelled(&self) -> bool {
        *self.cancelled.borrow()
    }

    /// Sends the head of the response, with the first bytes of the body if they follow at once.
    pub async fn head(&mut self, head: ResponseHead) -> Result<(), ConnectionError> {
        self.send(Frame::Head(self.id, head), SendTime::WithNext)
            .await
    }

    /// Sends bytes of the body, waiting for credit. Not cancel-safe: dropped while waiting, it may have sent a part.
    pub async fn data(&mut self, mut data: Bytes) -> Result<(), ConnectionError> {
        while !data.is_empty() {
            let max = data.len().min(MAX_DATA) as u32;
            let mut stream_credit = self.take_credit(&self.credit, max).await?;
            while stream_credit > 0 {
                let connection_credit = &self.shared.connection_credit;
                let credit = self.take_credit(connection_credit, stream_credit).await?;
                stream_credit -= credit;
                let piece = data.split_to(credit as usize);
                self.sent += piece.len() as u64;
                self.send(Frame::Data(self.id, piece), SendTime::WithNext)
                    .await?;
            }
        }
        Ok(())
    }

    async fn take_credit(&self, credit: &Credit, max: u32) -> Result<u32, ConnectionError> {
        let taken = credit.take(max).await;
        taken.ok_or_else(|| self.cancelled_error())
    }

    fn cancelled_error(&self) -> ConnectionError {
        ConnectionError::Cancelled(self.shared.close_reason())
    }

    /// Ends the complete response.
    pub async fn end(mut self, load: Option<LoadReport>) -> Result<(), ConnectionError> {
        self.ended = true;
        let end = EndHead {
            bytes: self.sent,
            load,
        };
        self.send(Frame::End(self.id, end), SendTime::Now).await
    }

    /// Ends the request with an error, before or after the head.
    pub async fn error(mut self, error: ErrorHead) -> Result<(), ConnectionError> {
        self.ended = true;
        self.send(Frame::Error(self.id, error), SendTime::Now).await
    }

    /// Leaves the stream without an end, as a process that hangs does. For tests and simulations.
    pub fn abandon(mut self) {
        self.ended = true;
    }

    async fn send(&self, frame: Frame, time: SendTime) -> Result<(), ConnectionError> {
        if self.is_cancelled() {
            return Err(self.cancelled_error());
        }
        self.shared.send(frame, time).await
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        self.shared.forget(self.id);
        if !self.ended && !self.is_cancelled() {
            let error = ErrorHead {
                status: WireStatus::Error as i32,
                may_have_run: true,
                detail: "dropped unanswered".to_owned(),
                ..Default::default()
            };
            self.shared.push(Frame::Error(self.id, error));
        }
    }
}
