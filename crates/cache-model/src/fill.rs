//! A fill under way at a member.
use super::store::Key;
use super::{JobId, ModelRequest, ModelResponse};
use pointspindle::Micros;

#[derive(Debug)]
pub struct Fill {
    pub key: Key,
    pub wanted: ModelRequest,
    pub source: String,
    /// Requests that get their answer from it.
    pub waiting: Vec<JobId>,
    /// Renews a copy behind an answer: nobody waits.
    pub behind: bool,
    pub tries_left: u32,
    /// Nothing has come by then: given up.
    pub due: Micros,
    /// When the source was asked; a purge after it makes the copy unfit to keep.
    pub began: Micros,
    pub head: Option<ModelResponse>,
    /// The source has sent all of it.
    pub all_sent: bool,
    /// Its way over the location's link: none where it does not use it, or is through.
    pub on_link: Option<(u64, u64)>,
}

impl Fill {
    /// The copy is here to its last byte.
    pub fn is_complete(&self) -> bool {
        self.head.is_some() && self.all_sent && self.on_link.is_none()
    }
}
