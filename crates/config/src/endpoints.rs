//! The `[member NAME]` sections, which configure a static list of endpoints, and the roles that endpoints can have.
use crate::reader::Reader;

#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
/// Role of an endpoint, in settings, endpoint lists and on the wire.
pub enum Role {
    /// A cache that serves one location.
    Cache,
    /// A cache that is a source of fills for other caches.
    Parent,
    /// The origin of the objects, or a gateway to it.
    Origin,
}

impl Role {
    /// All roles with their names, in the order of [`Role::kind`].
    pub const NAMES: [(&'static str, Self); 3] = [
        ("cache", Self::Cache),
        ("parent", Self::Parent),
        ("origin", Self::Origin),
    ];

    /// Returns the name of the role in settings and on the wire.
    pub fn name(self) -> &'static str {
        Self::NAMES[self.kind()].0
    }

    /// Returns the number of the role in the decision module.
    pub fn kind(self) -> usize {
        self as usize
    }

    /// Returns the role with the given name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::NAMES
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, role)| *role)
    }
}

/// An endpoint of the static list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSpec {
    /// Address and port, unique within the list.
    pub address: String,
    /// Role of the endpoint.
    pub role: Role,
    /// Name of the endpoint's zone.
    pub zone: String,
    /// Capacity relative to other endpoints.
    pub weight: f64,
    /// Number of the cell to which the endpoint belongs.
    pub cell: u64,
}

/// Reads every `[member NAME]` section in the order of the file.
pub(crate) fn read(reader: &mut Reader, zones: &[String]) -> Vec<EndpointSpec> {
    let mut endpoints: Vec<EndpointSpec> = Vec::new();
    for name in reader.section_names("member") {
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
        reader.report(
            &section,
            "address",
            "another [member …] section has the same address",
        );
    }
    let role = reader.choice(&section, "kind", Role::Cache, &Role::NAMES);
    let zone = reader.required(&section, "zone", String::new(), "the name of a zone");
    if !zone.is_empty() && !zones.contains(&zone) {
        reader.report(&section, "zone", &format!("{zone:?} is not a known zone"));
    }
    EndpointSpec {
        address,
        role,
        zone,
        weight: reader.number(&section, "weight", 1.0, 0.001, 1e6),
        cell: reader.value(&section, "cell", 0, "a whole number"),
    }
}
