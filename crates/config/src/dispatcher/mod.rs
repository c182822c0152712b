//! Settings of a dispatcher: one module per section of its file.
//!
//! Sections are read in a fixed order, which determines the order of errors without a line number.
mod classes;
mod etcd;
mod listen;
mod network_quota;
mod router;
mod tls;
mod upstream;
mod zones;

pub use classes::ClassSettings;
pub use etcd::EtcdSettings;
pub use listen::ListenSettings;
pub use network_quota::NetworkQuota;
pub use tls::TlsSettings;
pub use upstream::UpstreamSettings;

use crate::endpoints::{self, EndpointSpec};
use crate::reader::Reader;
use pointspindle::RouterSettings;
use std::path::PathBuf;

const MINUTE_MS: f64 = 60_000.0;
const HOUR_MS: f64 = 60.0 * MINUTE_MS;
const BYTES_PER_MB: u64 = 1024 * 1024;

/// All settings of a dispatcher.
#[derive(Clone, Debug)]
pub struct DispatcherSettings {
    /// Name of the dispatcher in logs and on the wire.
    pub name: String,
    /// Settings of the decision module.
    pub router: RouterSettings,
    /// Names of the zones, by the decision module's zone number.
    pub zones: Vec<String>,
    /// Request classes, by the decision module's class number; at least one.
    pub classes: Vec<ClassSettings>,
    /// Listeners and the limits of client connections.
    pub listen: ListenSettings,
    /// Certificate of the TLS listeners; present if there is a TLS listener.
    pub tls: Option<TlsSettings>,
    /// Source of endpoint lists and purges; `None` if etcd is not used.
    pub etcd: Option<EtcdSettings>,
    /// Connections to endpoints.
    pub upstream: UpstreamSettings,
    /// Time in microseconds reserved within the client's deadline for returning the response.
    pub response_margin_us: u64,
    /// Number of leading segments of an HTTP path that form the purge group of an object.
    pub purge_group_segments: usize,
    /// File that preserves the latest endpoint list and purges across restarts.
    pub state_file: Option<PathBuf>,
    /// Endpoints of the static list.
    pub endpoints: Vec<EndpointSpec>,
    /// Maximum number of open requests.
    pub max_requests: usize,
    /// Number of body bytes read from one side and not yet written to the other, above which new requests are rejected.
    pub buffer_bytes: u64,
}

/// The `[dispatcher]` section.
struct DispatcherSection {
    name: String,
    zone: String,
    /// Number of this dispatcher, from 0 and less than `count`, if known.
    number: Option<u32>,
    /// Number of dispatchers in the fleet.
    count: u32,
    state_file: Option<PathBuf>,
    response_margin_us: u64,
    max_requests: usize,
    buffer_bytes: u64,
}

/// Reads all sections of a dispatcher's file. Errors are collected in the reader; the returned settings are valid only
/// if it has none.
pub(crate) fn read(reader: &mut Reader) -> DispatcherSettings {
    let dispatcher = read_dispatcher(reader);
    let zones = zones::read(reader, &dispatcher.zone, dispatcher.count);
    let classes = classes::read(reader);
    let listen = listen::read(reader);
    let tls = tls::read(reader, &listen);
    let etcd = etcd::read(reader);
    let upstream = upstream::read(reader);
    let endpoints = endpoints::read(reader, &zones.names);
    let placement = router::Placement {
        zone: zones.own_index,
        zones: zones.fleet,
        routers: dispatcher.count,
        router_index: dispatcher.number,
    };
    let router = router::read(reader, placement, classes.router);
    let purge_group_segments = reader.number("http", "group_segments", 2, 1, 16);
    DispatcherSettings {
        name: dispatcher.name,
        router,
        zones: zones.names,
        classes: classes.settings,
        listen,
        tls,
        etcd,
        upstream,
        response_margin_us: dispatcher.response_margin_us,
        purge_group_segments,
        state_file: dispatcher.state_file,
        endpoints,
        max_requests: dispatcher.max_requests,
        buffer_bytes: dispatcher.buffer_bytes,
    }
}

fn read_dispatcher(reader: &mut Reader) -> DispatcherSection {
    const SECTION: &str = "dispatcher";
    let name = reader.value(SECTION, "name", "dispatcher".to_owned(), "a name");
    let zone = reader.required(SECTION, "zone", String::new(), "the zone of the dispatcher");
    let number = reader
        .text(SECTION, "number")
        .and_then(|text| reader.parse_or_report(SECTION, "number", &text, "a whole number"));
    let count = reader.number(SECTION, "count", 1, 1, 100_000);
    if number.is_some_and(|number| number >= count) {
        let reason = "must be less than count; numbers start at 0";
        reader.report(SECTION, "number", reason);
    }
    DispatcherSection {
        name,
        zone,
        number,
        count,
        state_file: reader.path(SECTION, "state_file"),
        response_margin_us: reader.duration_us(SECTION, "answer_slack_ms", 20.0, 0.0, 10_000.0),
        max_requests: reader.number(SECTION, "max_requests", 20_000, 1, 10_000_000),
        buffer_bytes: reader.number(SECTION, "buffer_mb", 512, 1, 1_000_000) * BYTES_PER_MB,
    }
}
