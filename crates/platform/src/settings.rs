//! Translates the start configuration into the settings of a dispatcher, with limits on connections, requests and
//! memory from the resource limits and a role for each kind of endpoint.
use pointspindle::{RouterSettings, DEFAULT_MAX_KNOWN_COPIES, KNOWN_COPY_BYTES};
use pointspindle_config::{
    ClassSettings, DispatcherSettings, ListenSettings, Role, UpstreamSettings,
};
use pointspindle_platform_protocol::client_request::ClassRules;
use pointspindle_platform_protocol::request_assembly::MAX_OPEN_REQUESTS;
use pointspindle_platform_protocol::settings::{
    micros_or_zero, router_settings, SettingsDocument, SettingsError, UpstreamLimitsDocument,
};
use pointspindle_platform_protocol::start_config::{ResourceLimits, StartConfig};
use std::net::{AddrParseError, SocketAddr};
use std::time::Duration;

/// Time reserved from a client's deadline for the response to reach it.
const RESPONSE_SLACK_US: u64 = 15_000;
/// Time after which idle client connections are closed; clients themselves close those that are idle for longer.
const CLIENT_IDLE_TIMEOUT_US: u64 = 6_000_000;
/// Time within which a client must send a complete request.
const REQUEST_HEAD_TIMEOUT_US: u64 = 2_000_000;
/// Time without input after which a health check is sent on an endpoint connection that awaits responses.
const HEALTH_CHECK_AFTER_US: u64 = 1_000_000;
const HEALTH_CHECK_TIMEOUT_US: u64 = 700_000;
const DRAIN_TIMEOUT_US: u64 = 60_000_000;
/// Lower and upper bound of the time-out of a connection attempt.
const MIN_CONNECT_TIMEOUT_US: u64 = 50_000;
const MAX_CONNECT_TIMEOUT_US: u64 = 5_000_000;
/// Lower bound of the time after which endpoints are assumed to close idle connections.
const MIN_ENDPOINT_IDLE_TIMEOUT_US: u64 = 2_000_000;
/// Largest number of requests in flight on an endpoint connection if the settings do not define one.
const DEFAULT_MAX_STREAMS: usize = 32;
/// Number of descriptors reserved for the listener, discovery, logs and the runtime.
const RESERVED_SOCKETS: usize = 24;
/// Number of open requests per MB of the memory limit: the state of a request takes some KB, and its response is
/// counted separately.
const REQUESTS_PER_MB: usize = 16;
const MIN_SOCKETS: usize = 64;
const MIN_MEMORY_MB: u64 = 16;
const BYTES_PER_MB: u64 = 1024 * 1024;
/// Divisor of the memory limit that gives the memory for responses; the rest is for the program, its tables and
/// buffers.
const RESPONSE_MEMORY_DIVISOR: u64 = 4;
/// Divisor of the memory limit that gives the memory for requests that are not complete.
const INCOMPLETE_REQUEST_MEMORY_DIVISOR: u64 = 8;
/// Divisor of the memory limit that gives the memory for the bodies of complete requests.
const REQUEST_BODY_MEMORY_DIVISOR: u64 = 8;
/// Divisor of the memory limit that gives the memory for the index of copies.
const KNOWN_COPIES_MEMORY_DIVISOR: u64 = 12;
/// Divisor of the limit on endpoint connections that gives the limit for one endpoint.
const ENDPOINT_SHARE_DIVISOR: usize = 4;

/// Settings of the platform crate and of the dispatcher.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Address on which client connections are accepted.
    pub listen: SocketAddr,
    /// Settings of the core of the dispatcher.
    pub dispatcher: DispatcherSettings,
    /// Rules of the request classes, by class index.
    pub classes: Vec<ClassRules>,
    /// Role of each kind of endpoint, by kind index.
    pub kinds: Vec<KindRole>,
    /// Largest number of connections to all endpoints.
    pub max_connections: usize,
    /// Largest number of connections to one endpoint.
    pub max_connections_per_endpoint: usize,
    /// Limit on the resident memory of the process.
    pub memory_bytes: u64,
    /// Largest number of bytes that incomplete requests of clients occupy.
    pub incomplete_request_bytes: usize,
    /// Number of bytes in bodies of complete requests from which on new requests with a body are rejected.
    pub request_body_bytes: u64,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// The role of a kind of endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KindRole {
    /// Name of the kind.
    pub kind: String,
    /// Role of the endpoints of this kind.
    pub role: Role,
}

/// Error in the start configuration.
#[derive(Debug, thiserror::Error)]
pub enum PlatformSettingsError {
    /// The settings of the router are invalid.
    #[error("settings: {0}")]
    Router(SettingsError),
    /// The index of the dispatcher's zone exceeds the list of zones.
    #[error("settings.Zone: index {zone} is out of range for {zones} zones")]
    UnknownZone {
        /// Index of the dispatcher's zone.
        zone: usize,
        /// Number of zones.
        zones: usize,
    },
    /// The listen address is not an address and port.
    #[error("listen: {value:?} is not an address and port: {error}")]
    InvalidListenAddress {
        /// Value in the configuration.
        value: String,
        /// Error that the value gives.
        error: AddrParseError,
    },
    /// The resource limits are too small.
    #[error("limits: at least {MIN_SOCKETS} sockets and {MIN_MEMORY_MB} MB are needed")]
    LimitsTooSmall,
    /// A request class has no name.
    #[error("settings.Classes: a class has no Name")]
    UnnamedClass,
    /// No request class is defined.
    #[error("settings.Classes: no class is defined")]
    NoClasses,
}

impl PlatformSettings {
    /// Translates and validates the start configuration.
    pub fn new(start: &StartConfig) -> Result<Self, PlatformSettingsError> {
        let document = &start.settings;
        let limits = start.limits;
        let mut router = router_settings(document).map_err(PlatformSettingsError::Router)?;
        check_zone(&router, document)?;
        let listen = listen_address(start)?;
        check_limits(limits)?;
        let kinds = kind_roles(&router, document);
        adapt_router(&mut router, start);
        let classes = class_rules(&router, document)?;
        // Clients of the platform use at most a third of the descriptors; the surplus is for new connections while
        // previous ones are being closed.
        let max_clients = limits.sockets * 2 / 5;
        let memory_bytes = limits.memory_mb * BYTES_PER_MB;
        let max_connections = limits.sockets - max_clients - RESERVED_SOCKETS;
        Ok(Self {
            listen,
            dispatcher: dispatcher_settings(start, router, &classes, max_clients),
            classes,
            kinds,
            max_connections,
            max_connections_per_endpoint: (max_connections / ENDPOINT_SHARE_DIVISOR).max(1),
            memory_bytes,
            incomplete_request_bytes: (memory_bytes / INCOMPLETE_REQUEST_MEMORY_DIVISOR) as usize,
            request_body_bytes: memory_bytes / REQUEST_BODY_MEMORY_DIVISOR,
            seed: u64::from_str_radix(&start.seed, 16).unwrap_or_default(),
        })
    }

    /// Returns the role of a kind by its name. Kinds that the settings do not define are caches.
    pub fn role(&self, kind: &str) -> Role {
        self.kinds
            .iter()
            .find(|known| known.kind == kind)
            .map_or(Role::Cache, |known| known.role)
    }

    /// Returns the longest deadline of any request class.
    pub fn longest_deadline(&self) -> Duration {
        let deadlines = self.dispatcher.classes.iter().map(|c| c.deadline_us);
        Duration::from_micros(deadlines.max().unwrap_or_default())
    }
}

fn check_zone(
    router: &RouterSettings,
    document: &SettingsDocument,
) -> Result<(), PlatformSettingsError> {
    let zones = document.zones.as_ref().map_or(0, Vec::len);
    let zone = router.zone;
    if zone >= zones {
        return Err(PlatformSettingsError::UnknownZone { zone, zones });
    }
    Ok(())
}

fn listen_address(start: &StartConfig) -> Result<SocketAddr, PlatformSettingsError> {
    let value = &start.listen;
    value
        .parse()
        .map_err(|error| PlatformSettingsError::InvalidListenAddress {
            value: value.clone(),
            error,
        })
}

fn check_limits(limits: ResourceLimits) -> Result<(), PlatformSettingsError> {
    if limits.sockets < MIN_SOCKETS || limits.memory_mb < MIN_MEMORY_MB {
        return Err(PlatformSettingsError::LimitsTooSmall);
    }
    Ok(())
}

/// Returns the roles of the kinds in the document, which defines the kind indices of parent and origin.
fn kind_roles(router: &RouterSettings, document: &SettingsDocument) -> Vec<KindRole> {
    let role = |index: usize| match Some(index) {
        kind if kind == router.parent_kind => Role::Parent,
        kind if kind == router.origin_kind => Role::Origin,
        _ => Role::Cache,
    };
    let kinds = document.kinds.iter().flatten().enumerate();
    kinds
        .map(|(index, kind)| KindRole {
            kind: kind.clone(),
            role: role(index),
        })
        .collect()
}

/// Replaces settings that the dispatcher numbers or measures differently from the document.
fn adapt_router(router: &mut RouterSettings, start: &StartConfig) {
    // The dispatcher uses the number of the role as the kind index.
    router.parent_kind = router.parent_kind.map(|_| Role::Parent.kind());
    router.origin_kind = router.origin_kind.map(|_| Role::Origin.kind());
    // The rate counts bytes on the connection, whereas the KB of the settings need not be of such bytes.
    router.stream_kb_per_s = start.response_bytes_per_s / 1024.0;
    let memory_bytes = start.limits.memory_mb * BYTES_PER_MB;
    let copies_memory = (memory_bytes / KNOWN_COPIES_MEMORY_DIVISOR) as usize;
    router.max_known_copies = DEFAULT_MAX_KNOWN_COPIES.min(copies_memory / KNOWN_COPY_BYTES);
}

fn class_rules(
    router: &RouterSettings,
    document: &SettingsDocument,
) -> Result<Vec<ClassRules>, PlatformSettingsError> {
    let mut rules = Vec::new();
    for (index, class) in document.classes.iter().flatten().enumerate() {
        let name = class.name.clone();
        rules.push(ClassRules {
            name: name.ok_or(PlatformSettingsError::UnnamedClass)?,
            requires_key: matches!(
                router.classes[index].idempotency,
                pointspindle::Idempotency::WithKey { .. }
            ),
            is_write: router.classes[index].uncacheable,
            deadline_ms: micros_or_zero(class.deadline_ms) / 1_000,
        });
    }
    if rules.is_empty() {
        return Err(PlatformSettingsError::NoClasses);
    }
    Ok(rules)
}

fn class_settings(document: &SettingsDocument, classes: &[ClassRules]) -> Vec<ClassSettings> {
    let documents = document.classes.iter().flatten();
    documents
        .zip(classes)
        .map(|(class, rules)| ClassSettings {
            name: rules.name.clone(),
            path_prefix: None,
            deadline_us: micros_or_zero(class.deadline_ms),
            purge_exempt: false,
        })
        .collect()
}

fn dispatcher_settings(
    start: &StartConfig,
    router: RouterSettings,
    classes: &[ClassRules],
    max_clients: usize,
) -> DispatcherSettings {
    let document = &start.settings;
    let memory_mb = start.limits.memory_mb;
    let max_open_requests = document
        .upstream_limits
        .as_ref()
        .and_then(|limits| limits.max_open_requests)
        .unwrap_or(usize::MAX);
    DispatcherSettings {
        name: start.name.clone(),
        zones: document.zones.clone().unwrap_or_default(),
        classes: class_settings(document, classes),
        listen: listen_settings(max_clients),
        tls: None,
        etcd: None,
        upstream: upstream_settings(document.upstream_limits.as_ref()),
        response_margin_us: RESPONSE_SLACK_US,
        purge_group_segments: 1,
        state_file: None,
        endpoints: Vec::new(),
        max_requests: (memory_mb as usize * REQUESTS_PER_MB).min(max_open_requests),
        buffer_bytes: memory_mb * BYTES_PER_MB / RESPONSE_MEMORY_DIVISOR,
        router,
    }
}

fn listen_settings(max_clients: usize) -> ListenSettings {
    ListenSettings {
        http: None,
        framed: None,
        https: None,
        framed_tls: None,
        control: None,
        metrics: None,
        max_connections: max_clients,
        soft_connections: max_clients - max_clients / 10,
        address_connections: max_clients,
        max_streams: MAX_OPEN_REQUESTS,
        idle_timeout_us: CLIENT_IDLE_TIMEOUT_US,
        head_timeout_us: REQUEST_HEAD_TIMEOUT_US,
        drain_timeout_us: DRAIN_TIMEOUT_US,
        min_client_bytes_per_s: 0,
        pace_window_us: 0,
        client_lease_us: 0,
        network_quotas: Vec::new(),
    }
}

fn upstream_settings(limits: Option<&UpstreamLimitsDocument>) -> UpstreamSettings {
    let connect_timeout_us = micros_or_zero(limits.and_then(|l| l.connect_timeout_ms));
    let endpoint_idle_timeout_us =
        micros_or_zero(limits.and_then(|l| l.idle_timeout_ms)).max(MIN_ENDPOINT_IDLE_TIMEOUT_US);
    let max_streams = limits.and_then(|l| l.max_streams);
    UpstreamSettings {
        endpoints_have_ids: true,
        connect_timeout_us: connect_timeout_us
            .clamp(MIN_CONNECT_TIMEOUT_US, MAX_CONNECT_TIMEOUT_US),
        max_streams: max_streams.unwrap_or(DEFAULT_MAX_STREAMS).max(1),
        // Idle connections are closed before the endpoint closes them: a request that crosses a close costs time.
        idle_timeout_us: endpoint_idle_timeout_us / 2,
        hello_timeout_us: 0,
        bind: None,
        ping_when_awaiting_us: HEALTH_CHECK_AFTER_US,
        ping_when_idle_us: 0,
        ping_timeout_us: HEALTH_CHECK_TIMEOUT_US,
    }
}
