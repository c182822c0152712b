//! Responses that are served from the store.
use super::byte_selection::{select_bytes, ByteSelection};
use super::request::{error_head, Outcome, Request, UnansweredRequest};
use bytes::Bytes;
use pointspindle::Micros;
use pointspindle_protocol::{ResponseHead, WireCacheStatus, WireStatus};
use pointspindle_store::{Meta, StoredCopy};
use pointspindle_transport::Responder;
use std::sync::Arc;

/// Returns the freshness lifetime of a stored copy, if its origin declared one.
pub(super) fn declared_freshness_lifetime(meta: &Meta) -> Option<Micros> {
    (meta.fresh_until_ms > 0).then(|| meta.fresh_until_ms.saturating_sub(meta.born_ms) * 1_000)
}

/// Reads the selected bytes of a stored copy block by block.
struct BlockReader {
    found: Arc<StoredCopy>,
    block_bytes: u64,
    position: u64,
    end: u64,
}

impl BlockReader {
    fn new(found: StoredCopy, block_bytes: u64, selection: &ByteSelection) -> Self {
        Self {
            found: Arc::new(found),
            block_bytes,
            position: selection.from,
            end: selection.from + selection.len,
        }
    }

    fn is_at_end(&self) -> bool {
        self.position >= self.end
    }

    /// Returns the block with this number, from memory or from disk.
    async fn read_block(&self, number: usize) -> Result<Bytes, String> {
        if let Some(bytes) = self.found.cached_block(number) {
            return Ok(bytes);
        }
        let found = self.found.clone();
        tokio::task::spawn_blocking(move || found.read(number))
            .await
            .map_err(|e| e.to_string())?
            .map_err(|e| e.to_string())
    }

    /// Takes the selected part of a block, from the current position on, and advances the position; `None` if the block
    /// is too short.
    fn take_selected(&mut self, number: usize, block: &Bytes) -> Option<Bytes> {
        let from = (self.position % self.block_bytes) as usize;
        let end_in_block =
            (self.end - number as u64 * self.block_bytes).min(self.block_bytes) as usize;
        let to = end_in_block.min(block.len());
        if to <= from {
            return None;
        }
        let piece = block.slice(from..to);
        self.position += piece.len() as u64;
        Some(piece)
    }
}

impl Request {
    fn cached_head(&self, found: &StoredCopy, status: WireCacheStatus) -> ResponseHead {
        let age_us = self.shared.age(&found.meta);
        let lifetime = declared_freshness_lifetime(&found.meta);
        ResponseHead {
            cache_status: status as i32,
            size: Some(found.meta.size),
            age_us,
            validator: found.meta.validator.clone(),
            content_type: found.meta.content_type.clone(),
            fresh_left_us: lifetime.map(|lifetime| lifetime.saturating_sub(age_us)),
            ..ResponseHead::default()
        }
    }

    /// Sends a stored copy. The first block is read before the head is sent, so that a copy that cannot be read is
    /// answered with a miss, after which the dispatcher may use another source.
    pub(super) async fn serve_cached(
        &self,
        mut responder: Responder,
        found: StoredCopy,
        status: WireCacheStatus,
    ) -> Outcome {
        let (head, selection) = select_bytes(self.cached_head(&found, status), &self.head);
        let mut unsent_head = Some(self.with_load(head));
        let store = self.shared.settings.store.as_ref();
        let block_bytes = store.map_or(1, |store| u64::from(store.block_bytes));
        let mut reader = BlockReader::new(found, block_bytes, &selection);
        while !reader.is_at_end() || unsent_head.is_some() {
            let piece = match self.next_piece(&mut reader, unsent_head.is_some()).await {
                Ok(piece) => piece,
                Err(error) => return Err(UnansweredRequest::new(responder, *error)),
            };
            if let Some(head) = unsent_head.take() {
                if responder.head(head).await.is_err() {
                    return Ok(());
                }
            }
            self.shared.count(|c| c.bytes_out += piece.len() as u64);
            if responder.data(piece).await.is_err() {
                return Ok(());
            }
        }
        let _ = responder.end(Some(self.shared.load())).await;
        Ok(())
    }

    /// Returns the next bytes of the selection, empty at its end.
    async fn next_piece(
        &self,
        reader: &mut BlockReader,
        is_head_unsent: bool,
    ) -> Result<Bytes, Box<pointspindle_protocol::ErrorHead>> {
        if reader.is_at_end() {
            return Ok(Bytes::new());
        }
        let number = (reader.position / reader.block_bytes) as usize;
        let block = reader.read_block(number).await.map_err(|reason| {
            tracing::error!(object = %self.head.object, reason, "stored copy cannot be read");
            let status = if is_head_unsent {
                WireStatus::Miss
            } else {
                WireStatus::Error
            };
            Box::new(error_head(
                status,
                WireCacheStatus::Unreported,
                false,
                &reason,
            ))
        })?;
        reader.take_selected(number, &block).ok_or_else(|| {
            Box::new(error_head(
                WireStatus::Error,
                WireCacheStatus::Unreported,
                false,
                "stored copy is shorter than its recorded size",
            ))
        })
    }
}
