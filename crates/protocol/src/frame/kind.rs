//! Frame types on the wire. The numbers are part of the protocol.
use super::{MAX_DATA, MAX_HEAD, MAX_LIST};

pub(super) const REQUEST: u8 = 1;
pub(super) const HEAD: u8 = 2;
pub(super) const DATA: u8 = 3;
pub(super) const END: u8 = 4;
pub(super) const ERROR: u8 = 5;
pub(super) const CANCEL: u8 = 6;
pub(super) const CREDIT: u8 = 7;
pub(super) const GOAWAY: u8 = 8;
pub(super) const ENDPOINT_LIST: u8 = 9;
pub(super) const PURGE: u8 = 10;
pub(super) const ACK: u8 = 11;
pub(super) const PROBE: u8 = 12;
pub(super) const HELLO: u8 = 13;
pub(super) const LEASE: u8 = 14;
pub(super) const WORK_REQUEST: u8 = 15;

/// Longest payload of a type in bytes.
pub(super) fn max_payload(kind: u8) -> usize {
    match kind {
        DATA => MAX_DATA,
        ENDPOINT_LIST => MAX_LIST,
        _ => MAX_HEAD,
    }
}

/// Whether frames of a type belong to a stream, which then is not stream 0.
pub(super) fn is_of_stream(kind: u8) -> bool {
    matches!(kind, REQUEST..=CANCEL)
}
