//! A relay between clients and a dispatcher that drops or delays responses: injects a fault without changes to the
//! dispatcher.
use pointspindle::Micros;
use pointspindle_audit::recorder::Recorder;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;

const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum number of chunks that wait for their delayed delivery on one connection.
const MAX_QUEUED_CHUNKS: usize = 1024;

/// The fault that the relay injects into a dispatcher's responses.
#[derive(Clone, Copy, Debug)]
pub(super) enum ResponseFault {
    /// Responses never arrive; the connection stays open.
    Drop,
    /// Responses arrive with this delay.
    Delay(Duration),
}

/// Part of a response, with the time of its receipt from the dispatcher.
struct Chunk {
    received: Instant,
    data: Vec<u8>,
}

/// Starts a relay that forwards connections to a dispatcher and injects the fault into connections accepted at or after
/// `fault_start`. Returns the address of the relay.
pub(super) async fn start_response_relay(
    dispatcher: SocketAddr,
    fault: ResponseFault,
    fault_start: Micros,
    recorder: Recorder,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let relay_address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let fault = (recorder.now() >= fault_start).then_some(fault);
            tokio::spawn(async move {
                if let Ok(server) = TcpStream::connect(dispatcher).await {
                    relay_connection(client, server, fault).await;
                }
            });
        }
    });
    Ok(relay_address)
}

async fn relay_connection(client: TcpStream, server: TcpStream, fault: Option<ResponseFault>) {
    let (mut from_client, to_client) = client.into_split();
    let (from_server, mut to_server) = server.into_split();
    let requests = async move {
        let _ = tokio::io::copy(&mut from_client, &mut to_server).await;
    };
    let (sender, chunks) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let responses = async move {
        tokio::join!(
            read_responses(from_server, sender),
            write_responses(to_client, chunks, fault)
        )
    };
    tokio::select! {
        _ = requests => {}
        _ = responses => {}
    }
}

async fn read_responses(mut from_server: OwnedReadHalf, chunks: mpsc::Sender<Chunk>) {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    while let Ok(length) = from_server.read(&mut buffer).await {
        if length == 0 {
            return;
        }
        let chunk = Chunk {
            received: Instant::now(),
            data: buffer[..length].to_vec(),
        };
        if chunks.send(chunk).await.is_err() {
            return;
        }
    }
}

async fn write_responses(
    mut to_client: OwnedWriteHalf,
    mut chunks: mpsc::Receiver<Chunk>,
    fault: Option<ResponseFault>,
) {
    while let Some(chunk) = chunks.recv().await {
        match fault {
            Some(ResponseFault::Drop) => continue,
            Some(ResponseFault::Delay(delay)) => {
                tokio::time::sleep_until(chunk.received + delay).await
            }
            None => {}
        }
        if to_client.write_all(&chunk.data).await.is_err() {
            return;
        }
    }
    // The connection stays open: the client must wait for a response, not see the connection closed.
    if matches!(fault, Some(ResponseFault::Drop)) {
        std::future::pending::<()>().await;
    }
}
