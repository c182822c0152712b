//! Connecting, with the local machine's shortages told from the peer's.
use crate::line::{Network, Socket};
use std::io::Error;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::time::Instant;

/// After a shortage of the local machine a connection is tried again after this, then twice as long each time.
const AGAIN: Duration = Duration::from_millis(5);
const AGAIN_MOST: Duration = Duration::from_millis(100);

/// Why there is no connection.
#[derive(Debug, thiserror::Error)]
pub enum ConnectFailure {
    /// This machine had no descriptor, memory, port or route for it, in all the time that there was: no word about the peer.
    #[error("the local machine cannot connect: {0}")]
    Local(Error),
    /// The peer refuses, or cannot be reached.
    #[error(transparent)]
    Peer(Error),
    /// Nothing was heard of the peer.
    #[error("no connection in time")]
    NotInTime,
}

impl ConnectFailure {
    /// Whether it says something of the peer.
    pub fn is_of_peer(&self) -> bool {
        !matches!(self, Self::Local(_))
    }
}

/// Whether a failed `socket`, `bind` or `connect` tells of the local machine alone.
fn is_local(error: &Error) -> bool {
    matches!(
        error.raw_os_error(),
        Some(
            libc::EADDRNOTAVAIL
                | libc::EADDRINUSE
                | libc::EAGAIN
                | libc::EINTR
                | libc::EMFILE
                | libc::ENETDOWN
                | libc::ENETUNREACH
                | libc::ENFILE
                | libc::ENOBUFS
                | libc::ENOMEM
        )
    )
}

impl Network {
    /// Connects within a time. What the local machine is short of for a moment is waited for.
    pub async fn connect_within(
        &self,
        from: Option<IpAddr>,
        to: SocketAddr,
        longest: Duration,
    ) -> Result<Socket, ConnectFailure> {
        let deadline = Instant::now() + longest;
        let mut pause = AGAIN;
        loop {
            match tokio::time::timeout_at(deadline, self.connect(from, to)).await {
                Ok(Ok(line)) => return Ok(line),
                Ok(Err(e)) if !is_local(&e) => return Err(ConnectFailure::Peer(e)),
                Ok(Err(e)) if Instant::now() + pause >= deadline => {
                    return Err(ConnectFailure::Local(e))
                }
                Ok(Err(e)) => {
                    tracing::debug!(error = %e, %to, "the local machine cannot connect yet");
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(AGAIN_MOST);
                }
                Err(_) => return Err(ConnectFailure::NotInTime),
            }
        }
    }
}
