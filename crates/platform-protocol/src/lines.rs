//! The line protocol of cache hosts, parents and the origin: a dispatcher's end of it.
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::fmt::Write;
use tokio_util::codec::Decoder;

/// An object's bytes, by the platform's word.
pub const OBJECT_MOST: usize = 240_000;
/// An answer's line: an id, a word, a handful of short fields, a length.
const LINE_MOST: usize = 512;
const ID_MOST: usize = 64;

/// A request, as it goes out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pull<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub object: &'a str,
    pub part: u64,
    pub wait_ms: u64,
    /// Empty: none.
    pub key: &'a str,
    /// Id of the source of a fill; empty: no fill.
    pub source: &'a str,
    pub keep: u32,
    /// 0: the fresh time of the class.
    pub age_ms: u64,
    pub merge: bool,
    pub local: bool,
    pub revalidate: bool,
    /// Empty: none.
    pub tag: &'a str,
    pub body: &'a [u8],
}

impl Pull<'_> {
    pub fn write(&self, out: &mut BytesMut) {
        let p = self;
        // Writing to a buffer cannot fail.
        let _ = write!(
            out,
            "PULL {} kind={},obj={},seg={},ms={}",
            p.id, p.class, p.object, p.part, p.wait_ms
        );
        for (name, value) in [("token", p.key), ("up", p.source), ("inm", p.tag)] {
            if !value.is_empty() {
                let _ = write!(out, ",{name}={value}");
            }
        }
        for (name, value) in [("store", u64::from(p.keep)), ("cap", p.age_ms)] {
            if value > 0 {
                let _ = write!(out, ",{name}={value}");
            }
        }
        let words = [
            (p.merge, "merge"),
            (p.local, "local"),
            (p.revalidate, "revalidate"),
        ];
        let mut lead = ",do=";
        for (_, word) in words.iter().filter(|(wanted, _)| *wanted) {
            let _ = write!(out, "{lead}{word}");
            lead = "+";
        }
        let _ = write!(out, " {}\r\n", p.body.len());
        out.put_slice(p.body);
        out.put_slice(b"\r\n");
    }
}

pub fn kill(out: &mut BytesMut, id: &str) {
    let _ = write!(out, "KILL {id}\r\n");
}

pub fn echo(out: &mut BytesMut, tag: &str) {
    let _ = write!(out, "ECHO {tag}\r\n");
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    Served,
    StillGood,
    NotHere,
    Overload,
    Crashed,
    Nobody,
    /// The answer to an ECHO.
    Green,
}

impl Word {
    const ALL: [(&'static str, Self); 7] = [
        ("served", Self::Served),
        ("still_good", Self::StillGood),
        ("not_here", Self::NotHere),
        ("overload", Self::Overload),
        ("crashed", Self::Crashed),
        ("nobody", Self::Nobody),
        ("green", Self::Green),
    ];
}

/// How an answer came about, or why its fill failed: by the numbers that the simulator gives these, from 1.
const NOTES: [&str; 10] = [
    "mem",
    "parent",
    "origin",
    "shared",
    "old",
    "denied",
    "unreached",
    "absent",
    "crowded",
    "behind",
];

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub id: String,
    pub word: Word,
    /// 0: not told; else a place in the simulator's order, from 1.
    pub note: u8,
    pub tag: String,
    /// Unix milliseconds at which the origin gave this copy out; 0: not told.
    pub since_ms: u64,
    /// Time that was spent waiting for the source.
    pub fill_ms: u64,
    pub body: Bytes,
}

/// Why a connection cannot be read any more.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    #[error("a line of over {LINE_MOST} bytes")]
    Endless,
    #[error("a line that is no answer")]
    NoAnswer,
    #[error("an answer of {0} bytes")]
    Long(u64),
    #[error("bytes beyond an answer's length")]
    Beyond,
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Reads answers.
#[derive(Debug, Default)]
pub struct AnswerCodec {
    /// An answer whose bytes have not all come, and how many there are.
    head: Option<(Answer, usize)>,
    /// Bytes looked through for the line's end.
    looked: usize,
}

impl AnswerCodec {
    /// Bytes that the answer under way takes.
    pub fn under_way(&self) -> usize {
        self.head.as_ref().map_or(0, |(_, length)| *length)
    }

    /// Whose answer has begun to come and is not whole.
    pub fn coming(&self) -> Option<&str> {
        self.head.as_ref().map(|(answer, _)| answer.id.as_str())
    }

    fn line(&mut self, from: &mut BytesMut) -> Result<Option<(Answer, usize)>, LineError> {
        let most = from.len().min(LINE_MOST);
        let Some(end) = from[self.looked..most]
            .windows(2)
            .position(|w| w == b"\r\n")
        else {
            self.looked = most.saturating_sub(1);
            return if from.len() >= LINE_MOST {
                Err(LineError::Endless)
            } else {
                Ok(None)
            };
        };
        let line = from.split_to(self.looked + end);
        from.advance(2);
        self.looked = 0;
        head(&line).map(Some)
    }
}

impl Decoder for AnswerCodec {
    type Item = Answer;
    type Error = LineError;

    fn decode(&mut self, from: &mut BytesMut) -> Result<Option<Answer>, LineError> {
        if self.head.is_none() {
            self.head = self.line(from)?;
        }
        let Some((_, length)) = &self.head else {
            return Ok(None);
        };
        let whole = *length + 2;
        if from.len() < whole {
            from.reserve(whole - from.len());
            return Ok(None);
        }
        if &from[*length..whole] != b"\r\n" {
            return Err(LineError::Beyond);
        }
        let Some((mut answer, length)) = self.head.take() else {
            return Ok(None);
        };
        answer.body = from.split_to(length).freeze();
        from.advance(2);
        Ok(Some(answer))
    }
}

fn head(line: &[u8]) -> Result<(Answer, usize), LineError> {
    let line = std::str::from_utf8(line).map_err(|_| LineError::NoAnswer)?;
    let mut words = line.split(' ');
    let (Some(id), Some(word), Some(fields), Some(length), None) = (
        words.next(),
        words.next(),
        words.next(),
        words.next(),
        words.next(),
    ) else {
        return Err(LineError::NoAnswer);
    };
    let known = Word::ALL
        .iter()
        .find(|(w, _)| *w == word)
        .ok_or(LineError::NoAnswer)?;
    if id.is_empty() || id.len() > ID_MOST {
        return Err(LineError::NoAnswer);
    }
    let plain = !length.is_empty() && length.bytes().all(|b| b.is_ascii_digit());
    let length: u64 = length
        .parse()
        .ok()
        .filter(|_| plain)
        .ok_or(LineError::NoAnswer)?;
    if length > OBJECT_MOST as u64 {
        return Err(LineError::Long(length));
    }
    let mut answer = Answer {
        id: id.to_owned(),
        word: known.1,
        note: 0,
        tag: String::new(),
        since_ms: 0,
        fill_ms: 0,
        body: Bytes::new(),
    };
    for field in fields.split(',').filter(|f| *f != "-") {
        let (name, value) = field.split_once('=').ok_or(LineError::NoAnswer)?;
        let number = || {
            value
                .parse::<f64>()
                .ok()
                .filter(|n| *n >= 0.0)
                .ok_or(LineError::NoAnswer)
        };
        match name {
            "res" => {
                let place = NOTES
                    .iter()
                    .position(|n| *n == value)
                    .ok_or(LineError::NoAnswer)?;
                answer.note = place as u8 + 1;
            }
            "rev" => answer.tag = value.to_owned(),
            "since" => answer.since_ms = number()? as u64,
            "fill" => answer.fill_ms = number()? as u64,
            // What later versions add.
            _ => {}
        }
    }
    Ok((answer, length as usize))
}
