//! Runs one request: executes the core's commands from the first attempt to the final response.
//!
//! A transfer buffers at most one stream window of unread body from the endpoint, one chunk being forwarded, and the
//! send buffer of the client's connection. A slow client therefore stalls only its own stream at the endpoint.
//!
//! [`attempts`] runs attempts until one of them receives a response head, [`forwarding`] forwards that response to the
//! client, and [`resumption`] requests the remainder from another endpoint when an endpoint fails in the middle of a
//! body.
mod attempts;
mod client_stream;
mod forwarding;
mod resumption;

pub use super::request_outcome::RequestOutcome;
pub use client_stream::{ClientDisconnected, ClientStream};

use super::core_handle::{CoreHandle, EndpointTransport, RequestCommand};
use crate::core::{AttemptEnd, ClientRequest, Input};
use attempts::{AttemptsOutcome, StartedResponse};
use bytes::Bytes;
use forwarding::ForwardingOutcome;
use pointspindle::Micros;
use pointspindle_protocol::RequestHead;
use pointspindle_transport::CallEnd;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::Instant;

/// A client's request, before the core adds the fields that depend on the endpoint.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// Properties of the request on which the core bases its decisions.
    pub request: ClientRequest,
    /// Request head of each attempt; the core fills in the remaining fields.
    pub head_template: RequestHead,
    /// Body of a write request; empty where the protocol has no request bodies.
    pub body: Bytes,
}

/// Runs a request to its end and returns its outcome. The request is removed from the core's table in every case, also
/// on a panic.
pub async fn run<S: EndpointTransport, C: ClientStream>(
    core: &Arc<CoreHandle<S>>,
    incoming: IncomingRequest,
    client: &mut C,
) -> RequestOutcome {
    let started_at = Instant::now();
    let class = incoming.request.class;
    let (id, commands) = match core.open_request(incoming.request.clone()) {
        Ok(open) => open,
        Err(retry_after) => {
            core.metrics.requests_over_budget.inc();
            let outcome = if core.may_have_run(incoming.request.idempotency_key) {
                client.fail().await;
                RequestOutcome::Failed
            } else {
                reject_over_budget(core, client, retry_after).await;
                RequestOutcome::Rejected
            };
            core.metrics
                .request_ended(class, outcome, started_at.elapsed());
            return outcome;
        }
    };
    let mut exchange = Exchange {
        core,
        open_request: OpenRequestGuard { core, id },
        class,
        incoming,
        commands,
        started_at,
        previous_attempts: 0,
    };
    let outcome = exchange.run(client).await;
    if matches!(outcome, RequestOutcome::ClientDisconnected) {
        core.apply(Input::ClientDisconnected(exchange.open_request.id));
    }
    drop(exchange);
    core.metrics
        .request_ended(class, outcome, started_at.elapsed());
    log_outcome(outcome, started_at.elapsed());
    outcome
}

/// Rejects a request that exceeds the request budget. It has reached neither the core nor an endpoint.
async fn reject_over_budget<S: EndpointTransport, C: ClientStream>(
    core: &CoreHandle<S>,
    client: &mut C,
    retry_after: Micros,
) {
    let router = &core.settings.router;
    let retry_after = router
        .retry_after
        .then_some(retry_after.min(router.max_retry_after));
    client.reject(retry_after).await;
}

fn log_outcome(request_outcome: RequestOutcome, duration: Duration) {
    let outcome = request_outcome.as_str();
    let duration_us = duration.as_micros() as u64;
    match request_outcome {
        RequestOutcome::Served => tracing::debug!(outcome, duration_us, "request ended"),
        _ => tracing::info!(outcome, duration_us, "request ended"),
    }
}

/// Removes the request from the core's table when dropped.
struct OpenRequestGuard<'a, S: EndpointTransport> {
    core: &'a Arc<CoreHandle<S>>,
    id: u64,
}

impl<S: EndpointTransport> Drop for OpenRequestGuard<'_, S> {
    fn drop(&mut self) {
        self.core.close_request(self.id);
    }
}

/// State of one request. Every path ends with exactly one final method of [`ClientStream`], unless the client
/// disconnects.
struct Exchange<'a, S: EndpointTransport> {
    core: &'a Arc<CoreHandle<S>>,
    open_request: OpenRequestGuard<'a, S>,
    class: usize,
    incoming: IncomingRequest,
    commands: UnboundedReceiver<RequestCommand>,
    started_at: Instant,
    /// Maximum number of attempts of the core requests that preceded a resumption. Added to attempt numbers, so that
    /// they keep increasing from the endpoints' point of view.
    previous_attempts: u32,
}

impl<S: EndpointTransport> Exchange<'_, S> {
    async fn run<C: ClientStream>(&mut self, client: &mut C) -> RequestOutcome {
        let response = match self.run_attempts(client).await {
            AttemptsOutcome::ResponseStarted(response) => response,
            AttemptsOutcome::Rejected { retry_after } => {
                client.reject(retry_after).await;
                return RequestOutcome::Rejected;
            }
            AttemptsOutcome::Failed => {
                client.fail().await;
                return RequestOutcome::Failed;
            }
            AttemptsOutcome::ClientDisconnected => return RequestOutcome::ClientDisconnected,
        };
        self.deliver(client, response).await
    }

    /// Forwards the response to the client, and resumes it from another endpoint when one fails in the middle of the
    /// body.
    async fn deliver<C: ClientStream>(
        &mut self,
        client: &mut C,
        response: StartedResponse<S::Call>,
    ) -> RequestOutcome {
        let StartedResponse {
            mut attempt,
            mut call,
            head,
        } = response;
        let mut progress = self.initial_progress(&head);
        let mut unsent_head = Some(head);
        loop {
            let forwarded = self
                .forward_response(client, attempt, call, unsent_head.take(), &mut progress)
                .await;
            match forwarded {
                ForwardingOutcome::Ended(outcome) => return outcome,
                ForwardingOutcome::EndpointFailed => {}
            }
            match self.resume(client, &mut progress).await {
                AttemptsOutcome::ResponseStarted(remainder) => {
                    attempt = remainder.attempt;
                    call = remainder.call;
                }
                AttemptsOutcome::ClientDisconnected => return RequestOutcome::ClientDisconnected,
                AttemptsOutcome::Rejected { .. } | AttemptsOutcome::Failed => {
                    client.abort().await;
                    return RequestOutcome::Truncated;
                }
            }
        }
    }

    fn report_attempt_end(&self, attempt: u32, end: AttemptEnd) {
        self.core.apply(Input::AttemptEnded {
            request: self.open_request.id,
            attempt,
            end,
        });
    }
}

/// Converts the end of a call to the core's type.
fn attempt_end(end: CallEnd) -> AttemptEnd {
    match end {
        CallEnd::Complete(_) => AttemptEnd::Complete,
        CallEnd::Broken(_) => AttemptEnd::ConnectionLost,
        CallEnd::NotSent => AttemptEnd::NotSent,
        CallEnd::Error(e) => AttemptEnd::ErrorReported {
            status: e.status(),
            cache_status: e.cache_status(),
            may_have_run: e.may_have_run,
        },
    }
}
