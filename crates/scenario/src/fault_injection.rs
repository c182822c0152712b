//! Faults that are injected into a run to verify that the audit detects them.

/// A fault that the test bed injects outside of the dispatcher, whose code is unchanged. The audit must report it by
/// its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// The control plane records drain notices as sent without sending them.
    WithholdDrain,
    /// Cache hosts ignore freshness lifetimes and purges.
    IgnorePurge,
    /// A relay in front of a cache host sends every attempt twice.
    DuplicateAttempts,
    /// The endpoint list does not show restarts, and hosts restart so quickly that dispatchers cannot detect it by
    /// other means.
    HideRestart,
    /// A relay drops responses.
    DropResponses,
    /// A relay delays responses beyond the deadline.
    DelayResponses,
    /// The settings of each dispatcher state that it is the only one, so that each uses the full amount of every
    /// quota.
    MiscountDispatchers,
}

/// The error for a name that is not that of an [`InjectedFault`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not one of {}", InjectedFault::NAMES.map(|(name, _)| name).join(", "))]
pub struct UnknownFault;

impl InjectedFault {
    /// The name of each fault.
    pub const NAMES: [(&'static str, Self); 7] = [
        ("withhold-drain", Self::WithholdDrain),
        ("ignore-purge", Self::IgnorePurge),
        ("duplicate-attempts", Self::DuplicateAttempts),
        ("hide-restart", Self::HideRestart),
        ("drop-answers", Self::DropResponses),
        ("delay-answers", Self::DelayResponses),
        ("miscount-dispatchers", Self::MiscountDispatchers),
    ];

    /// Former names of the faults, which are still accepted.
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
