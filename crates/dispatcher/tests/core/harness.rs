//! A test harness around one core with a simulated clock.
use pointspindle_config::parse;
use pointspindle_dispatcher::core::{AddressedFetch, AttemptEnd};
use pointspindle_dispatcher::{ClientRequest, Core, Input, Output};
use pointspindle_protocol::{
    EndpointListForm, EndpointListHead, EndpointRecord, WireCacheStatus, WireEndpointState,
};

pub const MS: u64 = 1_000;
/// Time at which each test begins.
pub const START: u64 = 1_000_000_000;

pub const CACHE_1: &str = "127.0.0.1:1";
pub const CACHE_2: &str = "127.0.0.1:2";
const PARENT: &str = "127.0.0.1:8";
const ORIGIN: &str = "127.0.0.1:9";

/// Class of idempotent requests for cacheable objects.
pub const VIDEO: usize = 0;
/// Class of requests that must not be executed twice.
pub const SUBMIT: usize = 1;
/// Purge group of all objects.
pub const GROUP: u64 = 3;

const SETTINGS: &str = "
[dispatcher]
zone = branch
number = 0
answer_slack_ms = 20
[listen]
http = 127.0.0.1:0
[zone hub]
[zone branch]
dispatchers = 1
[class video]
path_prefix = /video/
deadline_ms = 2000
[class submit]
deadline_ms = 2000
repeat = unsafe
uncacheable = yes
";

pub struct Harness {
    pub core: Core,
    pub now: u64,
}

/// The content of an [`Output::Send`].
pub struct SentAttempt {
    pub number: u32,
    pub endpoint: String,
    pub fetch: Option<AddressedFetch>,
}

impl Harness {
    /// Creates a core with two caches, a parent and an origin.
    pub fn new() -> Self {
        let ready = WireEndpointState::Ready;
        Self::with_endpoints(vec![
            endpoint_record(CACHE_1, "cache", ready),
            endpoint_record(CACHE_2, "cache", ready),
            endpoint_record(PARENT, "parent", ready),
            endpoint_record(ORIGIN, "origin", ready),
        ])
    }

    /// Creates a core with one cache that has completed slow start, and an origin.
    pub fn with_single_cache() -> Self {
        let ready = WireEndpointState::Ready;
        let mut harness = Self::with_endpoints(vec![
            endpoint_record(CACHE_1, "cache", ready),
            endpoint_record(ORIGIN, "origin", ready),
        ]);
        harness.advance_to(START + 120_000 * MS);
        harness
    }

    fn with_endpoints(endpoints: Vec<EndpointRecord>) -> Self {
        let settings = parse("test", SETTINGS).unwrap_or_else(|error| panic!("{error}"));
        let mut harness = Self {
            core: Core::new(&settings, 1),
            now: START,
        };
        harness.apply_list(EndpointListForm::Full, 1, endpoints);
        harness
    }

    pub fn handle(&mut self, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.core.handle(self.now, input, &mut outputs);
        outputs
    }

    /// Applies an endpoint list. Returns the reason for requesting the full list, if that is needed.
    pub fn apply_list(
        &mut self,
        form: EndpointListForm,
        seq: u64,
        endpoints: Vec<EndpointRecord>,
    ) -> Option<String> {
        let outputs = self.handle(Input::EndpointList(EndpointListHead {
            form: form as i32,
            seq,
            endpoints,
        }));
        outputs.into_iter().find_map(|output| match output {
            Output::EndpointListApplied(change) => change.resync_reason,
            _ => None,
        })
    }

    /// Starts a request for an object that no other request uses.
    pub fn request(&mut self, id: u64, class: usize) -> Vec<Output> {
        let request = ClientRequest {
            class,
            group: GROUP,
            ..video_request(id)
        };
        self.handle(Input::Request(id, request))
    }

    /// Starts a request, and expects that it is sent to an endpoint.
    pub fn sent_request(&mut self, id: u64, class: usize) -> SentAttempt {
        let outputs = self.request(id, class);
        sent_attempt(&outputs).expect("the request is sent")
    }

    pub fn start_response(&mut self, request: u64, attempt: u32) -> Vec<Output> {
        self.handle(Input::ResponseStarted {
            request,
            attempt,
            cache_status: WireCacheStatus::Hit,
            size: None,
        })
    }

    pub fn end_attempt(&mut self, request: u64, attempt: u32, end: AttemptEnd) -> Vec<Output> {
        self.handle(Input::AttemptEnded {
            request,
            attempt,
            end,
        })
    }

    /// Advances the clock to `until`, and fires each timer on the way.
    pub fn advance_to(&mut self, until: u64) -> Vec<Output> {
        let mut outputs = Vec::new();
        while let Some(at) = self.core.next_timer().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            outputs.extend(self.handle(Input::Tick));
        }
        self.now = until;
        outputs
    }
}

/// Returns a request for an object that no other request uses, without a purge group.
pub fn video_request(id: u64) -> ClientRequest {
    ClientRequest {
        class: VIDEO,
        object: format!("/video/{id}"),
        time_left: 2_000 * MS,
        ..Default::default()
    }
}

pub fn endpoint_record(address: &str, kind: &str, state: WireEndpointState) -> EndpointRecord {
    let zone = if kind == "cache" { "branch" } else { "hub" };
    EndpointRecord {
        address: address.into(),
        state: state as i32,
        weight: 8.0,
        zone: zone.into(),
        kind: kind.into(),
        ..Default::default()
    }
}

/// Returns the first attempt that is sent.
pub fn sent_attempt(outputs: &[Output]) -> Option<SentAttempt> {
    outputs.iter().find_map(|output| match output {
        Output::Send {
            attempt,
            endpoint,
            fetch,
            ..
        } => Some(SentAttempt {
            number: *attempt,
            endpoint: endpoint.clone(),
            fetch: fetch.clone(),
        }),
        _ => None,
    })
}

/// Number of final, forwarded and aborted responses.
pub fn final_output_count(outputs: &[Output]) -> usize {
    let is_final = |output: &&Output| {
        matches!(
            output,
            Output::Reject { .. }
                | Output::Fail { .. }
                | Output::AbortResponse { .. }
                | Output::ForwardResponse { .. }
        )
    };
    outputs.iter().filter(is_final).count()
}
