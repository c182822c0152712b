//! The operators' door: member lists and purges, acknowledged once they are in force.
use super::FrontendContext;
use crate::control_source::ControlSink;
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::*;
use pointspindle_transport::{ConnectionOptions, FramedConnection, Inbound, Socket};
use std::time::Instant;

pub(crate) async fn serve(door: FrontendContext, socket: Socket) {
    let (link, mut incoming) =
        FramedConnection::start(socket, Side::Answerer, ConnectionOptions { max_streams: 1 });
    let teller = ControlSink {
        ears: None,
        hub: door.hub.clone(),
    };
    loop {
        let inbound = tokio::select! {
            inbound = incoming.next() => inbound,
            _ = door.stopped() => None,
        };
        let answer = match inbound {
            None => break,
            Some(Inbound::Control(Frame::EndpointList(head)))
                if head.form() == EndpointListForm::Unspecified =>
            {
                Frame::EndpointList(teller.endpoint_list())
            }
            Some(Inbound::Control(Frame::EndpointList(head))) => {
                let seq = head.seq;
                tracing::info!(form = ?head.form(), seq, lines = head.endpoints.len(), "member list");
                let news = teller.apply_endpoint_list(head);
                let trouble = news
                    .resync_reason
                    .into_iter()
                    .chain(news.rejected_records)
                    .collect::<Vec<_>>()
                    .join("; ");
                Frame::Ack(AckHead {
                    seq,
                    rejection: trouble,
                })
            }
            Some(Inbound::Control(Frame::Purge(head))) => {
                let (seq, told) = (head.seq, Instant::now());
                tracing::info!(object = ?head.object, group = head.group, seq, "purge");
                teller.apply_purge(head);
                door.hub
                    .metrics
                    .purge_lag
                    .observe(told.elapsed().as_secs_f64());
                Frame::Ack(AckHead {
                    seq,
                    rejection: String::new(),
                })
            }
            Some(Inbound::Control(Frame::Probe(probe))) if !probe.echo => Frame::Probe(ProbeHead {
                echo: true,
                ..probe
            }),
            Some(Inbound::Control(_)) => continue,
            Some(Inbound::Request(_, responder)) => {
                let error = ErrorHead {
                    status: WireStatus::Refused as i32,
                    detail: "this door takes lists and purges, not requests".into(),
                    ..Default::default()
                };
                let _ = responder.error(error).await;
                continue;
            }
        };
        if link.control(answer).await.is_err() {
            break;
        }
    }
    link.close("the control connection is done with");
}
