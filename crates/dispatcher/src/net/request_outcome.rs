//! How a request ended, as its client sees it.

/// The final outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered completely.
    Served,
    /// Load was shed; nothing of it has run.
    Rejected,
    /// Failed before the response head.
    Failed,
    /// Failed after the response head.
    Broken,
    /// The client left before the end of its response.
    ClientDisconnected,
}

impl RequestOutcome {
    /// All outcomes, in the order of their discriminants.
    pub const ALL: [Self; 5] = [
        Self::Served,
        Self::Rejected,
        Self::Failed,
        Self::Broken,
        Self::ClientDisconnected,
    ];

    /// The outcome's label in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::Rejected => "refused",
            Self::Failed => "failed",
            Self::Broken => "broken_off",
            Self::ClientDisconnected => "client_gone",
        }
    }
}
