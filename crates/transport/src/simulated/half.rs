//! The halves of a simulated connection.
use super::direction::Direction;
use crate::socket::{Socket, PEER_CLOSED_POLL_INTERVAL};
use std::future::poll_fn;
use std::io::{IoSlice, Result};
use std::sync::Arc;

/// The socket of one end, which reads from one direction and writes to the other.
pub(super) fn socket(read: Arc<Direction>, write: Arc<Direction>) -> Socket {
    Socket::Simulated(SimulatedReadHalf(read), SimulatedWriteHalf(write))
}

/// The reading half; dropped, it fails the peer's writes.
#[derive(Debug)]
pub struct SimulatedReadHalf(Arc<Direction>);

impl SimulatedReadHalf {
    /// Waits until a read may return something. Cancel-safe.
    pub async fn readable(&self) {
        poll_fn(|context| self.0.poll_readable(context)).await;
    }

    /// Returns when the peer has ended its direction, although earlier bytes may be unread.
    pub async fn peer_closed(&self) {
        while !self.0.is_ended() {
            tokio::time::sleep(PEER_CLOSED_POLL_INTERVAL).await;
        }
    }

    /// Passes arrived bytes to `consume`, which returns how many it has taken. `WouldBlock`: none have arrived; 0: the end.
    pub fn try_read(&self, consume: &mut dyn FnMut(&[u8]) -> usize) -> Result<usize> {
        self.0.read(consume)
    }
}

impl Drop for SimulatedReadHalf {
    fn drop(&mut self) {
        self.0.drop_reader();
    }
}

/// The writing half; dropped, it ends the direction.
#[derive(Debug)]
pub struct SimulatedWriteHalf(Arc<Direction>);

impl SimulatedWriteHalf {
    /// Waits until a write may be accepted. Cancel-safe.
    pub async fn writable(&self) {
        poll_fn(|context| self.0.poll_writable(context)).await;
    }

    /// Writes as many bytes as are accepted now. `WouldBlock`: none.
    pub fn try_write(&self, slices: &[IoSlice<'_>]) -> Result<usize> {
        self.0.write(slices)
    }

    /// Ends the direction; what was written is still delivered.
    pub fn shutdown(&self) {
        self.0.end();
    }

    /// Withdraws what was not delivered and breaks the connection.
    pub fn abort(&self) {
        self.0.abort();
    }
}

impl Drop for SimulatedWriteHalf {
    fn drop(&mut self) {
        self.0.end();
    }
}
