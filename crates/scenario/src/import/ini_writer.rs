//! Writes INI sections.
use std::fmt::{Display, Write};

/// Text of an INI file, section by section.
#[derive(Default)]
pub(super) struct IniWriter {
    text: String,
}

impl IniWriter {
    /// Appends a comment line.
    pub(super) fn comment(&mut self, comment: impl Display) {
        self.line(format_args!("# {comment}"));
    }

    /// Begins a section.
    pub(super) fn section(&mut self, name: impl Display) -> Section<'_> {
        self.line(format_args!("[{name}]"));
        Section { ini: self }
    }

    pub(super) fn finish(self) -> String {
        self.text
    }

    fn line(&mut self, line: impl Display) {
        writeln!(self.text, "{line}").expect("writing to a string cannot fail");
    }
}

/// A section under construction; a blank line ends it when it is dropped.
pub(super) struct Section<'a> {
    ini: &'a mut IniWriter,
}

impl Section<'_> {
    /// Appends a key.
    pub(super) fn key(&mut self, key: &str, value: impl Display) -> &mut Self {
        self.ini.line(format_args!("{key} = {value}"));
        self
    }

    /// Appends a yes-or-no key.
    pub(super) fn flag(&mut self, key: &str, value: bool) -> &mut Self {
        self.key(key, if value { "yes" } else { "no" })
    }

    /// Appends a number with so many decimals.
    pub(super) fn number(&mut self, key: &str, value: f64, decimals: usize) -> &mut Self {
        self.key(key, format_args!("{value:.decimals$}"))
    }

    /// Appends a time given in microseconds as milliseconds with so many decimals.
    pub(super) fn millis(&mut self, key: &str, micros: f64, decimals: usize) -> &mut Self {
        self.number(key, micros / 1e3, decimals)
    }
}

impl Drop for Section<'_> {
    fn drop(&mut self) {
        self.ini.line("");
    }
}
