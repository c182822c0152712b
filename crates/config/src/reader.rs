//! Reads INI through `rust-ini`, remembers which keys were asked for and on which line each stands, and collects
//! complaints, so that one run of `check` names everything that is wrong.
use ini::{Ini, ParseOption};
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    pub file: String,
    /// From 1; 0: the file as a whole.
    pub line: usize,
    /// `section.key`, or the section; empty: the file as a whole.
    pub key: String,
    pub reason: String,
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

/// Everything that is wrong, in the order of the lines.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl ConfigErrors {
    pub fn single(file: &str, line: usize, key: &str, reason: &str) -> Self {
        let (file, key, reason) = (file.to_owned(), key.to_owned(), reason.to_owned());
        Self(vec![ConfigError {
            file,
            line,
            key,
            reason,
        }])
    }
}

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, complaint) in self.0.iter().enumerate() {
            if n > 0 {
                writeln!(f)?;
            }
            write!(f, "{complaint}")?;
        }
        Ok(())
    }
}

/// A section by its full name, such as `class lesson-video`.
#[derive(Clone, Debug)]
struct Section {
    line: usize,
    keys: BTreeMap<String, (usize, String)>,
    used: bool,
}

/// The text, its sections, and what has been asked of them.
#[derive(Debug)]
pub struct Reader {
    file: String,
    sections: BTreeMap<String, Section>,
    order: Vec<String>,
    asked: BTreeMap<String, Vec<String>>,
    complaints: Vec<ConfigError>,
}

/// The lines on which sections and keys stand: the library tells values, not places.
fn places(text: &str) -> Vec<(usize, String, Option<String>)> {
    let mut section = String::new();
    let mut out = Vec::new();
    for (n, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with(['#', ';']) {
            continue;
        }
        if let Some(name) = line.strip_prefix('[').and_then(|l| l.split(']').next()) {
            section = name.trim().to_owned();
            out.push((n + 1, section.clone(), None));
        } else if let Some((key, _)) = line.split_once(['=', ':']) {
            out.push((n + 1, section.clone(), Some(key.trim().to_owned())));
        }
    }
    out
}

impl Reader {
    pub fn new(file: &str, text: &str) -> Result<Self, ConfigErrors> {
        let options = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..Default::default()
        };
        let ini = Ini::load_from_str_opt(text, options)
            .map_err(|e| ConfigErrors::single(file, e.line, "", &format!("not INI: {}", e.msg)))?;
        let mut reader = Self {
            file: file.to_owned(),
            sections: BTreeMap::new(),
            order: Vec::new(),
            asked: BTreeMap::new(),
            complaints: Vec::new(),
        };
        let mut seen: BTreeMap<(String, String), usize> = BTreeMap::new();
        for (line, section, key) in places(text) {
            let Some(key) = key else {
                if let Some(first) = reader.sections.get(&section) {
                    let reason = format!("the section stands already on line {}", first.line);
                    reader.complain_at(line, &format!("[{section}]"), &reason);
                } else {
                    let new = Section {
                        line,
                        keys: BTreeMap::new(),
                        used: false,
                    };
                    reader.sections.insert(section.clone(), new);
                    reader.order.push(section);
                }
                continue;
            };
            if section.is_empty() {
                reader.complain_at(line, &key, "a key before the first section");
                continue;
            }
            if let Some(first) = seen.insert((section.clone(), key.clone()), line) {
                let reason = format!("the key stands already on line {first}");
                reader.complain_at(line, &format!("{section}.{key}"), &reason);
                continue;
            }
            let value = ini
                .section(Some(section.as_str()))
                .and_then(|s| s.get(&key))
                .unwrap_or_default();
            let value = value
                .split(" #")
                .next()
                .unwrap_or_default()
                .trim()
                .to_owned();
            if let Some(found) = reader.sections.get_mut(&section) {
                found.keys.insert(key, (line, value));
            }
        }
        Ok(reader)
    }

    /// Puts a value in place of the file's, or beside it; complaints about it name no line.
    pub fn set(&mut self, section: &str, key: &str, value: &str) {
        let new = || Section {
            line: 0,
            keys: BTreeMap::new(),
            used: false,
        };
        if !self.sections.contains_key(section) {
            self.order.push(section.to_owned());
        }
        let found = self.sections.entry(section.to_owned()).or_insert_with(new);
        found.keys.insert(key.to_owned(), (0, value.to_owned()));
    }

    fn complain_at(&mut self, line: usize, key: &str, reason: &str) {
        let (file, key, reason) = (self.file.clone(), key.to_owned(), reason.to_owned());
        self.complaints.push(ConfigError {
            file,
            line,
            key,
            reason,
        });
    }

    /// A complaint about a key, on its line, or on its section's where it is missing.
    pub fn report(&mut self, section: &str, key: &str, reason: &str) {
        let line = self
            .sections
            .get(section)
            .map_or(0, |s| s.keys.get(key).map_or(s.line, |(n, _)| *n));
        let name = if key.is_empty() {
            format!("[{section}]")
        } else {
            format!("{section}.{key}")
        };
        self.complain_at(line, &name, reason);
    }

    /// Names of the sections `prefix NAME`, in the order of the file.
    pub fn named(&mut self, prefix: &str) -> Vec<String> {
        let of = |full: &String| {
            let name = full.strip_prefix(prefix)?.strip_prefix(' ')?.trim();
            (!name.is_empty()).then(|| name.to_owned())
        };
        self.order.iter().filter_map(of).collect()
    }

    pub fn has(&self, section: &str) -> bool {
        self.sections.contains_key(section)
    }

    /// The text of a key. Marks the section and the key as known.
    pub fn text(&mut self, section: &str, key: &str) -> Option<String> {
        self.asked
            .entry(section.to_owned())
            .or_default()
            .push(key.to_owned());
        let found = self.sections.get_mut(section)?;
        found.used = true;
        found.keys.get(key).map(|(_, value)| value.clone())
    }

    /// A value, or the default where the key is absent; a complaint where it cannot be read.
    pub fn value<T: FromStr>(&mut self, section: &str, key: &str, default: T, what: &str) -> T {
        match self.text(section, key) {
            None => default,
            Some(text) => text.parse().unwrap_or_else(|_| {
                self.report(section, key, &format!("{text:?} is not {what}"));
                default
            }),
        }
    }

    /// A value that must be there; a complaint and the stand-in where it is not.
    pub fn required<T: FromStr>(&mut self, section: &str, key: &str, stand_in: T, what: &str) -> T {
        match self.text(section, key) {
            Some(_) => self.value(section, key, stand_in, what),
            None => {
                self.report(section, key, &format!("missing ({what})"));
                stand_in
            }
        }
    }

    /// A number within bounds.
    pub fn number<T>(&mut self, section: &str, key: &str, default: T, least: T, most: T) -> T
    where
        T: FromStr + PartialOrd + Copy + fmt::Display,
    {
        let what = format!("a number from {least} to {most}");
        let got = self.value(section, key, default, &what);
        if got >= least && got <= most {
            return got;
        }
        self.report(section, key, &format!("{got} is not {what}"));
        default
    }

    /// Milliseconds, told in microseconds.
    pub fn ms(&mut self, section: &str, key: &str, default_ms: f64, least: f64, most: f64) -> u64 {
        (self.number(section, key, default_ms, least, most) * 1000.0).round() as u64
    }

    /// yes or no.
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

    /// One of a few words.
    pub fn choice<T: Copy>(
        &mut self,
        section: &str,
        key: &str,
        default: T,
        words: &[(&str, T)],
    ) -> T {
        let Some(text) = self.text(section, key) else {
            return default;
        };
        match words.iter().find(|(word, _)| *word == text) {
            Some((_, value)) => *value,
            None => {
                let words: Vec<&str> = words.iter().map(|(w, _)| *w).collect();
                self.report(
                    section,
                    key,
                    &format!("{text:?} is none of {}", words.join(", ")),
                );
                default
            }
        }
    }

    /// Complains about sections and keys that nothing asked for, then tells all complaints.
    pub fn finish(mut self) -> Result<(), ConfigErrors> {
        let mut unknown = Vec::new();
        for (name, section) in &self.sections {
            if !section.used {
                unknown.push((
                    section.line,
                    format!("[{name}]"),
                    "no such section".to_owned(),
                ));
                continue;
            }
            let asked = self.asked.get(name).map_or(&[][..], |a| a.as_slice());
            for (key, (line, _)) in &section.keys {
                if !asked.contains(key) {
                    let near = nearest(key, asked).map(|n| format!("; did you mean {n}?"));
                    let reason = format!("no such key{}", near.unwrap_or_default());
                    unknown.push((*line, format!("{name}.{key}"), reason));
                }
            }
        }
        for (line, key, reason) in unknown {
            self.complain_at(line, &key, &reason);
        }
        if self.complaints.is_empty() {
            return Ok(());
        }
        self.complaints.sort_by_key(|c| c.line);
        Err(ConfigErrors(self.complaints))
    }
}

/// A known key that shares most of its beginning or end with this one.
fn nearest<'a>(key: &str, known: &'a [String]) -> Option<&'a String> {
    let shared = |k: &str| {
        let front = k
            .bytes()
            .zip(key.bytes())
            .take_while(|(a, b)| a == b)
            .count();
        let back = k
            .bytes()
            .rev()
            .zip(key.bytes().rev())
            .take_while(|(a, b)| a == b)
            .count();
        front.max(back)
    };
    known
        .iter()
        .max_by_key(|k| shared(k))
        .filter(|k| 2 * shared(k) >= key.len().max(k.len()))
}
