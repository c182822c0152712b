//! Parts that the programs of this package share.
pub mod exit;
pub mod logging;
pub mod run;
pub mod system_allocator;
