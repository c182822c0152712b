//! Writes INI files.
use std::fmt::{Display, Write};

/// Spacing between the sections of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SectionSpacing {
    /// Sections follow each other without blank lines.
    Compact,
    /// Each section is followed by a blank line.
    BlankLine,
}

/// Builds the text of an INI file section by section.
#[derive(Debug)]
pub struct IniWriter {
    text: String,
    spacing: SectionSpacing,
}

impl IniWriter {
    /// Returns a writer with an empty text.
    pub fn new(spacing: SectionSpacing) -> Self {
        Self {
            text: String::new(),
            spacing,
        }
    }

    /// Appends a comment line.
    pub fn comment(&mut self, comment: impl Display) {
        self.line(format_args!("# {comment}"));
    }

    /// Begins a section. It ends when the returned value is dropped.
    pub fn section(&mut self, name: impl Display) -> Section<'_> {
        self.line(format_args!("[{name}]"));
        Section { ini: self }
    }

    /// Returns the text of the file.
    pub fn finish(self) -> String {
        self.text
    }

    fn line(&mut self, line: impl Display) {
        writeln!(self.text, "{line}").expect("writing to a string cannot fail");
    }
}

/// A section under construction.
#[derive(Debug)]
pub struct Section<'a> {
    ini: &'a mut IniWriter,
}

impl Section<'_> {
    /// Appends a key with its value.
    pub fn key(&mut self, key: &str, value: impl Display) -> &mut Self {
        self.ini.line(format_args!("{key} = {value}"));
        self
    }

    /// Appends a boolean key, as `yes` or `no`.
    pub fn flag(&mut self, key: &str, value: bool) -> &mut Self {
        self.key(key, if value { "yes" } else { "no" })
    }

    /// Appends a number, rounded to `decimals` decimal places.
    pub fn number(&mut self, key: &str, value: f64, decimals: usize) -> &mut Self {
        self.key(key, format_args!("{value:.decimals$}"))
    }

    /// Appends a time in milliseconds, given in microseconds, rounded to `decimals` decimal places.
    pub fn millis(&mut self, key: &str, micros: f64, decimals: usize) -> &mut Self {
        self.number(key, micros / 1e3, decimals)
    }
}

impl Drop for Section<'_> {
    fn drop(&mut self) {
        if self.ini.spacing == SectionSpacing::BlankLine {
            self.ini.line("");
        }
    }
}
