//! The operators' door: member lists and purges, acknowledged once they are in force.
use super::Door;
use crate::source::Teller;
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::*;
use pointspindle_transport::{Inbound, Line, Link, LinkOptions};
use std::time::Instant;

pub(crate) async fn serve(door: Door, socket: Line) {
    let (link, mut incoming) = Link::start(socket, Side::Answerer, LinkOptions { max_streams: 1 });
    let teller = Teller {
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
            Some(Inbound::Control(Frame::Members(head)))
                if head.form() == ListForm::Unspecified =>
            {
                Frame::Members(teller.list())
            }
            Some(Inbound::Control(Frame::Members(head))) => {
                let seq = head.seq;
                tracing::info!(form = ?head.form(), seq, lines = head.members.len(), "member list");
                let news = teller.members(head);
                let trouble = news
                    .wanted
                    .into_iter()
                    .chain(news.bad)
                    .collect::<Vec<_>>()
                    .join("; ");
                Frame::Ack(AckHead { seq, trouble })
            }
            Some(Inbound::Control(Frame::Purge(head))) => {
                let (seq, told) = (head.seq, Instant::now());
                tracing::info!(object = ?head.object, group = head.group, seq, "purge");
                teller.purge(head);
                door.hub
                    .metrics
                    .purge_lag
                    .observe(told.elapsed().as_secs_f64());
                Frame::Ack(AckHead {
                    seq,
                    trouble: String::new(),
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
