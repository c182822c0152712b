//! Faults that a run is made with on purpose, so that the audit has something to find.

/// A fault made by the rig around an unchanged dispatcher; the auditor must find it under its own name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// Control claims to have told of drains and did not.
    WithholdDrain,
    /// Cache hosts that take no notice of ages and purges.
    IgnorePurge,
    /// A relay before a cache host sends every attempt twice.
    DuplicateAttempts,
    /// The list hides that members have just started, and they are back so soon that nothing else shows it.
    HideRestart,
    /// A relay swallows answers.
    DropResponses,
    /// A relay holds answers until after the deadline.
    DelayResponses,
    /// Every dispatcher's settings say that it is the only one: each takes the whole of every part.
    MiscountDispatchers,
}

impl InjectedFault {
    pub const NAMES: [(&'static str, Self); 7] = [
        ("drain", Self::WithholdDrain),
        ("purge", Self::IgnorePurge),
        ("double", Self::DuplicateAttempts),
        ("cold", Self::HideRestart),
        ("silent", Self::DropResponses),
        ("late", Self::DelayResponses),
        ("alone", Self::MiscountDispatchers),
    ];

    pub fn name(self) -> &'static str {
        Self::NAMES
            .iter()
            .find(|(_, p)| *p == self)
            .map_or("", |(w, _)| w)
    }
}
