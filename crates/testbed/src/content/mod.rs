//! Generates the bytes of objects from number, part and version at any offset, so that they need not be stored and
//! every response, complete or a range, can be checked byte for byte.
//!
//! A body consists of lines of 64 bytes. The first is a header that names object, part and version; the others are
//! pseudo-random.
use bytes::{Bytes, BytesMut};

#[cfg(test)]
mod tests;

const LINE_BYTES: usize = 64;
/// Number of hexadecimal words in a line.
const WORDS_PER_LINE: usize = 3;
/// Distance between the starts of two words, including the separators after a word.
const WORD_STRIDE_BYTES: usize = 21;
const WORD_HEX_DIGITS: usize = 16;

/// The finalizer of SplitMix64.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

fn write_hex(word: u64, out: &mut [u8]) {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    for (n, byte) in out.iter_mut().enumerate() {
        *byte = DIGITS[(word >> (60 - 4 * n) & 15) as usize];
    }
}

/// The body of one version of a part of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Body {
    /// The object's number.
    pub number: u64,
    /// The part of the object.
    pub part: u64,
    /// The version of the object.
    pub version: u64,
}

impl Body {
    fn line(&self, n: u64) -> [u8; LINE_BYTES] {
        let mut line = [b' '; LINE_BYTES];
        line[LINE_BYTES - 1] = b'\n';
        if n == 0 {
            let header = format!(
                "object {:016x} part {:06} version {:010}",
                self.number, self.part, self.version
            );
            line[..header.len()].copy_from_slice(header.as_bytes());
            return line;
        }
        let seed = mix(self.number ^ mix(self.part ^ mix(self.version))).wrapping_add(n << 2);
        for word in 0..WORDS_PER_LINE {
            let start = word * WORD_STRIDE_BYTES;
            let value = mix(seed.wrapping_add(word as u64));
            write_hex(value, &mut line[start..start + WORD_HEX_DIGITS]);
        }
        line
    }

    /// Returns `length` bytes from `offset` on.
    pub fn bytes(&self, offset: u64, length: usize) -> Bytes {
        let mut out = BytesMut::with_capacity(length + LINE_BYTES);
        let mut line = offset / LINE_BYTES as u64;
        let mut skipped = (offset % LINE_BYTES as u64) as usize;
        while out.len() < length {
            out.extend_from_slice(&self.line(line)[skipped..]);
            skipped = 0;
            line += 1;
        }
        out.truncate(length);
        out.freeze()
    }

    /// Returns the version that a body's first line names, or `None` if the line belongs to another object or part.
    pub fn version_of(number: u64, part: u64, first_line: &[u8]) -> Option<u64> {
        let first_line = first_line.get(..LINE_BYTES)?;
        let text = std::str::from_utf8(first_line).ok()?;
        let version = text.trim_end().rsplit(' ').next()?.parse().ok()?;
        let body = Self {
            number,
            part,
            version,
        };
        (body.line(0) == first_line).then_some(version)
    }
}

/// Checks a body as it arrives, without storing it.
#[derive(Debug)]
pub struct BodyChecker {
    number: u64,
    part: u64,
    received_bytes: u64,
    first_line: Vec<u8>,
    content: Content,
}

/// The state of the check of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Content {
    /// The first line is incomplete.
    Unknown,
    /// Every byte received so far matches this body.
    Matches(Body),
    /// At least one byte does not match.
    Mismatch,
}

/// The result of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckedBody {
    /// Number of bytes received.
    pub bytes: u64,
    /// The version, if every byte matched.
    pub version: Option<u64>,
}

impl BodyChecker {
    /// Creates a checker for a body of this part of an object, of any version.
    pub fn new(number: u64, part: u64) -> Self {
        Self {
            number,
            part,
            received_bytes: 0,
            first_line: Vec::new(),
            content: Content::Unknown,
        }
    }

    /// Checks the next bytes of the body.
    pub fn update(&mut self, data: &[u8]) {
        let rest = match self.content {
            Content::Unknown => self.update_first_line(data),
            Content::Matches(_) | Content::Mismatch => data,
        };
        if let Content::Matches(body) = self.content {
            if body.bytes(self.received_bytes, rest.len()) != rest {
                self.content = Content::Mismatch;
            }
        }
        self.received_bytes += rest.len() as u64;
    }

    /// Appends data to the first line until the line is complete; returns the remaining data.
    fn update_first_line<'a>(&mut self, data: &'a [u8]) -> &'a [u8] {
        let missing_bytes = (LINE_BYTES - self.first_line.len()).min(data.len());
        let (line, rest) = data.split_at(missing_bytes);
        self.first_line.extend_from_slice(line);
        self.received_bytes += line.len() as u64;
        if self.first_line.len() == LINE_BYTES {
            self.content = match Body::version_of(self.number, self.part, &self.first_line) {
                Some(version) => Content::Matches(Body {
                    number: self.number,
                    part: self.part,
                    version,
                }),
                None => Content::Mismatch,
            };
        }
        rest
    }

    /// Returns the result for the bytes received so far. A body shorter than its first line has no version.
    pub fn finish(&self) -> CheckedBody {
        let version = match self.content {
            Content::Matches(body) => Some(body.version),
            Content::Unknown | Content::Mismatch => None,
        };
        CheckedBody {
            bytes: self.received_bytes,
            version,
        }
    }
}
