//! Options, metadata and bodies for the tests of the store.
#![allow(dead_code)]

use pointspindle_store::{Meta, Options};

/// Small segments, so that a few objects fill the store.
pub const OPTIONS: Options = Options {
    capacity: 900_000,
    segment: 96 * 1024,
    block: 8 * 1024,
    memory: 64 * 1024,
};
/// Number of objects that a test stores.
pub const OBJECTS: u64 = 24;
/// Number of purge groups that the objects belong to.
pub const GROUPS: u64 = 4;

/// Returns the metadata of an object, given by its number.
pub fn meta(object: u64, rank: u32) -> Meta {
    Meta {
        object: format!("/o/{object}"),
        group: object % GROUPS,
        rank,
        ..Meta::default()
    }
}

/// Returns the body of a version of an object; its length and content depend on both.
pub fn body(object: u64, version: u64) -> Vec<u8> {
    let len = (object * 7_919 + version * 104_729) % 40_000;
    let line = format!("{object}/{version};");
    line.bytes().cycle().take(len as usize).collect()
}
