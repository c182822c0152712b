//! Imports a scenario of the operators' dispatcher bench (JSON) as a scenario file: the same kinds of fault at the same
//! times, at loopback size or at full size. `docs/lab.md` lists what is carried over and what is not.
mod bench_scenario;
mod faults;

mod layout;
mod sections;

use crate::ini_writer::{IniWriter, SectionSpacing};
use bench_scenario::BenchScenario;
use layout::Layout;

/// How large the scenario becomes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Size {
    /// Three branches at most and small responses: for sockets in real time.
    Loopback,
    /// The bench's own size: for virtual time.
    Full,
}

/// Why a scenario of the bench cannot be imported.
#[derive(Debug, thiserror::Error)]
pub enum ImportError {
    /// The JSON is not a scenario of the bench.
    #[error("not a day of the edge family: {0}")]
    InvalidFormat(#[from] serde_json::Error),
    /// Something that a scenario needs is missing.
    #[error("the day has no {0}")]
    Missing(&'static str),
}

/// Returns the scenario file's text, and a line for each fault that cannot be carried over.
pub fn import(text: &str, size: Size) -> Result<(String, Vec<String>), ImportError> {
    let bench: BenchScenario = serde_json::from_str(text)?;
    let layout = Layout::new(&bench, size)?;
    let mut ini = IniWriter::new(SectionSpacing::BlankLine);
    sections::write_sections(&bench, &layout, &mut ini);
    let mut not_carried_over = Vec::new();
    for (number, fault) in bench.faults.iter().flatten().enumerate() {
        match faults::convert(&bench, &layout, fault) {
            Ok(converted) => converted.write(&layout, fault, number, &mut ini),
            Err(reason) => not_carried_over.push(reason.to_string()),
        }
    }
    Ok((ini.finish(), not_carried_over))
}
