//! Emulates partitions between zones on real sockets: data across a partition is held back, and neither end is
//! notified.
//!
//! As with lost packets, connections stay open, and data that was sent arrives once the partition has healed. The
//! operating system still accepts new connections, but no data arrives over them.
use pointspindle_fleet_model::partition::traffic_passes;
use pointspindle_scenario::script::PartitionDirections;
use pointspindle_transport::Socket;
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const BUFFER_BYTES: usize = 16 * 1024;

/// The zones that are partitioned from all other zones, with the directions. There is at most one entry per zone.
/// Clones share them.
#[derive(Clone, Debug)]
pub struct ZonePartitions {
    partitioned: Arc<watch::Sender<BTreeMap<usize, PartitionDirections>>>,
}

/// The source and destination zone of data.
#[derive(Clone, Copy)]
struct Crossing {
    from: usize,
    to: usize,
}

impl Default for ZonePartitions {
    fn default() -> Self {
        let (partitioned, _) = watch::channel(BTreeMap::new());
        Self {
            partitioned: Arc::new(partitioned),
        }
    }
}

impl ZonePartitions {
    /// Partitions a zone from all other zones in some directions, or heals its partition.
    pub fn set(&self, zone: usize, directions: Option<PartitionDirections>) {
        self.partitioned.send_modify(|partitioned| {
            match directions {
                Some(directions) => partitioned.insert(zone, directions),
                None => partitioned.remove(&zone),
            };
        });
    }

    /// Returns a socket whose data is relayed subject to the partitions between the zones of its two ends.
    pub async fn apply_to(
        &self,
        socket: Socket,
        remote_zone: usize,
        local_zone: usize,
    ) -> std::io::Result<Socket> {
        let Socket::Tcp(remote) = socket else {
            return Ok(socket);
        };
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let connect = TcpStream::connect(listener.local_addr()?);
        let (connected, accepted) = tokio::join!(connect, listener.accept());
        let replacement = connected?;
        let (local, _) = accepted?;
        remote.set_nodelay(true)?;
        local.set_nodelay(true)?;
        let partitions = self.clone();
        tokio::spawn(async move {
            partitions
                .relay(remote, remote_zone, local, local_zone)
                .await
        });
        Ok(replacement.into())
    }

    async fn relay(
        &self,
        remote: TcpStream,
        remote_zone: usize,
        local: TcpStream,
        local_zone: usize,
    ) {
        let (from_remote, to_remote) = remote.into_split();
        let (from_local, to_local) = local.into_split();
        let inbound = Crossing {
            from: remote_zone,
            to: local_zone,
        };
        let outbound = Crossing {
            from: local_zone,
            to: remote_zone,
        };
        // When one end closes, the other end is notified once the partition has healed.
        tokio::select! {
            _ = self.copy(from_remote, to_local, inbound) => {}
            _ = self.copy(from_local, to_remote, outbound) => {}
        }
    }

    async fn copy(&self, mut read: OwnedReadHalf, mut write: OwnedWriteHalf, crossing: Crossing) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let length = read.read(&mut buffer).await.unwrap_or(0);
            self.wait_until_passable(crossing).await;
            if length == 0 || write.write_all(&buffer[..length]).await.is_err() {
                return;
            }
        }
    }

    async fn wait_until_passable(&self, crossing: Crossing) {
        let mut partitioned = self.partitioned.subscribe();
        // Fails only when the sender has been dropped; no partition can change then, and there is no need to wait.
        let _ = partitioned
            .wait_for(|partitioned| traffic_passes(partitioned, crossing.from, crossing.to))
            .await;
    }
}
