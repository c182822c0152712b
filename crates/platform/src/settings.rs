//! The start configuration as the settings of a dispatcher: limits become bounds, names become numbers.
use pointspindle_config::{
    ClassSettings, DispatcherSettings, ListenSettings, Role, UpstreamSettings,
};
use pointspindle_platform_protocol::client_request::ClassRules;
use pointspindle_platform_protocol::settings::{
    micros_or_zero, router_settings, UpstreamLimitsDocument,
};
use pointspindle_platform_protocol::start_config::StartConfig;
use std::net::SocketAddr;

/// Time kept back from a client's deadline for the answer's way to it.
const ANSWER_SLACK_US: u64 = 15_000;
/// Clients close what they do not use for longer than this by themselves; what stays is kept for nobody.
const IDLE_US: u64 = 6_000_000;
/// A newcomer has said something whole by then, or its place is wanted by others.
const HEAD_US: u64 = 2_000_000;
/// Connections to members: silent for so long though answers are awaited, they are asked for a sign of life.
const QUIET_US: u64 = 1_000_000;
const SIGN_US: u64 = 700_000;
/// Descriptors that are neither clients' nor members': listener, notice boards, logs, the runtime's own.
const OWN_SOCKETS: usize = 24;
/// Open requests for each MB of the memory limit: a request's own state takes some KB, its answer is counted apart.
const REQUESTS_PER_MB: usize = 16;

/// What the platform's shell needs besides the dispatcher's settings.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Where clients connect.
    pub listen: SocketAddr,
    pub edge: DispatcherSettings,
    pub classes: Vec<ClassRules>,
    /// Role of each kind of the settings, by name.
    pub kinds: Vec<(String, Role)>,
    /// Connections to members, all together, and to one.
    pub member_connections: usize,
    pub connections_each: usize,
    pub seed: u64,
}

#[derive(Debug, thiserror::Error)]
pub enum ShapeError {
    #[error("{key}: {why}")]
    Key { key: &'static str, why: String },
}

fn wrong(key: &'static str, why: impl Into<String>) -> ShapeError {
    ShapeError::Key {
        key,
        why: why.into(),
    }
}

impl Shape {
    pub fn new(start: &StartConfig) -> Result<Self, ShapeError> {
        let c = &start.settings;
        let mut router = router_settings(c).map_err(|why| wrong("settings", why.to_string()))?;
        let zones = c.zones.clone().unwrap_or_default();
        if router.zone >= zones.len() {
            let why = format!("{} is none of the {} zones", router.zone, zones.len());
            return Err(wrong("settings.Zone", why));
        }
        let listen: SocketAddr = start
            .listen
            .parse()
            .map_err(|e| wrong("listen", format!("{:?}: {e}", start.listen)))?;
        let limits = start.limits;
        if limits.sockets < 64 || limits.memory_mb < 16 {
            return Err(wrong("limits", "at least 64 sockets and 16 MB are needed"));
        }
        let kind = |i: usize| match i {
            i if Some(i) == router.parent_kind => Role::Parent,
            i if Some(i) == router.origin_kind => Role::Origin,
            _ => Role::Cache,
        };
        let kinds = c
            .kinds
            .iter()
            .flatten()
            .enumerate()
            .map(|(i, k)| (k.clone(), kind(i)))
            .collect();
        // From here on kinds are told by their role.
        router.parent_kind = router.parent_kind.map(|_| Role::Parent.kind());
        router.origin_kind = router.origin_kind.map(|_| Role::Origin.kind());
        // Answers tell their size by their bytes: the pace is reckoned in bytes on the connection as well, which the
        // settings' KB need not be. Without it sizes say nothing.
        router.stream_kb_per_s = start.response_bytes_per_s / 1024.0;
        let mut forms = Vec::new();
        let mut specs = Vec::new();
        for (i, class) in c.classes.iter().flatten().enumerate() {
            let name = class
                .name
                .clone()
                .ok_or_else(|| wrong("settings.Classes", "one without Name"))?;
            let deadline_us = micros_or_zero(class.deadline_ms);
            forms.push(ClassRules {
                name: name.clone(),
                requires_key: matches!(
                    router.classes[i].idempotency,
                    pointspindle::Idempotency::WithKey { .. }
                ),
                is_write: router.classes[i].uncacheable,
                deadline_ms: deadline_us / 1_000,
            });
            specs.push(ClassSettings {
                name,
                path_prefix: None,
                deadline_us,
                purge_exempt: false,
            });
        }
        if forms.is_empty() {
            return Err(wrong("settings.Classes", "no class"));
        }
        let a = c.upstream_limits.as_ref();
        let allowed = |f: fn(&UpstreamLimitsDocument) -> Option<f64>| a.and_then(f);
        let connect_us = micros_or_zero(allowed(|a| a.connect_timeout_ms)).clamp(50_000, 5_000_000);
        let idle_us = micros_or_zero(allowed(|a| a.idle_timeout_ms)).max(2_000_000);
        let max_streams = a.and_then(|a| a.max_streams).unwrap_or(32).max(1);
        let max_open = a.and_then(|a| a.max_open_requests).unwrap_or(usize::MAX);
        // The platform's clients hold a third of the descriptors at most; newcomers need a place beside those who leave.
        let clients = limits.sockets * 2 / 5;
        let endpoints = limits.sockets - clients - OWN_SOCKETS;
        let edge = DispatcherSettings {
            name: start.name.clone(),
            zones,
            classes: specs,
            listen: ListenSettings {
                http: None,
                framed: None,
                https: None,
                framed_tls: None,
                control: None,
                metrics: None,
                max_connections: clients,
                soft_connections: clients - clients / 10,
                address_connections: clients,
                max_streams: pointspindle_platform_protocol::request_assembly::MAX_OPEN_REQUESTS,
                idle_timeout_us: IDLE_US,
                head_timeout_us: HEAD_US,
                drain_timeout_us: 60_000_000,
                min_client_bytes_per_s: 0,
                pace_window_us: 0,
                client_lease_us: 0,
                network_quotas: Vec::new(),
            },
            tls: None,
            etcd: None,
            upstream: UpstreamSettings {
                endpoints_have_ids: true,
                connect_timeout_us: connect_us,
                max_streams,
                // Before the members close them: a request that crosses a close is lost time.
                idle_timeout_us: idle_us / 2,
                hello_timeout_us: 0,
                bind: None,
                ping_when_awaiting_us: QUIET_US,
                ping_when_idle_us: 0,
                ping_timeout_us: SIGN_US,
            },
            answer_slack_us: ANSWER_SLACK_US,
            group_segments: 1,
            state_file: None,
            endpoints: Vec::new(),
            max_requests: (limits.memory_mb as usize * REQUESTS_PER_MB).min(max_open),
            // A quarter for answers; the rest for the program, its tables and buffers.
            buffer_bytes: limits.memory_mb * 1024 * 1024 / 4,
            router,
        };
        Ok(Self {
            listen,
            edge,
            classes: forms,
            kinds,
            member_connections: endpoints,
            connections_each: (endpoints / 4).max(1),
            seed: u64::from_str_radix(&start.seed, 16).unwrap_or_default(),
        })
    }

    /// Role of a kind by its name; a name that the settings do not have is a cache's.
    pub fn role(&self, kind: &str) -> Role {
        self.kinds
            .iter()
            .find(|(name, _)| name == kind)
            .map_or(Role::Cache, |(_, role)| *role)
    }
}
