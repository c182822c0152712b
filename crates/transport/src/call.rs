//! The two handles of a stream: the caller's [`Call`] and the answerer's [`Responder`].
use crate::credit::Credit;
use crate::tasks::Shared;
use crate::writer::When;
use crate::ConnectionError;
use bytes::Bytes;
use pointspindle_protocol::streams::{CROWDED_WINDOW, STREAM_WINDOW};
use pointspindle_protocol::*;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// What comes back on a call.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponsePart {
    Head(ResponseHead),
    Data(Bytes),
    End(CallEnd),
}

/// How a call ended; nothing comes after it.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEnd {
    Complete(EndHead),
    Error(ErrorHead),
    /// None of its bytes went out, and none will.
    NotSent,
    /// The connection is gone; the work may have run.
    Broken(String),
}

/// A request of ours under way. Dropped before its end, it is cancelled at the peer.
#[derive(Debug)]
pub struct Call {
    pub(crate) id: u32,
    pub(crate) shared: Arc<Shared>,
    pub(crate) parts: mpsc::UnboundedReceiver<Box<ResponsePart>>,
    pub(crate) ended: bool,
    /// Bytes taken whose credit has not been given back yet.
    pub(crate) taken: u32,
}

impl Call {
    /// The next part; none after the end.
    pub async fn next(&mut self) -> Option<ResponsePart> {
        if self.ended {
            return None;
        }
        let part = self.parts.recv().await;
        let part = part.map(|part| *part);
        let part =
            part.unwrap_or_else(|| ResponsePart::End(CallEnd::Broken(self.shared.why_closed())));
        Some(self.noted(part))
    }

    /// The next part if it is there already.
    pub fn try_next(&mut self) -> Option<ResponsePart> {
        if self.ended {
            return None;
        }
        let part = *self.parts.try_recv().ok()?;
        Some(self.noted(part))
    }

    fn noted(&mut self, part: ResponsePart) -> ResponsePart {
        match &part {
            ResponsePart::Data(data) => self.took(data.len() as u32),
            ResponsePart::End(_) => self.ended = true,
            ResponsePart::Head(_) => {}
        }
        part
    }

    /// Gives credit back in halves of the window: a frame for every chunk would double the frames. In a crowd the
    /// window is small: the rest of it is kept back until there is room again.
    fn took(&mut self, bytes: u32) {
        let meter = &self.shared.meter;
        meter.sub(bytes as usize);
        self.taken += bytes;
        let window = if meter.is_crowded() {
            CROWDED_WINDOW
        } else {
            STREAM_WINDOW
        };
        let back = self.taken.saturating_sub(STREAM_WINDOW - window);
        if back >= window / 2 {
            self.shared.give_back(self.id, back);
            self.taken -= back;
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
    pub(crate) gone: watch::Receiver<bool>,
    pub(crate) sent: u64,
    pub(crate) ended: bool,
}

impl Responder {
    /// Returns when the peer has cancelled or the connection is gone.
    pub async fn cancelled(&self) {
        let mut gone = self.gone.clone();
        let _ = gone.wait_for(|gone| *gone).await;
    }

    pub fn is_cancelled(&self) -> bool {
        *self.gone.borrow()
    }

    pub async fn head(&mut self, head: ResponseHead) -> Result<(), ConnectionError> {
        self.send(Frame::Head(self.id, head), When::WithNext).await
    }

    /// Sends bytes of the body, waiting for credit. Cancel-safe only between calls.
    pub async fn data(&mut self, mut data: Bytes) -> Result<(), ConnectionError> {
        while !data.is_empty() {
            let want = data.len().min(MAX_DATA) as u32;
            let closed = || ConnectionError::Cancelled(self.shared.why_closed());
            let got = self.credit.take(want).await.ok_or_else(closed)?;
            let mut left = got;
            while left > 0 {
                let now = self
                    .shared
                    .connection_credit
                    .take(left)
                    .await
                    .ok_or_else(closed)?;
                let piece = data.split_to(now as usize);
                self.sent += piece.len() as u64;
                left -= now;
                self.send(Frame::Data(self.id, piece), When::WithNext)
                    .await?;
            }
        }
        Ok(())
    }

    /// The complete end.
    pub async fn end(mut self, load: Option<LoadReport>) -> Result<(), ConnectionError> {
        self.ended = true;
        let bytes = self.sent;
        self.send(Frame::End(self.id, EndHead { bytes, load }), When::Now)
            .await
    }

    /// The other end, before or after the head.
    pub async fn error(mut self, error: ErrorHead) -> Result<(), ConnectionError> {
        self.ended = true;
        self.send(Frame::Error(self.id, error), When::Now).await
    }

    /// Leaves the stream without a word, as a process that hangs would. For stand-ins.
    pub fn abandon(mut self) {
        self.ended = true;
    }

    async fn send(&self, frame: Frame, when: When) -> Result<(), ConnectionError> {
        if self.is_cancelled() {
            return Err(ConnectionError::Cancelled(self.shared.why_closed()));
        }
        self.shared.send(frame, when).await
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        self.shared.forget(self.id);
        if !self.ended && !self.is_cancelled() {
            let detail = "dropped unanswered".to_owned();
            let error = ErrorHead {
                status: WireStatus::Error as i32,
                may_have_run: true,
                detail,
                ..Default::default()
            };
            self.shared.push(Frame::Error(self.id, error));
        }
    }
}
