//! A model of cache hosts, parents and an origin, without I/O and without a clock.
//!
//! [`CacheModel::handle`] takes one [`ModelInput`] with its time and appends [`ModelOutput`]s. Requests between hosts
//! are outputs and inputs as well, so that the same model runs behind sockets in real time and in a virtual-time
//! simulation.
//!
//! The transfers of a host share its link evenly, each limited to its full speed; fills from other zones share the
//! inbound link of the zone. A host that has just started provides only a share of its link's capacity, and crashes
//! when it is overloaded during its warm-up ([`warm_up`]).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod events;
mod fill;
mod host;
mod impairments;
mod job;
mod model;
mod purge_log;
mod request;
mod settings;
mod shared_link;
mod store;
pub mod warm_up;

pub use events::{Fault, FillOutcome, ModelInput, ModelOutput};
pub use model::{CacheModel, SizeCatalogue};
pub use pointspindle_config::Role;
pub use request::{CachedCopy, ModelRequest, ModelResponse};
pub use settings::{CacheModelSettings, ClassModel, HostSpec, OverloadSpec, ZoneSpec};
pub use warm_up::WarmUpSpec;

/// A host's index in the model.
pub type HostId = usize;

/// The driver's id of a request at a host; ids are never reused.
pub type JobId = u64;

/// The model's id of a fill.
pub type FillId = u64;
