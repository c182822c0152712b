//! A crash-safe store of cached objects on disk.
//!
//! The store is a log of segments. Bodies are written as blocks with a checksum each; a commit record names an object and its blocks;
//! purges and tombstones (evictions) are records too. The index is in memory and is recovered from the records, newest segment first.
//!
//! **Guarantees**
//! * A block is served only after its checksum was verified.
//! * When [`Store::purge`] returns, the purge is durable: a copy that it covers is not served again, after any crash.
//! * Copies that were not synced before a crash may be lost, each as a whole; none is served in part or mixed with another.
//! * After a restart the index holds what the records prove. If a record that may have been a purge cannot be read, all older copies
//!   count as purged.
//! * Eviction takes the lowest rank first, then the least recently used; a higher rank is never evicted for a lower one.
//!
//! The format is described in `docs/design/store.md`. The store is synchronous: reads, writes and fsyncs block the calling thread.
//!
//! * [`disk`]: the file system operations that the store needs; [`sim::SimDisk`] is an in-memory disk with fault injection.
//! * [`record`]: codec of the records. [`index`]: keys, ranks and live bytes, without I/O. [`recover`]: from records to the index.
//! * [`check`]: consistency check of a folder, also while it is in use.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

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
