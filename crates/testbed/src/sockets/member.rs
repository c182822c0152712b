//! One member's listener: requests become the world's, its words become frames.
use super::stage::{EmulatedHosts, Word};
use super::words::{self, Cut};
use crate::content::Body;
use pointspindle_audit::trace::{AttemptOutcome, ClientAttemptId, TraceEvent};
use pointspindle_cache_model::{HostId, ModelInput};
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::*;
use pointspindle_transport::{
    ConnectionOptions, FramedConnection, Inbound, Listener, Responder, Socket,
};
use std::net::SocketAddr;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Bytes made at once.
const PIECE: u64 = 32 * 1024;

pub(crate) async fn serve(stage: EmulatedHosts, host: HostId, mut listener: Listener) {
    // Aborting this task drops the set, and with it every connection: as a process that ends.
    let mut connections = JoinSet::new();
    while let Ok((socket, peer)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        connections.spawn(connection(stage.clone(), host, socket, peer));
    }
}

/// Closes its connection also when its task is aborted.
struct Closing(FramedConnection);

impl Drop for Closing {
    fn drop(&mut self) {
        self.0.close("the member's process is gone");
    }
}

/// Gives a lease up also when its connection's task is aborted.
struct Using {
    stage: EmulatedHosts,
    host: HostId,
    user: Option<u64>,
}

impl Drop for Using {
    fn drop(&mut self) {
        if let Some(user) = self.user {
            self.stage.leave(self.host, user);
        }
    }
}

async fn connection(stage: EmulatedHosts, host: HostId, socket: Socket, peer: SocketAddr) {
    let by = stage.inner().options.dispatchers.get(&peer.ip()).copied();
    let address = stage.address_of(host);
    let socket = match stage.behind_walls(host, by, socket).await {
        Ok(socket) => socket,
        Err(e) => {
            return tracing::warn!(host, error = %e, "a connection could not be put behind the cut")
        }
    };
    let (link, mut incoming) = FramedConnection::start(
        socket,
        Side::Answerer,
        ConnectionOptions { max_streams: 8192 },
    );
    let link = Closing(link);
    if let Some(hello) = stage.hello(host) {
        let _ = link.0.control(Frame::Hello(hello)).await;
    }
    let mut user = Using {
        stage: stage.clone(),
        host,
        user: None,
    };
    let mut requests = JoinSet::new();
    while let Some(inbound) = incoming.next().await {
        while requests.try_join_next().is_some() {}
        match inbound {
            Inbound::Request(head, responder) => {
                let link = link.0.clone();
                let from = (by, user.user);
                requests.spawn(request(
                    stage.clone(),
                    host,
                    address.clone(),
                    from,
                    head,
                    responder,
                    link,
                ));
            }
            Inbound::Control(Frame::Probe(probe)) if !probe.echo => {
                let echo = Frame::Probe(ProbeHead {
                    echo: true,
                    ..probe
                });
                let _ = link.0.control(echo).await;
            }
            Inbound::Control(Frame::Hello(hello)) if hello.dispatcher && user.user.is_none() => {
                if let Some((number, lease)) = stage.join(host, &link.0, hello.requests_work) {
                    user.user = Some(number);
                    let _ = link.0.control(Frame::Lease(lease)).await;
                }
            }
            Inbound::Control(Frame::WorkRequest(want)) => {
                if let Some(user) = user.user {
                    let _ = link
                        .0
                        .control(Frame::Lease(stage.ask(host, user, want.work_us)))
                        .await;
                }
            }
            Inbound::Control(_) => {}
        }
    }
    while requests.join_next().await.is_some() {}
}

/// Records how an attempt left its member, also when the task is aborted.
struct Leaving {
    stage: EmulatedHosts,
    host: HostId,
    job: u64,
    gone: Option<(String, Option<ClientAttemptId>, u32, Option<usize>)>,
    how: AttemptOutcome,
    cancel: bool,
}

impl Drop for Leaving {
    fn drop(&mut self) {
        self.stage.forget(self.job);
        if self.cancel {
            self.stage.apply(ModelInput::Cancel {
                host: self.host,
                job: self.job,
            });
        }
        if let Some((host, id, attempt, by)) = self.gone.take() {
            self.stage
                .inner()
                .recorder
                .record(TraceEvent::AttemptEnded {
                    host,
                    id,
                    attempt,
                    dispatcher: by,
                    outcome: self.how,
                });
        }
    }
}

async fn request(
    stage: EmulatedHosts,
    host: HostId,
    address: String,
    (by, user): (Option<usize>, Option<u64>),
    asked: RequestHead,
    mut responder: Responder,
    link: FramedConnection,
) {
    // A way that was cut off for a while brings a request and its cancel together: nothing of it is begun.
    if responder.is_cancelled() {
        return;
    }
    let came = Instant::now();
    let mut wanted = words::wanted(&asked, &stage.inner().classes);
    let id = ClientAttemptId::parse(&asked.trace);
    stage.inner().recorder.record(TraceEvent::AttemptArrived {
        host: address.clone(),
        dispatcher: by,
        id,
        attempt: asked.attempt,
        source: wanted.source.clone(),
        class: wanted.class,
    });
    if stage.inner().options.deaf_to_age.contains(&address) {
        wanted.max_age = u64::MAX / 2;
    }
    let body = Body {
        number: wanted.object_number,
        part: wanted.part,
        version: 0,
    };
    let (job, mut said) = stage.arrive(host, user, wanted);
    let gone = Some((address, id, asked.attempt, by));
    let mut leaving = Leaving {
        stage: stage.clone(),
        host,
        job,
        gone,
        how: AttemptOutcome::ConnectionLost,
        cancel: true,
    };
    // Sent with the end: a member that dies in between leaves half an answer.
    let mut rest: Option<(Body, Cut)> = None;
    loop {
        let word = tokio::select! {
            biased;
            _ = responder.cancelled() => {
                leaving.how = AttemptOutcome::Cancelled;
                return;
            }
            word = said.recv() => word,
        };
        match word {
            Some(Word::Start(answer)) => {
                let (head, cut) = words::head(&answer, &asked, came.elapsed().as_micros() as u64);
                let body = Body {
                    version: answer.copy.version,
                    ..body
                };
                if responder.head(head).await.is_err() {
                    leaving.how = AttemptOutcome::Cancelled;
                    return;
                }
                let first = Cut {
                    from: cut.from,
                    len: cut.len / 2,
                };
                if send(&mut responder, body, first).await.is_err() {
                    leaving.how = AttemptOutcome::Cancelled;
                    return;
                }
                rest = Some((
                    body,
                    Cut {
                        from: cut.from + first.len,
                        len: cut.len - first.len,
                    },
                ));
            }
            Some(Word::Finish) => {
                leaving.cancel = false;
                let sent = match rest {
                    Some((body, cut)) => send(&mut responder, body, cut).await,
                    None => Ok(()),
                };
                leaving.how = if sent.is_ok() {
                    AttemptOutcome::Completed
                } else {
                    AttemptOutcome::Cancelled
                };
                if sent.is_ok() {
                    let _ = responder.end(None).await;
                }
                return;
            }
            Some(Word::Reject {
                status,
                note,
                ran,
                load,
            }) => {
                leaving.cancel = false;
                leaving.how = AttemptOutcome::Completed;
                let error = ErrorHead {
                    status: status as i32,
                    cache_status: note as i32,
                    may_have_run: ran,
                    load: Some(load),
                    elapsed_us: came.elapsed().as_micros() as u64,
                    ..Default::default()
                };
                let _ = responder.error(error).await;
                return;
            }
            Some(Word::Cut) => {
                leaving.cancel = false;
                responder.abandon();
                link.close("cut by the script");
                return;
            }
            Some(Word::Down) | None => {
                leaving.cancel = false;
                responder.abandon();
                return;
            }
        }
    }
}

async fn send(
    responder: &mut Responder,
    body: Body,
    cut: Cut,
) -> Result<(), pointspindle_transport::ConnectionError> {
    let mut at = cut.from;
    while at < cut.from + cut.len {
        let len = PIECE.min(cut.from + cut.len - at);
        responder.data(body.bytes(at, len as usize)).await?;
        at += len;
    }
    Ok(())
}
