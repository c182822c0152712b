//! The requests of one FastCGI connection: records in, whole requests out. A state machine without I/O.
//!
//! Kept: for each open request, 32 at most, its params and body until it is whole; both bounded. A connection whose
//! records make no sense is at its end; a request that cannot be used is only told so, and what still comes of it is
//! skipped, up to a bound.
use crate::fastcgi::*;
use bytes::{Bytes, BytesMut};
use std::collections::BTreeMap;

/// Requests open on one connection, by the platform's word.
pub const OPEN_MOST: usize = 32;
/// All params of a request: some twenty names of CGI and the platform's own.
const PARAMS_MOST: usize = 8 * 1024;
/// A write's body, by the platform's word.
pub const BODY_MOST: usize = 48_000;
/// Bytes that are skipped of requests which are over; a client that goes on for longer is not worth its CPU.
const SKIPPED_MOST: usize = 256 * 1024;

/// What became of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// Nothing to do yet.
    Nothing,
    /// A request is whole; it stays open until [`Requests::over`].
    Whole {
        id: u16,
        params: Bytes,
        body: Bytes,
        keep: bool,
    },
    /// A request that cannot be used; it is open no more.
    Unusable {
        id: u16,
        why: &'static str,
    },
    /// More than may be open.
    TooMany {
        id: u16,
    },
    UnknownRole {
        id: u16,
    },
    /// The client waits no longer. `whole`: the request was handed out and is open until [`Requests::over`].
    Abort {
        id: u16,
        whole: bool,
    },
    /// An answer to a question about the application itself.
    Reply(Bytes),
}

/// Why a connection is of no more use.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Broken {
    #[error("a request under the number of an open one")]
    TwoUnderOne,
    #[error("a request without a number, or a head that is cut short")]
    BadBegin,
    #[error("too much came of requests that were over")]
    Skipped,
}

#[derive(Debug)]
enum Stage {
    Params(BytesMut),
    Body { params: Bytes, body: BytesMut },
    Running,
}

#[derive(Debug)]
struct Open {
    stage: Stage,
    keep: bool,
}

#[derive(Debug, Default)]
pub struct Requests {
    open: BTreeMap<u16, Open>,
    skipped: usize,
}

impl Requests {
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Requests that have begun and are not whole.
    pub fn halves(&self) -> usize {
        self.open
            .values()
            .filter(|o| !matches!(o.stage, Stage::Running))
            .count()
    }

    /// Drops those that are not whole; what still comes of them is skipped.
    pub fn cut_halves(&mut self) -> Vec<u16> {
        let halves = self
            .open
            .iter()
            .filter(|(_, o)| !matches!(o.stage, Stage::Running));
        let ids: Vec<u16> = halves.map(|(id, _)| *id).collect();
        ids.iter().for_each(|id| self.over(*id));
        ids
    }

    /// Its answer is written, or was never owed.
    pub fn over(&mut self, id: u16) {
        self.open.remove(&id);
    }

    pub fn take(&mut self, record: Record) -> Result<Told, Broken> {
        let Record { kind, id, content } = record;
        match kind {
            BEGIN_REQUEST => self.begin(id, &content),
            ABORT_REQUEST => Ok(match self.open.get(&id) {
                None => Told::Nothing,
                Some(Open {
                    stage: Stage::Running,
                    ..
                }) => Told::Abort { id, whole: true },
                Some(_) => {
                    self.open.remove(&id);
                    Told::Abort { id, whole: false }
                }
            }),
            PARAMS | STDIN => self.content(kind, id, content),
            GET_VALUES => Ok(Told::Reply(values(&content))),
            other => {
                self.skip(content.len())?;
                let mut out = BytesMut::new();
                record_unknown(&mut out, other);
                Ok(Told::Reply(out.freeze()))
            }
        }
    }

    fn begin(&mut self, id: u16, content: &[u8]) -> Result<Told, Broken> {
        if id == 0 || content.len() < 8 {
            return Err(Broken::BadBegin);
        }
        if self.open.contains_key(&id) {
            return Err(Broken::TwoUnderOne);
        }
        if u16::from_be_bytes([content[0], content[1]]) != RESPONDER {
            return Ok(Told::UnknownRole { id });
        }
        if self.open.len() >= OPEN_MOST {
            return Ok(Told::TooMany { id });
        }
        let keep = content[2] & KEEP_CONN != 0;
        self.open.insert(
            id,
            Open {
                stage: Stage::Params(BytesMut::new()),
                keep,
            },
        );
        Ok(Told::Nothing)
    }

    fn content(&mut self, kind: u8, id: u16, content: Bytes) -> Result<Told, Broken> {
        let unusable = |why| Ok(Told::Unusable { id, why });
        if let Some(open) = self.open.get_mut(&id) {
            match (&mut open.stage, kind) {
                (Stage::Params(params), PARAMS) if content.is_empty() => {
                    let params = std::mem::take(params).freeze();
                    open.stage = Stage::Body {
                        params,
                        body: BytesMut::new(),
                    };
                    return Ok(Told::Nothing);
                }
                (Stage::Params(params), PARAMS) => {
                    if params.len() + content.len() <= PARAMS_MOST {
                        params.extend_from_slice(&content);
                        return Ok(Told::Nothing);
                    }
                    self.open.remove(&id);
                    return unusable("its params are too long");
                }
                (Stage::Body { params, body }, STDIN) if content.is_empty() => {
                    let (params, body) = (std::mem::take(params), std::mem::take(body).freeze());
                    let keep = open.keep;
                    open.stage = Stage::Running;
                    return Ok(Told::Whole {
                        id,
                        params,
                        body,
                        keep,
                    });
                }
                (Stage::Body { body, .. }, STDIN) => {
                    if body.len() + content.len() <= BODY_MOST {
                        body.extend_from_slice(&content);
                        return Ok(Told::Nothing);
                    }
                    self.open.remove(&id);
                    return unusable("its body is too long");
                }
                (Stage::Running, _) => {}
                _ => {
                    self.open.remove(&id);
                    return unusable("its records are out of order");
                }
            }
        }
        self.skip(content.len())?;
        Ok(Told::Nothing)
    }

    fn skip(&mut self, bytes: usize) -> Result<(), Broken> {
        self.skipped += bytes + 8;
        if self.skipped > SKIPPED_MOST {
            return Err(Broken::Skipped);
        }
        Ok(())
    }
}

fn record_unknown(out: &mut BytesMut, kind: u8) {
    record(out, UNKNOWN_TYPE, 0, &[kind, 0, 0, 0, 0, 0, 0, 0]);
}

/// What a web server may ask of an application; unknown names are left out.
fn values(asked: &[u8]) -> Bytes {
    let mut told = BytesMut::new();
    for (name, _) in pairs(asked).into_iter().flatten() {
        match name {
            b"FCGI_MAX_REQS" => pair(&mut told, name, OPEN_MOST.to_string().as_bytes()),
            b"FCGI_MPXS_CONNS" => pair(&mut told, name, b"1"),
            _ => {}
        }
    }
    let mut out = BytesMut::new();
    record(&mut out, GET_VALUES_RESULT, 0, &told);
    out.freeze()
}
