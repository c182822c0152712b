//! Identifiers of endpoints, objects and requests, and the unit of time.

/// A moment or a span, in microseconds on the host's monotonic clock.
pub type Micros = u64;

/// 64-bit FNV-1a with a final mix: every router computes the same number from the same name.
fn stable_hash(name: &str) -> u64 {
    let mut hash = name.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ byte as u64).wrapping_mul(0x100_0000_01b3)
    });
    hash = (hash ^ (hash >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    hash ^ (hash >> 32)
}

/// A cache, a parent or the origin. Routers agree on the placement of an object only if they use the same ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct EndpointId(pub u64);

impl EndpointId {
    /// The id of the endpoint with this name or address.
    pub fn named(name: &str) -> Self {
        Self(stable_hash(name))
    }
}

/// An object; each of its parts is cached as a copy of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ObjectId(pub u64);

impl ObjectId {
    /// The id of the object with this name.
    pub fn named(name: &str) -> Self {
        Self(stable_hash(name))
    }
}

/// One request of a client; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct RequestId(pub u64);
