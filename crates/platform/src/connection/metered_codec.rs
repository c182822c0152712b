//! Decodes responses, accounts for their bytes, and reports received bytes to the connection.
use super::{Connection, READ_BUFFER_BYTES};
use bytes::BytesMut;
use pointspindle_platform_protocol::line_protocol::{CacheResponse, CacheResponseCodec, LineError};
use pointspindle_transport::BufferMeter;
use std::sync::Arc;
use tokio_util::codec::Decoder;

/// A response codec that accounts for the bytes of bodies. It reports received bytes to the connection, those of
/// incomplete responses too.
pub(super) struct MeteredCodec {
    codec: CacheResponseCodec,
    connection: Arc<Connection>,
    incomplete: IncompleteBody,
}

impl MeteredCodec {
    /// Whether a response is incomplete whose body is counted already.
    pub fn has_incomplete_response(&self) -> bool {
        self.codec.incomplete_response_id().is_some()
    }

    /// Creates the codec of one connection.
    pub fn new(connection: Arc<Connection>, meter: BufferMeter) -> Self {
        Self {
            codec: CacheResponseCodec::default(),
            connection,
            incomplete: IncompleteBody {
                meter,
                bytes: 0,
                unreceived: 0,
            },
        }
    }
}

impl Decoder for MeteredCodec {
    type Item = CacheResponse;
    type Error = LineError;

    fn decode(&mut self, from: &mut BytesMut) -> Result<Option<CacheResponse>, LineError> {
        let has_bytes = !from.is_empty();
        let mut response = self.codec.decode(from)?;
        if has_bytes {
            self.connection
                .bytes_received(self.codec.incomplete_response_id());
        }
        self.incomplete
            .set(self.codec.incomplete_body_bytes(), from.len());
        if let Some(response) = &mut response {
            let body = std::mem::take(&mut response.body);
            response.body = self.incomplete.meter.track(body);
            if from.is_empty() && response.body.len() > READ_BUFFER_BYTES {
                // The buffer would keep the memory of the body, which is no longer counted once the body is dropped.
                *from = BytesMut::with_capacity(READ_BUFFER_BYTES);
            }
        }
        Ok(response)
    }
}

/// Size of the response body that a connection is receiving, as counted on the meter that all connections share.
struct IncompleteBody {
    meter: BufferMeter,
    bytes: usize,
    /// Part of `bytes` that has not been received.
    unreceived: usize,
}

impl IncompleteBody {
    fn set(&mut self, bytes: usize, received: usize) {
        let unreceived = bytes.saturating_sub(received);
        self.meter.set_unreceived(self.unreceived, unreceived);
        self.unreceived = unreceived;
        if bytes != self.bytes {
            self.meter.sub(self.bytes);
            self.meter.add(bytes);
            self.bytes = bytes;
        }
    }
}

impl Drop for IncompleteBody {
    fn drop(&mut self) {
        self.meter.set_unreceived(self.unreceived, 0);
        self.meter.sub(self.bytes);
    }
}
