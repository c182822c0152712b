//! Loopback addresses of the parts of a run.
//!
//! The block of addresses depends on the process id, so that a run does not reach a host of another run on the same
//! machine at a port that its own host has just released.
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The first third octet of the addresses of each role; further instances continue in the octets that follow.
mod role_octet {
    pub(super) const HOST: u8 = 0;
    pub(super) const DISPATCHER_SOURCE: u8 = 100;
    pub(super) const DISPATCHER_LISTEN: u8 = 150;
    pub(super) const FILL_SOURCE: u8 = 200;
}

const FIRST_BLOCK: u8 = 64;
const BLOCK_COUNT: u32 = 128;
const ADDRESSES_PER_OCTET: usize = 250;

/// The port of every host on the simulated network, where each host has an IP address of its own.
const SIMULATED_HOST_PORT: u16 = 9_000;

/// The host number of the relay in front of a host, higher than the host numbers of any scenario.
const RELAY_HOST: usize = 5_000;

fn loopback(role_octet: u8, instance: usize) -> IpAddr {
    let block = FIRST_BLOCK + (std::process::id() % BLOCK_COUNT) as u8;
    IpAddr::V4(Ipv4Addr::new(
        127,
        block,
        role_octet + (instance / ADDRESSES_PER_OCTET) as u8,
        (instance % ADDRESSES_PER_OCTET + 1) as u8,
    ))
}

/// Returns a free address for an emulated host on real sockets. Each host has its own IP address, so that no outgoing
/// connection takes the port of a host while the host is down.
pub(crate) fn free_host_address(host: usize) -> String {
    let listener = std::net::TcpListener::bind((loopback(role_octet::HOST, host), 0))
        .expect("a loopback address has free ports");
    listener
        .local_addr()
        .expect("a bound listener has a local address")
        .to_string()
}

/// Returns the address of an emulated host on the simulated network.
pub(crate) fn simulated_host_address(host: usize) -> String {
    let ip = loopback(role_octet::HOST, host);
    SocketAddr::new(ip, SIMULATED_HOST_PORT).to_string()
}

/// Returns the IP address on which a relay in front of a host listens.
pub(crate) fn host_relay_ip() -> IpAddr {
    loopback(role_octet::HOST, RELAY_HOST)
}

/// Returns the source address of a dispatcher's connections to hosts, by which hosts identify the dispatcher.
pub(crate) fn dispatcher_source_ip(dispatcher: usize) -> IpAddr {
    loopback(role_octet::DISPATCHER_SOURCE, dispatcher)
}

/// Returns the IP address on which a dispatcher listens. It differs from the source address, so that no outgoing
/// connection occupies a listen port at a restart.
pub(crate) fn dispatcher_listen_ip(dispatcher: usize) -> IpAddr {
    loopback(role_octet::DISPATCHER_LISTEN, dispatcher)
}

/// Returns the source address of the emulated hosts' fills.
pub(crate) fn fill_source_ip() -> IpAddr {
    loopback(role_octet::FILL_SOURCE, 0)
}
