//! Typed access to the sections and keys of a settings file.
//!
//! A [`Reader`] records which keys were read and collects errors, so that one run reports all errors in a file. An
//! invalid value is reported and replaced by its default; [`Reader::finish`] then fails.
use crate::document::Document;
use crate::error::ConfigErrors;
use std::collections::BTreeMap;
use std::fmt;
use std::path::PathBuf;
use std::str::FromStr;

/// The sections of a file, the keys read so far, and the errors found so far.
#[derive(Debug)]
pub struct Reader {
    document: Document,
    /// Keys read so far, by section, in the order in which they were read.
    known_keys: BTreeMap<String, Vec<String>>,
}

impl Reader {
    /// Parses a text; `file` is the file name in errors.
    pub fn new(file: &str, text: &str) -> Result<Self, ConfigErrors> {
        Ok(Self {
            document: Document::parse(file, text)?,
            known_keys: BTreeMap::new(),
        })
    }

    /// Sets a value, replacing that of the file if there is one. Errors about the value name no line.
    pub fn set(&mut self, section: &str, key: &str, value: &str) {
        self.document.set(section, key, value);
    }

    /// Records an error about a key, at the line of the key, or at that of its section if the key is missing. An empty
    /// `key` stands for the section as a whole.
    pub fn report(&mut self, section: &str, key: &str, reason: &str) {
        let line = self.document.line_of(section, key);
        let name = if key.is_empty() {
            format!("[{section}]")
        } else {
            format!("{section}.{key}")
        };
        self.document.report(line, &name, reason);
    }

    /// Returns the `NAME` of each section `prefix NAME`, in the order of the file.
    pub fn section_names(&mut self, prefix: &str) -> Vec<String> {
        let name_of = |section: &String| {
            let name = section.strip_prefix(prefix)?.strip_prefix(' ')?.trim();
            (!name.is_empty()).then(|| name.to_owned())
        };
        self.document
            .section_order
            .iter()
            .filter_map(name_of)
            .collect()
    }

    /// Whether the file has a section. Does not mark the section as known.
    pub fn has_section(&self, section: &str) -> bool {
        self.document.sections.contains_key(section)
    }

    /// Returns the text of a key, and marks the section and the key as known.
    pub fn text(&mut self, section: &str, key: &str) -> Option<String> {
        self.known_keys
            .entry(section.to_owned())
            .or_default()
            .push(key.to_owned());
        let entries = &self.document.sections.get(section)?.entries;
        entries.get(key).map(|entry| entry.value.clone())
    }

    /// Returns the text of a key; `None` if the key is absent or its value is empty.
    pub(crate) fn non_empty_text(&mut self, section: &str, key: &str) -> Option<String> {
        self.text(section, key).filter(|text| !text.is_empty())
    }

    /// Returns the path in a key; `None` if the key is absent or its value is empty.
    pub(crate) fn path(&mut self, section: &str, key: &str) -> Option<PathBuf> {
        self.non_empty_text(section, key).map(PathBuf::from)
    }

    /// Returns a value that may be absent or empty; `expected` describes a valid value in the error for an invalid one.
    pub(crate) fn optional<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        expected: &str,
    ) -> Option<T> {
        let text = self.non_empty_text(section, key)?;
        self.parse_or_report(section, key, &text, expected)
    }

    /// Returns a value, or the default if the key is absent; `expected` describes a valid value in the error for an
    /// invalid one.
    pub fn value<T: FromStr>(&mut self, section: &str, key: &str, default: T, expected: &str) -> T {
        match self.text(section, key) {
            None => default,
            Some(text) => self
                .parse_or_report(section, key, &text, expected)
                .unwrap_or(default),
        }
    }

    /// Returns a value that must be present. If the key is absent, reports an error and returns the placeholder.
    pub fn required<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        placeholder: T,
        expected: &str,
    ) -> T {
        match self.text(section, key) {
            Some(_) => self.value(section, key, placeholder, expected),
            None => {
                self.report(section, key, &format!("missing; expected {expected}"));
                placeholder
            }
        }
    }

    /// Parses a value; reports an error and returns `None` if the value is invalid.
    pub(crate) fn parse_or_report<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        text: &str,
        expected: &str,
    ) -> Option<T> {
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.report(section, key, &format!("{text:?} is not {expected}"));
        }
        parsed
    }

    /// Returns a number within bounds, both included; an absent or invalid one is replaced by the default.
    pub fn number<T>(&mut self, section: &str, key: &str, default: T, min: T, max: T) -> T
    where
        T: FromStr + PartialOrd + Copy + fmt::Display,
    {
        let expected = format!("a number from {min} to {max}");
        let value = self.value(section, key, default, &expected);
        if value >= min && value <= max {
            return value;
        }
        self.report(section, key, &format!("{value} is not {expected}"));
        default
    }

    /// Returns a duration in microseconds that the file states in milliseconds.
    pub fn duration_us(
        &mut self,
        section: &str,
        key: &str,
        default_ms: f64,
        min_ms: f64,
        max_ms: f64,
    ) -> u64 {
        (self.number(section, key, default_ms, min_ms, max_ms) * 1000.0).round() as u64
    }

    /// Returns a yes-or-no value.
    pub fn flag(&mut self, section: &str, key: &str, default: bool) -> bool {
        match self.text(section, key).as_deref() {
            None => default,
            Some("yes" | "true" | "on") => true,
            Some("no" | "false" | "off") => false,
            Some(other) => {
                let reason = format!("{other:?} is not yes or no");
                self.report(section, key, &reason);
                default
            }
        }
    }

    /// Returns the value that belongs to one of a list of names.
    pub fn choice<T: Copy>(
        &mut self,
        section: &str,
        key: &str,
        default: T,
        choices: &[(&str, T)],
    ) -> T {
        let Some(text) = self.text(section, key) else {
            return default;
        };
        if let Some((_, value)) = choices.iter().find(|(name, _)| *name == text) {
            return *value;
        }
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        let reason = format!("{text:?} is not one of {}", names.join(", "));
        self.report(section, key, &reason);
        default
    }

    /// Reports sections and keys that were never read, then returns all errors, sorted by line.
    pub fn finish(mut self) -> Result<(), ConfigErrors> {
        for unknown in self.unknown_names() {
            self.document
                .report(unknown.line, &unknown.name, &unknown.reason);
        }
        let mut errors = self.document.errors;
        if errors.is_empty() {
            return Ok(());
        }
        errors.sort_by_key(|error| error.line);
        Err(ConfigErrors(errors))
    }

    fn unknown_names(&self) -> Vec<UnknownName> {
        let mut unknown = Vec::new();
        for (name, section) in &self.document.sections {
            let Some(known) = self.known_keys.get(name) else {
                unknown.push(UnknownName {
                    line: section.line,
                    name: format!("[{name}]"),
                    reason: "no such section".to_owned(),
                });
                continue;
            };
            for (key, entry) in &section.entries {
                if !known.contains(key) {
                    let suggestion =
                        nearest_key(key, known).map(|near| format!("; did you mean {near}?"));
                    unknown.push(UnknownName {
                        line: entry.line,
                        name: format!("{name}.{key}"),
                        reason: format!("no such key{}", suggestion.unwrap_or_default()),
                    });
                }
            }
        }
        unknown
    }
}

/// A section or key of the file that no setting uses.
struct UnknownName {
    line: usize,
    name: String,
    reason: String,
}

/// Returns the known key that shares the longest prefix or suffix with `key`, if that is at least half of the longer key.
fn nearest_key<'a>(key: &str, known: &'a [String]) -> Option<&'a String> {
    let similarity = |candidate: &str| {
        let prefix = common_prefix_len(candidate.bytes(), key.bytes());
        let suffix = common_prefix_len(candidate.bytes().rev(), key.bytes().rev());
        prefix.max(suffix)
    };
    known
        .iter()
        .max_by_key(|candidate| similarity(candidate))
        .filter(|candidate| 2 * similarity(candidate) >= key.len().max(candidate.len()))
}

fn common_prefix_len(left: impl Iterator<Item = u8>, right: impl Iterator<Item = u8>) -> usize {
    left.zip(right).take_while(|(a, b)| a == b).count()
}
