//! Clients on the framed protocol: one session per connection, whose requests run concurrently.
mod client;
mod request;
#[cfg(test)]
mod tests;

use super::connection_registry::ConnectionPermit;
use super::frontend_context::FrontendContext;
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::{Frame, HelloHead, ProbeHead, RequestHead};
use pointspindle_transport::{
    ConnectionOptions, FramedConnection, Inbound, Incoming, Responder, Socket,
};
use std::time::Duration;
use tokio::task::JoinSet;
use tracing::Instrument;

/// Time without further requests after which all requests that the client sent before receiving the go-away have arrived.
const GOAWAY_GRACE: Duration = Duration::from_millis(100);
/// Number of checks within one client lease whether the client has renewed it.
const CHECKS_PER_LEASE: u32 = 4;

/// Serves one client connection until its end.
pub(super) async fn serve(context: FrontendContext, socket: Socket, permit: ConnectionPermit) {
    let settings = &context.core.settings.listen;
    let options = ConnectionOptions {
        max_streams: settings.max_streams,
    };
    let meter = context.core.meter.clone();
    let lease_us = settings.client_lease_us;
    let (connection, incoming) =
        FramedConnection::start_metered(socket, Side::Responder, options, meter);
    connection.push_control(Frame::Hello(HelloHead {
        incarnation: context.core.transport.pool.incarnation,
        lease_us: Some(lease_us),
        ..Default::default()
    }));
    let mut session = Session {
        context,
        permit,
        connection,
        incoming,
        lease: Duration::from_micros(lease_us),
        renews_lease: false,
        requests: JoinSet::new(),
    };
    let end = session.serve_requests().await;
    if session.context.is_stopping() || matches!(end, SessionEnd::CloseRequested) {
        // The future is boxed, so that an open connection does not hold the memory of its shutdown.
        Box::pin(session.goaway(end)).await;
    }
    session.connection.close("session ended");
    // The last responses have been sent only when they are written, not when they are queued.
    session.connection.flushed().await;
}

/// Reason why a session accepts no further requests.
#[derive(Clone, Copy)]
enum SessionEnd {
    /// The connection is closed, or the dispatcher stops.
    Closed,
    /// The connection was idle for too long, or is closed to admit another connection.
    CloseRequested,
}

/// One connection of a client. If the session announces its close, it completes the requests in progress first.
struct Session {
    context: FrontendContext,
    permit: ConnectionPermit,
    connection: FramedConnection,
    incoming: Incoming,
    lease: Duration,
    /// Whether the client renews its lease by sending frames while it waits.
    renews_lease: bool,
    requests: JoinSet<()>,
}

impl Session {
    async fn serve_requests(&mut self) -> SessionEnd {
        loop {
            let active = !self.requests.is_empty();
            let inbound = tokio::select! {
                // Polled first, so that a request that has arrived is answered although its connection is to close.
                biased;
                inbound = self.incoming.next() => inbound,
                _ = self.requests.join_next(), if active => {
                    self.request_ended();
                    continue;
                }
                _ = self.permit.close_requested(), if !active => return SessionEnd::CloseRequested,
                _ = tokio::time::sleep(self.lease / CHECKS_PER_LEASE), if self.renews_lease && active => {
                    self.check_lease();
                    continue;
                }
                _ = self.context.stopped() => return SessionEnd::Closed,
            };
            match inbound {
                None => return SessionEnd::Closed,
                Some(Inbound::Control(frame)) => {
                    let Some(reply) = self.handle_control(frame) else {
                        continue;
                    };
                    if self.connection.control(reply).await.is_err() {
                        return SessionEnd::Closed;
                    }
                }
                Some(Inbound::Request(head, responder)) => self.start_request(head, responder),
            }
        }
    }

    fn request_ended(&self) {
        if self.requests.is_empty() {
            self.permit.mark_idle();
        }
    }

    /// Handles a control frame and returns the reply, if it has one. Endpoint lists and purges are accepted only at the
    /// control listener. A probe does not count as use: a client that sends only probes is idle.
    fn handle_control(&mut self, frame: Frame) -> Option<Frame> {
        match frame {
            Frame::Probe(probe) if !probe.echo => Some(Frame::Probe(ProbeHead {
                echo: true,
                ..probe
            })),
            Frame::Hello(hello) => {
                self.renews_lease = hello.lease_us.is_some();
                None
            }
            _ => None,
        }
    }

    fn start_request(&mut self, head: RequestHead, responder: Responder) {
        let span = tracing::info_span!(
            "request",
            class = %head.class,
            object = %head.object,
            part = head.part,
            trace = %head.trace
        );
        self.permit.mark_busy();
        self.requests
            .spawn(request::answer(self.context.clone(), head, responder).instrument(span));
    }

    fn check_lease(&self) {
        if self.connection.time_since_last_frame() > self.lease {
            self.context
                .core
                .metrics
                .connection_counts
                .lost_clients
                .inc();
            self.connection.abort("client lease expired");
        }
    }

    /// Announces the close, and answers all requests that the client sent before it received the announcement.
    async fn goaway(&mut self, end: SessionEnd) {
        self.connection.goaway(match end {
            SessionEnd::CloseRequested => "idle for too long, or its place is wanted",
            SessionEnd::Closed => "the dispatcher stops",
        });
        while let Ok(Some(inbound)) = tokio::time::timeout(GOAWAY_GRACE, self.incoming.next()).await
        {
            if let Inbound::Request(head, responder) = inbound {
                self.requests
                    .spawn(request::answer(self.context.clone(), head, responder));
            }
        }
        while self.requests.join_next().await.is_some() {}
    }
}
