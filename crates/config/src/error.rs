//! Errors of a settings file, each with its file, line, key and reason.
use std::fmt;

/// One thing that is wrong in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// Name of the file.
    pub file: String,
    /// Line, counted from 1; 0 concerns the file as a whole.
    pub line: usize,
    /// `section.key`, or the section in brackets; empty concerns the file as a whole.
    pub key: String,
    /// What is wrong, and what would be accepted.
    pub reason: String,
}

impl ConfigError {
    /// An error at a line of a file.
    pub fn new(file: &str, line: usize, key: &str, reason: &str) -> Self {
        Self {
            file: file.to_owned(),
            line,
            key: key.to_owned(),
            reason: reason.to_owned(),
        }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        if !self.key.is_empty() {
            write!(f, ": {}", self.key)?;
        }
        write!(f, ": {}", self.reason)
    }
}

/// Every error of a file, sorted by line; never empty.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl ConfigErrors {
    /// A single error.
    pub fn single(file: &str, line: usize, key: &str, reason: &str) -> Self {
        Self(vec![ConfigError::new(file, line, key, reason)])
    }

    /// The file cannot be opened or read.
    pub fn unreadable(file: &str, error: &std::io::Error) -> Self {
        Self::single(file, 0, "", &format!("cannot be read: {error}"))
    }

    /// The text is not INI.
    pub fn not_ini(file: &str, error: &ini::ParseError) -> Self {
        Self::single(file, error.line, "", &format!("not INI: {}", error.msg))
    }
}

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}
