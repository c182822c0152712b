//! The `[member NAME]` sections: endpoints of a statically configured list, and the roles that endpoints may have.
use crate::reader::Reader;

#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
/// Role of an endpoint, in settings, endpoint lists and on the wire.
pub enum Role {
    /// A cache of one location.
    Cache,
    /// A cache from which other caches fill.
    Parent,
    /// The source of the objects, or a gateway to it.
    Origin,
}

impl Role {
    /// Every role with its name, in the order of [`Role::kind`].
    pub const WORDS: [(&'static str, Self); 3] = [
        ("cache", Self::Cache),
        ("parent", Self::Parent),
        ("origin", Self::Origin),
    ];

    /// The name in settings and on the wire.
    pub fn name(self) -> &'static str {
        Self::WORDS[self.kind()].0
    }

    /// The decision module's number for it.
    pub fn kind(self) -> usize {
        self as usize
    }

    /// The role with this name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::WORDS
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, role)| *role)
    }
}

/// One endpoint of a static list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSpec {
    /// Address and port; unique in the list.
    pub address: String,
    /// What the endpoint serves as.
    pub role: Role,
    /// Name of its zone.
    pub zone: String,
    /// Capacity in relation to other endpoints.
    pub weight: f64,
    /// Number of the cell to which it belongs.
    pub cell: u64,
}

/// Reads every `[member NAME]` section in the order of the file.
pub(crate) fn read(reader: &mut Reader, zones: &[String]) -> Vec<EndpointSpec> {
    let mut endpoints: Vec<EndpointSpec> = Vec::new();
    for name in reader.named("member") {
        let endpoint = read_endpoint(reader, &name, zones, &endpoints);
        endpoints.push(endpoint);
    }
    endpoints
}

fn read_endpoint(
    reader: &mut Reader,
    name: &str,
    zones: &[String],
    earlier: &[EndpointSpec],
) -> EndpointSpec {
    let section = format!("member {name}");
    let address = reader.required(&section, "address", String::new(), "host:port");
    if !address.is_empty() && address.parse::<std::net::SocketAddr>().is_err() {
        let reason = format!("{address:?} is not an address and port");
        reader.report(&section, "address", &reason);
    }
    if earlier.iter().any(|other| other.address == address) {
        reader.report(&section, "address", "another member has this address");
    }
    let role = reader.choice(&section, "kind", Role::Cache, &Role::WORDS);
    let zone = reader.required(&section, "zone", String::new(), "a zone's name");
    if !zone.is_empty() && !zones.contains(&zone) {
        reader.report(&section, "zone", &format!("{zone:?} is none of the zones"));
    }
    EndpointSpec {
        address,
        role,
        zone,
        weight: reader.number(&section, "weight", 1.0, 0.001, 1e6),
        cell: reader.value(&section, "cell", 0, "a whole number"),
    }
}
