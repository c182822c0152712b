//! The client side of an exchange over FastCGI: assembles the complete response and passes it to the writer.
use super::response_writer::{HttpStatus, Outgoing, ResponseSender};
use bytes::Bytes;
use pointspindle::Micros;
use pointspindle_dispatcher::net::exchange::{ClientDisconnected, ClientStream};
use pointspindle_protocol::ResponseHead;
use tokio_util::sync::CancellationToken;

/// The client side of one request.
pub(super) struct FastCgiClient {
    /// Id of the request on its connection.
    pub id: u16,
    /// Queue of the session's writer.
    pub responses: ResponseSender,
    /// Cancelled when the client aborts the request, when the request ends, and when the session ends.
    pub cancelled: CancellationToken,
    head: Option<ResponseHead>,
    body: Vec<Bytes>,
}

impl FastCgiClient {
    /// Creates the client side of a request that begins.
    pub fn new(id: u16, responses: ResponseSender, cancelled: CancellationToken) -> Self {
        Self {
            id,
            responses,
            cancelled,
            head: None,
            body: Vec::new(),
        }
    }

    fn send(&self, outgoing: Outgoing) -> Result<(), ClientDisconnected> {
        if self.responses.send(outgoing) {
            Ok(())
        } else {
            Err(ClientDisconnected)
        }
    }
}

impl ClientStream for FastCgiClient {
    async fn disconnected(&mut self) {
        self.cancelled.cancelled().await;
    }

    async fn head(&mut self, head: &ResponseHead) -> Result<(), ClientDisconnected> {
        self.head = Some(head.clone());
        Ok(())
    }

    async fn data(&mut self, data: Bytes) -> Result<(), ClientDisconnected> {
        self.body.push(data);
        Ok(())
    }

    async fn flush(&mut self) -> Result<(), ClientDisconnected> {
        Ok(())
    }

    async fn end(&mut self) -> Result<(), ClientDisconnected> {
        let not_modified = self.head.take().is_some_and(|head| head.not_modified);
        // The body is nearly always one piece.
        let body = match self.body.len() {
            0 | 1 => self.body.pop().unwrap_or_default(),
            _ => Bytes::from(self.body.concat()),
        };
        let fields = if not_modified { "X-Ok304: 1\r\n" } else { "" };
        self.send(Outgoing::response(self.id, HttpStatus::Ok, fields, body))
    }

    async fn reject(&mut self, retry_after: Option<Micros>) {
        let _ = self.send(Outgoing::rejection(self.id, retry_after));
    }

    async fn fail(&mut self) {
        let _ = self.send(Outgoing::empty_response(self.id, HttpStatus::BadGateway));
    }

    /// Sends an error response, which is still possible since no byte of the response is sent before it is complete.
    async fn abort(&mut self) {
        self.fail().await;
    }
}
