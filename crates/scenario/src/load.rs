//! Loads scenarios from files or text, and scales the object sizes of each class to its mean.
use crate::{read, Scenario, SettingOverride, Traffic};
use pointspindle_config::ConfigErrors;
use std::path::Path;

/// Reads and validates a scenario file. `seed`, if given, replaces the seed in the file.
pub fn load(path: &Path, seed: Option<u64>) -> Result<Scenario, ConfigErrors> {
    load_with(path, seed, &[])
}

/// Like [`load`], with `overrides` that replace values of the file.
pub fn load_with(
    path: &Path,
    seed: Option<u64>,
    overrides: &[SettingOverride],
) -> Result<Scenario, ConfigErrors> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| ConfigErrors::single(&name, 0, "", &format!("cannot be read: {error}")))?;
    parse_with(&name, &text, seed, overrides)
}

/// Reads and validates `text`, the content of the scenario file `name`. `seed`, if given, replaces the seed in the
/// text.
pub fn parse(name: &str, text: &str, seed: Option<u64>) -> Result<Scenario, ConfigErrors> {
    parse_with(name, text, seed, &[])
}

/// Like [`parse`], with `overrides` that replace values of the text.
pub fn parse_with(
    name: &str,
    text: &str,
    seed: Option<u64>,
    overrides: &[SettingOverride],
) -> Result<Scenario, ConfigErrors> {
    let mut scenario = read::read(name, text, seed, overrides)?;
    fit_object_sizes(&mut scenario);
    Ok(scenario)
}

/// Scales the object sizes of each class so that their mean over the planned calls is the mean of the class. Without
/// this, the sizes of a few popular objects would determine the mean. Objects whose size is multiplied by a fault are
/// excluded.
fn fit_object_sizes(scenario: &mut Scenario) {
    let calls = Traffic::generate(scenario).calls;
    for (index, class) in scenario.workload.classes.iter_mut().enumerate() {
        let mut total_bytes = 0;
        let mut count = 0_u64;
        for call in &calls {
            if call.class == index && !call.object.contains('~') {
                total_bytes += call.size;
                count += 1;
            }
        }
        if total_bytes > 0 {
            class.size_scale = class.mean_bytes * count as f64 / total_bytes as f64;
        }
    }
}
