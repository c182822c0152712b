//! Output of endpoint lists as text.
use pointspindle_protocol::{EndpointListHead, EndpointRecord};
use std::net::SocketAddr;

/// Prints the endpoint list of the dispatcher at this control address.
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

/// Returns the line of an endpoint, without its start time.
pub fn endpoint_line(endpoint: &EndpointRecord) -> String {
    let state = format!("{:?}", endpoint.state()).to_lowercase();
    format!(
        "  {:<22} {state:<9} {:<7} {:<12} weight {}",
        endpoint.address, endpoint.kind, endpoint.zone, endpoint.weight
    )
}
