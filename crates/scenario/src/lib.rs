//! Scenario files: a fleet, its workload, the limits that a run is judged by, and a script of faults. `docs/lab.md`
//! describes every key.
//!
//! A value may be a range, `a..b`. It is drawn from the scenario's seed, each key from a random stream of its own, so
//! that a change of one key leaves the others as they were.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod cache_model;
mod clients;
pub mod fault_injection;
mod fleet;
pub mod import;
pub mod ini_writer;
mod limits;
mod load;
mod read;
mod scenario;
pub mod script;
mod setting_override;
mod topology;
pub mod traffic;
mod workload;

pub use clients::ClientSettings;
pub use fault_injection::InjectedFault;
pub use fleet::{DispatcherOptions, Fleet, HostKind, NetworkSettings};
pub use limits::{DelayRange, FleetLimits, Limits, ObjectiveWeights, RuleLimits};
pub use load::{load, load_with, parse, parse_with};
pub use scenario::{derive_seed, Scenario};
pub use script::{
    purge_groups, FaultKind, FaultSpec, FaultTarget, ListedState, PartitionDirections, Script,
    ScriptStep, SiteLossExtent,
};
pub use setting_override::SettingOverride;
pub use traffic::{PlannedCall, Traffic};
pub use workload::{size_of, Idempotency, ObjectCatalogue, RequestClass, Workload};
