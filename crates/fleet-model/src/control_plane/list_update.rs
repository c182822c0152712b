//! Encodes endpoint list updates for the protocol and for the trace.
use super::ListedEndpoint;
use pointspindle::Micros;
use pointspindle_audit::trace::TraceEvent;
use pointspindle_cache_model::HostId;
use pointspindle_protocol::{
    EndpointListForm, EndpointListHead, EndpointRecord, WireEndpointState,
};
use pointspindle_scenario::fault_injection::InjectedFault;
use pointspindle_scenario::script::ListedState;

/// An endpoint list update.
pub struct ListUpdate {
    /// The message to the dispatcher.
    pub head: EndpointListHead,
    /// The trace event for the delivery of the update.
    pub event: TraceEvent,
    /// Whether an injected fault withholds the update: it is recorded in the trace, but not sent.
    pub withheld: bool,
}

/// Encodes an endpoint list update for a dispatcher, and applies injected faults of the control plane to it. `host`
/// returns a host's kind, zone and weight.
pub fn list_update<'a>(
    dispatcher: usize,
    form: EndpointListForm,
    sequence: u64,
    endpoints: &[ListedEndpoint],
    now: Micros,
    injected_fault: Option<InjectedFault>,
    host: impl Fn(HostId) -> Option<(&'a str, &'a str, f64)>,
) -> ListUpdate {
    let hides_restarts = injected_fault == Some(InjectedFault::HideRestart);
    let record = |endpoint: &ListedEndpoint| {
        let (kind, zone, weight) = host(endpoint.host).unwrap_or_default();
        let started_at = endpoint.started_at.filter(|_| !hides_restarts);
        EndpointRecord {
            address: endpoint.address.clone(),
            state: wire_state(endpoint.state) as i32,
            weight,
            zone: zone.into(),
            kind: kind.into(),
            cell: 0,
            incarnation: endpoint.incarnation,
            started_ago_us: started_at.map(|at| now.saturating_sub(at)),
        }
    };
    let has_draining = endpoints
        .iter()
        .any(|endpoint| endpoint.state == ListedState::Draining);
    ListUpdate {
        head: EndpointListHead {
            form: form as i32,
            seq: sequence,
            endpoints: endpoints.iter().map(record).collect(),
        },
        event: delivery_event(dispatcher, form, endpoints),
        withheld: has_draining && injected_fault == Some(InjectedFault::WithholdDrain),
    }
}

fn wire_state(state: ListedState) -> WireEndpointState {
    match state {
        ListedState::Ready => WireEndpointState::Ready,
        ListedState::Draining => WireEndpointState::Draining,
        ListedState::Removed => WireEndpointState::Gone,
    }
}

/// Returns the trace event for the delivery of an update.
fn delivery_event(
    dispatcher: usize,
    form: EndpointListForm,
    endpoints: &[ListedEndpoint],
) -> TraceEvent {
    let (ready, not_ready): (Vec<&ListedEndpoint>, Vec<&ListedEndpoint>) = endpoints
        .iter()
        .partition(|endpoint| endpoint.state == ListedState::Ready);
    let addresses = |endpoints: &[&ListedEndpoint]| {
        let addresses = endpoints.iter().map(|endpoint| endpoint.address.clone());
        addresses.collect::<Vec<String>>()
    };
    TraceEvent::EndpointListDelivered {
        dispatcher,
        full: form == EndpointListForm::Full,
        ready: addresses(&ready),
        incarnations: ready.iter().map(|endpoint| endpoint.incarnation).collect(),
        not_ready: addresses(&not_ready),
    }
}
