//! Accepted connections. Dispatchers and other hosts send requests, and operators send purges.
use super::host_state::Shared;
use super::request;
use crate::lease::LeaseHolderId;
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::{
    AckHead, ErrorHead, Frame, HelloHead, LeaseHead, ProbeHead, PurgeHead, RequestHead, WireStatus,
    WorkRequestHead,
};
use pointspindle_transport::{
    AcceptFailure, ConnectionOptions, FramedConnection, Inbound, Listener, Responder, Socket,
    MAX_ACCEPT_QUEUE_FAILURES,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Delay before the next accept after one failed for lack of resources.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time for which an idle connection stays open after GOAWAY, for requests that were sent before the peer received it.
const GRACEFUL_CLOSE_DELAY: Duration = Duration::from_millis(50);
/// Duration of the lease with which a warm host answers a work request.
const WARM_LEASE_DURATION_US: u64 = 1_000_000;

/// Kind of peers that a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListenerRole {
    Requests,
    Operators,
}

/// Accepts connections until the host stops, then returns when all of them have ended.
pub(super) async fn accept_connections(
    shared: Arc<Shared>,
    mut listener: Listener,
    mut stop: watch::Receiver<bool>,
    role: ListenerRole,
) {
    let mut connections = JoinSet::new();
    let max_connections = shared.settings.max_connections;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop_requested(&mut stop) => break,
        };
        while connections.try_join_next().is_some() {}
        match accepted {
            Ok(_) if connections.len() >= max_connections => {}
            Ok((socket, _)) => {
                connections.spawn(serve_connection(shared.clone(), socket, stop.clone(), role));
            }
            Err(e) => wait_after_accept_failure(e).await,
        }
    }
    // Connections in the accept queue may already carry requests.
    let serve_queued = |socket, _peer| {
        if connections.len() < max_connections {
            connections.spawn(serve_connection(shared.clone(), socket, stop.clone(), role));
        }
    };
    listener
        .drain_accept_queue(
            MAX_ACCEPT_QUEUE_FAILURES,
            serve_queued,
            wait_after_accept_failure,
        )
        .await;
    while connections.join_next().await.is_some() {}
}

/// Logs an accept failure and waits until the listener may accept again.
async fn wait_after_accept_failure(error: std::io::Error) {
    if AcceptFailure::of(&error) == AcceptFailure::Connection {
        tracing::debug!(%error, "connection closed before it was accepted");
        return tokio::task::yield_now().await;
    }
    tracing::warn!(%error, "accept failed");
    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
}

async fn stop_requested(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}

/// One accepted connection.
struct Connection {
    shared: Arc<Shared>,
    framed: FramedConnection,
    role: ListenerRole,
    requests: JoinSet<()>,
    /// The peer's number in the work ledger, if it is a dispatcher that is registered for work leases.
    lease_user: Option<LeaseHolderId>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if let Some(user) = self.lease_user {
            self.shared.remove_dispatcher(user);
        }
    }
}

async fn serve_connection(
    shared: Arc<Shared>,
    socket: Socket,
    mut stop: watch::Receiver<bool>,
    role: ListenerRole,
) {
    let options = ConnectionOptions {
        max_streams: shared.settings.max_streams,
    };
    let (framed, mut incoming) = FramedConnection::start(socket, Side::Responder, options);
    let mut connection = Connection {
        shared,
        framed,
        role,
        requests: JoinSet::new(),
        lease_user: None,
    };
    connection.send_hello();
    let mut stopping = false;
    loop {
        let inbound = tokio::select! {
            inbound = incoming.next() => inbound,
            _ = connection.requests.join_next(), if !connection.requests.is_empty() => {
                if stopping && connection.requests.is_empty() {
                    break;
                }
                continue;
            }
            () = stop_requested(&mut stop), if !stopping => {
                connection.framed.goaway("the host is shutting down");
                stopping = true;
                if connection.requests.is_empty() {
                    tokio::time::sleep(GRACEFUL_CLOSE_DELAY).await;
                }
                if connection.requests.is_empty() && incoming.is_empty() {
                    break;
                }
                continue;
            }
        };
        match inbound {
            None => break,
            Some(Inbound::Request(head, responder)) => {
                connection.handle_request(head, responder).await
            }
            Some(Inbound::Control(frame)) => connection.handle_control(frame).await,
        }
    }
    while connection.requests.join_next().await.is_some() {}
    connection.framed.close("the connection has ended");
    connection.framed.flushed().await;
}

impl Connection {
    fn send_hello(&self) {
        if self.role == ListenerRole::Operators {
            return;
        }
        let shared = &self.shared;
        let uptime_us = || shared.started_at.elapsed().as_micros() as u64;
        self.framed.push_control(Frame::Hello(HelloHead {
            started_ago_us: shared.hello.started_ago_us.map(|_| uptime_us()),
            ..shared.hello
        }));
    }

    async fn handle_request(&mut self, head: RequestHead, responder: Responder) {
        if self.role == ListenerRole::Operators {
            let error = ErrorHead {
                status: WireStatus::Refused as i32,
                detail: "this listener accepts purges only".to_owned(),
                ..ErrorHead::default()
            };
            let _ = responder.error(error).await;
            return;
        }
        if let Some(user) = self.lease_user {
            self.shared.record_work(user, &head.class);
        }
        self.requests
            .spawn(request::handle(self.shared.clone(), head, responder));
    }

    async fn handle_control(&mut self, frame: Frame) {
        match frame {
            Frame::Probe(probe) if !probe.echo => {
                self.framed.push_control(Frame::Probe(ProbeHead {
                    echo: true,
                    load: Some(self.shared.load()),
                    ..probe
                }));
            }
            Frame::Purge(head) if self.role == ListenerRole::Operators => {
                self.handle_purge(head).await
            }
            Frame::Hello(hello) if hello.dispatcher && self.lease_user.is_none() => {
                let registered = self
                    .shared
                    .add_dispatcher(&self.framed, hello.requests_work);
                if let Some((user, lease)) = registered {
                    self.lease_user = Some(user);
                    self.framed.push_control(Frame::Lease(lease));
                }
            }
            Frame::WorkRequest(request) => self.handle_work_request(&request),
            _ => {}
        }
    }

    async fn handle_purge(&self, head: PurgeHead) {
        tracing::info!(object = ?head.object, group = head.group, "purge received");
        let purged = self.shared.purge(&head).await;
        let ack = AckHead {
            seq: head.seq,
            rejection: purged.err().unwrap_or_default(),
        };
        let _ = self.framed.control(Frame::Ack(ack)).await;
    }

    fn handle_work_request(&self, request: &WorkRequestHead) {
        let lease = self
            .lease_user
            .and_then(|user| self.shared.lease_work(user, request.work_us))
            .unwrap_or(LeaseHead {
                work_us: request.work_us,
                duration_us: WARM_LEASE_DURATION_US,
                ..LeaseHead::default()
            });
        self.framed.push_control(Frame::Lease(LeaseHead {
            in_reply: true,
            ..lease
        }));
    }
}
