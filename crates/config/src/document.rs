//! The sections and keys of an INI text with their line numbers.
use crate::error::{ConfigError, ConfigErrors};
use ini::{Ini, ParseOption};
use std::collections::BTreeMap;

/// A value and the line number of its key; line 0 if the value does not come from the file.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) line: usize,
    /// Line of the latest repetition of the key, if it is repeated; the first value is used.
    latest_repeat_line: Option<usize>,
    pub(crate) value: String,
}

/// A section, which is stored under its full name, such as `class lesson-video`.
#[derive(Clone, Debug, Default)]
pub(crate) struct Section {
    /// Line of the section header; 0 if the section does not come from the file.
    pub(crate) line: usize,
    pub(crate) entries: BTreeMap<String, Entry>,
}

/// A parsed text. Errors after which parsing can continue, such as a repeated key, are collected in `errors`.
#[derive(Debug, Default)]
pub(crate) struct Document {
    file: String,
    pub(crate) sections: BTreeMap<String, Section>,
    /// Names of the sections, in the order of the file.
    pub(crate) section_order: Vec<String>,
    pub(crate) errors: Vec<ConfigError>,
}

/// The content of one line of the text.
enum Line {
    Header { section: String },
    Key { section: String, key: String },
}

impl Document {
    /// Parses a text; fails only if it is not valid INI.
    pub(crate) fn parse(file: &str, text: &str) -> Result<Self, ConfigErrors> {
        let options = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..Default::default()
        };
        let ini = Ini::load_from_str_opt(text, options)
            .map_err(|error| ConfigErrors::invalid_ini(file, &error))?;
        let mut document = Self {
            file: file.to_owned(),
            ..Self::default()
        };
        for (number, line) in numbered_lines(text) {
            match line {
                Line::Header { section } => document.add_section(number, section),
                Line::Key { section, key } => document.add_key(&ini, number, &section, key),
            }
        }
        Ok(document)
    }

    /// Sets a value, replacing that of the file if there is one. Errors about the value name no line.
    pub(crate) fn set(&mut self, section: &str, key: &str, value: &str) {
        if !self.sections.contains_key(section) {
            self.section_order.push(section.to_owned());
        }
        let entry = Entry {
            line: 0,
            latest_repeat_line: None,
            value: value.to_owned(),
        };
        let section = self.sections.entry(section.to_owned()).or_default();
        section.entries.insert(key.to_owned(), entry);
    }

    /// Returns the line of a key, or of its section if the key is missing; 0 if both are missing.
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
            let reason = format!("duplicate section; first defined on line {}", first.line);
            self.report(line, &format!("[{name}]"), &reason);
            return;
        }
        let section = Section {
            line,
            entries: BTreeMap::new(),
        };
        self.sections.insert(name.clone(), section);
        self.section_order.push(name);
    }

    fn add_key(&mut self, ini: &Ini, line: usize, section: &str, key: String) {
        if section.is_empty() {
            self.report(line, &key, "key before the first section header");
            return;
        }
        let entries = &mut self.sections.entry(section.to_owned()).or_default().entries;
        if let Some(first) = entries.get_mut(&key) {
            let earlier = first.latest_repeat_line.replace(line).unwrap_or(first.line);
            let reason = format!("duplicate key; already set on line {earlier}");
            self.report(line, &format!("{section}.{key}"), &reason);
            return;
        }
        let entry = Entry {
            line,
            latest_repeat_line: None,
            value: value_without_comment(ini, section, &key),
        };
        entries.insert(key, entry);
    }
}

/// Returns the value of a key without a trailing comment.
fn value_without_comment(ini: &Ini, section: &str, key: &str) -> String {
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

/// Returns the section headers and keys of a text with their line numbers, which the INI library does not report.
fn numbered_lines(text: &str) -> Vec<(usize, Line)> {
    let mut section = String::new();
    let mut numbered = Vec::new();
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
            numbered.push((index + 1, Line::Header { section }));
        } else if let Some((key, _)) = line.split_once(['=', ':']) {
            let section = section.clone();
            let key = key.trim().to_owned();
            numbered.push((index + 1, Line::Key { section, key }));
        }
    }
    numbered
}
