//! Faults that a run is made with on purpose, so that the audit has something to find.

/// A fault made by the rig around an unchanged dispatcher; the auditor must find it under its own name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    /// Control claims to have told of drains and did not.
    Drain,
    /// Cache hosts that take no notice of ages and purges.
    Purge,
    /// A relay before a cache host sends every attempt twice.
    Double,
    /// The list hides that members have just started, and they are back so soon that nothing else shows it.
    Cold,
    /// A relay swallows answers.
    Silent,
    /// A relay holds answers until after the deadline.
    Late,
    /// Every dispatcher's settings say that it is the only one: each takes the whole of every part.
    Alone,
}

impl Plant {
    pub const WORDS: [(&'static str, Self); 7] = [
        ("drain", Self::Drain),
        ("purge", Self::Purge),
        ("double", Self::Double),
        ("cold", Self::Cold),
        ("silent", Self::Silent),
        ("late", Self::Late),
        ("alone", Self::Alone),
    ];

    pub fn word(self) -> &'static str {
        Self::WORDS
            .iter()
            .find(|(_, p)| *p == self)
            .map_or("", |(w, _)| w)
    }
}
