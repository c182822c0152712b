//! Scenario files. A scenario describes a fleet, its workload, the limits that a run is checked against, and a script
//! of faults. `docs/lab.md` documents every key.
//!
//! A number may be written as a range, `a..b`. Its value is then drawn at random. Each key has its own random stream,
//! derived from the scenario's seed, so that changing one key does not change the values of the others.
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
