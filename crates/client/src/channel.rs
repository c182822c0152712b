//! Connections to one dispatcher and attempts on them, over either transport.
use crate::call_state::AttemptEnd;
use crate::framed::{FramedAttempt, FramedChannel};
use crate::http::{HttpAttempt, HttpChannel};
use crate::retry::Micros;
use crate::{CallEvent, Request};

/// Protocol between a client and its dispatchers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Transport {
    Framed,
    Http,
}

/// The connections to one dispatcher.
pub(crate) enum Channel {
    Framed(FramedChannel),
    Http(HttpChannel),
}

/// An attempt in progress.
pub(crate) enum Attempt {
    Framed(FramedAttempt),
    Http(HttpAttempt),
}

impl Channel {
    /// Sends an attempt of a call. `call_id` is the same for all attempts of a call; HTTP does not transmit it.
    pub(crate) async fn send(
        &self,
        request: &Request,
        call_id: &str,
        time_left: Micros,
    ) -> Result<Attempt, AttemptEnd> {
        match self {
            Self::Framed(channel) => {
                let attempt = channel.send(request, call_id, time_left).await;
                attempt.map(Attempt::Framed)
            }
            Self::Http(channel) => channel.send(request, time_left).await.map(Attempt::Http),
        }
    }

    /// Closes the connections; over HTTP only the idle ones.
    pub(crate) async fn close(&self) {
        match self {
            Self::Framed(channel) => channel.close().await,
            Self::Http(channel) => channel.close(),
        }
    }
}

impl Attempt {
    /// Returns the next event of the response, or the attempt's end.
    pub(crate) async fn next(&mut self) -> Result<CallEvent, AttemptEnd> {
        match self {
            Self::Framed(attempt) => attempt.next().await,
            Self::Http(attempt) => attempt.next().await,
        }
    }
}
