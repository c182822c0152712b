//! Faults that change the requested objects: hot, oversized and one-off objects.
use crate::script::{FaultKind, FaultSpec};
use crate::{Idempotency, Scenario};
use pointspindle::Micros;

/// Returns the file that a call requests because of an active fault, or `None` if no fault affects the call. The share
/// of a fault's target is the share of calls that it affects; `position`, drawn from 0 to 1, selects the fault.
/// `call_number` makes file names unique.
pub(super) fn fault_file(
    scenario: &Scenario,
    now: Micros,
    class: usize,
    position: f64,
    call_number: u64,
) -> Option<String> {
    let mut position = position;
    for fault in scenario.faults.iter().filter(|fault| fault.is_active(now)) {
        let Some(file) = file_for_class(scenario, fault, class, call_number) else {
            continue;
        };
        if position < fault.target.share {
            return Some(file);
        }
        position -= fault.target.share;
    }
    None
}

/// Returns the file that calls of a class request because of a fault, or `None` if the fault does not affect the class.
/// Hot and oversized objects belong to the first class. The name of an oversized object states the multiple of its
/// size.
fn file_for_class(
    scenario: &Scenario,
    fault: &FaultSpec,
    class: usize,
    call_number: u64,
) -> Option<String> {
    let idempotency = scenario.workload.classes[class].idempotency;
    match fault.kind {
        FaultKind::HotObject if class == 0 => Some(format!("hot-{}", fault.name)),
        FaultKind::OversizedObjects if class == 0 => {
            let multiple = fault.severity.max(1.0);
            Some(format!("big{call_number}~{multiple}"))
        }
        FaultKind::OneOffObjects if idempotency == Idempotency::Idempotent => {
            Some(format!("scan{call_number}"))
        }
        _ => None,
    }
}
