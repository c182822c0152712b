//! An emulator of etcd for tests and measurements, written from the public specification. It serves etcd's v3 API over gRPC from
//! an in-memory [`Store`] and injects faults on request. The cluster has one member and stores nothing on disk.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod emulator;
pub mod measure;
mod services;
mod store;
pub mod traffic;
mod watches;

pub use emulator::{Credentials, EtcdEmulator, Faults};
pub use store::{RequestError, Store};
