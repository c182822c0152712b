//! The reading and writing halves of a simulated connection.
use super::direction::Direction;
use crate::socket::{Socket, PEER_CLOSED_POLL_INTERVAL};
use std::future::poll_fn;
use std::io::{IoSlice, Result};
use std::sync::Arc;

/// Creates the socket of one end, which reads from one direction and writes to the other.
pub(super) fn socket(read: Arc<Direction>, write: Arc<Direction>) -> Socket {
    Socket::Simulated(SimulatedReadHalf(read), SimulatedWriteHalf(write))
}

/// The reading half of a simulated connection. Dropping it makes the peer's writes fail.
#[derive(Debug)]
pub struct SimulatedReadHalf(Arc<Direction>);

impl SimulatedReadHalf {
    /// Waits until a read may return bytes, the end of the stream or an error. Cancel-safe.
    pub async fn readable(&self) {
        poll_fn(|context| self.0.poll_readable(context)).await;
    }

    /// Returns when the peer has ended its direction or the connection is broken, even if earlier bytes are unread.
    pub async fn peer_closed(&self) {
        while !self.0.is_ended() {
            tokio::time::sleep(PEER_CLOSED_POLL_INTERVAL).await;
        }
    }

    /// Passes arrived bytes to `consume`, which returns how many it has taken. Returns that number; 0 means the end of the
    /// stream. Fails with `WouldBlock` if no bytes have arrived.
    pub fn try_read(&self, consume: &mut dyn FnMut(&[u8]) -> usize) -> Result<usize> {
        self.0.read(consume)
    }
}

impl Drop for SimulatedReadHalf {
    fn drop(&mut self) {
        self.0.drop_reader();
    }
}

/// The writing half of a simulated connection. Dropping it ends its direction.
#[derive(Debug)]
pub struct SimulatedWriteHalf(Arc<Direction>);

impl SimulatedWriteHalf {
    /// Waits until a write may be accepted. Cancel-safe.
    pub async fn writable(&self) {
        poll_fn(|context| self.0.poll_writable(context)).await;
    }

    /// Writes as many bytes as the window allows now and returns their number. Fails with `WouldBlock` if the window is
    /// full.
    pub fn try_write(&self, slices: &[IoSlice<'_>]) -> Result<usize> {
        self.0.write(slices)
    }

    /// Ends the direction; bytes already written are still delivered.
    pub fn shutdown(&self) {
        self.0.end();
    }

    /// Discards undelivered bytes and breaks the direction.
    pub fn abort(&self) {
        self.0.abort();
    }
}

impl Drop for SimulatedWriteHalf {
    fn drop(&mut self) {
        self.0.end();
    }
}
