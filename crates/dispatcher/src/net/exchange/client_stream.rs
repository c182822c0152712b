//! The client's side of a request, whatever its protocol.
use bytes::Bytes;
use pointspindle::Micros;
use pointspindle_protocol::ResponseHead;
use std::future::Future;

/// The client has left, or its connection is of no more use.
#[derive(Debug)]
pub struct ClientDisconnected;

/// The client's side of a request. Each final method is the last one called, and only one of them is.
pub trait ClientStream: Send {
    /// Returns when the client has left.
    fn disconnected(&mut self) -> impl Future<Output = ()> + Send;
    /// The response head. May be buffered until [`ClientStream::flush`].
    fn head(
        &mut self,
        head: &ResponseHead,
    ) -> impl Future<Output = Result<(), ClientDisconnected>> + Send;
    /// The next piece of the body. May be buffered until [`ClientStream::flush`].
    fn data(&mut self, data: Bytes) -> impl Future<Output = Result<(), ClientDisconnected>> + Send;
    /// Sends what is buffered.
    fn flush(&mut self) -> impl Future<Output = Result<(), ClientDisconnected>> + Send;
    /// Final: the response is complete.
    fn end(&mut self) -> impl Future<Output = Result<(), ClientDisconnected>> + Send;
    /// Final: load was shed; the client may retry after the given time.
    fn reject(&mut self, after: Option<Micros>) -> impl Future<Output = ()> + Send;
    /// Final: failed, nothing of a response was sent.
    fn fail(&mut self) -> impl Future<Output = ()> + Send;
    /// Final: failed after the head; must differ from a complete response.
    fn abort(&mut self) -> impl Future<Output = ()> + Send;
}
