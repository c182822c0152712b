//! One attempt of a client's call.
use super::target::Target;
use pointspindle::Micros;
use pointspindle_audit::recorder::Recorder;
use pointspindle_audit::trace::{ClientAttemptId, TraceEvent};
use pointspindle_scenario::{PlannedCall, RequestClass};
use pointspindle_transport::Network;

/// An attempt and the parts of the run that it needs.
pub(super) struct Attempt<'a> {
    pub id: ClientAttemptId,
    pub target: &'a Target,
    pub call: &'a PlannedCall,
    pub class: &'a RequestClass,
    /// Whether the client knows the size of the object and announces it.
    pub announces_size: bool,
    pub network: &'a Network,
    pub recorder: &'a Recorder,
}

/// The request could not be sent, so the attempt had no effect.
#[derive(Debug)]
pub(super) struct NotSent;

impl Attempt<'_> {
    /// Records that the request was sent at `at`.
    pub fn record_sent(&self, at: Micros) {
        let sent = TraceEvent::RequestSent {
            id: self.id,
            dispatcher: self.target.dispatcher,
            class: self.call.class,
            object_number: self.call.object_number,
            group: self.call.group,
            part: self.call.part,
            deadline: at + self.class.deadline,
        };
        self.recorder.record_at(at, sent);
    }
}
