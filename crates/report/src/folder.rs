//! A run's folder: `scenario.ini` as it was run, `run.json`, `report.html`. It can be read again, also by a later build
//! that knows the format.
use crate::record::{Run, FORMAT_VERSION};
use crate::{html, ReportError};
use pointspindle_audit::history::request_history;
use pointspindle_audit::trace::{ClientAttemptId, TraceEntry};
use pointspindle_scenario::{parse_with, Scenario};
use std::path::Path;

const SCENARIO_FILE: &str = "scenario.ini";
const RUN_FILE: &str = "run.json";
const REPORT_FILE: &str = "report.html";
const TRACE_FILE: &str = "sights.json";

/// Writes a file by renaming a complete one: a reader never sees a part of it.
pub(crate) fn write(path: &Path, bytes: &[u8]) -> Result<(), ReportError> {
    let failed = |error| ReportError::file("cannot write", path, error);
    if let Some(folder) = path.parent() {
        std::fs::create_dir_all(folder).map_err(failed)?;
    }
    let part = path.with_extension("part");
    std::fs::write(&part, bytes)
        .and_then(|()| std::fs::rename(&part, path))
        .map_err(failed)
}

fn read(path: &Path) -> Result<String, ReportError> {
    std::fs::read_to_string(path).map_err(|error| ReportError::file("cannot read", path, error))
}

/// Saves a run with its report. The trace of a run on sockets is saved too, as such a run cannot be repeated.
pub fn save(
    folder: &Path,
    scenario_text: &str,
    run: &Run,
    trace: &[TraceEntry],
) -> Result<(), ReportError> {
    write(&folder.join(SCENARIO_FILE), scenario_text.as_bytes())?;
    if !run.in_virtual_time {
        let json = serde_json::to_vec(trace).expect("a trace is plain data");
        write(&folder.join(TRACE_FILE), &json)?;
    }
    write(&folder.join(REPORT_FILE), html::run(run)?.as_bytes())?;
    // Written last: a folder with this file is complete.
    write(&folder.join(RUN_FILE), &to_json(run))
}

/// A run as its file holds it.
pub fn to_json(run: &Run) -> Vec<u8> {
    serde_json::to_vec_pretty(run).expect("a run is plain data")
}

/// Reads a saved run.
pub fn load(folder: &Path) -> Result<Run, ReportError> {
    let path = folder.join(RUN_FILE);
    let run: Run = serde_json::from_str(&read(&path)?)
        .map_err(|error| ReportError::invalid_run(&path, error))?;
    if run.format_version != FORMAT_VERSION {
        let why = format!(
            "form {}, this program reads {FORMAT_VERSION}",
            run.format_version
        );
        return Err(ReportError::invalid_run(&path, why));
    }
    Ok(run)
}

/// Everything that happened to a request, in order. A run in virtual time is run again, byte for byte.
pub fn explain(folder: &Path, id: ClientAttemptId) -> Result<Vec<TraceEntry>, ReportError> {
    let run = load(folder)?;
    let trace = if run.in_virtual_time {
        repeat(folder, &run)?
    } else {
        load_trace(folder)?
    };
    let history = request_history(&trace, id.call);
    Ok(history.into_iter().cloned().collect())
}

/// The trace of a run in virtual time, which is run again.
fn repeat(folder: &Path, run: &Run) -> Result<Vec<TraceEntry>, ReportError> {
    let scenario = scenario(folder, run)?;
    let (repeated, outcome) = Run::play(&scenario, &run.overrides)?;
    if repeated != *run {
        return Err(ReportError::Run(
            "played again the day came out otherwise: it was made by another build".into(),
        ));
    }
    Ok(outcome.trace)
}

/// The saved trace of a run on sockets.
fn load_trace(folder: &Path) -> Result<Vec<TraceEntry>, ReportError> {
    let path = folder.join(TRACE_FILE);
    serde_json::from_str(&read(&path)?).map_err(|error| ReportError::invalid_run(&path, error))
}

/// The scenario of a saved run, as it was run.
pub fn scenario(folder: &Path, run: &Run) -> Result<Scenario, ReportError> {
    let path = folder.join(SCENARIO_FILE);
    let text = read(&path)?;
    Ok(parse_with(
        &run.scenario,
        &text,
        Some(run.seed),
        &run.overrides,
    )?)
}
