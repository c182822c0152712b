//! Assembles the requests of one FastCGI connection: records in, complete requests out. A state machine without I/O.
//!
//! State: for each open request, at most [`MAX_OPEN_REQUESTS`], its params and body until it is complete; both bounded.
//! A protocol violation ends the session; an invalid request is only reported as such, and what still comes of it is
//! discarded, up to a bound.
use crate::fastcgi::*;
use bytes::{Bytes, BytesMut};
use std::collections::BTreeMap;

/// The platform's limit on requests open on one connection.
pub const MAX_OPEN_REQUESTS: usize = 32;
/// All params of a request: some twenty names of CGI and the platform's own.
const MAX_PARAMS_BYTES: usize = 8 * 1024;
/// The platform's limit on a write's body.
pub const MAX_BODY_BYTES: usize = 48_000;
/// Bytes that are discarded of requests which are no longer open, over the life of a connection.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// Content of a record that begins a request.
const BEGIN_BODY_BYTES: usize = 8;

/// What came of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordOutcome {
    /// Nothing to do yet.
    Pending,
    /// A request is complete; it stays open until [`RequestAssembler::finish`].
    Complete {
        /// Number of the request.
        id: u16,
        /// Its params, still encoded.
        params: Bytes,
        /// Its body.
        body: Bytes,
        /// The client wants the connection kept alive.
        keep_alive: bool,
    },
    /// A request that cannot be used; it is no longer open.
    Invalid {
        /// Number of the request.
        id: u16,
        /// Why it cannot be used.
        reason: InvalidRequest,
    },
    /// A request beyond [`MAX_OPEN_REQUESTS`].
    TooManyOpen {
        /// Number of the request.
        id: u16,
    },
    /// A request for a role other than the responder's.
    UnknownRole {
        /// Number of the request.
        id: u16,
    },
    /// The client has cancelled a request.
    Aborted {
        /// Number of the request.
        id: u16,
        /// The request was complete and is open until [`RequestAssembler::finish`].
        was_complete: bool,
    },
    /// Bytes to send back at once: a reply to a management record.
    Reply(Bytes),
}

/// Why a request cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// Params beyond the limit.
    #[error("its params are too long")]
    ParamsTooLong,
    /// A body beyond the limit.
    #[error("its body is too long")]
    BodyTooLong,
    /// Params after their end, or a body before it.
    #[error("its records are out of order")]
    RecordsOutOfOrder,
}

/// A protocol violation that ends the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SessionError {
    /// A request begins under the number of an open one.
    #[error("a request under the number of an open one")]
    DuplicateId,
    /// A request begins without a number, or its record is too short.
    #[error("a request without a number, or a truncated begin record")]
    MalformedBegin,
    /// Too many bytes came for requests that are not open.
    #[error("too many bytes came for requests that are not open")]
    TooMuchDiscarded,
}

#[derive(Debug)]
enum AssemblyState {
    ReadingParams(BytesMut),
    ReadingBody { params: Bytes, body: BytesMut },
    Complete,
}

#[derive(Debug)]
struct OpenRequest {
    state: AssemblyState,
    keep_alive: bool,
}

impl OpenRequest {
    fn is_complete(&self) -> bool {
        matches!(self.state, AssemblyState::Complete)
    }

    /// Takes a record's content, empty at the end of its stream. None: the request is complete already.
    fn add(
        &mut self,
        id: u16,
        kind: u8,
        content: &Bytes,
    ) -> Result<Option<RecordOutcome>, InvalidRequest> {
        match (&mut self.state, kind) {
            (AssemblyState::ReadingParams(params), PARAMS) if content.is_empty() => {
                let params = std::mem::take(params).freeze();
                let body = BytesMut::new();
                self.state = AssemblyState::ReadingBody { params, body };
            }
            (AssemblyState::ReadingParams(params), PARAMS) => {
                if params.len() + content.len() > MAX_PARAMS_BYTES {
                    return Err(InvalidRequest::ParamsTooLong);
                }
                params.extend_from_slice(content);
            }
            (AssemblyState::ReadingBody { params, body }, STDIN) if content.is_empty() => {
                let params = std::mem::take(params);
                let body = std::mem::take(body).freeze();
                self.state = AssemblyState::Complete;
                return Ok(Some(RecordOutcome::Complete {
                    id,
                    params,
                    body,
                    keep_alive: self.keep_alive,
                }));
            }
            (AssemblyState::ReadingBody { body, .. }, STDIN) => {
                if body.len() + content.len() > MAX_BODY_BYTES {
                    return Err(InvalidRequest::BodyTooLong);
                }
                body.extend_from_slice(content);
            }
            (AssemblyState::Complete, _) => return Ok(None),
            _ => return Err(InvalidRequest::RecordsOutOfOrder),
        }
        Ok(Some(RecordOutcome::Pending))
    }
}

/// The open requests of one connection.
#[derive(Debug, Default)]
pub struct RequestAssembler {
    open: BTreeMap<u16, OpenRequest>,
    discarded_bytes: usize,
}

impl RequestAssembler {
    /// Requests that are open.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Open requests that are not complete.
    pub fn incomplete(&self) -> usize {
        self.open.values().filter(|r| !r.is_complete()).count()
    }

    /// Drops the requests that are not complete and names them; what still comes of them is discarded.
    pub fn drop_incomplete(&mut self) -> Vec<u16> {
        let incomplete = self.open.iter().filter(|(_, r)| !r.is_complete());
        let ids: Vec<u16> = incomplete.map(|(id, _)| *id).collect();
        ids.iter().for_each(|id| self.finish(*id));
        ids
    }

    /// Forgets a request: its response is written, or none is owed.
    pub fn finish(&mut self, id: u16) {
        self.open.remove(&id);
    }

    /// Takes the next record of the connection.
    pub fn handle(&mut self, record: Record) -> Result<RecordOutcome, SessionError> {
        let Record { kind, id, content } = record;
        match kind {
            BEGIN_REQUEST => self.begin(id, &content),
            ABORT_REQUEST => Ok(self.abort(id)),
            PARAMS | STDIN => self.add(kind, id, &content),
            GET_VALUES => Ok(RecordOutcome::Reply(values_result(&content))),
            other => {
                self.discard(content.len())?;
                Ok(RecordOutcome::Reply(unknown_type(other)))
            }
        }
    }

    fn abort(&mut self, id: u16) -> RecordOutcome {
        let Some(request) = self.open.get(&id) else {
            return RecordOutcome::Pending;
        };
        let was_complete = request.is_complete();
        if !was_complete {
            self.finish(id);
        }
        RecordOutcome::Aborted { id, was_complete }
    }

    fn begin(&mut self, id: u16, content: &[u8]) -> Result<RecordOutcome, SessionError> {
        if id == 0 || content.len() < BEGIN_BODY_BYTES {
            return Err(SessionError::MalformedBegin);
        }
        if self.open.contains_key(&id) {
            return Err(SessionError::DuplicateId);
        }
        if u16::from_be_bytes([content[0], content[1]]) != RESPONDER {
            return Ok(RecordOutcome::UnknownRole { id });
        }
        if self.open.len() >= MAX_OPEN_REQUESTS {
            return Ok(RecordOutcome::TooManyOpen { id });
        }
        let request = OpenRequest {
            state: AssemblyState::ReadingParams(BytesMut::new()),
            keep_alive: content[2] & KEEP_CONN != 0,
        };
        self.open.insert(id, request);
        Ok(RecordOutcome::Pending)
    }

    fn add(&mut self, kind: u8, id: u16, content: &Bytes) -> Result<RecordOutcome, SessionError> {
        if let Some(request) = self.open.get_mut(&id) {
            match request.add(id, kind, content) {
                Ok(Some(outcome)) => return Ok(outcome),
                Ok(None) => {}
                Err(reason) => {
                    self.finish(id);
                    return Ok(RecordOutcome::Invalid { id, reason });
                }
            }
        }
        self.discard(content.len())?;
        Ok(RecordOutcome::Pending)
    }

    fn discard(&mut self, content_bytes: usize) -> Result<(), SessionError> {
        self.discarded_bytes += content_bytes + HEADER_BYTES;
        if self.discarded_bytes > MAX_DISCARDED_BYTES {
            return Err(SessionError::TooMuchDiscarded);
        }
        Ok(())
    }
}

fn unknown_type(kind: u8) -> Bytes {
    let mut out = BytesMut::new();
    record(&mut out, UNKNOWN_TYPE, 0, &[kind, 0, 0, 0, 0, 0, 0, 0]);
    out.freeze()
}

/// The values that a web server may query; unknown names are left out.
fn values_result(query: &[u8]) -> Bytes {
    let mut values = BytesMut::new();
    for (name, _) in pairs(query).into_iter().flatten() {
        match name {
            b"FCGI_MAX_REQS" => pair(&mut values, name, MAX_OPEN_REQUESTS.to_string().as_bytes()),
            b"FCGI_MPXS_CONNS" => pair(&mut values, name, b"1"),
            _ => {}
        }
    }
    let mut out = BytesMut::new();
    record(&mut out, GET_VALUES_RESULT, 0, &values);
    out.freeze()
}
