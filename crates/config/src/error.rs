//! Errors in a settings file, each with file, line, key and reason.
use std::fmt;

/// An error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// Name of the file.
    pub file: String,
    /// Line number, counted from 1; 0: the error concerns no particular line.
    pub line: usize,
    /// `section.key`, or the section in brackets; empty: the error concerns the file as a whole.
    pub key: String,
    /// What is wrong and what is expected.
    pub reason: String,
}

impl ConfigError {
    /// Returns an error at a line of a file.
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

/// All errors in a file, sorted by line; never empty.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl ConfigErrors {
    /// Returns a list with a single error.
    pub fn single(file: &str, line: usize, key: &str, reason: &str) -> Self {
        Self(vec![ConfigError::new(file, line, key, reason)])
    }

    /// Returns the error for a file that cannot be opened or read.
    pub fn unreadable(file: &str, error: &std::io::Error) -> Self {
        Self::single(file, 0, "", &format!("cannot be read: {error}"))
    }

    /// Returns the error for a text that is not valid INI.
    pub fn invalid_ini(file: &str, error: &ini::ParseError) -> Self {
        Self::single(
            file,
            error.line,
            "",
            &format!("invalid INI syntax: {}", error.msg),
        )
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
