//! One request: carries the core's orders out, from the first attempt to the final answer.
//!
//! Held for a transfer: at most one stream window of unread body from the member, one chunk in hand, and what
//! the client's connection has buffered. A client that reads slowly stops its own stream at the member.
use super::core_handle::{AttemptId, CoreHandle, EndpointTransport, RequestCommand, UpstreamCall};
use crate::core::{AttemptEnd, ClientRequest, Input};
use bytes::Bytes;
use pointspindle::Micros;
use pointspindle_protocol::{FetchHead, RequestHead, ResponseHead};
use pointspindle_transport::{CallEnd, ResponsePart};
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::Instant;

/// The client has left, or its connection is of no more use.
#[derive(Debug)]
pub struct ClientDisconnected;

/// The client's side of a request. Each final method is the last one called, and only one of them is.
pub trait ClientStream: Send {
    /// Returns when the client has left.
    fn disconnected(&mut self) -> impl std::future::Future<Output = ()> + Send;
    /// The answer's head. May be held back until [`ClientSide::flush`].
    fn head(
        &mut self,
        head: &ResponseHead,
    ) -> impl std::future::Future<Output = Result<(), ClientDisconnected>> + Send;
    fn data(
        &mut self,
        data: Bytes,
    ) -> impl std::future::Future<Output = Result<(), ClientDisconnected>> + Send;
    fn flush(&mut self)
        -> impl std::future::Future<Output = Result<(), ClientDisconnected>> + Send;
    /// Final: the answer is complete.
    fn end(&mut self) -> impl std::future::Future<Output = Result<(), ClientDisconnected>> + Send;
    /// Final: refused, with the time after which to come back.
    fn reject(&mut self, after: Option<Micros>) -> impl std::future::Future<Output = ()> + Send;
    /// Final: failed, nothing of an answer was sent.
    fn fail(&mut self) -> impl std::future::Future<Output = ()> + Send;
    /// Final: failed after the head; must differ from a complete answer.
    fn abort(&mut self) -> impl std::future::Future<Output = ()> + Send;
}

/// A request as it goes to members, without what the core adds.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    pub request: ClientRequest,
    pub head_template: RequestHead,
    /// Of a write, where the protocol has one.
    pub body: Bytes,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    Served,
    Rejected,
    Failed,
    /// Failed after the head.
    Broken,
    ClientDisconnected,
}

impl RequestOutcome {
    pub const ALL: [Self; 5] = [
        Self::Served,
        Self::Rejected,
        Self::Failed,
        Self::Broken,
        Self::ClientDisconnected,
    ];

    pub fn as_str(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::Rejected => "refused",
            Self::Failed => "failed",
            Self::Broken => "broken_off",
            Self::ClientDisconnected => "client_gone",
        }
    }
}

/// Runs a request to its end. The number is taken off the table on every way out, a panic's included.
pub async fn run<S: EndpointTransport, C: ClientStream>(
    hub: &Arc<CoreHandle<S>>,
    asked: IncomingRequest,
    client: &mut C,
) -> RequestOutcome {
    let began = Instant::now();
    let class = asked.request.class;
    let (id, orders) = match hub.open_request(asked.request.clone()) {
        Ok(open) => open,
        Err(come_back) => {
            // No room: nothing of this request was told to anybody.
            let router = &hub.settings.router;
            client
                .reject(
                    router
                        .retry_after
                        .then_some(come_back.min(router.max_retry_after)),
                )
                .await;
            hub.metrics.no_room.inc();
            hub.metrics
                .request_ended(class, RequestOutcome::Rejected, began.elapsed());
            return RequestOutcome::Rejected;
        }
    };
    let closing = Closing { hub, id };
    let mut exchange = Exchange {
        hub,
        closing,
        class,
        asked,
        orders,
        began,
        made: 0,
    };
    let fate = exchange.run(client).await;
    if matches!(fate, RequestOutcome::ClientDisconnected) {
        hub.apply(Input::ClientDisconnected(exchange.closing.id));
    }
    drop(exchange);
    hub.metrics.request_ended(class, fate, began.elapsed());
    match fate {
        RequestOutcome::Served => {
            tracing::debug!(
                fate = fate.as_str(),
                us = began.elapsed().as_micros() as u64,
                "request ended"
            )
        }
        _ => tracing::info!(
            fate = fate.as_str(),
            us = began.elapsed().as_micros() as u64,
            "request ended"
        ),
    }
    fate
}

struct Closing<'a, S: EndpointTransport> {
    hub: &'a Arc<CoreHandle<S>>,
    id: u64,
}

impl<S: EndpointTransport> Drop for Closing<'_, S> {
    fn drop(&mut self) {
        self.hub.close_request(self.id);
    }
}

/// An attempt under way.
struct Attempt<C> {
    ticket: AttemptId,
    endpoint: String,
    request: RequestHead,
    /// None while connecting.
    call: Option<C>,
    /// Held until the core says whether the answer is passed on.
    head: Option<ResponseHead>,
}

struct Exchange<'a, S: EndpointTransport> {
    hub: &'a Arc<CoreHandle<S>>,
    closing: Closing<'a, S>,
    class: usize,
    asked: IncomingRequest,
    orders: UnboundedReceiver<RequestCommand>,
    began: Instant,
    /// Attempts of what was asked before a resumption: numbers go on, as members see them.
    made: u32,
}

/// What became of the attempts.
enum Got<C> {
    Answer(u32, C, ResponseHead),
    Refused(Option<Micros>),
    Failed,
    ClientDisconnected,
}

/// How far an answer has been passed on, for what is left of it to be had elsewhere.
struct Progress {
    validator: String,
    whole: u64,
    /// The next byte, and the first that is not wanted any more.
    next: u64,
    end: u64,
    resumed: u32,
}

/// Times that one answer goes on from elsewhere.
const RESUMED: u32 = 3;
/// With less time left than this a resumption is not begun.
const RESUME_LEAST: Micros = 50_000;

impl Progress {
    /// None: nothing tells which version it is, or where its end is.
    fn of(head: &ResponseHead) -> Option<Self> {
        let strong = !head.validator.is_empty() && !head.validator.starts_with("W/");
        let size = head
            .size
            .filter(|_| strong && head.origin_status == 0 && !head.not_modified)?;
        let first = head.range_first.unwrap_or(0);
        let whole = match head.range_first {
            Some(_) => head.complete_size?,
            None => size,
        };
        Some(Self {
            validator: head.validator.clone(),
            whole,
            next: first,
            end: first + size,
            resumed: 0,
        })
    }

    /// Whether an answer is what is left: of the same version, from the next byte to the end.
    fn fits(&self, head: &ResponseHead) -> bool {
        let span = (head.range_first, head.size, head.complete_size);
        head.validator == self.validator
            && span
                == (
                    Some(self.next),
                    Some(self.end - self.next),
                    Some(self.whole),
                )
    }
}

/// How passing an answer on ended.
enum Passed {
    Fate(RequestOutcome),
    /// The member's side broke; nothing of it is under way any more.
    Broke,
}

/// What happened while waiting for the head.
enum Step<C> {
    Order(Option<RequestCommand>),
    Gone,
    Call(Result<C, AttemptEnd>),
    Part(ResponsePart),
}

impl<S: EndpointTransport> Exchange<'_, S> {
    async fn run<C: ClientStream>(&mut self, client: &mut C) -> RequestOutcome {
        let (mut attempt, mut call, head) = match self.attempts(client).await {
            Got::Answer(attempt, call, head) => (attempt, call, head),
            Got::Refused(retry_after) => {
                client.reject(retry_after).await;
                return RequestOutcome::Rejected;
            }
            Got::Failed => {
                client.fail().await;
                return RequestOutcome::Failed;
            }
            Got::ClientDisconnected => return RequestOutcome::ClientDisconnected,
        };
        // Work that runs is not asked for in parts.
        let safe = !self.hub.settings.router.classes[self.class].uncacheable;
        let mut progress =
            Progress::of(&head).filter(|_| safe && !self.asked.head_template.head_only);
        let mut first = Some(head);
        loop {
            match self
                .pass_on(client, attempt, call, first.take(), &mut progress)
                .await
            {
                Passed::Fate(fate) => return fate,
                Passed::Broke => {}
            }
            (attempt, call) = match self.resume(client, &mut progress).await {
                Got::Answer(attempt, call, _) => (attempt, call),
                Got::ClientDisconnected => return RequestOutcome::ClientDisconnected,
                Got::Refused(_) | Got::Failed => {
                    client.abort().await;
                    return RequestOutcome::Broken;
                }
            };
        }
    }

    /// What is left of an answer that broke, from elsewhere: a request of its own to the module, for the bytes from the next one on and
    /// under the same validator. The broken attempt is over by now, so no two are under way.
    async fn resume<C: ClientStream>(
        &mut self,
        client: &mut C,
        progress: &mut Option<Progress>,
    ) -> Got<S::Call> {
        let waited = self.began.elapsed().as_micros() as Micros;
        let left = self.asked.request.time_left.saturating_sub(waited);
        let Some(progress) = progress
            .as_mut()
            .filter(|p| p.resumed < RESUMED && p.next < p.end)
        else {
            return Got::Failed;
        };
        if left < RESUME_LEAST {
            tracing::info!("no time is left for what is left");
            return Got::Failed;
        }
        progress.resumed += 1;
        self.hub.close_request(self.closing.id);
        let Ok((id, orders)) = self.hub.open_request(ClientRequest {
            time_left: left,
            ..self.asked.request.clone()
        }) else {
            return Got::Failed;
        };
        self.made += self.hub.settings.router.max_attempts;
        self.closing = Closing { hub: self.hub, id };
        self.orders = orders;
        self.asked.head_template.range = format!("bytes={}-{}", progress.next, progress.end - 1);
        self.asked.head_template.if_range = progress.validator.clone();
        self.asked.head_template.if_none_match = String::new();
        match self.attempts(client).await {
            Got::Answer(attempt, call, head) if progress.fits(&head) => {
                self.hub.metrics.resumed.inc();
                tracing::info!(
                    next = progress.next,
                    end = progress.end,
                    "an answer goes on from elsewhere"
                );
                Got::Answer(attempt, call, head)
            }
            // Another version, or one that tells no ranges: the bytes would not belong together.
            Got::Answer(_, call, head) => {
                drop(call);
                tracing::info!(
                    wanted = progress.validator,
                    got = head.validator,
                    first = head.range_first,
                    "what is left is not had"
                );
                self.hub.apply(Input::ClientDisconnected(self.closing.id));
                Got::Failed
            }
            other => {
                tracing::info!(
                    next = progress.next,
                    end = progress.end,
                    "what is left is had nowhere"
                );
                other
            }
        }
    }

    /// The attempts, as the core orders them, until one of them answers.
    async fn attempts<C: ClientStream>(&mut self, client: &mut C) -> Got<S::Call> {
        let mut current: Option<Attempt<S::Call>> = None;
        loop {
            let step = tokio::select! {
                biased;
                // Orders first: an answer that comes with its own abort is not passed on. Then the client's leaving: nothing
                // is sent on for who is not there.
                order = self.orders.recv() => Step::Order(order),
                _ = client.disconnected() => Step::Gone,
                step = progress(self.hub, &self.asked.body, &mut current) => step,
            };
            match step {
                Step::Gone => return Got::ClientDisconnected,
                Step::Order(None) => {
                    // Nobody will say any more what is to become of it; the client is there and is owed an end.
                    tracing::error!("a request's orders ended without a final one");
                    drop(current.take());
                    self.hub.apply(Input::ClientDisconnected(self.closing.id));
                    return Got::Failed;
                }
                Step::Order(Some(RequestCommand::Send {
                    attempt,
                    endpoint,
                    timeout,
                    fetch,
                })) => {
                    tracing::debug!(attempt, endpoint, ?fetch, "attempt");
                    let fetch = fetch.map(|f| FetchHead {
                        source: f.source.unwrap_or_default(),
                        retention_rank: f.retention_rank as u32,
                        max_age_us: f.max_age,
                        coalesce: f.coalesce,
                        only_if_cached: f.only_if_cached,
                        revalidate: f.revalidate,
                    });
                    let template = self.asked.head_template.clone();
                    let request = RequestHead {
                        fetch,
                        time_left_us: timeout,
                        attempt: self.made + attempt,
                        ..template
                    };
                    let ticket = AttemptId {
                        request: self.closing.id,
                        attempt,
                    };
                    current = Some(Attempt {
                        ticket,
                        endpoint,
                        request,
                        call: None,
                        head: None,
                    });
                }
                Step::Order(Some(RequestCommand::CancelAttempt { attempt })) => {
                    // Dropping the call tells the member; the next attempt goes out after that.
                    current = current.filter(|a| a.ticket.attempt != attempt);
                }
                Step::Order(Some(RequestCommand::ForwardResponse { attempt })) => {
                    let Some(found) = current.take().filter(|a| a.ticket.attempt == attempt) else {
                        continue;
                    };
                    let (Some(call), Some(head)) = (found.call, found.head) else {
                        continue;
                    };
                    return Got::Answer(attempt, call, head);
                }
                Step::Order(Some(RequestCommand::Reject { retry_after })) => {
                    drop(current.take());
                    return Got::Refused(retry_after);
                }
                Step::Order(Some(RequestCommand::Fail | RequestCommand::AbortResponse)) => {
                    drop(current.take());
                    return Got::Failed;
                }
                Step::Call(Ok(call)) => {
                    if let Some(attempt) = &mut current {
                        attempt.call = Some(call);
                    }
                }
                Step::Call(Err(end)) => self.ended(current.take(), end),
                Step::Part(ResponsePart::Head(head)) => {
                    if let Some(attempt) = &mut current {
                        let (note, number) = (head.cache_status(), attempt.ticket.attempt);
                        tracing::debug!(attempt = number, ?note, "answer");
                        // What is not sent says nothing of what sending costs.
                        let size = head
                            .size
                            .filter(|_| !head.not_modified && head.origin_status == 0);
                        attempt.head = Some(head);
                        self.hub.apply(Input::ResponseStarted {
                            request: self.closing.id,
                            attempt: number,
                            cache_status: note,
                            size,
                        });
                    }
                }
                Step::Part(ResponsePart::Data(_)) => {}
                Step::Part(ResponsePart::End(end)) => self.ended(current.take(), attempt_end(end)),
            }
        }
    }

    fn ended(&self, attempt: Option<Attempt<S::Call>>, end: AttemptEnd) {
        let Some(attempt) = attempt else { return };
        let AttemptId {
            request,
            attempt: number,
        } = attempt.ticket;
        tracing::debug!(attempt = number, endpoint = %attempt.endpoint, ?end, "attempt ended");
        self.hub.apply(Input::AttemptEnded {
            request,
            attempt: number,
            end,
        });
    }

    /// The answer streams: from here on it is complete, or goes on from elsewhere, or is broken off. `head`: none where it was passed on
    /// before.
    async fn pass_on<C: ClientStream>(
        &mut self,
        client: &mut C,
        attempt: u32,
        mut call: S::Call,
        head: Option<ResponseHead>,
        progress: &mut Option<Progress>,
    ) -> Passed {
        // Bytes that the client still misses: one that has them all may leave before the member's end comes.
        let mut missing = progress.as_ref().map(|p| p.end - p.next);
        if let Some(head) = head {
            self.hub
                .metrics
                .first_byte(self.class, self.began.elapsed());
            let passed_on = tokio::select! {
                biased;
                _ = self.orders.recv() => None,
                passed_on = client.head(&head) => Some(passed_on),
            };
            match passed_on {
                None => return Passed::Broke,
                Some(Err(ClientDisconnected)) => {
                    return Passed::Fate(RequestOutcome::ClientDisconnected)
                }
                Some(Ok(())) => {}
            }
            let bodyless =
                head.not_modified || head.unsatisfiable || self.asked.head_template.head_only;
            missing = if bodyless { Some(0) } else { head.size };
        }
        loop {
            let part = match call.try_next() {
                Some(part) => Some(part),
                None => {
                    let wait = async {
                        client.flush().await?;
                        tokio::select! {
                            part = call.next() => Ok(part),
                            _ = client.disconnected(), if missing != Some(0) => Err(ClientDisconnected),
                        }
                    };
                    tokio::select! {
                        biased;
                        _ = self.orders.recv() => return Passed::Broke,
                        part = wait => match part {
                            Ok(part) => part,
                            Err(ClientDisconnected) => return Passed::Fate(RequestOutcome::ClientDisconnected),
                        },
                    }
                }
            };
            match part {
                Some(ResponsePart::Data(data)) => {
                    let bytes = data.len() as u64;
                    missing = missing.map(|left: u64| left.saturating_sub(bytes));
                    let written = tokio::select! {
                        biased;
                        _ = self.orders.recv() => None,
                        written = client.data(data) => Some(written),
                    };
                    match written {
                        Some(Ok(())) => {
                            if let Some(progress) = progress {
                                progress.next += bytes;
                            }
                        }
                        Some(Err(ClientDisconnected)) => {
                            return Passed::Fate(RequestOutcome::ClientDisconnected)
                        }
                        None => {
                            // How much of this piece went out is not known: nothing can follow it.
                            *progress = None;
                            return Passed::Broke;
                        }
                    }
                }
                Some(ResponsePart::End(CallEnd::Complete(_))) => {
                    let ended = client.end().await;
                    let request = self.closing.id;
                    self.hub.apply(Input::AttemptEnded {
                        request,
                        attempt,
                        end: AttemptEnd::Complete,
                    });
                    return Passed::Fate(if ended.is_ok() {
                        RequestOutcome::Served
                    } else {
                        RequestOutcome::ClientDisconnected
                    });
                }
                Some(ResponsePart::End(end)) => {
                    let (request, end) = (self.closing.id, attempt_end(end));
                    self.hub.apply(Input::AttemptEnded {
                        request,
                        attempt,
                        end,
                    });
                    return Passed::Broke;
                }
                Some(ResponsePart::Head(_)) => {}
                None => return Passed::Broke,
            }
        }
    }
}

/// Brings the current attempt one step on; waits for ever where there is none, or its head is held.
async fn progress<S: EndpointTransport>(
    hub: &Arc<CoreHandle<S>>,
    body: &Bytes,
    current: &mut Option<Attempt<S::Call>>,
) -> Step<S::Call> {
    match current {
        Some(Attempt {
            head: None,
            call: Some(call),
            ..
        }) => match call.next().await {
            Some(part) => Step::Part(part),
            None => std::future::pending().await,
        },
        Some(Attempt {
            ticket,
            call: None,
            endpoint,
            request,
            ..
        }) => Step::Call(S::call(hub, *ticket, endpoint, request.clone(), body).await),
        _ => std::future::pending().await,
    }
}

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
