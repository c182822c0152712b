//! Reads a scenario file. Every error states its line, its key and the reason.
mod faults;
mod hosts;
mod ranges;
mod sections;

use crate::{Scenario, SettingOverride};
use pointspindle_config::{ConfigErrors, Reader};
use ranges::ValueReader;
use std::path::Path;

/// Reads `text`, the content of the scenario file `name`. `seed`, if given, replaces the seed in the text.
pub(crate) fn read(
    name: &str,
    text: &str,
    seed: Option<u64>,
    overrides: &[SettingOverride],
) -> Result<Scenario, ConfigErrors> {
    let mut reader = Reader::new(name, text)?;
    for setting in overrides {
        reader.set(&setting.section, &setting.key, &setting.value);
    }
    let file_seed = reader.number("day", "seed", 1, 0, u64::MAX);
    let seed = seed.unwrap_or(file_seed);
    let mut values = ValueReader { reader, seed };
    let scenario = Scenario {
        name: scenario_name(name),
        description: description(&mut values),
        duration_s: values.number("day", "seconds", 45.0, 2.0, 3_600.0),
        seed,
        fleet: hosts::fleet(&mut values),
        network: sections::network(&mut values),
        dispatchers: sections::dispatcher_options(&mut values),
        workload: sections::workload(&mut values),
        clients: sections::clients(&mut values),
        limits: sections::limits(&mut values),
        faults: Vec::new(),
    };
    let faults = faults::faults(&mut values, &scenario);
    values.reader.finish()?;
    Ok(Scenario { faults, ..scenario })
}

/// Returns the name of a file without its directory and extension.
fn scenario_name(file: &str) -> String {
    Path::new(file)
        .file_stem()
        .map_or(file.to_owned(), |stem| stem.to_string_lossy().into_owned())
}

fn description(values: &mut ValueReader) -> String {
    let description = values.reader.text("day", "about").unwrap_or_default();
    if description.is_empty() {
        let reason = "missing; expected one line that describes what the scenario tests";
        values.reader.report("day", "about", reason);
    }
    description
}
