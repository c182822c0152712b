//! Overrides of values of a scenario file.
use serde::{Deserialize, Serialize};

/// A value that replaces that of a key in a scenario file, written `section.key=value`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingOverride {
    /// Full name of the section, such as `fleet` or `class page`.
    pub section: String,
    /// Name of the key within the section.
    pub key: String,
    /// The value, in the syntax of the file.
    pub value: String,
}

impl std::str::FromStr for SettingOverride {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let malformed = || {
            format!("{text:?} does not have the form section.key=value, for example fleet.caches=9")
        };
        let (name, value) = text.split_once('=').ok_or_else(malformed)?;
        let (section, key) = name.rsplit_once('.').ok_or_else(malformed)?;
        Ok(Self {
            section: section.trim().into(),
            key: key.trim().into(),
            value: value.trim().into(),
        })
    }
}

impl std::fmt::Display for SettingOverride {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}={}", self.section, self.key, self.value)
    }
}
