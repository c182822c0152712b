//! Planned calls: what clients request and when, derived from the scenario's seed and independent of the responses.
mod call_generator;
mod part_sequence;
mod rate_schedule;
mod special_objects;

use crate::Scenario;
use call_generator::CallGenerator;
use pointspindle::{Micros, ObjectId};

/// A call of a client, which retries it if it is rejected or fails.
#[derive(Clone, Debug)]
pub struct PlannedCall {
    /// Time of the first attempt, microseconds since the start of the run.
    pub at: Micros,
    /// The client's branch.
    pub branch: usize,
    /// Index of the request class.
    pub class: usize,
    /// The object's path.
    pub object: String,
    /// The object's id.
    pub object_number: u64,
    /// The object's purge group.
    pub group: u64,
    /// The requested part of the object.
    pub part: u64,
    /// Size of the part, bytes.
    pub size: u64,
    /// Over HTTP instead of the framed protocol.
    pub uses_http: bool,
    /// The client cancels after this long, microseconds.
    pub cancel_after: Option<Micros>,
    /// The client honours Retry-After.
    pub honours_retry_after: bool,
    /// Spreads the backoff of its retries; 0 to 1.
    pub jitter: f64,
}

/// All planned calls of a run.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// Calls in the order of their times.
    pub calls: Vec<PlannedCall>,
}

/// Path prefix of a group of a class's objects.
pub fn group_path(class: &str, group: u64) -> String {
    format!("/{class}/g{group}")
}

/// Purge group of a group of a class's objects.
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
