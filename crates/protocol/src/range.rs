//! One byte range, as RFC 9110 section 14 words it.

/// What a `Range` header asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Range {
    /// From a first byte to a last one, both counted from 0, or to the end.
    From(u64, Option<u64>),
    /// The last so many bytes.
    Suffix(u64),
}

/// A range applied to a size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResolvedRange {
    /// First and last byte, inclusive.
    Part(u64, u64),
    Unsatisfiable,
}

impl Range {
    /// Reads `bytes=a-b`, `bytes=a-` or `bytes=-n`. Anything else (another unit, several ranges, a last byte
    /// before the first) is none: the header is ignored, as section 14.2 allows.
    pub fn parse(text: &str) -> Option<Self> {
        let (unit, spec) = text.split_once('=')?;
        if !unit.trim().eq_ignore_ascii_case("bytes") {
            return None;
        }
        let (first, last) = spec.trim().split_once('-')?;
        let number = |s: &str| {
            let digits = !s.is_empty() && s.bytes().all(|b| b.is_ascii_digit());
            digits.then(|| s.parse::<u64>().ok()).flatten()
        };
        match (first, last) {
            ("", n) => Some(Self::Suffix(number(n)?)),
            (a, "") => Some(Self::From(number(a)?, None)),
            (a, b) => {
                let (a, b) = (number(a)?, number(b)?);
                (a <= b).then_some(Self::From(a, Some(b)))
            }
        }
    }

    pub fn apply(self, size: u64) -> ResolvedRange {
        match self {
            Self::From(first, _) if first >= size => ResolvedRange::Unsatisfiable,
            Self::From(first, last) => {
                ResolvedRange::Part(first, last.unwrap_or(u64::MAX).min(size - 1))
            }
            Self::Suffix(0) => ResolvedRange::Unsatisfiable,
            Self::Suffix(_) if size == 0 => ResolvedRange::Unsatisfiable,
            Self::Suffix(n) => ResolvedRange::Part(size.saturating_sub(n), size - 1),
        }
    }
}
