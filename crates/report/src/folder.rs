//! The folder of a run: `scenario.ini` as it was run, `run.json` and `report.html`. Any build that knows the format
//! version can load it.
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

/// Writes a file atomically, by renaming a complete temporary file: a reader never sees partial content.
pub(crate) fn write(path: &Path, bytes: &[u8]) -> Result<(), ReportError> {
    let to_error = |error| ReportError::file("cannot write", path, error);
    if let Some(folder) = path.parent() {
        std::fs::create_dir_all(folder).map_err(to_error)?;
    }
    let temporary_path = path.with_extension("part");
    std::fs::write(&temporary_path, bytes)
        .and_then(|()| std::fs::rename(&temporary_path, path))
        .map_err(to_error)
}

fn read(path: &Path) -> Result<String, ReportError> {
    std::fs::read_to_string(path).map_err(|error| ReportError::file("cannot read", path, error))
}

/// Saves a run with its report. The trace of a run on sockets is saved too, because such a run cannot be repeated.
pub fn save(
    folder: &Path,
    scenario_text: &str,
    run: &Run,
    trace: &[TraceEntry],
) -> Result<(), ReportError> {
    write(&folder.join(SCENARIO_FILE), scenario_text.as_bytes())?;
    if !run.in_virtual_time {
        let json = serde_json::to_vec(trace).expect("a trace serializes to JSON");
        write(&folder.join(TRACE_FILE), &json)?;
    }
    write(&folder.join(REPORT_FILE), html::run(run)?.as_bytes())?;
    // Written last, so that a folder with this file is complete.
    write(&folder.join(RUN_FILE), &to_json(run))
}

/// Returns the content of a run's `run.json`.
pub fn to_json(run: &Run) -> Vec<u8> {
    serde_json::to_vec_pretty(run).expect("a run serializes to JSON")
}

/// Loads a saved run.
pub fn load(folder: &Path) -> Result<Run, ReportError> {
    let path = folder.join(RUN_FILE);
    let run: Run = serde_json::from_str(&read(&path)?)
        .map_err(|error| ReportError::invalid_run(&path, error))?;
    if run.format_version != FORMAT_VERSION {
        let reason = format!(
            "format version {}, expected {FORMAT_VERSION}",
            run.format_version
        );
        return Err(ReportError::invalid_run(&path, reason));
    }
    Ok(run)
}

/// Returns the history of a request's call, in order. A run in virtual time is repeated for it, byte for byte.
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

/// Repeats a run in virtual time and returns its trace. Fails if the result differs from the saved one.
fn repeat(folder: &Path, run: &Run) -> Result<Vec<TraceEntry>, ReportError> {
    let scenario = scenario(folder, run)?;
    let (repeated, outcome) = Run::simulate(&scenario, &run.overrides)?;
    if repeated != *run {
        return Err(ReportError::Run(
            "the repeated run differs from the saved one: the build or the scenario file has changed".into(),
        ));
    }
    Ok(outcome.trace)
}

/// Loads the saved trace of a run on sockets.
fn load_trace(folder: &Path) -> Result<Vec<TraceEntry>, ReportError> {
    let path = folder.join(TRACE_FILE);
    serde_json::from_str(&read(&path)?).map_err(|error| ReportError::invalid_run(&path, error))
}

/// Loads the scenario of a saved run, with the run's seed and overrides.
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
