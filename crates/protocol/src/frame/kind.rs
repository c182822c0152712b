//! Frame types as sent on the wire. The numbers are part of the protocol.
use super::{MAX_DATA_PAYLOAD, MAX_ENDPOINT_LIST, MAX_MESSAGE};

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

/// Returns the maximum payload length of a frame type, in bytes.
pub(super) fn max_payload(kind: u8) -> usize {
    match kind {
        DATA => MAX_DATA_PAYLOAD,
        ENDPOINT_LIST => MAX_ENDPOINT_LIST,
        _ => MAX_MESSAGE,
    }
}

/// Whether frames of a type belong to a stream. Their stream number is never 0.
pub(super) fn belongs_to_stream(kind: u8) -> bool {
    matches!(kind, REQUEST..=CANCEL)
}
