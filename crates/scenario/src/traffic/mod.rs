//! Planned calls: which objects clients request and when. They are derived from the scenario's seed and do not depend
//! on responses.
mod call_generator;
mod part_sequence;
mod rate_schedule;
mod special_objects;

use crate::Scenario;
use call_generator::CallGenerator;
use pointspindle::{Micros, ObjectId};

/// A call that a client makes, and retries if it is rejected or fails.
#[derive(Clone, Debug)]
pub struct PlannedCall {
    /// Time of the first attempt, microseconds since the start of the run.
    pub at: Micros,
    /// Branch of the client.
    pub branch: usize,
    /// Index of the call's request class.
    pub class: usize,
    /// Path of the requested object.
    pub object: String,
    /// Id of the object.
    pub object_number: u64,
    /// Purge group of the object.
    pub group: u64,
    /// Number of the requested part of the object, from 0.
    pub part: u64,
    /// Size of the part, bytes.
    pub size: u64,
    /// Whether the call uses HTTP instead of the framed protocol.
    pub uses_http: bool,
    /// Time after which the client cancels the call, microseconds; `None` if it does not cancel.
    pub cancel_after: Option<Micros>,
    /// Whether the client honours the Retry-After header.
    pub honours_retry_after: bool,
    /// Random number from 0 to 1 that varies the backoff of retries.
    pub jitter: f64,
}

/// All planned calls of a run.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// The calls in the order of their times.
    pub calls: Vec<PlannedCall>,
}

/// Returns the path prefix of the objects in a group of a class.
pub fn group_path(class: &str, group: u64) -> String {
    format!("/{class}/g{group}")
}

/// Returns the id of the purge group for a group of a class.
pub fn group_number(class: &str, group: u64) -> u64 {
    ObjectId::named(&group_path(class, group)).0
}

impl Traffic {
    /// Generates the calls of a scenario.
    pub fn generate(scenario: &Scenario) -> Self {
        Self {
            calls: CallGenerator::new(scenario).collect(),
        }
    }
}
