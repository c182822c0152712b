//! Classification of `accept` failures, and draining of the accept queue of a listener that is about to close.
use crate::network::Listener;
use crate::socket::Socket;
use std::future::Future;
use std::io::{Error, Result};
use std::net::SocketAddr;

/// Number of `accept` failures that a closing listener tolerates before it abandons the rest of its queue.
pub const MAX_ACCEPT_QUEUE_FAILURES: usize = 16;

/// Scope of an `accept` failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// The failure affects one connection, which broke in the queue, or only this call: the next connection can be accepted
    /// at once.
    Connection,
    /// The process has no file descriptor left.
    DescriptorLimit,
    /// The machine is temporarily short of a resource, or the error is unknown: accepting is retried after a delay.
    ResourceShortage,
}

impl AcceptFailure {
    /// Classifies an error by its errno, according to accept(2): Linux also returns pending network errors of the new
    /// connection.
    pub fn of(error: &Error) -> Self {
        match error.raw_os_error() {
            Some(libc::EMFILE) => Self::DescriptorLimit,
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
            _ => Self::ResourceShortage,
        }
    }
}

impl Listener {
    /// Returns the next connection in the accept queue, or `None` if the queue is empty. Meant for a listener that is about
    /// to close: a connection left in its queue would be reset, and a request already written to it would be lost.
    pub async fn next_in_accept_queue(&mut self) -> Option<Result<(Socket, SocketAddr)>> {
        // Lets the runtime poll its sockets, so that connections established by now are seen.
        tokio::task::yield_now().await;
        tokio::select! {
            biased;
            accepted = self.accept() => Some(accepted),
            () = std::future::ready(()) => None,
        }
    }

    /// Accepts every connection in the queue of a listener that is about to close, then closes the listener.
    ///
    /// `serve` receives each connection. After a failed accept, `pause` is awaited; the failure after `max_failures`
    /// failures ends the draining, and connections still in the queue are reset.
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
