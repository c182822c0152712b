//! The fills in progress at a host.
use super::shared_link::TransferKey;
use super::store::ObjectKey;
use super::{FillId, JobId, ModelRequest, ModelResponse};
use pointspindle::Micros;
use std::collections::{BTreeMap, HashMap};

/// A fill in progress.
#[derive(Debug)]
pub(crate) struct Fill {
    pub(crate) key: ObjectKey,
    pub(crate) request: ModelRequest,
    /// Address of the source.
    pub(crate) source: String,
    /// Requests that are answered from the fill.
    pub(crate) waiting: Vec<JobId>,
    /// Whether the fill revalidates a copy in the background.
    pub(crate) background: bool,
    pub(crate) retries_left: u32,
    /// Time at which the fill times out unless the source has responded, microseconds.
    pub(crate) deadline: Micros,
    /// The head of the source's response; `None` until it has arrived.
    pub(crate) response: Option<ModelResponse>,
    /// Whether the source has sent the whole response.
    pub(crate) source_finished: bool,
    /// The fill's transfer over the zone's link; `None` if the fill does not use the link or the transfer has ended.
    pub(crate) link_transfer: Option<TransferKey>,
}

impl Fill {
    /// Creates a fill of a request from a source, without waiting requests.
    pub(crate) fn new(request: ModelRequest, source: String) -> Self {
        Self {
            key: request.key(),
            request,
            source,
            waiting: Vec::new(),
            background: false,
            retries_left: 0,
            deadline: 0,
            response: None,
            source_finished: false,
            link_transfer: None,
        }
    }

    /// Whether the whole copy has been received.
    pub(crate) fn is_complete(&self) -> bool {
        self.response.is_some() && self.source_finished && self.link_transfer.is_none()
    }
}

/// The fills of a host, by id and by object part.
#[derive(Debug, Default)]
pub(crate) struct FillTable {
    by_id: BTreeMap<FillId, Fill>,
    /// The latest fill of each object part.
    by_key: HashMap<ObjectKey, FillId>,
}

impl FillTable {
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(crate) fn ids(&self) -> Vec<FillId> {
        self.by_id.keys().copied().collect()
    }

    pub(crate) fn get(&self, id: FillId) -> Option<&Fill> {
        self.by_id.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: FillId) -> Option<&mut Fill> {
        self.by_id.get_mut(&id)
    }

    /// Returns the latest fill in progress of an object part.
    pub(crate) fn latest_for_key(&self, key: ObjectKey) -> Option<FillId> {
        self.by_key.get(&key).copied()
    }

    pub(crate) fn insert(&mut self, id: FillId, fill: Fill) {
        self.by_key.insert(fill.key, id);
        self.by_id.insert(id, fill);
    }

    pub(crate) fn remove(&mut self, id: FillId) -> Option<Fill> {
        let fill = self.by_id.remove(&id)?;
        if self.latest_for_key(fill.key) == Some(id) {
            self.by_key.remove(&fill.key);
        }
        Some(fill)
    }

    pub(crate) fn clear(&mut self) {
        self.by_id.clear();
        self.by_key.clear();
    }
}
