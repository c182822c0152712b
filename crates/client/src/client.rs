//! The client, and the connections and retry state that its calls share.
use crate::builder::ClientBuilder;
use crate::call::Call;
use crate::call_state::Outcome;
use crate::channel::{Channel, Transport};
use crate::connector::LastConnectError;
use crate::error::{ConnectError, RequestError};
use crate::retry::{Micros, RetryState};
use crate::{CallEvent, Request, ResponseHead};
use bytes::{Bytes, BytesMut};
use rand::Rng;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::time::Instant;

/// State that the calls of a client share.
pub(crate) struct Shared {
    transport: Transport,
    pub(crate) channels: Vec<Channel>,
    retries: Mutex<RetryState>,
    created: Instant,
    /// Random prefix of call ids, so that no two clients use the same ones.
    id: u64,
    next_call: AtomicU64,
    last_connect_error: LastConnectError,
}

impl Shared {
    pub(crate) fn new(
        transport: Transport,
        channels: Vec<Channel>,
        retries: RetryState,
        last_connect_error: LastConnectError,
    ) -> Self {
        Self {
            transport,
            channels,
            retries: Mutex::new(retries),
            created: Instant::now(),
            id: rand::thread_rng().gen(),
            next_call: AtomicU64::new(0),
            last_connect_error,
        }
    }

    pub(crate) fn now(&self) -> Micros {
        self.created.elapsed().as_micros() as Micros
    }

    pub(crate) fn retries(&self) -> MutexGuard<'_, RetryState> {
        self.retries
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Calls dispatchers. Clones share connections, retry budget and circuit breakers.
#[derive(Clone)]
pub struct Client {
    shared: Arc<Shared>,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Client of {} dispatchers", self.shared.channels.len())
    }
}

/// Outcome of a call, with its whole response.
#[derive(Clone, Debug, PartialEq)]
pub struct FetchedResponse {
    /// Outcome of the call.
    pub outcome: Outcome,
    /// The response's head, if one was received.
    pub head: Option<ResponseHead>,
    /// The body; complete only if the outcome is [`Outcome::Served`].
    pub body: Bytes,
}

impl Client {
    /// Returns a builder with default settings.
    pub fn builder() -> ClientBuilder {
        ClientBuilder::default()
    }

    pub(crate) fn new(shared: Shared) -> Self {
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Starts a call, whose deadline counts from now. The request is not sent before the first [`Call::next`].
    pub fn call(&self, request: Request) -> Result<Call, RequestError> {
        request.validate(self.shared.transport)?;
        let number = self.shared.next_call.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:016x}-{number}", self.shared.id);
        Ok(Call::new(self.shared.clone(), request, id))
    }

    /// Returns the error of the last failed connection attempt, such as the reason why a certificate was rejected.
    pub fn last_connect_error(&self) -> Option<Arc<ConnectError>> {
        self.shared.last_connect_error.get()
    }

    /// Runs a call to its end and returns the whole response, with the body in memory.
    pub async fn fetch(&self, request: Request) -> Result<FetchedResponse, RequestError> {
        let mut call = self.call(request)?;
        let mut outcome = Outcome::Failed { may_have_run: true };
        let mut head = None;
        let mut body = BytesMut::new();
        while let Some(event) = call.next().await {
            match event {
                CallEvent::Head(received) => head = Some(received),
                CallEvent::Data(data) => body.extend_from_slice(&data),
                CallEvent::End(end) => outcome = end,
            }
        }
        Ok(FetchedResponse {
            outcome,
            head,
            body: body.freeze(),
        })
    }

    /// Closes the client's connections. HTTP connections in use stay open; framed connections are closed, and calls in
    /// progress lose them.
    pub async fn close(&self) {
        for channel in &self.shared.channels {
            channel.close().await;
        }
    }
}
