//! A run's folder: `scenario.ini` as it was played, `run.json`, `report.html`. It can be read again, also by a later
//! build that knows the form.
use crate::record::{Run, FORM};
use crate::{html, ReportError};
use pointspindle_audit::trace::{request_history, ClientAttemptId, TraceEntry};
use pointspindle_scenario::{parse_with, Scenario};
use std::path::Path;

const SCENARIO: &str = "scenario.ini";
const RUN: &str = "run.json";
const REPORT: &str = "report.html";
const SIGHTS: &str = "sights.json";

/// Written whole or not at all: a reader never sees half a file.
pub(crate) fn write(path: &Path, bytes: &[u8]) -> Result<(), ReportError> {
    let failed = |e| ReportError::file("cannot write", path, e);
    if let Some(folder) = path.parent() {
        std::fs::create_dir_all(folder).map_err(failed)?;
    }
    let part = path.with_extension("part");
    std::fs::write(&part, bytes)
        .and_then(|()| std::fs::rename(&part, path))
        .map_err(failed)
}

fn read(path: &Path) -> Result<String, ReportError> {
    std::fs::read_to_string(path).map_err(|e| ReportError::file("cannot read", path, e))
}

/// Keeps a run with its report. What sockets saw is kept too: it cannot be played again.
pub fn keep(
    folder: &Path,
    text: &str,
    run: &Run,
    sights: &[TraceEntry],
) -> Result<(), ReportError> {
    write(&folder.join(SCENARIO), text.as_bytes())?;
    if !run.in_virtual_time {
        let json = serde_json::to_vec(sights).expect("sights are plain data");
        write(&folder.join(SIGHTS), &json)?;
    }
    write(&folder.join(REPORT), html::run(run)?.as_bytes())?;
    // Last: a folder with a run in it is complete.
    write(&folder.join(RUN), &to_json(run))
}

pub fn to_json(run: &Run) -> Vec<u8> {
    serde_json::to_vec_pretty(run).expect("a run is plain data")
}

pub fn load(folder: &Path) -> Result<Run, ReportError> {
    let path = folder.join(RUN);
    let foreign = |why: String| ReportError::Foreign {
        path: path.display().to_string(),
        why,
    };
    let run: Run = serde_json::from_str(&read(&path)?).map_err(|e| foreign(e.to_string()))?;
    if run.form != FORM {
        return Err(foreign(format!(
            "form {}, this program reads {FORM}",
            run.form
        )));
    }
    Ok(run)
}

/// Everything that happened to a request, in order. A run in virtual time is played again, byte for byte.
pub fn explain(folder: &Path, id: ClientAttemptId) -> Result<Vec<TraceEntry>, ReportError> {
    let run = load(folder)?;
    let sights: Vec<TraceEntry> = if run.in_virtual_time {
        let scenario = scenario(folder, &run)?;
        let (again, outcome) = Run::play(&scenario, &run.sets).map_err(ReportError::Run)?;
        if again != run {
            return Err(ReportError::Run(
                "played again the day came out otherwise: it was made by another build".into(),
            ));
        }
        outcome.trace
    } else {
        let path = folder.join(SIGHTS);
        serde_json::from_str(&read(&path)?).map_err(|e| ReportError::Foreign {
            path: path.display().to_string(),
            why: e.to_string(),
        })?
    };
    Ok(request_history(&sights, id.call)
        .into_iter()
        .cloned()
        .collect())
}

/// The scenario of a run, as it was played.
pub fn scenario(folder: &Path, run: &Run) -> Result<Scenario, ReportError> {
    let path = folder.join(SCENARIO);
    Ok(parse_with(
        &run.scenario,
        &read(&path)?,
        Some(run.seed),
        &run.sets,
    )?)
}
