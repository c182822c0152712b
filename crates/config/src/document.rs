//! The sections and keys of an INI text with the lines on which they stand.
use crate::error::{ConfigError, ConfigErrors};
use ini::{Ini, ParseOption};
use std::collections::BTreeMap;

/// A value and the line on which its key stands; line 0 for one that did not come from the file.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) line: usize,
    /// Line on which the key stands again, where it does; the first value counts.
    repeated_on: Option<usize>,
    pub(crate) value: String,
}

/// A section under its full name, such as `class lesson-video`.
#[derive(Clone, Debug, Default)]
pub(crate) struct Section {
    /// Line of the section's header; 0 if it did not come from the file.
    pub(crate) line: usize,
    pub(crate) entries: BTreeMap<String, Entry>,
}

/// A parsed text. Errors that do not prevent reading on, such as a repeated key, are collected in `errors`.
#[derive(Debug, Default)]
pub(crate) struct Document {
    file: String,
    pub(crate) sections: BTreeMap<String, Section>,
    /// Names of the sections in the order of the file.
    pub(crate) order: Vec<String>,
    pub(crate) errors: Vec<ConfigError>,
}

/// What stands on one line of the text.
enum Line {
    Header { section: String },
    Key { section: String, key: String },
}

impl Document {
    /// Parses a text; fails only if it is not INI at all.
    pub(crate) fn parse(file: &str, text: &str) -> Result<Self, ConfigErrors> {
        let options = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..Default::default()
        };
        let ini = Ini::load_from_str_opt(text, options)
            .map_err(|error| ConfigErrors::not_ini(file, &error))?;
        let mut document = Self {
            file: file.to_owned(),
            ..Self::default()
        };
        for (number, line) in lines(text) {
            match line {
                Line::Header { section } => document.add_section(number, section),
                Line::Key { section, key } => document.add_key(&ini, number, &section, key),
            }
        }
        Ok(document)
    }

    /// Puts a value in place of the file's, or beside it; errors about it name no line.
    pub(crate) fn set(&mut self, section: &str, key: &str, value: &str) {
        if !self.sections.contains_key(section) {
            self.order.push(section.to_owned());
        }
        let entry = Entry {
            line: 0,
            repeated_on: None,
            value: value.to_owned(),
        };
        let section = self.sections.entry(section.to_owned()).or_default();
        section.entries.insert(key.to_owned(), entry);
    }

    /// The line of a key, or of its section if the key is missing; 0 if both are.
    pub(crate) fn line_of(&self, section: &str, key: &str) -> usize {
        let Some(section) = self.sections.get(section) else {
            return 0;
        };
        section
            .entries
            .get(key)
            .map_or(section.line, |entry| entry.line)
    }

    /// Records an error at a line.
    pub(crate) fn report(&mut self, line: usize, key: &str, reason: &str) {
        let error = ConfigError::new(&self.file, line, key, reason);
        self.errors.push(error);
    }

    fn add_section(&mut self, line: usize, name: String) {
        if let Some(first) = self.sections.get(&name) {
            let reason = format!("the section stands already on line {}", first.line);
            self.report(line, &format!("[{name}]"), &reason);
            return;
        }
        let section = Section {
            line,
            entries: BTreeMap::new(),
        };
        self.sections.insert(name.clone(), section);
        self.order.push(name);
    }

    fn add_key(&mut self, ini: &Ini, line: usize, section: &str, key: String) {
        if section.is_empty() {
            self.report(line, &key, "a key before the first section");
            return;
        }
        let entries = &mut self.sections.entry(section.to_owned()).or_default().entries;
        if let Some(first) = entries.get_mut(&key) {
            let earlier = first.repeated_on.replace(line).unwrap_or(first.line);
            let reason = format!("the key stands already on line {earlier}");
            self.report(line, &format!("{section}.{key}"), &reason);
            return;
        }
        let entry = Entry {
            line,
            repeated_on: None,
            value: value_of(ini, section, &key),
        };
        entries.insert(key, entry);
    }
}

/// The value of a key without the comment behind it.
fn value_of(ini: &Ini, section: &str, key: &str) -> String {
    let text = ini
        .section(Some(section))
        .and_then(|properties| properties.get(key))
        .unwrap_or_default();
    text.split(" #")
        .next()
        .unwrap_or_default()
        .trim()
        .to_owned()
}

/// The headers and keys of a text with their line numbers, which the INI library does not report.
fn lines(text: &str) -> Vec<(usize, Line)> {
    let mut section = String::new();
    let mut found = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with(['#', ';']) {
            continue;
        }
        if let Some(name) = line
            .strip_prefix('[')
            .and_then(|rest| rest.split(']').next())
        {
            section = name.trim().to_owned();
            let section = section.clone();
            found.push((index + 1, Line::Header { section }));
        } else if let Some((key, _)) = line.split_once(['=', ':']) {
            let section = section.clone();
            let key = key.trim().to_owned();
            found.push((index + 1, Line::Key { section, key }));
        }
    }
    found
}
