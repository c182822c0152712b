//! The cache host on tokio: the listeners for requests and for operators, the store and the sources of fills.
mod background;
mod byte_selection;
mod cached_response;
mod connection;
mod fill_response;
mod fill_sources;
mod fill_stream;
mod fill_task;
mod host;
mod host_state;
mod http_origin;
mod request;

pub use host::{BoundAddresses, Host, HostError};
pub use host_state::HostCounters;
