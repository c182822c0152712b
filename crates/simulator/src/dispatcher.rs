//! A simulated dispatcher: its core, and the state that the network shell of a real dispatcher holds.
use crate::event::{DispatcherIncarnation, Event};
use pointspindle::Micros;
use pointspindle_audit::trace::{ClientAttemptId, ClientOutcome};
use pointspindle_cache_model::{HostId, ModelResponse};
use pointspindle_config::DispatcherSettings;
use pointspindle_dispatcher::{Core, Input};
use pointspindle_protocol::WireCacheStatus;
use pointspindle_scenario::derive_seed;
use std::collections::HashMap;

/// The fields of a response's head that determine the client's outcome.
#[derive(Clone, Copy)]
pub(crate) struct ResponseHead {
    version: u64,
    bytes: u64,
    stale: bool,
}

impl ResponseHead {
    /// Returns the head of a response.
    pub fn of(response: &ModelResponse) -> Self {
        Self {
            version: response.copy.version,
            bytes: response.copy.size,
            stale: response.cache_status == WireCacheStatus::Stale,
        }
    }

    /// Returns the client's outcome of the complete response.
    pub fn served(self) -> ClientOutcome {
        ClientOutcome::Served {
            version: Some(self.version),
            bytes: self.bytes,
            stale: self.stale,
        }
    }
}

/// State of a dispatcher's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DispatcherState {
    Running,
    /// The dispatcher accepts no new requests and answers those that it has accepted.
    ShuttingDown,
    Down,
}

/// Inputs and ends of jobs that arrive at a paused dispatcher, which handles them when it resumes.
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
    /// Head of the latest response to each request.
    heads: HashMap<u64, ResponseHead>,
    /// Head that has been forwarded to the client, by request.
    forwarded: HashMap<u64, ResponseHead>,
}

impl OpenRequests {
    /// Accepts a request and returns its number.
    pub fn accept(&mut self, id: ClientAttemptId) -> u64 {
        self.last += 1;
        self.clients.insert(self.last, id);
        self.last
    }

    /// Returns the client's attempt of an open request.
    pub fn client(&self, request: u64) -> Option<ClientAttemptId> {
        self.clients.get(&request).copied()
    }

    /// Whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// Records the head of a host's response to a request.
    pub fn response_started(&mut self, request: u64, head: ResponseHead) {
        self.heads.insert(request, head);
    }

    /// Forwards the head of the latest response to the client.
    pub fn forward(&mut self, request: u64) {
        if let Some(head) = self.heads.remove(&request) {
            self.forwarded.insert(request, head);
        }
    }

    /// Removes and returns the head that was forwarded, once the response is complete.
    pub fn take_forwarded(&mut self, request: u64) -> Option<ResponseHead> {
        self.forwarded.remove(&request)
    }

    /// Ends a request; returns the client's attempt, which receives the final response.
    pub fn end(&mut self, request: u64) -> Option<ClientAttemptId> {
        self.forwarded.remove(&request);
        self.heads.remove(&request);
        self.clients.remove(&request)
    }

    /// Removes a request whose client has disconnected.
    pub fn client_disconnected(&mut self, request: u64) {
        self.clients.remove(&request);
        self.forwarded.remove(&request);
    }

    /// Removes all requests; returns the clients' attempts.
    pub fn drain(&mut self) -> Vec<ClientAttemptId> {
        self.forwarded.clear();
        self.heads.clear();
        std::mem::take(&mut self.clients).into_values().collect()
    }
}

/// A dispatcher's connections to hosts, with the incarnation of each host's process.
#[derive(Default)]
pub(crate) struct Connections {
    open: HashMap<HostId, u64>,
    /// Incarnation of the host at the latest connection, open or not.
    known: HashMap<HostId, u64>,
}

impl Connections {
    /// Opens a connection; returns false if one to this incarnation is open already.
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

    /// Returns the incarnation of the host at the dispatcher's latest connection.
    pub fn known_incarnation(&self, host: HostId) -> Option<u64> {
        self.known.get(&host).copied()
    }

    /// Closes the connection to a host, whose incarnation stays known.
    pub fn close(&mut self, host: HostId) {
        self.open.remove(&host);
    }

    /// Removes all connections and known incarnations.
    pub fn clear(&mut self) {
        self.open.clear();
        self.known.clear();
    }
}

/// A dispatcher: its process, and its settings and number, which remain after the process ends.
pub(crate) struct SimulatedDispatcher {
    pub core: Core,
    settings: DispatcherSettings,
    pub identity: DispatcherIncarnation,
    pub state: DispatcherState,
    /// The state of a pause; `None` if the dispatcher is not paused.
    pub pause: Option<Pause>,
    pub requests: OpenRequests,
    pub connections: Connections,
    /// Time at which the core needs its next input, in microseconds since the start of the run.
    pub timer: Option<Micros>,
}

impl SimulatedDispatcher {
    /// Creates a running dispatcher. Random numbers of its core are derived from the scenario's seed.
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

    /// Whether the dispatcher's process is running.
    pub fn is_up(&self) -> bool {
        self.state != DispatcherState::Down
    }

    /// Ends the process; returns the clients' attempts whose requests are lost.
    pub fn kill(&mut self) -> Vec<ClientAttemptId> {
        self.state = DispatcherState::Down;
        self.timer = None;
        self.pause = None;
        self.connections.clear();
        self.requests.drain()
    }

    /// Starts a new process.
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
