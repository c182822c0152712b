//! Identifiers of endpoints, objects and requests, and the unit of time.

/// A point in time or a duration, in microseconds of the host's monotonic clock.
pub type Micros = u64;

/// Returns the 64-bit FNV-1a hash of a name with a final mix. It is the same in every router.
fn stable_hash(name: &str) -> u64 {
    let mut hash = name.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ byte as u64).wrapping_mul(0x100_0000_01b3)
    });
    hash = (hash ^ (hash >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    hash ^ (hash >> 32)
}

/// Id of a cache, a parent or the origin. Routers agree on the placement of an object only if they use the same ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct EndpointId(pub u64);

impl EndpointId {
    /// Returns the id of the endpoint with this name or address.
    pub fn named(name: &str) -> Self {
        Self(stable_hash(name))
    }
}

/// Id of an object; each part of an object is cached as a separate copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ObjectId(pub u64);

impl ObjectId {
    /// Returns the id of the object with this name.
    pub fn named(name: &str) -> Self {
        Self(stable_hash(name))
    }
}

/// Idempotency key of a request, the same for all requests with the same effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdempotencyKey(pub u64);

impl IdempotencyKey {
    /// Returns the key with this text, or `None` if the text is empty, which stands for no key.
    pub fn from_text(text: &str) -> Option<Self> {
        (!text.is_empty()).then(|| Self(stable_hash(text)))
    }
}

/// Id of a client's request; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct RequestId(pub u64);
