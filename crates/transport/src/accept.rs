//! What a failed `accept` says, and what is left in a listener's queue when it is to close.
use crate::line::{Listener, Socket};
use std::io::{Error, Result};
use std::net::SocketAddr;

/// Whom a failed `accept` concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// One connection, which died in the queue, or only the call: the next one is accepted at once.
    Connection,
    /// This process has no descriptor left.
    Descriptors,
    /// The machine is short of something for a moment, or the error is not known: accepted again a little later.
    Shortage,
}

impl AcceptFailure {
    /// By the error's number, after accept(2): errors of the new connection's network are passed on by Linux.
    pub fn of(error: &Error) -> Self {
        match error.raw_os_error() {
            Some(libc::EMFILE) => Self::Descriptors,
            Some(
                libc::ECONNABORTED
                | libc::EINTR
                | libc::EPROTO
                | libc::ENOPROTOOPT
                | libc::EOPNOTSUPP
                | libc::ENETDOWN
                | libc::ENETUNREACH
                | libc::EHOSTDOWN
                | libc::EHOSTUNREACH
                | libc::ENONET
                | libc::ECONNRESET
                | libc::ETIMEDOUT
                | libc::EPERM,
            ) => Self::Connection,
            _ => Self::Shortage,
        }
    }
}

impl Listener {
    /// The next connection that waits in the queue; none: it is empty. For a listener that is to close: a connection in its
    /// queue would be reset, with the request that may have been written on it.
    pub async fn waiting(&mut self) -> Option<Result<(Socket, SocketAddr)>> {
        // The runtime looks at its sockets meanwhile: what has come by now is seen.
        tokio::task::yield_now().await;
        tokio::select! {
            biased;
            accepted = self.accept() => Some(accepted),
            () = std::future::ready(()) => None,
        }
    }
}

#[cfg(test)]
mod tests;
