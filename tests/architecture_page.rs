//! Checks that the files and functions named on the architecture page exist.
use std::path::Path;

/// Returns the text between each pair of backquotes.
fn quoted(page: &str) -> impl Iterator<Item = &str> {
    page.split('`').skip(1).step_by(2)
}

/// Whether the source defines a function, type or constant of this name.
fn defines(source: &str, name: &str) -> bool {
    ["fn", "struct", "enum", "trait", "type", "const"]
        .iter()
        .any(|keyword| {
            source
                .match_indices(&format!("{keyword} {name}"))
                .any(|(at, found)| {
                    let next = source[at + found.len()..].chars().next();
                    !next.is_some_and(|c| c.is_alphanumeric() || c == '_')
                })
        })
}

/// Returns why a reference such as `crates/x/src/y.rs` or `crates/x/src/y.rs::function` is invalid, or `None` if it
/// is valid.
fn reference_error(root: &Path, reference: &str) -> Option<String> {
    let (path, name) = match reference.split_once("::") {
        Some((path, name)) => (path, Some(name)),
        None => (reference, None),
    };
    if !path.contains('/') || path.contains(' ') {
        return None;
    }
    let Ok(metadata) = std::fs::metadata(root.join(path)) else {
        return Some(format!("{path} does not exist"));
    };
    let name = name?;
    if !metadata.is_file() {
        return Some(format!("{path} is not a file"));
    }
    let source =
        std::fs::read_to_string(root.join(path)).expect("source file cannot be read as UTF-8");
    (!defines(&source, name)).then(|| format!("{path} does not define {name}"))
}

#[test]
fn architecture_page_names_only_files_and_functions_that_exist() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(root.join("docs/ARCHITECTURE.md"))
        .expect("docs/ARCHITECTURE.md cannot be read");
    let errors: Vec<String> = quoted(&page)
        .filter_map(|text| reference_error(root, text))
        .collect();
    assert!(
        errors.is_empty(),
        "invalid references on the architecture page:\n{}",
        errors.join("\n")
    );
    let functions = quoted(&page).filter(|text| text.contains(".rs::")).count();
    assert!(functions > 0, "docs/ARCHITECTURE.md names no function");
}

#[test]
fn missing_file_or_function_is_reported() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    assert!(reference_error(root, "src/lib.rs").is_none());
    assert!(reference_error(root, "src/nowhere.rs").is_some());
    assert!(reference_error(root, "src/lib.rs::no_such_function").is_some());
    assert!(reference_error(root, "tests/architecture_page.rs::reference_error").is_none());
}
