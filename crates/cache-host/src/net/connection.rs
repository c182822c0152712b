//! Accepted connections: from dispatchers and other hosts with requests, from operators with purges.
use super::host_state::Shared;
use super::request;
use crate::lease::UserId;
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

/// Delay before the next accept after a shortage of resources.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long an idle connection stays open after GOAWAY, for a request that was sent before the peer received it.
const GRACEFUL_CLOSE_DELAY: Duration = Duration::from_millis(50);
/// Duration of the lease that a warm host gives for a work request.
const WARM_LEASE_DURATION_US: u64 = 1_000_000;

/// What a listener is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListenerRole {
    Requests,
    Operators,
}

/// Accepts connections until the host stops; returns when all of them have ended.
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
            () = stopped(&mut stop) => break,
        };
        while connections.try_join_next().is_some() {}
        match accepted {
            Ok(_) if connections.len() >= max_connections => {}
            Ok((socket, _)) => {
                connections.spawn(serve(shared.clone(), socket, stop.clone(), role));
            }
            Err(e) => wait_after_accept_failure(e).await,
        }
    }
    // Connections in the accept queue may carry requests already.
    let serve_queued = |socket, _peer| {
        if connections.len() < max_connections {
            connections.spawn(serve(shared.clone(), socket, stop.clone(), role));
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

/// Returns when the listener may accept again.
async fn wait_after_accept_failure(error: std::io::Error) {
    if AcceptFailure::of(&error) == AcceptFailure::Connection {
        tracing::debug!(%error, "connection closed before it was accepted");
        return tokio::task::yield_now().await;
    }
    tracing::warn!(%error, "accept failed");
    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
}

async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}

/// One accepted connection.
struct Connection {
    shared: Arc<Shared>,
    link: FramedConnection,
    role: ListenerRole,
    requests: JoinSet<()>,
    /// The dispatcher at the other end, once it is registered for work leases.
    lease_user: Option<UserId>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if let Some(user) = self.lease_user {
            self.shared.remove_dispatcher(user);
        }
    }
}

async fn serve(
    shared: Arc<Shared>,
    socket: Socket,
    mut stop: watch::Receiver<bool>,
    role: ListenerRole,
) {
    let options = ConnectionOptions {
        max_streams: shared.settings.max_streams,
    };
    let (link, mut incoming) = FramedConnection::start(socket, Side::Answerer, options);
    let mut connection = Connection {
        shared,
        link,
        role,
        requests: JoinSet::new(),
        lease_user: None,
    };
    connection.greet();
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
            () = stopped(&mut stop), if !stopping => {
                connection.link.goaway("the host stops");
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
            Some(Inbound::Request(head, responder)) => connection.request(head, responder).await,
            Some(Inbound::Control(frame)) => connection.control(frame).await,
        }
    }
    while connection.requests.join_next().await.is_some() {}
    connection.link.close("the connection is done with");
    connection.link.flushed().await;
}

impl Connection {
    fn greet(&self) {
        if self.role == ListenerRole::Operators {
            return;
        }
        let shared = &self.shared;
        let uptime_us = || shared.started_at.elapsed().as_micros() as u64;
        self.link.push_control(Frame::Hello(HelloHead {
            started_ago_us: shared.hello.started_ago_us.map(|_| uptime_us()),
            ..shared.hello
        }));
    }

    async fn request(&mut self, head: RequestHead, responder: Responder) {
        if self.role == ListenerRole::Operators {
            let error = ErrorHead {
                status: WireStatus::Refused as i32,
                detail: "this door takes purges, not requests".to_owned(),
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

    async fn control(&mut self, frame: Frame) {
        match frame {
            Frame::Probe(probe) if !probe.echo => {
                self.link.push_control(Frame::Probe(ProbeHead {
                    echo: true,
                    load: Some(self.shared.load()),
                    ..probe
                }));
            }
            Frame::Purge(head) if self.role == ListenerRole::Operators => self.purge(head).await,
            Frame::Hello(hello) if hello.dispatcher && self.lease_user.is_none() => {
                let added = self.shared.add_dispatcher(&self.link, hello.requests_work);
                if let Some((user, lease)) = added {
                    self.lease_user = Some(user);
                    self.link.push_control(Frame::Lease(lease));
                }
            }
            Frame::WorkRequest(request) => self.lease_work(&request),
            _ => {}
        }
    }

    async fn purge(&self, head: PurgeHead) {
        tracing::info!(object = ?head.object, group = head.group, "purge");
        let purged = self.shared.purge(&head).await;
        let ack = AckHead {
            seq: head.seq,
            rejection: purged.err().unwrap_or_default(),
        };
        let _ = self.link.control(Frame::Ack(ack)).await;
    }

    fn lease_work(&self, request: &WorkRequestHead) {
        let lease = self
            .lease_user
            .and_then(|user| self.shared.lease_work(user, request.work_us))
            .unwrap_or(LeaseHead {
                work_us: request.work_us,
                duration_us: WARM_LEASE_DURATION_US,
                ..LeaseHead::default()
            });
        self.link.push_control(Frame::Lease(LeaseHead {
            in_reply: true,
            ..lease
        }));
    }
}
