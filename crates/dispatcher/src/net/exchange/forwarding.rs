//! Forwards a response to the client: its head, its body as the client takes it, and its end.
use super::super::core_handle::{EndpointTransport, UpstreamCall};
use super::resumption::DeliveryProgress;
use super::{attempt_end, ClientDisconnected, ClientStream, Exchange, RequestOutcome};
use crate::core::AttemptEnd;
use bytes::Bytes;
use pointspindle_protocol::ResponseHead;
use pointspindle_transport::{CallEnd, ResponsePart};
use std::ops::ControlFlow;

/// How forwarding a response ended.
pub(super) enum ForwardingOutcome {
    /// The request has its outcome.
    Ended(RequestOutcome),
    /// The endpoint's side broke, and nothing of it is under way any more: it can be resumed or aborted.
    EndpointBroke,
}

const CLIENT_DISCONNECTED: ForwardingOutcome =
    ForwardingOutcome::Ended(RequestOutcome::ClientDisconnected);

/// What came next of a response.
enum NextPart {
    Part(ResponsePart),
    /// The core has ended the attempt, or the call is over without an end.
    EndpointBroke,
    ClientDisconnected,
}

impl<S: EndpointTransport> Exchange<'_, S> {
    /// Streams a response to the client until it is complete, broken, or the client has left. `head`: none where it was
    /// forwarded before.
    pub(super) async fn forward_response<C: ClientStream>(
        &mut self,
        client: &mut C,
        attempt: u32,
        mut call: S::Call,
        head: Option<ResponseHead>,
        progress: &mut Option<DeliveryProgress>,
    ) -> ForwardingOutcome {
        // A client that has all bytes may leave before the endpoint's end arrives.
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
                NextPart::EndpointBroke => return ForwardingOutcome::EndpointBroke,
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
                    return ForwardingOutcome::EndpointBroke;
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
            _ = self.commands.recv() => ControlFlow::Break(ForwardingOutcome::EndpointBroke),
            written = client.head(head) => match written {
                Ok(()) => ControlFlow::Continue(()),
                Err(ClientDisconnected) => ControlFlow::Break(CLIENT_DISCONNECTED),
            },
        }
    }

    /// Bytes of body that follow a head; none where that is not known.
    fn body_size(&self, head: &ResponseHead) -> Option<u64> {
        let bodyless =
            head.not_modified || head.unsatisfiable || self.incoming.head_template.head_only;
        if bodyless {
            Some(0)
        } else {
            head.size
        }
    }

    /// The next part; what the client has buffered is flushed before a wait.
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
            _ = self.commands.recv() => NextPart::EndpointBroke,
            part = wait => match part {
                Ok(Some(part)) => NextPart::Part(part),
                Ok(None) => NextPart::EndpointBroke,
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
                // How much of this piece went out is not known: the response cannot be resumed behind it.
                *progress = None;
                ControlFlow::Break(ForwardingOutcome::EndpointBroke)
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
