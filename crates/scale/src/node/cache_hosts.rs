//! Runs a process of hollow cache hosts.
use super::{send_report, CommandStream, NodeError};
use crate::messages::{CacheHostRecord, NodeRange, Report};
use pointspindle_cache_host::Host;
use pointspindle_clock::wall_clock_unix_ms;
use pointspindle_config::parse_cache_host;
use pointspindle_etcd::layout::{EndpointState, MemberRecord};
use pointspindle_transport::Network;

/// Uptime that the records give for each host, milliseconds. It is long enough that no host is in slow start.
const HOST_UPTIME_MS: u64 = 600_000;

/// Returns the settings of a hollow cache host. They name a store, which [`run`] removes.
fn host_settings(number: usize) -> String {
    format!(
        "[cache]\nname = h-{number}\nrole = cache\n[listen]\nframed = 127.0.0.1:0\n\
         [class page]\n[origin]\naddress = 127.0.0.1:9\n[store]\npath = hollow\n"
    )
}

/// Returns a cache host's record in the endpoint list.
pub fn record(number: usize, sites: usize) -> MemberRecord {
    MemberRecord {
        state: EndpointState::Ready,
        weight: 50.0,
        zone: format!("site-{}", number % sites),
        kind: "cache".into(),
        cell: number as u64,
        start: 1,
        started_unix_ms: Some(wall_clock_unix_ms().saturating_sub(HOST_UPTIME_MS)),
    }
}

pub(super) async fn run(mut commands: CommandStream, nodes: NodeRange) -> Result<(), NodeError> {
    let mut hosts = Vec::new();
    let mut records = Vec::new();
    for number in nodes.numbers() {
        let mut settings = parse_cache_host("hollow", &host_settings(number))?;
        settings.store = None;
        let host = Host::start(settings, Network::Tcp).await?;
        records.push(CacheHostRecord {
            address: host.bound().framed.to_string(),
            record: record(number, nodes.sites),
        });
        hosts.push(host);
    }
    send_report(&Report::CacheHosts(records));
    while commands.next().await.is_some() {
        send_report(&Report::Done);
    }
    drop(hosts);
    Ok(())
}
