//! TCP relay that cuts each connection after a random number of bytes, drawn from a seed.
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

const MAX_BYTES_BEFORE_CUT: u64 = 1_200_000;
/// Fraction of cuts after which both sides stay open without traffic; other cuts close both sides.
const SILENT_CUT_FRACTION: f64 = 0.3;
/// Time for which a connection stays open after a silent cut; longer than any call.
const SILENT_CUT_DURATION: Duration = Duration::from_secs(10);

/// Place and kind of the cut of a connection.
struct Cut {
    after_bytes: u64,
    silent: bool,
}

/// Starts a relay to `target`. `cuts` counts the connections that were cut.
pub async fn start_relay(target: SocketAddr, seed: u64, cuts: Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut random = StdRng::seed_from_u64(seed);
        while let Ok((client, _)) = listener.accept().await {
            let Ok(server) = TcpStream::connect(target).await else {
                continue;
            };
            let cut = Cut {
                after_bytes: random.gen_range(1..MAX_BYTES_BEFORE_CUT),
                silent: random.gen::<f64>() < SILENT_CUT_FRACTION,
            };
            tokio::spawn(relay_connection(client, server, cut, cuts.clone()));
        }
    });
    address
}

async fn relay_connection(client: TcpStream, server: TcpStream, cut: Cut, cuts: Arc<AtomicU64>) {
    let bytes_left = AtomicU64::new(cut.after_bytes);
    let (mut from_client, mut to_client) = client.into_split();
    let (mut from_server, mut to_server) = server.into_split();
    let was_cut = tokio::select! {
        was_cut = copy_until_cut(&mut from_client, &mut to_server, &bytes_left) => was_cut,
        was_cut = copy_until_cut(&mut from_server, &mut to_client, &bytes_left) => was_cut,
    };
    if was_cut {
        cuts.fetch_add(1, Ordering::Relaxed);
        if cut.silent {
            tokio::time::sleep(SILENT_CUT_DURATION).await;
        }
    }
}

/// Copies bytes until the cut. Returns `false` if one side closes the connection first.
async fn copy_until_cut(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    bytes_left: &AtomicU64,
) -> bool {
    let mut buffer = vec![0; 8 * 1024];
    loop {
        let Ok(read @ 1..) = from.read(&mut buffer).await else {
            return false;
        };
        let copied = bytes_left.load(Ordering::Relaxed).min(read as u64);
        if to.write_all(&buffer[..copied as usize]).await.is_err() {
            return false;
        }
        if bytes_left.fetch_sub(copied, Ordering::Relaxed) == copied {
            return true;
        }
    }
}
