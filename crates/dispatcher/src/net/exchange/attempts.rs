//! Runs the attempts that the core commands for a request, until one of them receives a response head.
use super::super::core_handle::{
    AttemptId, CoreHandle, EndpointTransport, RequestCommand, UpstreamCall,
};
use super::{attempt_end, ClientStream, Exchange};
use crate::core::{AddressedFetch, AttemptEnd, Input};
use bytes::Bytes;
use pointspindle::Micros;
use pointspindle_protocol::{FetchHead, RequestHead, ResponseHead};
use pointspindle_transport::ResponsePart;
use std::sync::Arc;

/// An attempt in progress. Dropping it cancels it at its endpoint.
struct Attempt<C> {
    id: AttemptId,
    endpoint: String,
    request: RequestHead,
    /// The call at the endpoint; `None` while connecting.
    call: Option<C>,
    /// Response head that has been received. It is forwarded only on the core's command.
    head: Option<ResponseHead>,
}

/// A response whose head has been received and whose body has not been read yet.
pub(super) struct StartedResponse<C> {
    pub attempt: u32,
    pub call: C,
    pub head: ResponseHead,
}

/// Result of the attempts of a request.
pub(super) enum AttemptsOutcome<C> {
    ResponseStarted(StartedResponse<C>),
    Rejected { retry_after: Option<Micros> },
    Failed,
    ClientDisconnected,
}

/// An event that occurred while waiting for a response head.
enum AttemptEvent<C> {
    Command(Option<RequestCommand>),
    ClientDisconnected,
    Connected(Result<C, AttemptEnd>),
    Response(ResponsePart),
}

impl<S: EndpointTransport> Exchange<'_, S> {
    /// Executes the core's commands until the response of one attempt is to be forwarded or the request has ended
    /// without one.
    pub(super) async fn run_attempts<C: ClientStream>(
        &mut self,
        client: &mut C,
    ) -> AttemptsOutcome<S::Call> {
        let mut current: Option<Attempt<S::Call>> = None;
        loop {
            let event = tokio::select! {
                biased;
                // Commands are polled first, so that a response that arrives together with its cancellation is not
                // forwarded; then the client, so that no attempt is made for a client that has disconnected.
                command = self.commands.recv() => AttemptEvent::Command(command),
                _ = client.disconnected() => AttemptEvent::ClientDisconnected,
                event = advance(self.core, &self.incoming.body, &mut current) => event,
            };
            match event {
                AttemptEvent::ClientDisconnected => return AttemptsOutcome::ClientDisconnected,
                AttemptEvent::Command(None) => {
                    // The command channel is closed. The client is still connected and must receive a final response.
                    tracing::error!("command channel of a request closed without a final command; request fails");
                    drop(current.take());
                    self.core
                        .apply(Input::ClientDisconnected(self.open_request.id));
                    return AttemptsOutcome::Failed;
                }
                AttemptEvent::Command(Some(command)) => {
                    if let Some(outcome) = self.execute(command, &mut current) {
                        return outcome;
                    }
                }
                AttemptEvent::Connected(Ok(call)) => {
                    if let Some(attempt) = &mut current {
                        attempt.call = Some(call);
                    }
                }
                AttemptEvent::Connected(Err(end)) => self.attempt_ended(current.take(), end),
                AttemptEvent::Response(ResponsePart::Head(head)) => {
                    if let Some(attempt) = &mut current {
                        self.response_started(attempt, head);
                    }
                }
                AttemptEvent::Response(ResponsePart::Data(_)) => {}
                AttemptEvent::Response(ResponsePart::End(end)) => {
                    self.attempt_ended(current.take(), attempt_end(end));
                }
            }
        }
    }

    /// Executes one command. Returns the outcome if the command ends the attempts.
    fn execute(
        &mut self,
        command: RequestCommand,
        current: &mut Option<Attempt<S::Call>>,
    ) -> Option<AttemptsOutcome<S::Call>> {
        match command {
            RequestCommand::Send {
                attempt,
                endpoint,
                timeout,
                fetch,
            } => {
                tracing::debug!(attempt, endpoint, ?fetch, "attempt started");
                *current = Some(self.new_attempt(attempt, endpoint, timeout, fetch));
                None
            }
            RequestCommand::CancelAttempt { attempt } => {
                // Dropping the call notifies the endpoint before the next attempt is sent.
                *current = current.take().filter(|a| a.id.attempt != attempt);
                None
            }
            RequestCommand::ForwardResponse { attempt } => {
                let found = current.take().filter(|a| a.id.attempt == attempt)?;
                Some(AttemptsOutcome::ResponseStarted(StartedResponse {
                    attempt,
                    call: found.call?,
                    head: found.head?,
                }))
            }
            RequestCommand::Reject { retry_after } => {
                drop(current.take());
                Some(AttemptsOutcome::Rejected { retry_after })
            }
            RequestCommand::Fail | RequestCommand::AbortResponse => {
                drop(current.take());
                Some(AttemptsOutcome::Failed)
            }
        }
    }

    fn new_attempt(
        &self,
        attempt: u32,
        endpoint: String,
        timeout: Micros,
        fetch: Option<AddressedFetch>,
    ) -> Attempt<S::Call> {
        let request = RequestHead {
            fetch: fetch.map(fetch_head),
            time_left_us: timeout,
            attempt: self.previous_attempts + attempt,
            ..self.incoming.head_template.clone()
        };
        Attempt {
            id: AttemptId {
                request: self.open_request.id,
                attempt,
            },
            endpoint,
            request,
            call: None,
            head: None,
        }
    }

    fn response_started(&self, attempt: &mut Attempt<S::Call>, head: ResponseHead) {
        let cache_status = head.cache_status();
        let number = attempt.id.attempt;
        tracing::debug!(attempt = number, cache_status = ?cache_status, "response head received");
        // The size of a response without a body says nothing about the cost of sending it.
        let size = head
            .size
            .filter(|_| !head.not_modified && head.origin_status == 0);
        attempt.head = Some(head);
        self.core.apply(Input::ResponseStarted {
            request: self.open_request.id,
            attempt: number,
            cache_status,
            size,
        });
    }

    fn attempt_ended(&self, attempt: Option<Attempt<S::Call>>, end: AttemptEnd) {
        let Some(attempt) = attempt else { return };
        let number = attempt.id.attempt;
        tracing::debug!(attempt = number, endpoint = %attempt.endpoint, ?end, "attempt ended");
        self.report_attempt_end(number, end);
    }
}

fn fetch_head(fetch: AddressedFetch) -> FetchHead {
    FetchHead {
        source: fetch.source.unwrap_or_default(),
        retention_rank: fetch.retention_rank as u32,
        max_age_us: fetch.max_age,
        coalesce: fetch.coalesce,
        only_if_cached: fetch.only_if_cached,
        revalidate: fetch.revalidate,
    }
}

/// Advances the current attempt. Never completes if there is no attempt or if its response head awaits the core's
/// command.
async fn advance<S: EndpointTransport>(
    core: &Arc<CoreHandle<S>>,
    body: &Bytes,
    current: &mut Option<Attempt<S::Call>>,
) -> AttemptEvent<S::Call> {
    match current {
        Some(Attempt {
            head: None,
            call: Some(call),
            ..
        }) => match call.next().await {
            Some(part) => AttemptEvent::Response(part),
            None => std::future::pending().await,
        },
        Some(Attempt {
            id,
            call: None,
            endpoint,
            request,
            ..
        }) => AttemptEvent::Connected(S::call(core, *id, endpoint, request.clone(), body).await),
        _ => std::future::pending().await,
    }
}
