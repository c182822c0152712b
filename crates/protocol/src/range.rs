//! Single byte ranges, as defined by RFC 9110, section 14.

/// A range requested by a `Range` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Range {
    /// A range between two byte positions, which count from 0 and are both included.
    From {
        /// Position of the first byte.
        first: u64,
        /// Position of the last byte; `None`: the range extends to the end.
        last: Option<u64>,
    },
    /// The given number of bytes at the end.
    Suffix(u64),
}

/// A range resolved against the size of the content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResolvedRange {
    /// Positions of the first and the last byte, both included.
    Part(u64, u64),
    /// No byte of the content lies in the range.
    Unsatisfiable,
}

impl Range {
    /// Parses `bytes=a-b`, `bytes=a-` or `bytes=-n`. Returns `None` for any other value (another unit, several ranges,
    /// a last byte before the first); the header is then ignored, as section 14.2 allows.
    pub fn parse(text: &str) -> Option<Self> {
        let (unit, spec) = text.split_once('=')?;
        if !unit.trim().eq_ignore_ascii_case("bytes") {
            return None;
        }
        match spec.trim().split_once('-')? {
            ("", length) => Some(Self::Suffix(parse_digits(length)?)),
            (first, "") => Some(Self::From {
                first: parse_digits(first)?,
                last: None,
            }),
            (first, last) => {
                let first = parse_digits(first)?;
                let last = parse_digits(last)?;
                (first <= last).then_some(Self::From {
                    first,
                    last: Some(last),
                })
            }
        }
    }

    /// Resolves the range against content of `size` bytes.
    pub fn resolve(self, size: u64) -> ResolvedRange {
        match self {
            Self::From { first, .. } if first >= size => ResolvedRange::Unsatisfiable,
            Self::From { first, last } => {
                ResolvedRange::Part(first, last.unwrap_or(u64::MAX).min(size - 1))
            }
            Self::Suffix(0) => ResolvedRange::Unsatisfiable,
            Self::Suffix(_) if size == 0 => ResolvedRange::Unsatisfiable,
            Self::Suffix(length) => ResolvedRange::Part(size.saturating_sub(length), size - 1),
        }
    }
}

/// Parses a number that consists of digits only, without a sign or spaces.
fn parse_digits(text: &str) -> Option<u64> {
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    is_number.then(|| text.parse().ok()).flatten()
}
