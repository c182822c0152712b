//! A crash-safe store of cached objects on disk.
//!
//! A log of segments. Bodies are blocks with a checksum each, in the order of their coming; a commit record names an object and
//! its blocks; purges and evictions are records too. The index is in memory and made from the records, newest segment first.
//!
//! **What is promised**
//! * A byte is given out only after the checksum of its block was found right.
//! * [`Store::purge`] returns when the purge is on disk: nothing that it struck is given out again, after any crash.
//! * What was not synced when a crash came may be lost, whole objects at a time; it is never given out in part or mixed.
//! * After a restart the index holds what the records prove. What cannot be known (a record that cannot be read where a purge may
//!   have stood) counts as purged.
//! * Who is evicted: the lowest rank first, then the least recently used; never a higher rank for a lower.
//!
//! The format is in `docs/design/store.md`. Not async: reads and writes are the caller's thread's, purges wait for a sync.
//!
//! * [`disk`]: the few things that are asked of a file system; [`sim::SimDisk`] is one in memory that loses power on demand.
//! * [`record`]: records to bytes and back. [`index`]: keys, ranks and space, without I/O. [`recover`]: records to the index.
//! * [`check`]: what is wrong with a folder, alive or dead.
#![forbid(unsafe_code)]

pub mod check;
pub mod disk;
pub mod index;
pub mod record;
pub mod recover;
mod segments;
pub mod sim;
mod store;

pub use disk::{Disk, Folder};
pub use record::{Key, Meta};
pub use store::{Fill, Found, Options, ReadError, Stats, Store, StoreError, What};
