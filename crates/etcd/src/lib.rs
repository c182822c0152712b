//! Member lists, drains and purges through etcd's watch API.
//!
//! * [`layout`]: which keys hold what, versioned; values as JSON.
//! * [`watcher`]: turns snapshots and watch events into list updates and purges, each once and in order, over broken streams,
//!   compaction and lost history. No I/O, no clock: the owner asks etcd what it is told to ask and hands the answers in.
//!
//! * [`client`]: the v3 API over gRPC, [`feed`]: a watcher against it, [`writer`]: what operators and dispatchers write.
//!
//! What travels is `pointspindle_protocol`'s, so a dispatcher takes it like the word of its control connection.
#![forbid(unsafe_code)]

pub mod client;
pub mod feed;
pub mod layout;
pub mod proto;
mod source;
pub mod watcher;
pub mod writer;

pub use client::{Access, Etcd, EtcdError};
pub use source::EtcdSource;
pub use watcher::{Change, Header, Input, KeyValue, Output, Revision, Rule, View, Watcher};
