//! Endpoint lists, draining, purges and dispatcher registrations through etcd's watch API.
//!
//! * [`layout`]: the keys and their values, versioned JSON records.
//! * [`watcher`]: turns snapshots and watch events into endpoint lists and purges, in order and once each, across broken
//!   streams, compaction and lost history. No I/O, no clock.
//! * [`client`]: etcd's v3 API over gRPC; [`proto`]: its messages.
//! * [`feed`]: runs a watcher against a client.
//! * [`writer`]: transactions of operators and dispatchers.
//!
//! The updates are messages of `pointspindle_protocol`, as a control connection delivers them.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
pub mod feed;
pub mod layout;
pub mod proto;
mod source;
pub mod watcher;
pub mod writer;

pub use client::{Access, Etcd, EtcdError};
pub use source::EtcdSource;
pub use watcher::{
    Header, Input, KeyValue, Output, Revision, View, WatchEvent, Watcher, WatcherSettings,
};
