//! The two kinds of stream handles: [`Call`] at the caller's side and [`Responder`] at the answerer's.
use crate::connection::Shared;
use crate::credit::Credit;
use crate::writer::SendTime;
use crate::ConnectionError;
use bytes::Bytes;
use pointspindle_protocol::streams::{REDUCED_WINDOW, STREAM_WINDOW};
use pointspindle_protocol::*;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// A part of a response.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponsePart {
    /// The head of the response.
    Head(ResponseHead),
    /// A part of the body.
    Data(Bytes),
    /// The end of the call; the last part.
    End(CallEnd),
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEnd {
    /// The response is complete.
    Complete(EndHead),
    /// The peer answered with an error.
    Error(ErrorHead),
    /// No byte of the request was sent, and none will be.
    NotSent,
    /// The connection closed before the end of the response, for the given reason; the request may have run.
    Broken(String),
}

/// The handle of a request that this side has made. Dropping it before the end of the response cancels the request.
#[derive(Debug)]
pub struct Call {
    pub(crate) id: u32,
    pub(crate) shared: Arc<Shared>,
    pub(crate) parts: mpsc::UnboundedReceiver<Box<ResponsePart>>,
    pub(crate) ended: bool,
    /// Number of consumed body bytes for which the stream's credit has not been returned yet.
    pub(crate) unreturned_credit: u32,
}

impl Call {
    /// Waits for the next part of the response and returns it; returns `None` after the end.
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

    /// Returns the next part of the response if it has been received already.
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

    /// Returns credit for consumed bytes once it amounts to half the window: a credit frame for every chunk would double
    /// the number of frames. While buffer memory is short, the window is reduced by withholding the rest of the credit.
    fn return_credit(&mut self, bytes: u32) {
        let meter = &self.shared.meter;
        meter.sub(bytes as usize);
        self.unreturned_credit += bytes;
        let window = if meter.is_threshold_reached() {
            REDUCED_WINDOW
        } else {
            STREAM_WINDOW
        };
        let withheld = STREAM_WINDOW - window;
        let returned = self.unreturned_credit.saturating_sub(withheld);
        if returned >= window / 2 {
            self.shared.return_credit(self.id, returned);
            self.unreturned_credit -= returned;
        }
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.shared.release_stream(self.id);
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

/// The handle of a request from the peer. Dropping it before its response has ended sends an error that says that the
/// request may have run.
#[derive(Debug)]
pub struct Responder {
    pub(crate) id: u32,
    pub(crate) shared: Arc<Shared>,
    pub(crate) credit: Arc<Credit>,
    /// Whether the peer has cancelled or the connection has closed.
    pub(crate) cancelled: watch::Receiver<bool>,
    /// Number of body bytes sent.
    pub(crate) sent_bytes: u64,
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

    /// Sends the head of the response. It is written together with the first bytes of the body if these follow at once.
    pub async fn head(&mut self, head: ResponseHead) -> Result<(), ConnectionError> {
        self.send(Frame::Head(self.id, head), SendTime::WithNext)
            .await
    }

    /// Sends bytes of the body, waiting for credit as needed. Not cancel-safe: if it is dropped while waiting, a part of
    /// the bytes may have been sent.
    pub async fn data(&mut self, mut data: Bytes) -> Result<(), ConnectionError> {
        while !data.is_empty() {
            let max = data.len().min(MAX_DATA_PAYLOAD) as u32;
            let mut stream_credit = self.take_credit(&self.credit, max).await?;
            while stream_credit > 0 {
                let connection_credit = &self.shared.connection_credit;
                let credit = self.take_credit(connection_credit, stream_credit).await?;
                stream_credit -= credit;
                let piece = data.split_to(credit as usize);
                self.sent_bytes += piece.len() as u64;
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

    /// Ends the response as complete.
    pub async fn end(mut self, load: Option<LoadReport>) -> Result<(), ConnectionError> {
        self.ended = true;
        let end = EndHead {
            bytes: self.sent_bytes,
            load,
        };
        self.send(Frame::End(self.id, end), SendTime::Now).await
    }

    /// Ends the request with an error, before or after the head.
    pub async fn error(mut self, error: ErrorHead) -> Result<(), ConnectionError> {
        self.ended = true;
        self.send(Frame::Error(self.id, error), SendTime::Now).await
    }

    /// Leaves the stream open without ending the response, as a hanging process does. For tests and simulations.
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
        self.shared.release_stream(self.id);
        if !self.ended && !self.is_cancelled() {
            let error = ErrorHead {
                status: WireStatus::Error as i32,
                may_have_run: true,
                detail: "responder dropped without a response".to_owned(),
                ..Default::default()
            };
            self.shared.push(Frame::Error(self.id, error));
        }
    }
}
