//! The `[network NAME]` sections: connection quotas of client networks.
use crate::reader::Reader;
use std::net::IpAddr;

const PREFIX_EXAMPLE: &str = "such as 10.20.0.0/16";

/// A network of client addresses that share a connection quota, such as that of one branch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NetworkQuota {
    /// Name of the network in logs and metrics.
    pub name: String,
    /// An address of the network.
    pub address: IpAddr,
    /// Number of leading bits of the address that identify the network.
    pub bits: u8,
    /// Maximum number of open connections from the network.
    pub connections: usize,
}

impl NetworkQuota {
    /// Whether an address belongs to the network. An IPv4-mapped IPv6 address counts as IPv4.
    pub fn contains(&self, address: IpAddr) -> bool {
        let own = AddressBits::of(self.address);
        let other = AddressBits::of(address);
        let differing = own.bits ^ other.bits;
        own.width == other.width
            && (self.bits == 0 || differing.leading_zeros() >= u32::from(self.bits))
    }
}

/// An address as a number whose leading bits are the most significant ones.
struct AddressBits {
    bits: u128,
    width: u8,
}

impl AddressBits {
    fn of(address: IpAddr) -> Self {
        match address.to_canonical() {
            IpAddr::V4(v4) => Self {
                bits: u128::from(v4.to_bits()) << 96,
                width: 32,
            },
            IpAddr::V6(v6) => Self {
                bits: v6.to_bits(),
                width: 128,
            },
        }
    }
}

/// Reads all `[network NAME]` sections, in the order of the file.
pub(super) fn read(reader: &mut Reader, max_connections: usize) -> Vec<NetworkQuota> {
    reader
        .section_names("network")
        .into_iter()
        .filter_map(|name| read_network(reader, name, max_connections))
        .collect()
}

fn read_network(reader: &mut Reader, name: String, max_connections: usize) -> Option<NetworkQuota> {
    let section = format!("network {name}");
    let connections = reader.number(&section, "connections", max_connections, 1, 10_000_000);
    let expected = format!("a network prefix, {PREFIX_EXAMPLE}");
    let text = reader.required(&section, "prefix", String::new(), &expected);
    let Some((address, bits)) = parse_prefix(&text) else {
        if !text.is_empty() {
            let reason = format!("{text:?} is not a network prefix, {PREFIX_EXAMPLE}");
            reader.report(&section, "prefix", &reason);
        }
        return None;
    };
    Some(NetworkQuota {
        name,
        address,
        bits,
        connections,
    })
}

/// Parses a network prefix of the form `ADDRESS/BITS`.
fn parse_prefix(text: &str) -> Option<(IpAddr, u8)> {
    let (address, bits) = text.split_once('/')?;
    let address: IpAddr = address.trim().parse().ok()?;
    let bits: u8 = bits.trim().parse().ok()?;
    let max_bits = if address.is_ipv4() { 32 } else { 128 };
    (bits <= max_bits).then_some((address, bits))
}
