//! One request: carries out the core's commands, from the first attempt to the final response.
//!
//! In flight for a transfer: at most one stream window of unread body from the endpoint, one chunk in hand, and what the
//! client's connection has buffered. A client that reads slowly stops its own stream at the endpoint.
//!
//! [`attempts`] runs attempts until one answers, [`forwarding`] passes its response on to the client, and [`resumption`]
//! requests the remainder where an endpoint dies in the middle of a body.
mod attempts;
mod client_stream;
mod forwarding;
mod resumption;

pub use super::request_outcome::RequestOutcome;
pub use client_stream::{ClientDisconnected, ClientStream};

use super::core_handle::{CoreHandle, EndpointTransport, RequestCommand};
use crate::core::{AttemptEnd, ClientRequest, Input};
use attempts::{Answer, AttemptsOutcome};
use bytes::Bytes;
use forwarding::ForwardingOutcome;
use pointspindle::Micros;
use pointspindle_protocol::RequestHead;
use pointspindle_transport::CallEnd;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::Instant;

/// A request as it goes to endpoints, without what the core adds.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// What the core decides by.
    pub request: ClientRequest,
    /// The head of each attempt, but for what the core fills in.
    pub head_template: RequestHead,
    /// Of a write, where the protocol has one.
    pub body: Bytes,
}

/// Runs a request to its end. It leaves the request table on every way out, a panic's included.
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
            reject_over_budget(core, client, retry_after).await;
            core.metrics.requests_over_budget.inc();
            let outcome = RequestOutcome::Rejected;
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
        attempts_before: 0,
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

/// Over the request budget: nothing of this request has reached the core or an endpoint.
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

fn log_outcome(outcome: RequestOutcome, took: Duration) {
    let fate = outcome.as_str();
    let us = took.as_micros() as u64;
    match outcome {
        RequestOutcome::Served => tracing::debug!(fate, us, "request ended"),
        _ => tracing::info!(fate, us, "request ended"),
    }
}

/// Takes the request off the core's table when dropped.
struct OpenRequestGuard<'a, S: EndpointTransport> {
    core: &'a Arc<CoreHandle<S>>,
    id: u64,
}

impl<S: EndpointTransport> Drop for OpenRequestGuard<'_, S> {
    fn drop(&mut self) {
        self.core.close_request(self.id);
    }
}

/// The state machine of one request. Its end owes the client exactly one final call of [`ClientStream`].
struct Exchange<'a, S: EndpointTransport> {
    core: &'a Arc<CoreHandle<S>>,
    open_request: OpenRequestGuard<'a, S>,
    class: usize,
    incoming: IncomingRequest,
    commands: UnboundedReceiver<RequestCommand>,
    started_at: Instant,
    /// Attempts that earlier requests to the core could make, before a resumption: numbers go on, as endpoints see them.
    attempts_before: u32,
}

impl<S: EndpointTransport> Exchange<'_, S> {
    async fn run<C: ClientStream>(&mut self, client: &mut C) -> RequestOutcome {
        let answer = match self.run_attempts(client).await {
            AttemptsOutcome::Answered(answer) => answer,
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
        self.deliver(client, answer).await
    }

    /// Passes the response on, resumed from other endpoints where one dies in the middle.
    async fn deliver<C: ClientStream>(
        &mut self,
        client: &mut C,
        answer: Answer<S::Call>,
    ) -> RequestOutcome {
        let Answer {
            mut attempt,
            mut call,
            head,
        } = answer;
        let mut progress = self.resumable_progress(&head);
        let mut unsent_head = Some(head);
        loop {
            let forwarded = self
                .forward_response(client, attempt, call, unsent_head.take(), &mut progress)
                .await;
            match forwarded {
                ForwardingOutcome::Ended(outcome) => return outcome,
                ForwardingOutcome::EndpointBroke => {}
            }
            match self.resume(client, &mut progress).await {
                AttemptsOutcome::Answered(remainder) => {
                    attempt = remainder.attempt;
                    call = remainder.call;
                }
                AttemptsOutcome::ClientDisconnected => return RequestOutcome::ClientDisconnected,
                AttemptsOutcome::Rejected { .. } | AttemptsOutcome::Failed => {
                    client.abort().await;
                    return RequestOutcome::Broken;
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

/// The end of a call, in the core's terms.
fn attempt_end(end: CallEnd) -> AttemptEnd {
    match end {
        CallEnd::Complete(_) => AttemptEnd::Complete,
        CallEnd::Broken(_) => AttemptEnd::Broken,
        CallEnd::NotSent => AttemptEnd::NotSent,
        CallEnd::Error(e) => AttemptEnd::ErrorReported {
            status: e.status(),
            cache_status: e.cache_status(),
            may_have_run: e.may_have_run,
        },
    }
}
