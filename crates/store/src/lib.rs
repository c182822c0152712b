//! A crash-safe store of cached objects on disk.
//!
//! The store is a log of segments. Bodies are written as blocks, each with a checksum. A commit record names an object and its blocks;
//! purges and tombstones (evictions) are records as well. The index is held in memory and recovered from the records, newest segment
//! first.
//!
//! **Guarantees**
//! * A block is served only after its checksum was verified.
//! * When [`Store::purge`] returns `Ok`, the purge is durable: a copy that it covers is not served again, even after a crash.
//! * A copy that was not synced before a crash may be lost, but is never served truncated or mixed with another copy.
//! * After a restart the index holds only copies that intact records confirm. If an unreadable record may have been a purge, all older
//!   copies are treated as purged.
//! * Eviction takes the lowest rank first, then the least recently used; a higher rank is never evicted for a lower one.
//!
//! The format is described in `docs/design/store.md`. The store is synchronous: reads, writes and fsyncs block the calling thread.
//!
//! * [`disk`]: the file system operations that the store needs; [`sim::SimDisk`] is an in-memory disk with fault injection.
//! * [`record`]: codec of the records. [`index`]: keys, ranks and live bytes, without I/O. [`recover`]: rebuilds the index from records.
//! * [`check`]: consistency check of a folder; it may run while the folder is in use.
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
pub use store::{Fill, Options, PurgeScope, ReadError, Stats, Store, StoreError, StoredCopy};
