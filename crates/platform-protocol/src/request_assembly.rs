//! Assembles the requests of one FastCGI connection from its records. A state machine without I/O.
//!
//! The state has an entry for each open request, at most [`MAX_OPEN_REQUESTS`], with the params and body received so
//! far; the sizes of both are limited. A protocol violation ends the session. An invalid request does not: it is
//! reported, and its further records are discarded, up to a limit in bytes.
use crate::chunked_buffer::ChunkedBuffer;
use crate::discard_budget::{DiscardBudget, MAX_DISCARDED_BYTES};
use crate::fastcgi::*;
use bytes::{Bytes, BytesMut};
use std::collections::BTreeMap;
use std::time::Instant;

/// Largest number of open requests on one connection, as the platform defines it.
pub const MAX_OPEN_REQUESTS: usize = 32;
/// Largest size of the encoded params of a request: about twenty CGI params and those of the platform.
const MAX_PARAMS_BYTES: usize = 8 * 1024;
/// Largest size of the body of a write, as the platform defines it.
pub const MAX_BODY_BYTES: usize = 48_000;
/// Largest number of bytes of a request that may still arrive after it has ended.
const MAX_REQUEST_BYTES: usize = MAX_PARAMS_BYTES + MAX_BODY_BYTES;
/// Length of the content of a begin record.
const BEGIN_BODY_BYTES: usize = 8;

/// Outcome of handling a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordOutcome {
    /// The record requires no action.
    Pending,
    /// A request is complete. It stays open until [`RequestAssembler::finish`] is called.
    Complete {
        /// Id of the request.
        id: u16,
        /// Encoded params of the request.
        params: Bytes,
        /// Body of the request.
        body: Bytes,
        /// Whether the connection stays open after the request.
        keep_alive: bool,
    },
    /// A request is invalid and no longer open.
    Invalid {
        /// Id of the request.
        id: u16,
        /// Reason for which the request is invalid.
        reason: InvalidRequest,
    },
    /// A request was not opened because [`MAX_OPEN_REQUESTS`] are open.
    TooManyOpen {
        /// Id of the request.
        id: u16,
    },
    /// A request was not opened because its role is not that of a responder.
    UnknownRole {
        /// Id of the request.
        id: u16,
    },
    /// The client has aborted a request.
    Aborted {
        /// Id of the request.
        id: u16,
        /// Whether the request was complete, so that it stays open until [`RequestAssembler::finish`] is called.
        was_complete: bool,
    },
    /// The encoded reply to a management record or to one of an unknown type, which is to be sent at once.
    Reply(Bytes),
}

/// Reason for which a request is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// The params exceed the size limit.
    #[error("params exceed {MAX_PARAMS_BYTES} bytes")]
    ParamsTooLong,
    /// The body exceeds the size limit.
    #[error("body exceeds {MAX_BODY_BYTES} bytes")]
    BodyTooLong,
    /// Params were sent after their end, or the body before it.
    #[error("PARAMS or STDIN records are out of order")]
    RecordsOutOfOrder,
}

/// A protocol violation that ends the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SessionError {
    /// A request begins with the id of an open request.
    #[error("begin record with the id of an open request")]
    DuplicateId,
    /// A begin record has the id 0 or is truncated.
    #[error("begin record with id 0 or of less than {BEGIN_BODY_BYTES} bytes")]
    MalformedBegin,
    /// Too many bytes were received for requests that are not open and in records of unknown types.
    #[error("more than {MAX_DISCARDED_BYTES} bytes received that belong to no open request")]
    TooMuchDiscarded,
}

#[derive(Debug)]
enum AssemblyState {
    ReadingParams(ChunkedBuffer),
    ReadingBody { params: Bytes, body: ChunkedBuffer },
    Complete,
}

impl AssemblyState {
    /// Returns the memory that is allocated for params and body.
    fn allocated_bytes(&self) -> usize {
        match self {
            Self::ReadingParams(params) => params.allocated_bytes(),
            Self::ReadingBody { params, body } => params.len() + body.allocated_bytes(),
            Self::Complete => 0,
        }
    }
}

#[derive(Debug)]
struct OpenRequest {
    state: AssemblyState,
    keep_alive: bool,
    begun_at: Instant,
}

impl OpenRequest {
    fn is_complete(&self) -> bool {
        matches!(self.state, AssemblyState::Complete)
    }

    /// Adds the content of a record, which is empty at the end of its stream. Returns `None` if the request is already
    /// complete and the content is to be discarded.
    fn add(
        &mut self,
        id: u16,
        kind: u8,
        content: &Bytes,
    ) -> Result<Option<RecordOutcome>, InvalidRequest> {
        match (&mut self.state, kind) {
            (AssemblyState::ReadingParams(params), PARAMS) if content.is_empty() => {
                let params = std::mem::take(params).into_bytes();
                let body = ChunkedBuffer::default();
                self.state = AssemblyState::ReadingBody { params, body };
            }
            (AssemblyState::ReadingParams(params), PARAMS) => {
                if params.len() + content.len() > MAX_PARAMS_BYTES {
                    return Err(InvalidRequest::ParamsTooLong);
                }
                params.extend(content);
            }
            (AssemblyState::ReadingBody { params, body }, STDIN) if content.is_empty() => {
                let params = std::mem::take(params);
                let body = std::mem::take(body).into_bytes();
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
                body.extend(content);
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
    discard_budget: DiscardBudget,
}

impl RequestAssembler {
    /// Returns the number of open requests.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Returns the number of open requests that are not complete.
    pub fn incomplete_count(&self) -> usize {
        self.open.values().filter(|r| !r.is_complete()).count()
    }

    /// Returns the memory that is allocated for the params and bodies of the requests that are not complete.
    pub fn incomplete_bytes(&self) -> usize {
        let requests = self.open.values();
        requests.map(|r| r.state.allocated_bytes()).sum()
    }

    /// Drops the incomplete request for which most memory is allocated, and returns its id. Its further records are
    /// discarded. Returns `None` if nothing is allocated for any.
    pub fn drop_largest_incomplete(&mut self) -> Option<u16> {
        let allocated = self
            .open
            .iter()
            .map(|(id, r)| (*id, r.state.allocated_bytes()));
        let (id, _) = allocated
            .filter(|(_, bytes)| *bytes > 0)
            .max_by_key(|(_, bytes)| *bytes)?;
        self.drop_unfinished(id);
        Some(id)
    }

    /// Returns the time at which the oldest of the requests that are not complete began.
    pub fn oldest_incomplete_begun_at(&self) -> Option<Instant> {
        let incomplete = self.open.values().filter(|r| !r.is_complete());
        incomplete.map(|r| r.begun_at).min()
    }

    /// Drops the requests that are not complete and returns their ids. Their further records are discarded.
    pub fn drop_incomplete(&mut self) -> Vec<u16> {
        self.drop_incomplete_where(|_| true)
    }

    /// Drops the requests that are not complete and began at this time or earlier, and returns their ids. Their further
    /// records are discarded.
    pub fn drop_incomplete_begun_by(&mut self, time: Instant) -> Vec<u16> {
        self.drop_incomplete_where(|request| request.begun_at <= time)
    }

    fn drop_incomplete_where(&mut self, is_dropped: impl Fn(&OpenRequest) -> bool) -> Vec<u16> {
        let dropped = self
            .open
            .iter()
            .filter(|(_, r)| !r.is_complete() && is_dropped(r));
        let ids: Vec<u16> = dropped.map(|(id, _)| *id).collect();
        ids.iter().for_each(|id| self.drop_unfinished(*id));
        ids
    }

    /// Removes a request of which further records may arrive.
    fn drop_unfinished(&mut self, id: u16) {
        self.finish(id);
        self.discard_budget.allow(id, MAX_REQUEST_BYTES);
    }

    /// Removes a request: its response has been written, or none will be.
    pub fn finish(&mut self, id: u16) {
        self.open.remove(&id);
    }

    /// Handles the next record of the connection, which arrived at `now`.
    pub fn handle(&mut self, record: Record, now: Instant) -> Result<RecordOutcome, SessionError> {
        let Record {
            record_type,
            id,
            content,
            received_bytes,
        } = record;
        match record_type {
            BEGIN_REQUEST => self.begin(id, &content, now),
            ABORT_REQUEST => self.abort(id),
            PARAMS | STDIN => self.add(record_type, id, &content),
            GET_VALUES => {
                self.discard(id, received_bytes)?;
                Ok(RecordOutcome::Reply(values_reply(&content)))
            }
            other => {
                self.discard(id, received_bytes)?;
                Ok(RecordOutcome::Reply(unknown_type_reply(other)))
            }
        }
    }

    fn abort(&mut self, id: u16) -> Result<RecordOutcome, SessionError> {
        let Some(request) = self.open.get(&id) else {
            self.discard(id, 0)?;
            return Ok(RecordOutcome::Pending);
        };
        let was_complete = request.is_complete();
        if !was_complete {
            self.finish(id);
        }
        Ok(RecordOutcome::Aborted { id, was_complete })
    }

    fn begin(
        &mut self,
        id: u16,
        content: &[u8],
        now: Instant,
    ) -> Result<RecordOutcome, SessionError> {
        if id == 0 || content.len() < BEGIN_BODY_BYTES {
            return Err(SessionError::MalformedBegin);
        }
        if self.open.contains_key(&id) {
            return Err(SessionError::DuplicateId);
        }
        self.discard_budget.forget(id);
        if u16::from_be_bytes([content[0], content[1]]) != RESPONDER {
            return Ok(RecordOutcome::UnknownRole { id });
        }
        if self.open.len() >= MAX_OPEN_REQUESTS {
            self.discard(id, content.len())?;
            return Ok(RecordOutcome::TooManyOpen { id });
        }
        let request = OpenRequest {
            state: AssemblyState::ReadingParams(ChunkedBuffer::default()),
            keep_alive: content[2] & KEEP_CONN != 0,
            begun_at: now,
        };
        self.open.insert(id, request);
        Ok(RecordOutcome::Pending)
    }

    fn add(&mut self, kind: u8, id: u16, content: &Bytes) -> Result<RecordOutcome, SessionError> {
        if let Some(request) = self.open.get_mut(&id) {
            match request.add(id, kind, content) {
                Ok(Some(outcome)) => {
                    if matches!(outcome, RecordOutcome::Complete { .. }) {
                        self.discard_budget.restore();
                    }
                    return Ok(outcome);
                }
                Ok(None) => {}
                Err(reason) => {
                    self.drop_unfinished(id);
                    return Ok(RecordOutcome::Invalid { id, reason });
                }
            }
        }
        self.discard(id, content.len())?;
        if kind == STDIN && content.is_empty() {
            self.discard_budget.forget(id);
        }
        Ok(RecordOutcome::Pending)
    }

    fn discard(&mut self, id: u16, content_bytes: usize) -> Result<(), SessionError> {
        match self.discard_budget.discard(id, content_bytes) {
            true => Ok(()),
            false => Err(SessionError::TooMuchDiscarded),
        }
    }
}

fn unknown_type_reply(kind: u8) -> Bytes {
    let mut out = BytesMut::new();
    write_record(&mut out, UNKNOWN_TYPE, 0, &[kind, 0, 0, 0, 0, 0, 0, 0]);
    out.freeze()
}

/// Encodes the reply to a query of values; unknown names are left out.
fn values_reply(query: &[u8]) -> Bytes {
    let mut values = BytesMut::new();
    for (name, _) in decode_pairs(query).into_iter().flatten() {
        match name {
            b"FCGI_MAX_REQS" => {
                write_pair(&mut values, name, MAX_OPEN_REQUESTS.to_string().as_bytes())
            }
            b"FCGI_MPXS_CONNS" => write_pair(&mut values, name, b"1"),
            _ => {}
        }
    }
    let mut out = BytesMut::new();
    write_record(&mut out, GET_VALUES_RESULT, 0, &values);
    out.freeze()
}
