//! Member sections of a static start, and what a member's kind is called.
use crate::reader::Reader;

/// What a member is, in settings, lists and on the wire.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub enum Role {
    Cache,
    Parent,
    Origin,
}

impl Role {
    pub const WORDS: [(&'static str, Self); 3] = [
        ("cache", Self::Cache),
        ("parent", Self::Parent),
        ("origin", Self::Origin),
    ];

    pub fn name(self) -> &'static str {
        Self::WORDS[self.kind()].0
    }

    /// The decision module's number for it.
    pub fn kind(self) -> usize {
        self as usize
    }

    pub fn from_name(word: &str) -> Option<Self> {
        Self::WORDS
            .iter()
            .find(|(w, _)| *w == word)
            .map(|(_, role)| *role)
    }
}

/// One member of a static list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSpec {
    pub address: String,
    pub role: Role,
    pub zone: String,
    pub weight: f64,
    pub cell: u64,
}

pub(crate) fn read(reader: &mut Reader, zones: &[String]) -> Vec<EndpointSpec> {
    let mut members: Vec<EndpointSpec> = Vec::new();
    for name in reader.named("member") {
        let section = format!("member {name}");
        let address = reader.required(&section, "address", String::new(), "host:port");
        if !address.is_empty() && address.parse::<std::net::SocketAddr>().is_err() {
            reader.report(
                &section,
                "address",
                &format!("{address:?} is not an address and port"),
            );
        }
        if members.iter().any(|m| m.address == address) {
            reader.report(&section, "address", "another member has this address");
        }
        let role = reader.choice(&section, "kind", Role::Cache, &Role::WORDS);
        let zone = reader.required(&section, "zone", String::new(), "a zone's name");
        if !zone.is_empty() && !zones.contains(&zone) {
            reader.report(&section, "zone", &format!("{zone:?} is none of the zones"));
        }
        let weight = reader.number(&section, "weight", 1.0, 0.001, 1e6);
        let cell = reader.value(&section, "cell", 0, "a whole number");
        members.push(EndpointSpec {
            address,
            role,
            zone,
            weight,
            cell,
        });
    }
    members
}
