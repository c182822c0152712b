//! A relay in front of a host that duplicates every attempt: injects a fault between a dispatcher and a host without
//! changes to the dispatcher.
use pointspindle_protocol::streams::Side;
use pointspindle_transport::{
    Call, CallEnd, ConnectionOptions, FramedConnection, Inbound, Responder, ResponsePart,
};
use std::net::{IpAddr, SocketAddr};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Starts a relay that sends every attempt to `host` twice, from the dispatcher's own source address. Returns the
/// address of the relay.
pub(super) async fn start_duplicating_relay(
    host: SocketAddr,
    listen_ip: IpAddr,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind((listen_ip, 0)).await?;
    let relay_address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((socket, dispatcher)) = listener.accept().await {
            tokio::spawn(async move {
                if let Err(e) = relay_connection(socket, dispatcher, host).await {
                    tracing::warn!(error = %e, "duplicating relay: connection failed");
                }
            });
        }
    });
    Ok(relay_address)
}

async fn relay_connection(
    socket: TcpStream,
    dispatcher: SocketAddr,
    host: SocketAddr,
) -> std::io::Result<()> {
    let to_host = TcpSocket::new_v4()?;
    to_host.bind(SocketAddr::new(dispatcher.ip(), 0))?;
    let to_host = to_host.connect(host).await?;
    let (_from_dispatcher, mut requests) =
        FramedConnection::start(socket, Side::Responder, ConnectionOptions::default());
    let (to_host, mut control_frames) =
        FramedConnection::start(to_host, Side::Caller, ConnectionOptions::default());
    tokio::spawn(async move { while control_frames.next().await.is_some() {} });
    while let Some(inbound) = requests.next().await {
        let Inbound::Request(head, responder) = inbound else {
            continue;
        };
        let Ok(call) = to_host.call(head.clone()) else {
            continue;
        };
        let Ok(mut duplicate) = to_host.call(head) else {
            continue;
        };
        tokio::spawn(async move { while duplicate.next().await.is_some() {} });
        tokio::spawn(forward_response(call, responder));
    }
    Ok(())
}

async fn forward_response(mut call: Call, mut responder: Responder) {
    loop {
        let part = tokio::select! {
            part = call.next() => part,
            _ = responder.cancelled() => return,
        };
        let forwarded = match part {
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
        if forwarded.is_err() {
            return;
        }
    }
}
