//! Writes INI files.
use std::fmt::{Display, Write};

/// What separates the sections of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SectionSpacing {
    /// Nothing.
    Compact,
    /// A blank line after each.
    BlankLine,
}

/// Text of an INI file, section by section.
#[derive(Debug)]
pub struct IniWriter {
    text: String,
    spacing: SectionSpacing,
}

impl IniWriter {
    /// An empty file.
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

    /// Begins a section, which ends when the returned value is dropped.
    pub fn section(&mut self, name: impl Display) -> Section<'_> {
        self.line(format_args!("[{name}]"));
        Section { ini: self }
    }

    /// The text of the file.
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
    /// Appends a key.
    pub fn key(&mut self, key: &str, value: impl Display) -> &mut Self {
        self.ini.line(format_args!("{key} = {value}"));
        self
    }

    /// Appends a yes-or-no key.
    pub fn flag(&mut self, key: &str, value: bool) -> &mut Self {
        self.key(key, if value { "yes" } else { "no" })
    }

    /// Appends a number with so many decimals.
    pub fn number(&mut self, key: &str, value: f64, decimals: usize) -> &mut Self {
        self.key(key, format_args!("{value:.decimals$}"))
    }

    /// Appends a time given in microseconds as milliseconds with so many decimals.
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
