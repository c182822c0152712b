//! The dispatcher's I/O layer on tokio: listeners, connections to endpoints, timers and the state file around one core.
//!
//! Each request runs in a task ([`exchange`]) that executes the core's commands. The core is protected by one lock
//! ([`core_handle`]), which is held while one event is handled and never across an await.
mod call_attempts;
mod connection_pool;
pub mod connection_registry;
mod connection_rejection;
mod control;
pub mod core_handle;
mod dispatcher;
pub mod exchange;
mod framed_frontend;
mod framed_transport;
mod frontend_context;
mod http_frontend;
mod listeners;
mod metrics;
mod metrics_frontend;
mod request_outcome;
mod state_counts;
mod state_file;
#[cfg(test)]
mod test_support;

pub use dispatcher::{Dispatcher, HeadlessDispatcher, PreparedDispatcher};
pub(crate) use framed_transport::FramedCore;
pub use listeners::{BoundAddresses, StartError};
pub use state_counts::StateCounts;
