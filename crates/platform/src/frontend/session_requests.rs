//! The open requests of a session, shared by its reader, its writer and the budget of incomplete requests.
use pointspindle_platform_protocol::request_assembly::RequestAssembler;
use std::sync::{Mutex, MutexGuard};
use tokio::sync::Notify;

/// Requests of one session, shared by its reader and its writer.
#[derive(Default)]
pub(super) struct SessionRequests {
    assembler: Mutex<RequestAssembler>,
    /// Signals that a request was finished.
    pub finished: Notify,
}

impl SessionRequests {
    /// Locks the state of the requests.
    pub fn lock(&self) -> MutexGuard<'_, RequestAssembler> {
        self.assembler
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Drops the incomplete request that occupies most memory. Returns its id and the memory that the others occupy, or
    /// `None` if none occupies any.
    pub fn drop_largest_incomplete(&self) -> Option<(u16, usize)> {
        let mut requests = self.lock();
        let id = requests.drop_largest_incomplete()?;
        let remaining_bytes = requests.incomplete_bytes();
        drop(requests);
        // The session plans anew.
        self.finished.notify_one();
        Some((id, remaining_bytes))
    }

    /// Finishes a request whose response is written.
    pub fn finish(&self, id: u16) {
        self.lock().finish(id);
        self.finished.notify_one();
    }
}
