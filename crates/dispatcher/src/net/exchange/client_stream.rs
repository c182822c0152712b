//! The client's side of a request, independent of the client protocol.
use bytes::Bytes;
use pointspindle::Micros;
use pointspindle_protocol::ResponseHead;
use std::future::Future;

/// The client has disconnected, or its connection is no longer usable.
#[derive(Debug)]
pub struct ClientDisconnected;

/// The client's side of a request. Exactly one of the final methods is called, and it is the last call.
pub trait ClientStream: Send {
    /// Returns when the client has disconnected.
    fn disconnected(&mut self) -> impl Future<Output = ()> + Send;
    /// Sends the response head. It may be buffered until [`ClientStream::flush`].
    fn head(
        &mut self,
        head: &ResponseHead,
    ) -> impl Future<Output = Result<(), ClientDisconnected>> + Send;
    /// Sends the next part of the body. It may be buffered until [`ClientStream::flush`].
    fn data(&mut self, data: Bytes) -> impl Future<Output = Result<(), ClientDisconnected>> + Send;
    /// Sends the buffered bytes.
    fn flush(&mut self) -> impl Future<Output = Result<(), ClientDisconnected>> + Send;
    /// Final: completes the response.
    fn end(&mut self) -> impl Future<Output = Result<(), ClientDisconnected>> + Send;
    /// Final: rejects the request because load is shed; the client may retry after the given time.
    fn reject(&mut self, after: Option<Micros>) -> impl Future<Output = ()> + Send;
    /// Final: reports a failure before any part of a response was sent.
    fn fail(&mut self) -> impl Future<Output = ()> + Send;
    /// Final: reports a failure after the head. The client must be able to tell the response from a complete one.
    fn abort(&mut self) -> impl Future<Output = ()> + Send;
}
