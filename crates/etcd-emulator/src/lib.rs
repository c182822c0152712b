//! An etcd of our own for tests and measurements, from the public specification: its v3 API over real gRPC in front of an
//! in-memory [`Store`], with faults on demand. One member, nothing on disk.
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
