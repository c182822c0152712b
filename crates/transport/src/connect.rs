//! Connecting within a time, with failures of the local machine kept apart from those of the peer.
use crate::network::Network;
use crate::socket::Socket;
use std::io::Error;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::time::Instant;

/// Pause before the first retry after a shortage of the local machine; doubled for each further one.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(5);
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Why there is no connection.
#[derive(Debug, thiserror::Error)]
pub enum ConnectFailure {
    /// The local machine lacked a descriptor, memory, a port or a route for all of the time: nothing is known of the peer.
    #[error("the local machine cannot connect: {0}")]
    Local(Error),
    /// The peer refuses, or cannot be reached.
    #[error(transparent)]
    Peer(Error),
    /// The peer did not answer.
    #[error("no connection in time")]
    NotInTime,
}

impl ConnectFailure {
    /// Whether it says something of the peer.
    pub fn is_peer_failure(&self) -> bool {
        !matches!(self, Self::Local(_))
    }
}

/// Whether a failed `socket`, `bind` or `connect` concerns the local machine alone.
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
    /// Connects within a time, from a local address if one is given. Shortages of the local machine are retried.
    pub async fn connect_within(
        &self,
        from: Option<IpAddr>,
        to: SocketAddr,
        timeout: Duration,
    ) -> Result<Socket, ConnectFailure> {
        let deadline = Instant::now() + timeout;
        let mut pause = MIN_RETRY_PAUSE;
        loop {
            let connected = tokio::time::timeout_at(deadline, self.connect(from, to)).await;
            let error = match connected {
                Ok(Ok(socket)) => return Ok(socket),
                Ok(Err(error)) => error,
                Err(_) => return Err(ConnectFailure::NotInTime),
            };
            if !is_local(&error) {
                return Err(ConnectFailure::Peer(error));
            }
            if Instant::now() + pause >= deadline {
                return Err(ConnectFailure::Local(error));
            }
            tracing::debug!(%error, %to, "the local machine cannot connect yet");
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_RETRY_PAUSE);
        }
    }
}
