//! The `[upstream]` section: connections to endpoints.
use super::{HOUR_MS, MINUTE_MS};
use crate::reader::Reader;
use std::net::IpAddr;

const SECTION: &str = "upstream";

/// Connections to endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamSettings {
    /// Whether endpoints are identified by ids of their own rather than by their addresses, so that an address may be
    /// reused under another id. Not read from the file.
    pub endpoints_have_ids: bool,
    /// Timeout for establishing a connection, in microseconds.
    pub connect_timeout_us: u64,
    /// Maximum number of open streams on a connection.
    pub max_streams: usize,
    /// Time in microseconds after which an unused connection is closed.
    pub idle_timeout_us: u64,
    /// Maximum time in microseconds to wait for the hello frame of an endpoint that sends one. No request is sent on a
    /// new connection before its hello frame.
    pub hello_timeout_us: u64,
    /// Local address of connections to endpoints; `None`: chosen by the operating system.
    pub bind: Option<IpAddr>,
    /// Time in microseconds without a received frame, while responses are outstanding, after which a ping is sent.
    pub ping_when_awaiting_us: u64,
    /// Time in microseconds without a received frame, while no response is outstanding, after which a ping is sent; 0:
    /// never.
    pub ping_when_idle_us: u64,
    /// Time in microseconds without a received frame after a ping, after which the connection is closed.
    pub ping_timeout_us: u64,
}

pub(super) fn read(reader: &mut Reader) -> UpstreamSettings {
    UpstreamSettings {
        endpoints_have_ids: false,
        connect_timeout_us: reader.duration_us(
            SECTION,
            "connect_timeout_ms",
            250.0,
            1.0,
            MINUTE_MS,
        ),
        max_streams: reader.number(SECTION, "max_streams", 1024, 1, 1_000_000),
        idle_timeout_us: reader.duration_us(SECTION, "idle_ms", MINUTE_MS, 100.0, HOUR_MS),
        hello_timeout_us: reader.duration_us(SECTION, "hello_timeout_ms", 100.0, 0.0, 10_000.0),
        bind: reader.optional(SECTION, "bind", "an IP address"),
        ping_when_awaiting_us: reader.duration_us(
            SECTION,
            "quiet_ping_ms",
            2_000.0,
            10.0,
            MINUTE_MS,
        ),
        ping_when_idle_us: reader.duration_us(SECTION, "idle_ping_ms", 15_000.0, 0.0, HOUR_MS),
        ping_timeout_us: reader.duration_us(SECTION, "ping_timeout_ms", 1_000.0, 10.0, MINUTE_MS),
    }
}
