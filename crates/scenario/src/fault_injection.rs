//! Faults that a run is made with on purpose, so that the audit has something to find.

/// A fault that the test bed injects around an unchanged dispatcher; the audit must report it under its own name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// The control plane claims to have sent drain notices and did not.
    WithholdDrain,
    /// Cache hosts ignore freshness lifetimes and purges.
    IgnorePurge,
    /// A relay in front of a cache host sends every attempt twice.
    DuplicateAttempts,
    /// The endpoint list hides restarts, and hosts are back so soon that nothing else shows them.
    HideRestart,
    /// A relay drops responses.
    DropResponses,
    /// A relay delays responses until after the deadline.
    DelayResponses,
    /// Every dispatcher's settings say that it is the only one: each takes the whole of every quota.
    MiscountDispatchers,
}

/// What is not the name of a fault that can be injected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("none of {}", InjectedFault::NAMES.map(|(name, _)| name).join(", "))]
pub struct UnknownFault;

impl InjectedFault {
    /// The faults by their names.
    pub const NAMES: [(&'static str, Self); 7] = [
        ("withhold-drain", Self::WithholdDrain),
        ("ignore-purge", Self::IgnorePurge),
        ("duplicate-attempts", Self::DuplicateAttempts),
        ("hide-restart", Self::HideRestart),
        ("drop-answers", Self::DropResponses),
        ("delay-answers", Self::DelayResponses),
        ("miscount-dispatchers", Self::MiscountDispatchers),
    ];

    /// Names that are still accepted.
    const DEPRECATED_NAMES: [(&'static str, Self); 7] = [
        ("drain", Self::WithholdDrain),
        ("purge", Self::IgnorePurge),
        ("double", Self::DuplicateAttempts),
        ("cold", Self::HideRestart),
        ("silent", Self::DropResponses),
        ("late", Self::DelayResponses),
        ("alone", Self::MiscountDispatchers),
    ];
}

impl std::str::FromStr for InjectedFault {
    type Err = UnknownFault;

    fn from_str(text: &str) -> Result<Self, UnknownFault> {
        Self::NAMES
            .iter()
            .chain(&Self::DEPRECATED_NAMES)
            .find(|(name, _)| *name == text)
            .map(|(_, fault)| *fault)
            .ok_or(UnknownFault)
    }
}
