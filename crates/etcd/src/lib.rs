//! Endpoint lists, draining, purges and dispatcher registrations through etcd's watch API.
//!
//! * [`layout`]: keys and their values, which are versioned JSON records.
//! * [`watcher`]: turns snapshots and watch events into endpoint lists and purges, in order and exactly once, across broken
//!   streams, compaction and lost history. It does no I/O and reads no clock.
//! * [`client`]: a client of etcd's v3 API over gRPC; [`proto`] holds its messages.
//! * [`feed`]: runs a watcher with a client.
//! * [`writer`]: transactions with which operators and dispatchers change the store.
//!
//! Updates use the same `pointspindle_protocol` messages as a control connection.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
pub mod feed;
pub mod layout;
pub mod proto;
mod source;
pub mod watcher;
pub mod writer;

pub use client::{Etcd, EtcdAccess, EtcdError};
pub use source::EtcdSource;
pub use watcher::{
    Header, Input, KeyValue, Output, Revision, ViewFreshness, WatchEvent, Watcher, WatcherSettings,
};
