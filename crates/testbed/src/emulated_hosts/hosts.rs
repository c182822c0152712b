//! The state that the tasks of emulated hosts share.
use super::options::EmulatedHostsOptions;
use pointspindle::Micros;
use pointspindle_audit::recorder::Recorder;
use pointspindle_cache_host::lease::{LeaseHolderId, WorkLedger};
use pointspindle_cache_model::{
    CacheModel, ClassModel, FillId, HostId, JobId, ModelOutput, ModelResponse,
};
use pointspindle_protocol::{LoadReport, WireCacheStatus, WireStatus};
use pointspindle_transport::FramedConnection;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{mpsc, Notify};
use tokio::task::AbortHandle;

/// The start of the run on the model's clock, in microseconds. It is not 0, because hosts may have started before the
/// run.
pub const EPOCH: Micros = 1_000_000_000_000;

/// Emulated hosts on sockets. Clones share the same hosts.
#[derive(Clone)]
pub struct EmulatedHosts {
    shared: Arc<Shared>,
}

pub(super) struct Shared {
    state: Mutex<State>,
    /// Notified when the model's next timer may have changed.
    pub timer_changed: Notify,
    pub recorder: Recorder,
    pub classes: Vec<ClassModel>,
    pub options: EmulatedHostsOptions,
    pub fill_connections: tokio::sync::Mutex<HashMap<FillRoute, FramedConnection>>,
}

/// The two ends of a fill connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct FillRoute {
    pub host: HostId,
    /// The address of the source.
    pub source: String,
}

pub(super) struct State {
    pub model: CacheModel,
    pub jobs: HashMap<JobId, Job>,
    pub fills: HashMap<FillId, AbortHandle>,
    pub listeners: HashMap<HostId, AbortHandle>,
    /// Leases of the hosts that are warming up.
    pub leasing: HashMap<HostId, HostLeases>,
    pub last_lease_user: LeaseHolderId,
    /// Buffer for the model's outputs, empty between inputs.
    pub outputs: Vec<ModelOutput>,
    last_job: JobId,
}

/// A request in service.
pub(super) struct Job {
    pub host: HostId,
    pub events: mpsc::UnboundedSender<JobEvent>,
}

/// A decision of the model on a request in service.
#[derive(Debug)]
pub(super) enum JobEvent {
    /// The response begins.
    Start(ModelResponse),
    /// The response is complete.
    Finish,
    /// The request is rejected.
    Reject(Rejection),
    /// The connection of the request is closed.
    Disconnect,
    /// The host has crashed.
    HostDown,
}

/// The rejection of a request.
#[derive(Debug)]
pub(super) struct Rejection {
    pub status: WireStatus,
    pub cache_status: WireCacheStatus,
    pub may_have_run: bool,
    pub load: LoadReport,
}

/// The work ledger of a host and the connections of the dispatchers that use the ledger.
pub(super) struct HostLeases {
    pub ledger: WorkLedger,
    pub connections: HashMap<LeaseHolderId, FramedConnection>,
}

impl State {
    /// Returns the number of a new job.
    pub fn next_job(&mut self) -> JobId {
        self.last_job += 1;
        self.last_job
    }

    /// The address of a host.
    pub fn address_of(&self, host: HostId) -> String {
        self.model.host_spec(host).address.clone()
    }
}

impl std::fmt::Debug for EmulatedHosts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("EmulatedHosts")
    }
}

impl EmulatedHosts {
    /// Creates the hosts of a model; they do not listen yet. `classes` are the request classes by number.
    pub fn new(
        model: CacheModel,
        classes: Vec<ClassModel>,
        recorder: Recorder,
        options: EmulatedHostsOptions,
    ) -> Self {
        let state = State {
            model,
            jobs: HashMap::new(),
            fills: HashMap::new(),
            listeners: HashMap::new(),
            leasing: HashMap::new(),
            last_lease_user: 0,
            outputs: Vec::new(),
            last_job: 0,
        };
        let shared = Shared {
            state: Mutex::new(state),
            timer_changed: Notify::new(),
            recorder,
            classes,
            options,
            fill_connections: Default::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns the time on the model's clock, in microseconds.
    pub fn now(&self) -> Micros {
        EPOCH + self.shared.recorder.now()
    }

    /// Calls `read` with the model, which is locked during the call.
    pub fn with_model<T>(&self, read: impl FnOnce(&mut CacheModel) -> T) -> T {
        read(&mut self.lock().model)
    }

    /// The address of a host.
    pub fn address_of(&self, host: HostId) -> String {
        self.lock().address_of(host)
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn shared(&self) -> &Shared {
        &self.shared
    }
}
