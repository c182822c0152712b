//! What goes over the stand-in's wire, by kind of message: counts, bytes of the messages, and bytes on the sockets (framing and
//! headers included). A kind is what the message is about, so that a slope belongs to a mechanism.
use pointspindle_etcd::proto::*;
use prost::Message;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tonic::transport::server::Connected;

/// In front of each message of a gRPC stream.
const MESSAGE_HEAD: usize = 5;

/// Messages of one kind, to the store and from it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    pub messages_in: u64,
    pub bytes_in: u64,
    pub messages_out: u64,
    pub bytes_out: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Figures {
    pub kinds: BTreeMap<String, Count>,
    /// Events in what was told, by what they are about.
    pub events: BTreeMap<String, u64>,
    /// On the sockets.
    pub bytes_in: u64,
    pub bytes_out: u64,
    pub connections: u64,
}

#[derive(Debug, Default)]
pub struct Traffic {
    told: Mutex<Figures>,
    sockets: Sockets,
}

/// Of all connections together.
#[derive(Clone, Debug, Default)]
pub struct Sockets {
    bytes: Arc<(AtomicU64, AtomicU64, AtomicU64)>,
}

/// What a write is about, by its first key.
pub fn of_write(request: &TxnRequest) -> &'static str {
    let keys = request
        .success
        .iter()
        .chain(&request.failure)
        .filter_map(|op| match &op.request {
            Some(request_op::Request::Put(put)) => Some(&put.key[..]),
            Some(request_op::Request::DeleteRange(delete)) => Some(&delete.key[..]),
            _ => None,
        });
    match keys.map(about).next() {
        Some("purges") => "purge written",
        Some("dispatchers") => "registration",
        Some("members") => "member written",
        _ => "write",
    }
}

fn about(key: &[u8]) -> &'static str {
    let has = |word: &str| key.windows(word.len()).any(|w| w == word.as_bytes());
    match () {
        () if has("/v1/purges/") => "purges",
        () if has("/v1/dispatchers/") => "dispatchers",
        () if has("/v1/members/") => "members",
        () => "others",
    }
}

impl Traffic {
    fn lock(&self) -> MutexGuard<'_, Figures> {
        self.told
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn figures(&self) -> Figures {
        let (read, written, connections) = &*self.sockets.bytes;
        Figures {
            bytes_in: read.load(Ordering::Relaxed),
            bytes_out: written.load(Ordering::Relaxed),
            connections: connections.load(Ordering::Relaxed),
            ..self.lock().clone()
        }
    }

    pub(super) fn sockets(&self) -> Sockets {
        self.sockets.clone()
    }

    pub(super) fn call(&self, kind: &str, question: &impl Message, answer: &impl Message) {
        let mut told = self.lock();
        let count = told.kinds.entry(kind.to_owned()).or_default();
        count.messages_in += 1;
        count.bytes_in += (question.encoded_len() + MESSAGE_HEAD) as u64;
        count.messages_out += 1;
        count.bytes_out += (answer.encoded_len() + MESSAGE_HEAD) as u64;
    }

    pub(super) fn asked(&self, question: &WatchRequest) {
        let kind = match &question.request {
            Some(watch_request::Request::Progress(_)) => "progress",
            _ => "watch",
        };
        let mut told = self.lock();
        let count = told.kinds.entry(kind.to_owned()).or_default();
        count.messages_in += 1;
        count.bytes_in += (question.encoded_len() + MESSAGE_HEAD) as u64;
    }

    pub(super) fn told(&self, answer: &WatchResponse) {
        let mut told = self.lock();
        for event in &answer.events {
            let of = event.kv.as_ref().map_or("others", |kv| about(&kv.key));
            *told.events.entry(of.to_owned()).or_default() += 1;
        }
        let kind = match answer {
            WatchResponse { created: true, .. } | WatchResponse { canceled: true, .. } => "watch",
            a if a.events.is_empty() => "progress",
            _ => "events",
        };
        let count = told.kinds.entry(kind.to_owned()).or_default();
        count.messages_out += 1;
        count.bytes_out += (answer.encoded_len() + MESSAGE_HEAD) as u64;
    }
}

impl Figures {
    /// What has come since an earlier look.
    pub fn since(&self, before: &Self) -> Self {
        let of = |kind: &String| before.kinds.get(kind).copied().unwrap_or_default();
        let kinds = self.kinds.iter().map(|(kind, c)| {
            let b = of(kind);
            let count = Count {
                messages_in: c.messages_in - b.messages_in,
                bytes_in: c.bytes_in - b.bytes_in,
                messages_out: c.messages_out - b.messages_out,
                bytes_out: c.bytes_out - b.bytes_out,
            };
            (kind.clone(), count)
        });
        let events = self
            .events
            .iter()
            .map(|(k, n)| (k.clone(), n - before.events.get(k).unwrap_or(&0)));
        Self {
            kinds: kinds.collect(),
            events: events.collect(),
            bytes_in: self.bytes_in - before.bytes_in,
            bytes_out: self.bytes_out - before.bytes_out,
            connections: self.connections - before.connections,
        }
    }
}

impl Sockets {
    pub(super) fn count(&self, socket: TcpStream) -> Counted {
        self.bytes.2.fetch_add(1, Ordering::Relaxed);
        Counted {
            socket,
            of: self.clone(),
        }
    }
}

/// A connection whose bytes are counted.
#[derive(Debug)]
pub(super) struct Counted {
    socket: TcpStream,
    of: Sockets,
}

impl Connected for Counted {
    type ConnectInfo = ();

    fn connect_info(&self) {}
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.socket).poll_read(cx, buffer);
        self.of
            .bytes
            .0
            .fetch_add((buffer.filled().len() - before) as u64, Ordering::Relaxed);
        read
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write(cx, bytes);
        self.wrote(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write_vectored(cx, slices);
        self.wrote(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

impl Counted {
    fn wrote(&self, written: Poll<Result<usize>>) -> Poll<Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &written {
            self.of.bytes.1.fetch_add(*bytes as u64, Ordering::Relaxed);
        }
        written
    }
}
