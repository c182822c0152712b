//! One byte range, as defined by RFC 9110, section 14.

/// A range requested by a `Range` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Range {
    /// From a first byte to a last one, both counted from 0 and included.
    From {
        /// First byte.
        first: u64,
        /// Last byte; `None`: up to the end.
        last: Option<u64>,
    },
    /// The last bytes, this many.
    Suffix(u64),
}

/// A range applied to a size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResolvedRange {
    /// First and last byte, inclusive.
    Part(u64, u64),
    /// No byte of the content lies in the range.
    Unsatisfiable,
}

impl Range {
    /// Parses `bytes=a-b`, `bytes=a-` or `bytes=-n`. Anything else (another unit, several ranges, a last byte before the
    /// first) gives `None`: the header is ignored, as section 14.2 allows.
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

    /// The bytes that the range covers in content of a size.
    pub fn apply(self, size: u64) -> ResolvedRange {
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

/// A number of digits only: no sign and no spaces.
fn parse_digits(text: &str) -> Option<u64> {
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    is_number.then(|| text.parse().ok()).flatten()
}
