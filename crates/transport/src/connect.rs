//! Connecting with a timeout; failures of the local machine are distinguished from failures of the peer.
use crate::network::Network;
use crate::socket::Socket;
use std::io::Error;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::time::Instant;

/// Delay before the first retry after a shortage of local resources; doubled for each further retry.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Upper limit of the delay between retries.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Reason for which connecting failed.
#[derive(Debug, thiserror::Error)]
pub enum ConnectFailure {
    /// The local machine had no file descriptor, memory, port or route until the timeout. The state of the peer is unknown.
    #[error("the local machine cannot connect: {0}")]
    Local(Error),
    /// The peer refused the connection or is unreachable.
    #[error(transparent)]
    Peer(Error),
    /// The peer did not answer before the timeout.
    #[error("connecting timed out")]
    TimedOut,
}

impl ConnectFailure {
    /// Whether the peer caused the failure, rather than the local machine.
    pub fn is_peer_failure(&self) -> bool {
        !matches!(self, Self::Local(_))
    }
}

/// Whether the error of a `socket`, `bind` or `connect` call has its cause in the local machine alone.
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
    /// Connects to `address` within `timeout`, from the local address `from` if one is given. Failures for lack of local
    /// resources are retried until then.
    pub async fn connect_within(
        &self,
        from: Option<IpAddr>,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Socket, ConnectFailure> {
        let deadline = Instant::now() + timeout;
        let mut delay = MIN_RETRY_DELAY;
        loop {
            let connected = tokio::time::timeout_at(deadline, self.connect(from, address)).await;
            let error = match connected {
                Ok(Ok(socket)) => return Ok(socket),
                Ok(Err(error)) => error,
                Err(_) => return Err(ConnectFailure::TimedOut),
            };
            if !is_local(&error) {
                return Err(ConnectFailure::Peer(error));
            }
            if Instant::now() + delay >= deadline {
                return Err(ConnectFailure::Local(error));
            }
            tracing::debug!(%error, %address, "connect failed for lack of local resources; retrying");
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }
}
