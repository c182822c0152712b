//! Faults that lie in the traffic: hot, oversized and one-off objects.
use crate::script::{FaultKind, FaultSpec};
use crate::{Idempotency, Scenario};
use pointspindle::Micros;

/// The file that an active fault has a call request, if so. The target's share of each fault is that of the calls it
/// affects; `position`, drawn between 0 and 1, selects the fault. `call_number` makes file names unique.
pub(super) fn special_object(
    scenario: &Scenario,
    now: Micros,
    class: usize,
    position: f64,
    call_number: u64,
) -> Option<String> {
    let mut position = position;
    for fault in scenario.faults.iter().filter(|fault| fault.is_active(now)) {
        let Some(file) = file_of(scenario, fault, class, call_number) else {
            continue;
        };
        if position < fault.target.share {
            return Some(file);
        }
        position -= fault.target.share;
    }
    None
}

/// The file that a fault has calls of a class request. Hot and oversized objects are of the first class; an
/// oversized object's name states the multiple of its size.
fn file_of(
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
