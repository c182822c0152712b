//! The parameters of a measurement.
use std::net::SocketAddr;
use std::time::Duration;

/// The server to measure, and the steps and load of the measurement.
#[derive(Clone, Debug)]
pub struct IdlePlan {
    /// The server's HTTP address.
    pub http_address: SocketAddr,
    /// The address of the server's framed listener and the class of the object. If set, the idle connections use the
    /// framed protocol instead of HTTP.
    pub framed: Option<(SocketAddr, String)>,
    /// The server's process id.
    pub pid: u32,
    /// The path of an object that the server serves.
    pub path: String,
    /// The number of idle connections at each step, ascending.
    pub steps: Vec<usize>,
    /// Requests per second of the steady load.
    pub requests_per_second: f64,
    /// How long the steady load lasts at each step.
    pub load_duration: Duration,
}
