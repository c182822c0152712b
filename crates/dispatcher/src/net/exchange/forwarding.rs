//! Forwards a response to the client: its head, its body at the client's pace, and its end.
use super::super::core_handle::{EndpointTransport, UpstreamCall};
use super::resumption::DeliveryProgress;
use super::{attempt_end, ClientDisconnected, ClientStream, Exchange, RequestOutcome};
use crate::core::AttemptEnd;
use bytes::Bytes;
use pointspindle_protocol::ResponseHead;
use pointspindle_transport::{CallEnd, ResponsePart};
use std::ops::ControlFlow;

/// Result of forwarding a response.
pub(super) enum ForwardingOutcome {
    /// The request has ended with this outcome.
    Ended(RequestOutcome),
    /// The endpoint's side failed and its attempt has ended: the response can be resumed or aborted.
    EndpointFailed,
}

const CLIENT_DISCONNECTED: ForwardingOutcome =
    ForwardingOutcome::Ended(RequestOutcome::ClientDisconnected);

/// The next event of a response.
enum NextPart {
    Part(ResponsePart),
    /// The core has ended the attempt, or the call has ended without an end part.
    EndpointFailed,
    ClientDisconnected,
}

impl<S: EndpointTransport> Exchange<'_, S> {
    /// Streams a response to the client until the response is complete, the endpoint fails or the client disconnects.
    /// `head` is `None` if the head has been forwarded already.
    pub(super) async fn forward_response<C: ClientStream>(
        &mut self,
        client: &mut C,
        attempt: u32,
        mut call: S::Call,
        head: Option<ResponseHead>,
        progress: &mut Option<DeliveryProgress>,
    ) -> ForwardingOutcome {
        // A client that has received all bytes may disconnect before the end part arrives from the endpoint.
        let mut missing_bytes = progress.as_ref().map(DeliveryProgress::missing_bytes);
        if let Some(head) = head {
            if let ControlFlow::Break(outcome) = self.forward_head(client, &head).await {
                return outcome;
            }
            missing_bytes = self.body_size(&head);
        }
        loop {
            let part = match self.next_part(client, &mut call, missing_bytes).await {
                NextPart::Part(part) => part,
                NextPart::EndpointFailed => return ForwardingOutcome::EndpointFailed,
                NextPart::ClientDisconnected => return CLIENT_DISCONNECTED,
            };
            match part {
                ResponsePart::Data(data) => {
                    let bytes = data.len() as u64;
                    missing_bytes = missing_bytes.map(|missing| missing.saturating_sub(bytes));
                    let forwarded = self.forward_data(client, data, progress).await;
                    if let ControlFlow::Break(outcome) = forwarded {
                        return outcome;
                    }
                }
                ResponsePart::End(CallEnd::Complete(_)) => {
                    return self.complete(client, attempt).await;
                }
                ResponsePart::End(end) => {
                    self.report_attempt_end(attempt, attempt_end(end));
                    return ForwardingOutcome::EndpointFailed;
                }
                ResponsePart::Head(_) => {}
            }
        }
    }

    async fn forward_head<C: ClientStream>(
        &mut self,
        client: &mut C,
        head: &ResponseHead,
    ) -> ControlFlow<ForwardingOutcome> {
        self.core
            .metrics
            .first_byte(self.class, self.started_at.elapsed());
        tokio::select! {
            biased;
            _ = self.commands.recv() => ControlFlow::Break(ForwardingOutcome::EndpointFailed),
            written = client.head(head) => match written {
                Ok(()) => ControlFlow::Continue(()),
                Err(ClientDisconnected) => ControlFlow::Break(CLIENT_DISCONNECTED),
            },
        }
    }

    /// Returns the size of the body that follows a head, in bytes; `None` if it is not known.
    fn body_size(&self, head: &ResponseHead) -> Option<u64> {
        let bodyless =
            head.not_modified || head.unsatisfiable || self.incoming.head_template.head_only;
        if bodyless {
            Some(0)
        } else {
            head.size
        }
    }

    /// Returns the next part of the response. Flushes the client's buffered bytes before waiting.
    async fn next_part<C: ClientStream>(
        &mut self,
        client: &mut C,
        call: &mut S::Call,
        missing_bytes: Option<u64>,
    ) -> NextPart {
        if let Some(part) = call.try_next() {
            return NextPart::Part(part);
        }
        let wait = async {
            client.flush().await?;
            tokio::select! {
                part = call.next() => Ok(part),
                _ = client.disconnected(), if missing_bytes != Some(0) => Err(ClientDisconnected),
            }
        };
        tokio::select! {
            biased;
            _ = self.commands.recv() => NextPart::EndpointFailed,
            part = wait => match part {
                Ok(Some(part)) => NextPart::Part(part),
                Ok(None) => NextPart::EndpointFailed,
                Err(ClientDisconnected) => NextPart::ClientDisconnected,
            },
        }
    }

    async fn forward_data<C: ClientStream>(
        &mut self,
        client: &mut C,
        data: Bytes,
        progress: &mut Option<DeliveryProgress>,
    ) -> ControlFlow<ForwardingOutcome> {
        let bytes = data.len() as u64;
        let written = tokio::select! {
            biased;
            _ = self.commands.recv() => None,
            written = client.data(data) => Some(written),
        };
        match written {
            Some(Ok(())) => {
                if let Some(progress) = progress {
                    progress.add_delivered(bytes);
                }
                ControlFlow::Continue(())
            }
            Some(Err(ClientDisconnected)) => ControlFlow::Break(CLIENT_DISCONNECTED),
            None => {
                // It is not known how many bytes of this part were sent, so the response cannot be resumed after it.
                *progress = None;
                ControlFlow::Break(ForwardingOutcome::EndpointFailed)
            }
        }
    }

    async fn complete<C: ClientStream>(
        &mut self,
        client: &mut C,
        attempt: u32,
    ) -> ForwardingOutcome {
        let ended = client.end().await;
        self.report_attempt_end(attempt, AttemptEnd::Complete);
        match ended {
            Ok(()) => ForwardingOutcome::Ended(RequestOutcome::Served),
            Err(ClientDisconnected) => CLIENT_DISCONNECTED,
        }
    }
}
