//! The reader task of a connection.
use super::shared::Shared;
use super::Inbound;
use crate::frame_reader::FrameReader;
use crate::writer::SendTime;
use crate::ConnectionError;
use pointspindle_protocol::streams::*;
use pointspindle_protocol::*;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Number of delivered bytes after which the connection's credit is returned to the peer.
const CREDIT_RETURN_THRESHOLD_BYTES: u32 = CONNECTION_WINDOW / 4;

/// Reason for which the reader task closes the connection.
#[derive(Debug, thiserror::Error)]
enum ReceiveError {
    #[error("the peer closed the connection")]
    PeerClosed,
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error(transparent)]
    Stream(#[from] StreamError),
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    /// The owner has dropped [`super::Incoming`], so that requests cannot be delivered.
    #[error("requests are not accepted on this connection")]
    RequestsNotAccepted,
    /// The owner has dropped [`super::Incoming`], so that control frames cannot be delivered.
    #[error("control frames are not accepted on this connection")]
    ControlNotAccepted,
}

/// Receives frames until the connection closes, and closes the connection after an error.
pub(super) async fn run(
    mut frames: FrameReader<FrameCodec>,
    incoming: mpsc::Sender<Box<Inbound>>,
    shared: Arc<Shared>,
) {
    let mut closed = shared.closed.subscribe();
    let mut receiver = Receiver {
        incoming,
        shared: shared.clone(),
        unreturned_credit: 0,
    };
    loop {
        // The close is not awaited during `receive`: a received frame is processed completely even if the connection
        // closes.
        let frame = tokio::select! {
            frame = frames.next() => frame,
            _ = closed.wait_for(|closed| *closed) => return,
        };
        if let Err(error) = receiver.receive(frame).await {
            return shared.close(&error.to_string());
        }
    }
}

/// Passes received frames to the handles of their streams or to the queue of inbound requests and control frames.
struct Receiver {
    incoming: mpsc::Sender<Box<Inbound>>,
    shared: Arc<Shared>,
    /// Number of delivered bytes for which the connection's credit has not been returned yet.
    unreturned_credit: u32,
}

impl Receiver {
    async fn receive(
        &mut self,
        frame: Option<Result<Frame, FrameError>>,
    ) -> Result<(), ReceiveError> {
        let frame = frame.ok_or(ReceiveError::PeerClosed)??;
        self.shared.record_frame_arrival();
        let body = match &frame {
            Frame::Data(_, data) => data.len() as u32,
            _ => 0,
        };
        self.process(frame).await?;
        self.unreturned_credit += body;
        if self.unreturned_credit >= CREDIT_RETURN_THRESHOLD_BYTES {
            self.shared.return_connection_credit(self.unreturned_credit);
            self.unreturned_credit = 0;
        }
        Ok(())
    }

    async fn process(&self, frame: Frame) -> Result<(), ReceiveError> {
        let request_id = match &frame {
            Frame::Request(id, _) => Some(*id),
            _ => None,
        };
        let received = self.shared.table().streams.receive(frame);
        match (received, request_id) {
            (Ok(Received::Stream { id, frame, closed }), _) => {
                self.process_stream_frame(id, frame, closed).await
            }
            (Ok(Received::Control(frame)), _) => self.process_control(frame).await,
            (Ok(Received::Credit { id, bytes }), _) => {
                if !self.shared.grant_credit(id, bytes) {
                    return Err(StreamError::CreditTooLarge(id).into());
                }
                Ok(())
            }
            (Ok(Received::Ignored { .. }), _) => Ok(()),
            (Err(StreamError::TooManyStreams(max)), Some(id)) => self.reject_request(id, max).await,
            (Err(error), _) => Err(error.into()),
        }
    }

    async fn process_stream_frame(
        &self,
        id: u32,
        frame: Frame,
        closed: bool,
    ) -> Result<(), ReceiveError> {
        let Frame::Request(_, head) = frame else {
            self.shared.deliver(id, frame, closed);
            return Ok(());
        };
        let responder = self.shared.open_responder(id);
        self.forward_inbound(
            Inbound::Request(head, responder),
            ReceiveError::RequestsNotAccepted,
        )
        .await
    }

    async fn process_control(&self, frame: Frame) -> Result<(), ReceiveError> {
        if matches!(frame, Frame::Goaway(_)) {
            self.shared.table().peer_going_away = true;
        }
        self.forward_inbound(Inbound::Control(frame), ReceiveError::ControlNotAccepted)
            .await
    }

    /// Passes a request or control frame to the connection's owner. Waits while the queue is full: reading then pauses, and
    /// the peer is slowed down by its full socket instead of a growing queue.
    async fn forward_inbound(
        &self,
        inbound: Inbound,
        error: ReceiveError,
    ) -> Result<(), ReceiveError> {
        let sent = self.incoming.send(Box::new(inbound)).await;
        sent.map_err(|_| error)
    }

    /// Rejects a request above the limit of open streams; the connection stays open.
    async fn reject_request(&self, id: u32, max_streams: usize) -> Result<(), ReceiveError> {
        let error = ErrorHead {
            status: WireStatus::Rejected as i32,
            detail: format!("{max_streams} streams are open on this connection"),
            ..Default::default()
        };
        self.shared
            .send(Frame::Error(id, error), SendTime::Now)
            .await?;
        Ok(())
    }
}
