//! Failures of `accept`, and the accept queue of a listener that is about to close.
use crate::network::Listener;
use crate::socket::Socket;
use std::future::Future;
use std::io::{Error, Result};
use std::net::SocketAddr;

/// Failures of `accept` after which a closing listener gives up the rest of its queue.
pub const MAX_ACCEPT_QUEUE_FAILURES: usize = 16;

/// What a failed `accept` concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// One connection, which died in the queue, or only the call: the next one is accepted at once.
    Connection,
    /// This process has no descriptor left.
    Descriptors,
    /// A temporary shortage of the machine, or an unknown error: accepting is retried a little later.
    Shortage,
}

impl AcceptFailure {
    /// By the error's number, after accept(2): Linux passes on errors of the new connection's network.
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
    /// The next connection in the accept queue; `None` if it is empty. For a listener that is about to close: a connection
    /// left in its queue would be reset, with the request that may have been written on it.
    pub async fn next_in_accept_queue(&mut self) -> Option<Result<(Socket, SocketAddr)>> {
        // Lets the runtime poll its sockets, so that connections made by now are seen.
        tokio::task::yield_now().await;
        tokio::select! {
            biased;
            accepted = self.accept() => Some(accepted),
            () = std::future::ready(()) => None,
        }
    }

    /// Accepts every connection in the queue of a listener that is about to close, then closes it.
    ///
    /// `serve` takes each connection. `pause` waits after a failed accept; the failure after `max_failures` of them ends the
    /// draining, and connections still in the queue are reset.
    pub async fn drain_accept_queue<P>(
        mut self,
        max_failures: usize,
        mut serve: impl FnMut(Socket, SocketAddr),
        mut pause: impl FnMut(Error) -> P,
    ) where
        P: Future<Output = ()>,
    {
        let mut failures = 0;
        while let Some(accepted) = self.next_in_accept_queue().await {
            match accepted {
                Ok((socket, peer)) => serve(socket, peer),
                Err(_) if failures == max_failures => break,
                Err(error) => {
                    failures += 1;
                    pause(error).await;
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
