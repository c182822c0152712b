//! Counts the traffic of the emulator by kind of message: numbers of messages, their bytes, and bytes on the sockets, which
//! include framing and headers. The kinds separate messages by purpose, so that growth of one kind can be attributed to one
//! mechanism of the clients.
mod sockets;

pub(crate) use sockets::SocketCounters;

use pointspindle_etcd::proto::*;
use prost::Message;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

/// Length of the prefix of each gRPC message in bytes.
const MESSAGE_PREFIX_BYTES: usize = 5;

/// Counts of the messages of one kind, received and sent by the emulator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageCounts {
    /// Number of messages received.
    pub messages_in: u64,
    /// Bytes of the messages received, with their prefixes.
    pub bytes_in: u64,
    /// Number of messages sent.
    pub messages_out: u64,
    /// Bytes of the messages sent, with their prefixes.
    pub bytes_out: u64,
}

/// Counts of all traffic up to a time, or within a period.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficCounts {
    /// Counts of messages by kind.
    pub kinds: BTreeMap<String, MessageCounts>,
    /// Numbers of watch events sent, by the kind of their keys.
    pub events: BTreeMap<String, u64>,
    /// Bytes read from the sockets.
    pub bytes_in: u64,
    /// Bytes written to the sockets.
    pub bytes_out: u64,
    /// Number of accepted connections.
    pub connections: u64,
}

/// Counters of the emulator's traffic.
#[derive(Debug, Default)]
pub struct Traffic {
    messages: Mutex<TrafficCounts>,
    sockets: SocketCounters,
}

/// Returns the kind of a transaction, derived from the first key that it writes.
pub(crate) fn transaction_kind(request: &TxnRequest) -> &'static str {
    let operations = request.success.iter().chain(&request.failure);
    let mut written_keys = operations.filter_map(|operation| match &operation.request {
        Some(request_op::Request::Put(put)) => Some(&put.key[..]),
        Some(request_op::Request::DeleteRange(delete)) => Some(&delete.key[..]),
        _ => None,
    });
    match written_keys.next().map(key_kind) {
        Some("purges") => "purge written",
        Some("dispatchers") => "registration",
        Some("members") => "member written",
        _ => "write",
    }
}

fn key_kind(key: &[u8]) -> &'static str {
    let contains = |part: &str| {
        key.windows(part.len())
            .any(|window| window == part.as_bytes())
    };
    if contains("/v1/purges/") {
        "purges"
    } else if contains("/v1/dispatchers/") {
        "dispatchers"
    } else if contains("/v1/members/") {
        "members"
    } else {
        "others"
    }
}

fn wire_bytes(message: &impl Message) -> u64 {
    (message.encoded_len() + MESSAGE_PREFIX_BYTES) as u64
}

impl MessageCounts {
    fn record_in(&mut self, message: &impl Message) {
        self.messages_in += 1;
        self.bytes_in += wire_bytes(message);
    }

    fn record_out(&mut self, message: &impl Message) {
        self.messages_out += 1;
        self.bytes_out += wire_bytes(message);
    }

    fn since(&self, earlier: &Self) -> Self {
        Self {
            messages_in: self.messages_in - earlier.messages_in,
            bytes_in: self.bytes_in - earlier.bytes_in,
            messages_out: self.messages_out - earlier.messages_out,
            bytes_out: self.bytes_out - earlier.bytes_out,
        }
    }
}

impl Traffic {
    fn lock(&self) -> MutexGuard<'_, TrafficCounts> {
        self.messages
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Returns the counts of all traffic so far.
    pub fn counts(&self) -> TrafficCounts {
        TrafficCounts {
            bytes_in: self.sockets.bytes_in(),
            bytes_out: self.sockets.bytes_out(),
            connections: self.sockets.connections(),
            ..self.lock().clone()
        }
    }

    pub(crate) fn sockets(&self) -> SocketCounters {
        self.sockets.clone()
    }

    pub(crate) fn record_call(&self, kind: &str, request: &impl Message, response: &impl Message) {
        let mut counts = self.lock();
        let kind_counts = counts.kinds.entry(kind.to_owned()).or_default();
        kind_counts.record_in(request);
        kind_counts.record_out(response);
    }

    pub(crate) fn record_watch_request(&self, request: &WatchRequest) {
        let kind = match &request.request {
            Some(watch_request::Request::Progress(_)) => "progress",
            _ => "watch",
        };
        let mut counts = self.lock();
        let kind_counts = counts.kinds.entry(kind.to_owned()).or_default();
        kind_counts.record_in(request);
    }

    pub(crate) fn record_watch_response(&self, response: &WatchResponse) {
        let mut counts = self.lock();
        for event in &response.events {
            let kind = event.kv.as_ref().map_or("others", |kv| key_kind(&kv.key));
            *counts.events.entry(kind.to_owned()).or_default() += 1;
        }
        let kind = if response.created || response.canceled {
            "watch"
        } else if response.events.is_empty() {
            "progress"
        } else {
            "events"
        };
        let kind_counts = counts.kinds.entry(kind.to_owned()).or_default();
        kind_counts.record_out(response);
    }
}

impl TrafficCounts {
    /// Returns the traffic between the earlier counts and these.
    pub fn since(&self, earlier: &Self) -> Self {
        let kinds = self.kinds.iter().map(|(kind, counts)| {
            let before = earlier.kinds.get(kind).copied().unwrap_or_default();
            (kind.clone(), counts.since(&before))
        });
        let events = self.events.iter().map(|(kind, count)| {
            let before = earlier.events.get(kind).unwrap_or(&0);
            (kind.clone(), count - before)
        });
        Self {
            kinds: kinds.collect(),
            events: events.collect(),
            bytes_in: self.bytes_in - earlier.bytes_in,
            bytes_out: self.bytes_out - earlier.bytes_out,
            connections: self.connections - earlier.connections,
        }
    }
}
