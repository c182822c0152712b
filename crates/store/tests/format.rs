//! Compatibility of the format on disk: a folder written by an earlier build is read unchanged.
use pointspindle_store::{check, Folder, Meta, Options, Store};
use std::path::Path;
use std::sync::Arc;

/// Options with which the fixture `tests/data/store-v1` was written, by the code of commit 010e9d5.
const OPTIONS: Options = Options {
    capacity: 64 * 1024,
    segment: 8 * 1024,
    block: 1024,
    memory: 4096,
};

fn meta(object: u64) -> Meta {
    let variant = if object == 4 { "gzip" } else { "" };
    Meta {
        object: format!("/fixture/{object}"),
        group: object % 3,
        validator: format!("\"v{object}\""),
        content_type: "text/plain".into(),
        variant: variant.into(),
        born_ms: 900,
        fresh_until_ms: 5_000,
        ..Meta::default()
    }
}

fn body(object: u64) -> Vec<u8> {
    let line = format!("{object};");
    line.bytes().cycle().take(700 * object as usize).collect()
}

fn copy_of_fixture() -> tempfile::TempDir {
    let fixture = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/store-v1");
    let folder = tempfile::tempdir().unwrap();
    for entry in std::fs::read_dir(fixture).unwrap() {
        let entry = entry.unwrap();
        std::fs::copy(entry.path(), folder.path().join(entry.file_name())).unwrap();
    }
    folder
}

#[test]
fn folder_of_earlier_build_is_served_without_purged_objects() {
    let folder = copy_of_fixture();
    let disk = Folder::open_locked(folder.path()).unwrap();
    let report = check::check(&disk, true).unwrap();
    assert_eq!(report.faults, Vec::<String>::new());
    assert_eq!(report.copies.len(), 4);

    let store = Store::open(Arc::new(disk), OPTIONS, 3_000).unwrap();
    store.recover_all(3_000).unwrap();
    for object in 1..=7 {
        let expected = meta(object);
        let found = store.get(&expected.key());
        if [2, 3, 6].contains(&object) {
            assert!(found.is_none(), "purged copy /fixture/{object} was served");
            continue;
        }
        let found = found.unwrap_or_else(|| panic!("/fixture/{object} was not recovered"));
        let rank = if [1, 7].contains(&object) { 1 } else { 2 };
        let expected = Meta {
            rank,
            size: 700 * object,
            stored_ms: 2_000,
            ..expected
        };
        assert_eq!(found.meta, expected);
        let blocks: Vec<_> = (0..found.blocks())
            .map(|block| found.read(block).unwrap())
            .collect();
        assert_eq!(blocks.concat(), body(object));
    }
}
