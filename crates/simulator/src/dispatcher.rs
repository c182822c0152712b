//! A dispatcher of the simulation: its core, and the state that its network shell would keep.
use crate::event::{DispatcherIncarnation, Event};
use pointspindle::Micros;
use pointspindle_audit::trace::{ClientAttemptId, ClientOutcome};
use pointspindle_cache_model::{HostId, ModelResponse};
use pointspindle_config::DispatcherSettings;
use pointspindle_dispatcher::{Core, Input};
use pointspindle_protocol::WireCacheStatus;
use pointspindle_scenario::derive_seed;
use std::collections::HashMap;

/// The head of a response, as far as the client's outcome depends on it.
#[derive(Clone, Copy)]
pub(crate) struct ResponseHead {
    version: u64,
    bytes: u64,
    stale: bool,
}

impl ResponseHead {
    /// The head of this response.
    pub fn of(response: &ModelResponse) -> Self {
        Self {
            version: response.copy.version,
            bytes: response.copy.size,
            stale: response.cache_status == WireCacheStatus::Stale,
        }
    }

    /// The outcome for the client once the response is complete.
    pub fn served(self) -> ClientOutcome {
        ClientOutcome::Served {
            version: Some(self.version),
            bytes: self.bytes,
            stale: self.stale,
        }
    }
}

/// Whether a dispatcher takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DispatcherState {
    Running,
    /// Accepts nothing new and answers what it has accepted.
    ShuttingDown,
    Down,
}

/// What a paused dispatcher reads, and which ends of its jobs arrive, once it resumes.
#[derive(Default)]
pub(crate) struct Pause {
    pub inputs: Vec<Input>,
    pub events: Vec<Event>,
}

/// The requests that a dispatcher has accepted.
#[derive(Default)]
pub(crate) struct OpenRequests {
    last: u64,
    clients: HashMap<u64, ClientAttemptId>,
    /// Heads of the latest responses.
    heads: HashMap<u64, ResponseHead>,
    /// Heads that have been forwarded to the client.
    forwarded: HashMap<u64, ResponseHead>,
}

impl OpenRequests {
    /// Accepts a request and numbers it.
    pub fn accept(&mut self, id: ClientAttemptId) -> u64 {
        self.last += 1;
        self.clients.insert(self.last, id);
        self.last
    }

    /// The client's attempt of an open request.
    pub fn client(&self, request: u64) -> Option<ClientAttemptId> {
        self.clients.get(&request).copied()
    }

    /// Whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// A host's response to the request has begun.
    pub fn response_started(&mut self, request: u64, head: ResponseHead) {
        self.heads.insert(request, head);
    }

    /// Forwards the head of the latest response to the client.
    pub fn forward(&mut self, request: u64) {
        if let Some(head) = self.heads.remove(&request) {
            self.forwarded.insert(request, head);
        }
    }

    /// The head that was forwarded, when the rest of the response has been as well.
    pub fn take_forwarded(&mut self, request: u64) -> Option<ResponseHead> {
        self.forwarded.remove(&request)
    }

    /// Ends a request; returns the client that gets the final response.
    pub fn end(&mut self, request: u64) -> Option<ClientAttemptId> {
        self.forwarded.remove(&request);
        self.heads.remove(&request);
        self.clients.remove(&request)
    }

    /// The client has disconnected.
    pub fn client_disconnected(&mut self, request: u64) {
        self.clients.remove(&request);
        self.forwarded.remove(&request);
    }

    /// Drops every request; returns their clients.
    pub fn drain(&mut self) -> Vec<ClientAttemptId> {
        self.forwarded.clear();
        self.heads.clear();
        std::mem::take(&mut self.clients).into_values().collect()
    }
}

/// A dispatcher's connections to hosts, by the incarnation of the host's process.
#[derive(Default)]
pub(crate) struct Connections {
    open: HashMap<HostId, u64>,
    /// The incarnation of the last connection, whether or not it is still open.
    known: HashMap<HostId, u64>,
}

impl Connections {
    /// Opens a connection; false where one to this incarnation is open already.
    pub fn open(&mut self, host: HostId, incarnation: u64) -> bool {
        if self.open.insert(host, incarnation) == Some(incarnation) {
            return false;
        }
        self.known.insert(host, incarnation);
        true
    }

    /// Whether a connection to the host is open.
    pub fn is_open(&self, host: HostId) -> bool {
        self.open.contains_key(&host)
    }

    /// Whether a connection to this incarnation of the host is open.
    pub fn is_open_to(&self, host: HostId, incarnation: u64) -> bool {
        self.open.get(&host) == Some(&incarnation)
    }

    /// The incarnation that the dispatcher last had a connection to.
    pub fn known_incarnation(&self, host: HostId) -> Option<u64> {
        self.known.get(&host).copied()
    }

    /// The connection to the host is lost; its incarnation stays known.
    pub fn lost(&mut self, host: HostId) {
        self.open.remove(&host);
    }

    /// Forgets every connection.
    pub fn clear(&mut self) {
        self.open.clear();
        self.known.clear();
    }
}

/// A dispatcher's process and what outlives it: its settings and its number.
pub(crate) struct SimulatedDispatcher {
    pub core: Core,
    settings: DispatcherSettings,
    pub identity: DispatcherIncarnation,
    pub state: DispatcherState,
    /// Some: paused.
    pub pause: Option<Pause>,
    pub requests: OpenRequests,
    pub connections: Connections,
    /// When the core wants to be called.
    pub timer: Option<Micros>,
}

impl SimulatedDispatcher {
    /// A running dispatcher; its core's random numbers derive from the scenario's seed.
    pub fn new(dispatcher: usize, settings: DispatcherSettings, scenario_seed: u64) -> Self {
        let seed = derive_seed(scenario_seed, &format!("core {dispatcher}"));
        Self {
            core: Core::new(&settings, seed),
            settings,
            identity: DispatcherIncarnation {
                dispatcher,
                incarnation: 0,
            },
            state: DispatcherState::Running,
            pause: None,
            requests: OpenRequests::default(),
            connections: Connections::default(),
            timer: None,
        }
    }

    /// Whether its process runs.
    pub fn is_up(&self) -> bool {
        self.state != DispatcherState::Down
    }

    /// The process ends; returns the clients whose requests are lost.
    pub fn kill(&mut self) -> Vec<ClientAttemptId> {
        self.state = DispatcherState::Down;
        self.timer = None;
        self.pause = None;
        self.connections.clear();
        self.requests.drain()
    }

    /// A new process starts.
    pub fn start(&mut self, scenario_seed: u64) {
        self.state = DispatcherState::Running;
        self.identity.incarnation += 1;
        let DispatcherIncarnation {
            dispatcher,
            incarnation,
        } = self.identity;
        let seed = derive_seed(
            scenario_seed,
            &format!("core {dispatcher} life {incarnation}"),
        );
        self.core = Core::new(&self.settings, seed);
    }
}
