//! Endpoint lists as text.
use pointspindle_protocol::{EndpointListHead, EndpointRecord};
use std::net::SocketAddr;

/// Prints the list of the dispatcher at this control address.
pub fn print_list(dispatcher: SocketAddr, list: &EndpointListHead) {
    println!(
        "{dispatcher}: list {}, {} members",
        list.seq,
        list.endpoints.len()
    );
    for endpoint in &list.endpoints {
        let started = endpoint.started_ago_us.map_or("long ago".to_owned(), |us| {
            format!("{:.1} s ago", us as f64 / 1e6)
        });
        println!("{} started {started}", endpoint_line(endpoint));
    }
}

/// One endpoint, without when it started.
pub fn endpoint_line(endpoint: &EndpointRecord) -> String {
    let state = format!("{:?}", endpoint.state()).to_lowercase();
    format!(
        "  {:<22} {state:<9} {:<7} {:<12} weight {}",
        endpoint.address, endpoint.kind, endpoint.zone, endpoint.weight
    )
}
