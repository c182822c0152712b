//! Relays that break a rule between an unchanged dispatcher and its peers.
use pointspindle::Micros;
use pointspindle_audit::trace::Recorder;
use pointspindle_protocol::streams::Side;
use pointspindle_transport::{CallEnd, ConnectionOptions, FramedConnection, Inbound, ResponsePart};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;

/// What a relay does with a dispatcher's answers to clients.
#[derive(Clone, Copy, Debug)]
pub enum Answers {
    Swallow,
    Delay(Duration),
}

/// Passes bytes both ways; connections made after `from` lose, or wait for, what the dispatcher sends.
pub async fn bytes(
    to: SocketAddr,
    answers: Answers,
    from: Micros,
    recorder: Recorder,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let here = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let struck = recorder.now() >= from;
            tokio::spawn(async move {
                if let Ok(server) = TcpStream::connect(to).await {
                    relay(client, server, struck.then_some(answers)).await;
                }
            });
        }
    });
    Ok(here)
}

async fn relay(client: TcpStream, server: TcpStream, answers: Option<Answers>) {
    let (mut from_client, mut to_client) = client.into_split();
    let (mut from_server, mut to_server) = server.into_split();
    let up = async move {
        let _ = tokio::io::copy(&mut from_client, &mut to_server).await;
    };
    let (sender, mut pieces) = mpsc::channel::<(tokio::time::Instant, Vec<u8>)>(1024);
    let read = async move {
        let mut buffer = vec![0; 16 * 1024];
        while let Ok(n) = from_server.read(&mut buffer).await {
            if n == 0
                || sender
                    .send((tokio::time::Instant::now(), buffer[..n].to_vec()))
                    .await
                    .is_err()
            {
                break;
            }
        }
    };
    let write = async move {
        while let Some((came, piece)) = pieces.recv().await {
            match answers {
                Some(Answers::Swallow) => continue,
                Some(Answers::Delay(by)) => tokio::time::sleep_until(came + by).await,
                None => {}
            }
            if to_client.write_all(&piece).await.is_err() {
                return;
            }
        }
        // A swallowed connection stays open: silence, not an end.
        if matches!(answers, Some(Answers::Swallow)) {
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        _ = up => {}
        _ = async { tokio::join!(read, write) } => {}
    }
}

/// Stands in front of a member and sends every attempt twice, from the dispatcher's own address.
pub async fn doubling(to: SocketAddr, listen: IpAddr) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind((listen, 0)).await?;
    let here = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((socket, peer)) = listener.accept().await {
            tokio::spawn(async move {
                if let Err(e) = double(socket, peer, to).await {
                    tracing::warn!(error = %e, "the doubling relay lost a connection");
                }
            });
        }
    });
    Ok(here)
}

async fn double(socket: TcpStream, peer: SocketAddr, to: SocketAddr) -> std::io::Result<()> {
    let onward = TcpSocket::new_v4()?;
    onward.bind(SocketAddr::new(peer.ip(), 0))?;
    let onward = onward.connect(to).await?;
    let (_link, mut incoming) =
        FramedConnection::start(socket, Side::Answerer, ConnectionOptions::default());
    let (member, mut words) =
        FramedConnection::start(onward, Side::Caller, ConnectionOptions::default());
    tokio::spawn(async move { while words.next().await.is_some() {} });
    while let Some(inbound) = incoming.next().await {
        let Inbound::Request(head, mut responder) = inbound else {
            continue;
        };
        let (Ok(mut first), Ok(mut second)) = (member.call(head.clone()), member.call(head)) else {
            continue;
        };
        tokio::spawn(async move { while second.next().await.is_some() {} });
        tokio::spawn(async move {
            loop {
                let part = tokio::select! {
                    part = first.next() => part,
                    _ = responder.cancelled() => return,
                };
                let passed = match part {
                    Some(ResponsePart::Head(head)) => responder.head(head).await,
                    Some(ResponsePart::Data(data)) => responder.data(data).await,
                    Some(ResponsePart::End(CallEnd::Complete(end))) => {
                        let _ = responder.end(end.load).await;
                        return;
                    }
                    Some(ResponsePart::End(CallEnd::Error(error))) => {
                        let _ = responder.error(error).await;
                        return;
                    }
                    _ => return,
                };
                if passed.is_err() {
                    return;
                }
            }
        });
    }
    Ok(())
}
