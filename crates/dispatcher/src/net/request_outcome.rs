//! Outcome of a request as its client sees it.

/// The final outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The response was complete.
    Served,
    /// The request was rejected to shed load, and was not executed.
    Rejected,
    /// The request failed before the response head was sent.
    Failed,
    /// The request failed after the response head was sent.
    Truncated,
    /// The client disconnected before the end of its response.
    ClientDisconnected,
}

impl RequestOutcome {
    /// All outcomes in the order of their discriminants.
    pub const ALL: [Self; 5] = [
        Self::Served,
        Self::Rejected,
        Self::Failed,
        Self::Truncated,
        Self::ClientDisconnected,
    ];

    /// Returns the label of the outcome in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::Rejected => "refused",
            Self::Failed => "failed",
            Self::Truncated => "broken_off",
            Self::ClientDisconnected => "client_gone",
        }
    }
}
