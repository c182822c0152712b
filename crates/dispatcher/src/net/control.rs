//! The operators' listener: receives endpoint lists and purges, and acknowledges them once they are in force.
use super::connection_registry::ConnectionPermit;
use super::frontend_context::FrontendContext;
use crate::control_source::ControlSink;
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::*;
use pointspindle_transport::{ConnectionOptions, FramedConnection, Inbound, Responder, Socket};
use std::time::Instant;

/// Serves one operator's connection until it closes or the dispatcher stops.
pub(super) async fn serve(context: FrontendContext, socket: Socket, _permit: ConnectionPermit) {
    let options = ConnectionOptions { max_streams: 1 };
    let (connection, mut incoming) = FramedConnection::start(socket, Side::Responder, options);
    let sink = ControlSink {
        observer: None,
        core: context.core.clone(),
    };
    loop {
        let inbound = tokio::select! {
            inbound = incoming.next() => inbound,
            _ = context.stopped() => None,
        };
        let reply = match inbound {
            None => break,
            Some(Inbound::Control(frame)) => reply_to(frame, &sink, &context),
            Some(Inbound::Request(_, responder)) => {
                reject_request(responder).await;
                None
            }
        };
        let Some(reply) = reply else { continue };
        if connection.control(reply).await.is_err() {
            break;
        }
    }
    connection.close("control connection ended");
}

/// Applies a control frame and returns the reply, if the frame has one.
fn reply_to(frame: Frame, sink: &ControlSink, context: &FrontendContext) -> Option<Frame> {
    match frame {
        Frame::EndpointList(head) if head.form() == EndpointListForm::Unspecified => {
            Some(Frame::EndpointList(sink.endpoint_list()))
        }
        Frame::EndpointList(head) => Some(apply_endpoint_list(head, sink)),
        Frame::Purge(head) => Some(apply_purge(head, sink, context)),
        Frame::Probe(probe) if !probe.echo => Some(Frame::Probe(ProbeHead {
            echo: true,
            ..probe
        })),
        _ => None,
    }
}

fn apply_endpoint_list(head: EndpointListHead, sink: &ControlSink) -> Frame {
    let seq = head.seq;
    tracing::info!(form = ?head.form(), seq, endpoints = head.endpoints.len(), "endpoint list received; applying it");
    let change = sink.apply_endpoint_list(head);
    let rejection = change
        .resync_reason
        .into_iter()
        .chain(change.rejected_records)
        .collect::<Vec<_>>()
        .join("; ");
    Frame::Ack(AckHead { seq, rejection })
}

fn apply_purge(head: PurgeHead, sink: &ControlSink, context: &FrontendContext) -> Frame {
    let seq = head.seq;
    let received_at = Instant::now();
    tracing::info!(object = ?head.object, group = head.group, seq, "purge received");
    sink.apply_purge(head);
    let lag = received_at.elapsed();
    context.core.metrics.purge_lag.observe(lag.as_secs_f64());
    Frame::Ack(AckHead {
        seq,
        rejection: String::new(),
    })
}

async fn reject_request(responder: Responder) {
    let error = ErrorHead {
        status: WireStatus::Refused as i32,
        detail: "this listener accepts endpoint lists and purges only".into(),
        ..Default::default()
    };
    let _ = responder.error(error).await;
}
