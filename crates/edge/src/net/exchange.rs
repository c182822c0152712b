//! One request: carries the core's orders out, from the first attempt to the final answer.
//!
//! Held for a transfer: at most one stream window of unread body from the member, one chunk in hand, and what
//! the client's connection has buffered. A client that reads slowly stops its own stream at the member.
use super::hub::{Hub, Order};
use super::upstream::NoLink;
use crate::core::{Ask, AttemptEnd, Input};
use bytes::Bytes;
use pointspindle::Micros;
use pointspindle_link::{Call, CallEnd, LinkError, Part};
use pointspindle_wire::{AnswerHead, FetchHead, RequestHead};
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::Instant;

/// The client has left, or its connection is of no more use.
#[derive(Debug)]
pub(crate) struct ClientGone;

/// The client's side of a request. Each final method is the last one called, and only one of them is.
pub(crate) trait ClientSide: Send {
    /// Returns when the client has left.
    fn gone(&mut self) -> impl std::future::Future<Output = ()> + Send;
    /// The answer's head. May be held back until [`ClientSide::flush`].
    fn head(
        &mut self,
        head: &AnswerHead,
    ) -> impl std::future::Future<Output = Result<(), ClientGone>> + Send;
    fn data(&mut self, data: Bytes) -> impl std::future::Future<Output = Result<(), ClientGone>> + Send;
    fn flush(&mut self) -> impl std::future::Future<Output = Result<(), ClientGone>> + Send;
    /// Final: the answer is complete.
    fn end(&mut self) -> impl std::future::Future<Output = Result<(), ClientGone>> + Send;
    /// Final: refused, with the time after which to come back.
    fn refuse(&mut self, after: Option<Micros>) -> impl std::future::Future<Output = ()> + Send;
    /// Final: failed, nothing of an answer was sent.
    fn fail(&mut self) -> impl std::future::Future<Output = ()> + Send;
    /// Final: failed after the head; must differ from a complete answer.
    fn break_off(&mut self) -> impl std::future::Future<Output = ()> + Send;
}

/// A request as it goes to members, without what the core adds.
#[derive(Clone, Debug)]
pub(crate) struct Asked {
    pub ask: Ask,
    pub template: RequestHead,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    Served,
    Refused,
    Failed,
    /// Failed after the head.
    Broken,
    ClientGone,
}

impl Fate {
    pub const ALL: [Self; 5] = [Self::Served, Self::Refused, Self::Failed, Self::Broken, Self::ClientGone];

    pub fn word(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Broken => "broken_off",
            Self::ClientGone => "client_gone",
        }
    }
}

/// Runs a request to its end. The number is taken off the table on every way out, a panic's included.
pub(crate) async fn run<C: ClientSide>(hub: &Arc<Hub>, asked: Asked, client: &mut C) -> Fate {
    let began = Instant::now();
    let class = asked.ask.class;
    let (id, orders) = match hub.open(asked.ask.clone()) {
        Ok(open) => open,
        Err(come_back) => {
            // No room: nothing of this request was told to anybody.
            client.refuse(Some(come_back)).await;
            hub.metrics.no_room.inc();
            hub.metrics.request_ended(class, Fate::Refused, began.elapsed());
            return Fate::Refused;
        }
    };
    let closing = Closing { hub, id };
    let mut exchange = Exchange { hub, id, class, asked, orders, began };
    let fate = exchange.run(client).await;
    if matches!(fate, Fate::ClientGone) {
        hub.tell(Input::Gone(id));
    }
    drop(closing);
    hub.metrics.request_ended(class, fate, began.elapsed());
    match fate {
        Fate::Served => {
            tracing::debug!(fate = fate.word(), us = began.elapsed().as_micros() as u64, "request ended")
        }
        _ => tracing::info!(fate = fate.word(), us = began.elapsed().as_micros() as u64, "request ended"),
    }
    fate
}

struct Closing<'a> {
    hub: &'a Arc<Hub>,
    id: u64,
}

impl Drop for Closing<'_> {
    fn drop(&mut self) {
        self.hub.close(self.id);
    }
}

/// An attempt under way.
struct Attempt {
    number: u32,
    member: String,
    request: RequestHead,
    /// None while connecting.
    call: Option<Call>,
    /// Held until the core says whether the answer is passed on.
    head: Option<AnswerHead>,
}

struct Exchange<'a> {
    hub: &'a Arc<Hub>,
    id: u64,
    class: usize,
    asked: Asked,
    orders: UnboundedReceiver<Order>,
    began: Instant,
}

/// What happened while waiting for the head.
enum Step {
    Order(Option<Order>),
    Gone,
    Call(Result<Call, AttemptEnd>),
    Part(Part),
}

impl Exchange<'_> {
    async fn run<C: ClientSide>(&mut self, client: &mut C) -> Fate {
        let mut current: Option<Attempt> = None;
        loop {
            let step = tokio::select! {
                biased;
                // Orders first: an answer that comes with its own abort is not passed on.
                order = self.orders.recv() => Step::Order(order),
                step = progress(self.hub, &mut current) => step,
                _ = client.gone() => Step::Gone,
            };
            match step {
                Step::Gone | Step::Order(None) => return Fate::ClientGone,
                Step::Order(Some(Order::Send { attempt, member, timeout, fetch })) => {
                    tracing::debug!(attempt, member, ?fetch, "attempt");
                    let fetch = fetch.map(|f| FetchHead {
                        source: f.source.unwrap_or_default(),
                        keep: f.keep as u32,
                        age_us: f.age,
                        join: f.join,
                        held_only: f.held_only,
                        renew: f.renew,
                    });
                    let template = self.asked.template.clone();
                    let request = RequestHead { fetch, left_us: timeout, attempt, ..template };
                    current = Some(Attempt { number: attempt, member, request, call: None, head: None });
                }
                Step::Order(Some(Order::Abort { attempt })) => {
                    // Dropping the call tells the member; the next attempt goes out after that.
                    current = current.filter(|a| a.number != attempt);
                }
                Step::Order(Some(Order::Commit { attempt })) => {
                    let Some(found) = current.take().filter(|a| a.number == attempt) else { continue };
                    let (Some(call), Some(head)) = (found.call, found.head) else { continue };
                    return self.pass_on(client, attempt, call, head).await;
                }
                Step::Order(Some(Order::Refuse { retry_after })) => {
                    drop(current.take());
                    client.refuse(retry_after).await;
                    return Fate::Refused;
                }
                Step::Order(Some(Order::Fail | Order::Break)) => {
                    drop(current.take());
                    client.fail().await;
                    return Fate::Failed;
                }
                Step::Call(Ok(call)) => {
                    if let Some(attempt) = &mut current {
                        attempt.call = Some(call);
                    }
                }
                Step::Call(Err(end)) => self.ended(current.take(), end),
                Step::Part(Part::Head(head)) => {
                    if let Some(attempt) = &mut current {
                        let (note, number) = (head.note(), attempt.number);
                        // What is not sent says nothing of what sending costs.
                        let size = head.size.filter(|_| !head.not_modified && head.code == 0);
                        attempt.head = Some(head);
                        self.hub.tell(Input::Head { request: self.id, attempt: number, note, size });
                    }
                }
                Step::Part(Part::Data(_)) => {}
                Step::Part(Part::End(end)) => self.ended(current.take(), attempt_end(end)),
            }
        }
    }

    fn ended(&self, attempt: Option<Attempt>, end: AttemptEnd) {
        let Some(attempt) = attempt else { return };
        tracing::debug!(attempt = attempt.number, member = %attempt.member, ?end, "attempt ended");
        self.hub.tell(Input::Ended { request: self.id, attempt: attempt.number, end });
    }

    /// The answer streams: from here on it is complete, or broken off, and no other attempt follows.
    async fn pass_on<C: ClientSide>(
        &mut self,
        client: &mut C,
        attempt: u32,
        mut call: Call,
        head: AnswerHead,
    ) -> Fate {
        self.hub.metrics.first_byte(self.class, self.began.elapsed());
        let passed_on = tokio::select! {
            biased;
            _ = self.orders.recv() => None,
            passed_on = client.head(&head) => Some(passed_on),
        };
        match passed_on {
            None => {
                return break_off(call, client).await;
            }
            Some(Err(ClientGone)) => return Fate::ClientGone,
            Some(Ok(())) => {}
        }
        // Bytes that the client still misses: one that has them all may leave before the member's end comes.
        let bodyless = head.not_modified || head.unsatisfiable || self.asked.template.head_only;
        let mut missing = if bodyless { Some(0) } else { head.size };
        loop {
            let part = match call.try_next() {
                Some(part) => Some(part),
                None => {
                    let wait = async {
                        client.flush().await?;
                        tokio::select! {
                            part = call.next() => Ok(part),
                            _ = client.gone(), if missing != Some(0) => Err(ClientGone),
                        }
                    };
                    tokio::select! {
                        biased;
                        _ = self.orders.recv() => {
                            return break_off(call, client).await;
                        }
                        part = wait => match part {
                            Ok(part) => part,
                            Err(ClientGone) => return Fate::ClientGone,
                        },
                    }
                }
            };
            match part {
                Some(Part::Data(data)) => {
                    missing = missing.map(|left: u64| left.saturating_sub(data.len() as u64));
                    let written = tokio::select! {
                        biased;
                        _ = self.orders.recv() => None,
                        written = client.data(data) => Some(written),
                    };
                    match written {
                        Some(Ok(())) => {}
                        Some(Err(ClientGone)) => return Fate::ClientGone,
                        None => {
                            return break_off(call, client).await;
                        }
                    }
                }
                Some(Part::End(CallEnd::Complete(_))) => {
                    let ended = client.end().await;
                    self.hub.tell(Input::Ended { request: self.id, attempt, end: AttemptEnd::Complete });
                    return if ended.is_ok() { Fate::Served } else { Fate::ClientGone };
                }
                Some(Part::End(end)) => {
                    client.break_off().await;
                    let end = attempt_end(end);
                    self.hub.tell(Input::Ended { request: self.id, attempt, end });
                    return Fate::Broken;
                }
                Some(Part::Head(_)) => {}
                None => return Fate::Broken,
            }
        }
    }
}

/// The member is told first, then the client sees that its answer stays incomplete.
async fn break_off<C: ClientSide>(call: Call, client: &mut C) -> Fate {
    drop(call);
    client.break_off().await;
    Fate::Broken
}

/// Brings the current attempt one step on; waits for ever where there is none, or its head is held.
async fn progress(hub: &Arc<Hub>, current: &mut Option<Attempt>) -> Step {
    match current {
        Some(Attempt { head: None, call: Some(call), .. }) => match call.next().await {
            Some(part) => Step::Part(part),
            None => std::future::pending().await,
        },
        Some(Attempt { call: None, member, request, .. }) => {
            Step::Call(match hub.pool.link(hub, member).await {
                Err(NoLink::Failed(why)) => {
                    tracing::debug!(member, why, "no connection");
                    Err(AttemptEnd::ConnectFailed)
                }
                // Decided for a process that is gone: decided anew, with what the new one has said.
                Err(NoLink::Replaced) => Err(AttemptEnd::NotSent),
                Ok(link) => link.call(request.clone()).map_err(|e| match e {
                    LinkError::NoStream(_) => AttemptEnd::NotSent,
                    _ => AttemptEnd::ConnectFailed,
                }),
            })
        }
        _ => std::future::pending().await,
    }
}

fn attempt_end(end: CallEnd) -> AttemptEnd {
    match end {
        CallEnd::Complete(_) => AttemptEnd::Complete,
        CallEnd::Broken(_) => AttemptEnd::Broken,
        CallEnd::Error(e) => {
            AttemptEnd::Told { status: e.status(), note: e.note(), may_have_run: e.may_have_run }
        }
    }
}
