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

impl InjectedFault {
    /// The faults by the names that the option `--plant` accepts.
    pub const NAMES: [(&'static str, Self); 7] = [
        ("drain", Self::WithholdDrain),
        ("purge", Self::IgnorePurge),
        ("double", Self::DuplicateAttempts),
        ("cold", Self::HideRestart),
        ("silent", Self::DropResponses),
        ("late", Self::DelayResponses),
        ("alone", Self::MiscountDispatchers),
    ];

    /// The name that the option `--plant` accepts.
    pub fn name(self) -> &'static str {
        Self::NAMES
            .iter()
            .find(|(_, fault)| *fault == self)
            .map_or("", |(name, _)| name)
    }
}
