//! Bytes of objects: made again from name, part and version at any offset, so that nobody has to keep them and
//! every answer can be checked byte for byte, also a range of it.
//!
//! Lines of 64 bytes. The first is a stamp that names object, part and version; the others are noise.
use bytes::{Bytes, BytesMut};

const LINE: usize = 64;

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

fn hex(word: u64, out: &mut [u8]) {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    for (n, byte) in out.iter_mut().enumerate() {
        *byte = DIGITS[(word >> (60 - 4 * n) & 15) as usize];
    }
}

/// Which bytes an object's part has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Body {
    pub number: u64,
    pub part: u64,
    pub version: u64,
}

impl Body {
    fn line(&self, n: u64) -> [u8; LINE] {
        let mut line = [b' '; LINE];
        line[LINE - 1] = b'\n';
        if n == 0 {
            let text = format!(
                "object {:016x} part {:06} version {:010}",
                self.number, self.part, self.version
            );
            line[..text.len()].copy_from_slice(text.as_bytes());
            return line;
        }
        let seed = mix(self.number ^ mix(self.part ^ mix(self.version))).wrapping_add(n << 2);
        for word in 0..3 {
            let at = word * 21;
            hex(mix(seed.wrapping_add(word as u64)), &mut line[at..at + 16]);
        }
        line
    }

    /// Bytes from an offset on.
    pub fn bytes(&self, from: u64, len: usize) -> Bytes {
        let mut out = BytesMut::with_capacity(len + LINE);
        let mut n = from / LINE as u64;
        let mut skip = (from % LINE as u64) as usize;
        while out.len() < len {
            out.extend_from_slice(&self.line(n)[skip..]);
            skip = 0;
            n += 1;
        }
        out.truncate(len);
        out.freeze()
    }

    /// The version that a body's first line tells; none if it is not of this object and part.
    pub fn version_of(number: u64, part: u64, first: &[u8]) -> Option<u64> {
        let text = std::str::from_utf8(first.get(..LINE)?).ok()?;
        let version = text.trim_end().rsplit(' ').next()?.parse().ok()?;
        let same = Body {
            number,
            part,
            version,
        }
        .line(0)
            == first[..LINE];
        same.then_some(version)
    }
}

/// Checks a body as it comes, without keeping it.
#[derive(Debug)]
pub struct Checker {
    number: u64,
    part: u64,
    /// Bytes seen, counted from the whole's first one.
    at: u64,
    first: Vec<u8>,
    body: Option<Body>,
    wrong: bool,
}

impl Checker {
    pub fn new(number: u64, part: u64) -> Self {
        Self {
            number,
            part,
            at: 0,
            first: Vec::new(),
            body: None,
            wrong: false,
        }
    }

    pub fn take(&mut self, mut data: &[u8]) {
        if self.body.is_none() {
            let need = (LINE - self.first.len()).min(data.len());
            self.first.extend_from_slice(&data[..need]);
            self.at += need as u64;
            data = &data[need..];
            if self.first.len() < LINE {
                return;
            }
            match Body::version_of(self.number, self.part, &self.first) {
                Some(version) => {
                    self.body = Some(Body {
                        number: self.number,
                        part: self.part,
                        version,
                    });
                }
                None => {
                    self.wrong = true;
                    self.body = Some(Body {
                        number: self.number,
                        part: self.part,
                        version: 0,
                    });
                }
            }
        }
        let Some(body) = self.body else { return };
        if !self.wrong && body.bytes(self.at, data.len()) != data {
            self.wrong = true;
        }
        self.at += data.len() as u64;
    }

    /// Bytes taken, and the version, if every byte was right.
    pub fn finish(&self) -> (u64, Option<u64>) {
        (
            self.at,
            self.body.filter(|_| !self.wrong).map(|b| b.version),
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_cut_gives_the_same_bytes_and_a_wrong_one_is_found() {
        let body = Body {
            number: 7,
            part: 2,
            version: 12,
        };
        let whole = body.bytes(0, 1_000);
        for from in [0, 1, 63, 64, 65, 700] {
            assert_eq!(
                body.bytes(from as u64, 100)[..],
                whole[from..from + 100],
                "from {from}"
            );
        }
        let check = |bytes: &[u8], step: usize| {
            let mut checker = Checker::new(7, 2);
            bytes.chunks(step).for_each(|c| checker.take(c));
            checker.finish()
        };
        for step in [1, 63, 64, 999] {
            assert_eq!(check(&whole, step), (1_000, Some(12)), "cut every {step}");
        }
        let mut wrong = whole.to_vec();
        wrong[640] ^= 1;
        assert_eq!(check(&wrong, 100), (1_000, None));
        assert_eq!(Body { number: 8, ..body }.bytes(0, 64).len(), 64);
        assert_eq!(
            check(&Body { number: 8, ..body }.bytes(0, 200), 50).1,
            None,
            "another object's bytes"
        );
    }
}
