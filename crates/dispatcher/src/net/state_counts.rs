//! Size of a dispatcher's state, for capacity measurements.

/// Number of entries of each kind that a dispatcher holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StateCounts {
    /// Number of endpoints in the list in force.
    #[serde(rename = "members")]
    pub endpoints: usize,
    /// Number of remembered purges.
    pub purges: usize,
    /// Number of registered dispatchers.
    pub dispatchers: usize,
    /// Number of connections to endpoints.
    pub connections: usize,
}
