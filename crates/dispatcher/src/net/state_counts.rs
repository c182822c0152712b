//! Sizes of a dispatcher's state, for capacity measurements.

/// How many entries a dispatcher holds of each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StateCounts {
    /// Endpoints in the list in force.
    #[serde(rename = "members")]
    pub endpoints: usize,
    /// Purges that are remembered.
    pub purges: usize,
    /// Dispatchers that are registered.
    pub dispatchers: usize,
    /// Connections to endpoints.
    pub connections: usize,
}
