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
    /// Requests that are answered from it.
    pub(crate) waiting: Vec<JobId>,
    /// It revalidates a copy in the background.
    pub(crate) background: bool,
    pub(crate) retries_left: u32,
    /// When it times out unless the source has responded.
    pub(crate) deadline: Micros,
    /// The head of the source's response.
    pub(crate) response: Option<ModelResponse>,
    /// The source has sent the whole response.
    pub(crate) source_finished: bool,
    /// Its transfer over the zone's link; `None` when it does not use the link, or has ended.
    pub(crate) link_transfer: Option<TransferKey>,
}

impl Fill {
    /// A fill of a request from a source, which nothing waits for yet.
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

    /// The whole copy has been received.
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

    /// The latest fill of an object part that is in progress.
    pub(crate) fn of_key(&self, key: ObjectKey) -> Option<FillId> {
        self.by_key.get(&key).copied()
    }

    pub(crate) fn insert(&mut self, id: FillId, fill: Fill) {
        self.by_key.insert(fill.key, id);
        self.by_id.insert(id, fill);
    }

    pub(crate) fn remove(&mut self, id: FillId) -> Option<Fill> {
        let fill = self.by_id.remove(&id)?;
        if self.of_key(fill.key) == Some(id) {
            self.by_key.remove(&fill.key);
        }
        Some(fill)
    }

    pub(crate) fn clear(&mut self) {
        self.by_id.clear();
        self.by_key.clear();
    }
}
