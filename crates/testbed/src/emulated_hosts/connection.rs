//! Serves one connection to a host: runs its requests as attempts and answers its control frames.
use super::attempt::{Attempt, AttemptOrigin};
use super::hosts::EmulatedHosts;
use pointspindle_cache_host::lease::LeaseHolderId;
use pointspindle_cache_model::HostId;
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::{Frame, HelloHead, ProbeHead, RequestHead};
use pointspindle_transport::{ConnectionOptions, FramedConnection, Inbound, Responder, Socket};
use std::net::SocketAddr;
use tokio::task::JoinSet;

const MAX_STREAMS: usize = 8192;

/// A connection that closes and leaves the host's work ledger when its task ends or is aborted.
struct HostConnection {
    hosts: EmulatedHosts,
    host: HostId,
    /// The host's address.
    address: String,
    /// The dispatcher at the other end, if its source address is known.
    dispatcher: Option<usize>,
    framed: FramedConnection,
    lease_user: Option<LeaseHolderId>,
}

impl Drop for HostConnection {
    fn drop(&mut self) {
        if let Some(user) = self.lease_user {
            self.hosts.leave(self.host, user);
        }
        self.framed
            .close("the host has stopped or the connection has ended");
    }
}

/// Serves a connection until the peer closes it.
pub(super) async fn serve_connection(
    hosts: EmulatedHosts,
    host: HostId,
    socket: Socket,
    peer: SocketAddr,
) {
    let dispatcher = hosts.shared().options.dispatchers.get(&peer.ip()).copied();
    let address = hosts.address_of(host);
    let socket = match with_zone_partitions(&hosts, host, dispatcher, socket).await {
        Ok(socket) => socket,
        Err(e) => {
            return tracing::warn!(host, error = %e, "connection closed: the zone partition relay could not be set up")
        }
    };
    let options = ConnectionOptions {
        max_streams: MAX_STREAMS,
    };
    let (framed, mut incoming) = FramedConnection::start(socket, Side::Responder, options);
    let mut connection = HostConnection {
        hosts,
        host,
        address,
        dispatcher,
        framed,
        lease_user: None,
    };
    connection.send_hello().await;
    let mut attempts = JoinSet::new();
    while let Some(inbound) = incoming.next().await {
        while attempts.try_join_next().is_some() {}
        match inbound {
            Inbound::Request(head, responder) => {
                attempts.spawn(connection.attempt(head, responder).run());
            }
            Inbound::Control(frame) => connection.handle_control(frame).await,
        }
    }
    while attempts.join_next().await.is_some() {}
}

/// Returns a socket whose data is subject to the partitions between the zones of its two ends.
async fn with_zone_partitions(
    hosts: &EmulatedHosts,
    host: HostId,
    dispatcher: Option<usize>,
    socket: Socket,
) -> std::io::Result<Socket> {
    let Some(plan) = &hosts.shared().options.zone_partitions else {
        return Ok(socket);
    };
    let remote_zone = dispatcher.and_then(|number| plan.dispatcher_zones.get(number).copied());
    let Some(remote_zone) = remote_zone else {
        return Ok(socket);
    };
    let local_zone = hosts.with_model(|model| model.host_spec(host).zone);
    plan.partitions
        .apply_to(socket, remote_zone, local_zone)
        .await
}

impl HostConnection {
    async fn send_hello(&self) {
        if let Some(hello) = self.hosts.hello(self.host) {
            let _ = self.framed.control(Frame::Hello(hello)).await;
        }
    }

    fn attempt(&self, request: RequestHead, responder: Responder) -> Attempt {
        let origin = AttemptOrigin {
            host: self.host,
            address: self.address.clone(),
            dispatcher: self.dispatcher,
            lease_user: self.lease_user,
            connection: self.framed.clone(),
        };
        Attempt::new(self.hosts.clone(), origin, request, responder)
    }

    async fn handle_control(&mut self, frame: Frame) {
        match frame {
            Frame::Probe(probe) if !probe.echo => {
                let echo = ProbeHead {
                    echo: true,
                    ..probe
                };
                let _ = self.framed.control(Frame::Probe(echo)).await;
            }
            Frame::Hello(hello) if hello.dispatcher && self.lease_user.is_none() => {
                self.join(hello).await
            }
            Frame::WorkRequest(request) => {
                if let Some(user) = self.lease_user {
                    let lease = self.hosts.request_work(self.host, user, request.work_us);
                    let _ = self.framed.control(Frame::Lease(lease)).await;
                }
            }
            _ => {}
        }
    }

    async fn join(&mut self, hello: HelloHead) {
        let joined = self
            .hosts
            .join(self.host, &self.framed, hello.requests_work);
        if let Some(joined) = joined {
            self.lease_user = Some(joined.user);
            let _ = self.framed.control(Frame::Lease(joined.lease)).await;
        }
    }
}
