//! Cuts between sites on real sockets: what carries bytes across one waits before each piece, and nobody is told.
//!
//! As with packets that are lost on the way: connections stay open, what was sent arrives once the way is open again. New
//! connections are taken by the system all the same; nothing comes over them.
use pointspindle_fleet_model::partition::passes;
use pointspindle_scenario::script::PartitionDirections;
use pointspindle_transport::Socket;
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Zones that are cut off, and which way. Clones share them; bounded by the number of zones.
#[derive(Clone, Debug)]
pub struct Walls {
    up: Arc<watch::Sender<BTreeMap<usize, PartitionDirections>>>,
}

impl Default for Walls {
    fn default() -> Self {
        Self {
            up: Arc::new(watch::channel(BTreeMap::new()).0),
        }
    }
}

impl Walls {
    pub fn set(&self, zone: usize, ways: Option<PartitionDirections>) {
        self.up.send_modify(|up| {
            match ways {
                Some(ways) => up.insert(zone, ways),
                None => up.remove(&zone),
            };
        });
    }

    async fn open(&self, from: usize, to: usize) {
        // Fails only once nobody can set them any more, and then nothing is to be held up.
        let _ = self
            .up
            .subscribe()
            .wait_for(|up| passes(up, from, to))
            .await;
    }

    /// A connection between two zones, with this end's part of it behind the walls.
    pub async fn between(
        &self,
        line: Socket,
        there: usize,
        here: usize,
    ) -> std::io::Result<Socket> {
        let Socket::Tcp(outer) = line else {
            return Ok(line);
        };
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let connect = TcpStream::connect(listener.local_addr()?);
        let (inner, accepted) = tokio::join!(connect, listener.accept());
        let (inner, (own, _)) = (inner?, accepted?);
        outer.set_nodelay(true)?;
        own.set_nodelay(true)?;
        let walls = self.clone();
        tokio::spawn(async move {
            let ((mut from_there, mut to_there), (mut from_here, mut to_here)) =
                (outer.into_split(), own.into_split());
            // Whichever end goes, the other hears of it when the way is open.
            tokio::select! {
                _ = walls.pump(&mut from_there, &mut to_here, there, here) => {}
                _ = walls.pump(&mut from_here, &mut to_there, here, there) => {}
            }
        });
        Ok(inner.into())
    }

    async fn pump(
        &self,
        read: &mut OwnedReadHalf,
        write: &mut OwnedWriteHalf,
        from: usize,
        to: usize,
    ) {
        let mut buffer = vec![0; 16 * 1024];
        loop {
            let got = read.read(&mut buffer).await.unwrap_or(0);
            self.open(from, to).await;
            if got == 0 || write.write_all(&buffer[..got]).await.is_err() {
                return;
            }
        }
    }
}
