//! Converts a scenario of the operators' dispatcher bench (JSON) to a scenario file with the same kinds of faults at
//! the same times, at loopback size or at full size. `docs/lab.md` lists what is converted and what is not.
mod bench_scenario;
mod faults;

mod layout;
mod sections;

use crate::ini_writer::{IniWriter, SectionSpacing};
use bench_scenario::BenchScenario;
use layout::Layout;

/// Size of the imported scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Size {
    /// At most three branches, and small responses; for runs over loopback sockets in real time.
    Loopback,
    /// The size of the bench's scenario; for runs in virtual time.
    Full,
}

/// The reason for which a scenario of the bench cannot be imported.
#[derive(Debug, thiserror::Error)]
pub enum ImportError {
    /// The text is not a scenario in the bench's JSON format.
    #[error("not a valid bench scenario of the edge family: {0}")]
    InvalidFormat(#[from] serde_json::Error),
    /// The bench's scenario lacks an item that is required.
    #[error("the bench scenario has no {0}")]
    Missing(&'static str),
}

/// Converts a scenario of the bench. Returns the text of the scenario file, and one line for each fault that cannot be
/// converted.
pub fn import(text: &str, size: Size) -> Result<(String, Vec<String>), ImportError> {
    let bench: BenchScenario = serde_json::from_str(text)?;
    let layout = Layout::new(&bench, size)?;
    let mut ini = IniWriter::new(SectionSpacing::BlankLine);
    sections::write_sections(&bench, &layout, &mut ini);
    let mut conversion_errors = Vec::new();
    for (number, fault) in bench.faults.iter().flatten().enumerate() {
        match faults::convert(&bench, &layout, fault) {
            Ok(converted) => converted.write(&layout, fault, number, &mut ini),
            Err(reason) => conversion_errors.push(reason.to_string()),
        }
    }
    Ok((ini.finish(), conversion_errors))
}
