//! Clients on the framed protocol.
use super::call_attempts::{Begun, Kept, Try, KEPT_ANSWER};
use super::exchange::{self, ClientDisconnected, ClientStream, IncomingRequest, RequestOutcome};
use super::{ConnectionPermit, FrontendContext};
use crate::client_pace::{Pace, PaceRule};
use crate::core::ClientRequest;
use bytes::Bytes;
use pointspindle::Micros;
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::*;
use pointspindle_transport::{ConnectionOptions, FramedConnection, Inbound, Responder, Socket};
use prometheus_client::metrics::counter::Counter;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tracing::Instrument;

/// A call whose name finds no room comes back after this.
const FULL_COME_BACK: Micros = 1_000_000;

pub(crate) async fn serve(door: FrontendContext, socket: Socket, seat: ConnectionPermit) {
    let listen = &door.hub.settings.listen;
    let options = ConnectionOptions {
        max_streams: listen.max_streams,
    };
    let meter = door.hub.meter.clone();
    let (link, mut incoming) =
        FramedConnection::start_metered(socket, Side::Answerer, options, meter);
    let lease = Duration::from_micros(listen.client_lease_us);
    let lease_us = Some(listen.client_lease_us);
    link.push_control(Frame::Hello(HelloHead {
        incarnation: door.hub.transport.pool.process,
        lease_us,
        ..Default::default()
    }));
    // Whether it gives signs of life while it waits.
    let mut keeps_lease = false;
    let mut requests = JoinSet::new();
    let mut full = false;
    loop {
        let next = tokio::select! {
            // First: a request that has come is answered, though its connection is to make room.
            biased;
            next = incoming.next() => next,
            _ = requests.join_next(), if !requests.is_empty() => {
                if requests.is_empty() {
                    seat.idle();
                }
                continue;
            }
            _ = seat.close_requested(), if requests.is_empty() => {
                full = true;
                break;
            }
            _ = tokio::time::sleep(lease / 4), if keeps_lease && !requests.is_empty() => {
                if link.time_since_last_frame() > lease {
                    door.hub.metrics.lost_clients.inc();
                    link.abort("no sign of life");
                }
                continue;
            }
            _ = door.stopped() => break,
        };
        match next {
            None => break,
            Some(Inbound::Control(Frame::Probe(probe))) if !probe.echo => {
                let echo = Frame::Probe(ProbeHead {
                    echo: true,
                    ..probe
                });
                if link.control(echo).await.is_err() {
                    break;
                }
            }
            Some(Inbound::Control(Frame::Hello(hello))) => keeps_lease = hello.lease_us.is_some(),
            // Lists and purges are taken on the control door only. A probe keeps nobody's place: who only asks for echoes
            // is idle.
            Some(Inbound::Control(_)) => {}
            Some(Inbound::Request(head, responder)) => {
                let span = tracing::info_span!(
                    "request",
                    class = %head.class,
                    object = %head.object,
                    part = head.part,
                    trace = %head.trace
                );
                seat.busy();
                requests.spawn(answer(door.clone(), head, responder).instrument(span));
            }
        }
    }
    if door.is_stopping() || full {
        link.go_away(if full {
            "idle for too long, or its place is wanted"
        } else {
            "the dispatcher stops"
        });
        // What has come before the word reached the client was accepted: it is answered.
        let grace = Duration::from_millis(100);
        while let Ok(Some(inbound)) = tokio::time::timeout(grace, incoming.next()).await {
            if let Inbound::Request(head, responder) = inbound {
                requests.spawn(answer(door.clone(), head, responder));
            }
        }
        while requests.join_next().await.is_some() {}
    }
    link.close("the connection is done with");
    // The last answers are on their way when they are written, not when they are queued.
    link.flushed().await;
}

async fn answer(door: FrontendContext, mut head: RequestHead, responder: Responder) {
    let came = Instant::now();
    let settings = &door.hub.settings;
    let Some(class) = settings.classes.iter().position(|c| c.name == head.class) else {
        let detail = format!("no class {:?} here", head.class);
        return end(responder, WireStatus::Failed, false, None, detail).await;
    };
    let most = settings.classes[class].deadline_us;
    let left = if head.time_left_us == 0 {
        most
    } else {
        head.time_left_us.min(most)
    };
    let ask = ClientRequest {
        class,
        object: head.object.clone(),
        part: head.part,
        group: head.group,
        time_left: left,
        size: head.size,
    };
    head.fetch = None;
    let call = std::mem::take(&mut head.call_id);
    let mut tried = None;
    if !call.is_empty() {
        match enter(&door, &call).await {
            Ok(Entered::Run(entered)) => tried = Some(entered),
            Ok(Entered::Answered(kept)) => return replay(responder, kept).await,
            Err(Some(come_back)) => {
                let detail = "too many calls are known by name".to_owned();
                return end(
                    responder,
                    WireStatus::Refused,
                    false,
                    Some(come_back),
                    detail,
                )
                .await;
            }
            // Tried again itself while it waited: nothing of it was begun.
            Err(None) => {
                return end(
                    responder,
                    WireStatus::Refused,
                    false,
                    None,
                    "tried again".into(),
                )
                .await
            }
        }
    }
    let waited = came.elapsed().as_micros() as Micros;
    let ask = ClientRequest {
        time_left: ask.time_left.saturating_sub(waited),
        ..ask
    };
    // Credit comes in halves of a window: less than one is no sign of slowness.
    let (least, window) = (
        settings.listen.min_client_bytes_per_s,
        settings.listen.pace_window_us,
    );
    let one = (u64::from(streams::STREAM_WINDOW) * 1_000_000)
        .checked_div(least)
        .unwrap_or(0);
    let pace = Pace::new(PaceRule {
        least,
        window: window.max(one),
    });
    let slow = door.hub.metrics.slow_clients.clone();
    let superseded = tried.as_ref().map(|t| t.superseded.clone());
    // Only what must not run twice is kept: of all else a second answer costs a hit.
    let kept =
        (tried.is_some() && settings.router.classes[class].uncacheable).then(Keeping::default);
    let mut client = FramedClient {
        responder: Some(responder),
        pace,
        slow,
        superseded,
        kept,
    };
    let fate = exchange::run(
        &door.hub,
        IncomingRequest {
            request: ask,
            head_template: head,
            body: Bytes::new(),
        },
        &mut client,
    )
    .await;
    if let (Some(tried), Some(kept), RequestOutcome::Served | RequestOutcome::ClientDisconnected) =
        (&mut tried, client.kept, fate)
    {
        if let Some(kept) = kept.whole() {
            tried.keep(kept);
        }
    }
}

enum Entered {
    Run(Try),
    Answered(Kept),
}

/// Has a try's turn come; the tries of the same call before it are ended first. An error: when to come back, or that it
/// was tried again itself.
async fn enter(door: &FrontendContext, call: &str) -> Result<Entered, Option<Micros>> {
    match door.hub.transport.tries.begin(call) {
        Begun::Full => Err(Some(FULL_COME_BACK)),
        Begun::Answered(kept) => Ok(Entered::Answered(kept)),
        Begun::Run(mut tried) => match tried.turn().await {
            Ok(None) => Ok(Entered::Run(tried)),
            Ok(Some(kept)) => Ok(Entered::Answered(kept)),
            Err(()) => Err(None),
        },
    }
}

async fn replay(mut responder: Responder, kept: Kept) {
    if responder.head(kept.head).await.is_err() {
        return;
    }
    for piece in kept.body {
        if responder.data(piece).await.is_err() {
            return;
        }
    }
    let _ = responder.end(None).await;
}

/// What was sent of an answer, as long as it is small.
#[derive(Default)]
struct Keeping {
    head: Option<ResponseHead>,
    body: Vec<Bytes>,
    bytes: usize,
    ended: bool,
}

impl Keeping {
    fn data(&mut self, data: &Bytes) {
        self.bytes += data.len();
        if self.bytes <= KEPT_ANSWER {
            self.body.push(data.clone());
        } else {
            self.body = Vec::new();
        }
    }

    fn whole(self) -> Option<Kept> {
        let head = self
            .head
            .filter(|_| self.ended && self.bytes <= KEPT_ANSWER)?;
        Some(Kept {
            head,
            body: self.body,
        })
    }
}

async fn end(
    responder: Responder,
    status: WireStatus,
    may_have_run: bool,
    retry_after_us: Option<Micros>,
    detail: String,
) {
    let error = ErrorHead {
        status: status as i32,
        may_have_run,
        retry_after_us,
        detail,
        ..Default::default()
    };
    let _ = responder.error(error).await;
}

struct FramedClient {
    /// Taken by the final answer.
    responder: Option<Responder>,
    pace: Pace,
    slow: Counter,
    /// Told when the call is tried again.
    superseded: Option<Arc<Notify>>,
    kept: Option<Keeping>,
}

impl FramedClient {
    fn open(&mut self) -> Result<&mut Responder, ClientDisconnected> {
        self.responder.as_mut().ok_or(ClientDisconnected)
    }

    async fn finish(&mut self, status: WireStatus, ran: bool, after: Option<Micros>, why: &str) {
        if let Some(responder) = self.responder.take() {
            end(responder, status, ran, after, why.to_owned()).await;
        }
    }
}

impl ClientStream for FramedClient {
    async fn disconnected(&mut self) {
        let Some(responder) = &self.responder else {
            return std::future::pending().await;
        };
        match &self.superseded {
            Some(superseded) => tokio::select! {
                _ = responder.cancelled() => {}
                _ = superseded.notified() => {}
            },
            None => responder.cancelled().await,
        }
    }

    async fn head(&mut self, head: &ResponseHead) -> Result<(), ClientDisconnected> {
        if let Some(kept) = &mut self.kept {
            kept.head = Some(head.clone());
        }
        self.open()?
            .head(head.clone())
            .await
            .map_err(|_| ClientDisconnected)
    }

    async fn data(&mut self, data: Bytes) -> Result<(), ClientDisconnected> {
        if let Some(kept) = &mut self.kept {
            kept.data(&data);
        }
        let bytes = data.len() as u64;
        let superseded = self.superseded.clone();
        let patience = self
            .pace
            .patience()
            .map_or(Duration::MAX, Duration::from_micros);
        let began = Instant::now();
        let sending = tokio::time::timeout(patience, self.open()?.data(data));
        let sent = match superseded {
            Some(superseded) => tokio::select! {
                sent = sending => sent,
                _ = superseded.notified() => return Err(ClientDisconnected),
            },
            None => sending.await,
        };
        let taken = if sent.is_ok() { bytes } else { 0 };
        if !self.pace.took(taken, began.elapsed().as_micros() as u64) {
            self.slow.inc();
            return Err(ClientDisconnected);
        }
        sent.map_err(|_| ClientDisconnected)?
            .map_err(|_| ClientDisconnected)
    }

    async fn flush(&mut self) -> Result<(), ClientDisconnected> {
        Ok(())
    }

    async fn end(&mut self) -> Result<(), ClientDisconnected> {
        if let Some(kept) = &mut self.kept {
            kept.ended = true;
        }
        let responder = self.responder.take().ok_or(ClientDisconnected)?;
        responder.end(None).await.map_err(|_| ClientDisconnected)
    }

    async fn reject(&mut self, after: Option<Micros>) {
        self.finish(
            WireStatus::Refused,
            false,
            after,
            "refused: a retry is harmless",
        )
        .await;
    }

    async fn fail(&mut self) {
        self.finish(WireStatus::Failed, true, None, "failed: it may have run")
            .await;
    }

    async fn abort(&mut self) {
        self.finish(WireStatus::Failed, true, None, "the answer broke off")
            .await;
    }
}

#[cfg(test)]
mod tests {
    /// As at the HTTP door: what a request needs is not held by who asks for nothing.
    #[tokio::test]
    async fn an_idle_connection_holds_nothing_of_a_request() {
        let (door, socket, seat, _stop) = super::super::tests::arrival("framed").await;
        let size = std::mem::size_of_val(&super::serve(door, socket, seat));
        println!("{size} bytes");
        assert!(size <= 2048, "{size} bytes");
    }
}
