//! What a dispatcher's file may say, and what it means to the decision module.
use crate::members::{self, EndpointSpec, Role};
use crate::reader::Reader;
use pointspindle::*;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

/// Where the dispatcher listens; port 0: any free one.
#[derive(Clone, Debug, PartialEq)]
pub struct ListenSettings {
    pub http: Option<SocketAddr>,
    pub framed: Option<SocketAddr>,
    /// The same by TLS.
    pub https: Option<SocketAddr>,
    pub framed_tls: Option<SocketAddr>,
    /// Lists, purges and questions of operators.
    pub control: Option<SocketAddr>,
    /// Metrics as text.
    pub metrics: Option<SocketAddr>,
    pub max_connections: usize,
    /// Over this many, idle connections are closed, longest idle first.
    pub soft_connections: usize,
    /// Of one client address.
    pub address_connections: usize,
    pub max_streams: usize,
    /// A connection without a request under way is closed after this.
    pub idle_timeout_us: u64,
    /// A request's head must be complete by then.
    pub head_timeout_us: u64,
    /// Most time that a stopping dispatcher waits for answers under way.
    pub drain_timeout_us: u64,
    /// A client that takes less than so many bytes a second, over a window in which it was waited for, is given up.
    pub min_client_bytes_per_s: u64,
    pub pace_window_us: u64,
    /// What runs for a client that keeps to leases is cancelled when it gives no sign of life for so long.
    pub client_lease_us: u64,
    pub network_quotas: Vec<NetworkQuota>,
}

/// Client addresses that share a number of connections: a branch's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NetworkQuota {
    pub name: String,
    pub address: IpAddr,
    /// Leading bits of the address that count.
    pub bits: u8,
    pub connections: usize,
}

impl NetworkQuota {
    pub fn contains(&self, address: IpAddr) -> bool {
        let bits = |a: IpAddr| match a.to_canonical() {
            IpAddr::V4(a) => (u128::from(a.to_bits()) << 96, 32),
            IpAddr::V6(a) => (a.to_bits(), 128),
        };
        let ((own, len), (other, other_len)) = (bits(self.address), bits(address));
        len == other_len
            && (self.bits == 0 || (own ^ other).leading_zeros() >= u32::from(self.bits))
    }
}

/// Certificate and key of the doors that speak TLS, as PEM files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsSettings {
    pub certificate: PathBuf,
    pub key: PathBuf,
    /// Clients must show a certificate of one of these.
    pub client_authority: Option<PathBuf>,
}

/// Lists, purges and counts of dispatchers from etcd.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EtcdSettings {
    pub endpoints: Vec<String>,
    /// Keys begin with this, then `/v1/`.
    pub prefix: String,
    /// PEM of the authority of the endpoints' certificates.
    pub authority: Option<PathBuf>,
    /// Own certificate and key, PEM.
    pub identity: Option<(PathBuf, PathBuf)>,
    /// User, and the file whose first line is the password.
    pub user: Option<(String, PathBuf)>,
    /// Of this dispatcher's registration.
    pub lease_s: i64,
    /// Longest wait for a call that is no stream.
    pub call_timeout_us: u64,
    /// Longest wait for the lists before the doors open with what is known from before.
    pub start_wait_us: u64,
    /// The promise that a purge is in force here so long after its write was acknowledged, whatever happens; 0: none is given.
    pub purge_within_us: u64,
}

/// Connections to members.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamSettings {
    /// Members are named by ids of their own, and their addresses are the shell's: one may come back under another id.
    pub endpoints_have_ids: bool,
    pub connect_timeout_us: u64,
    pub max_streams: usize,
    /// Unused connections are closed after this.
    pub idle_timeout_us: u64,
    /// A member that says who it is gets nothing on a new connection before that, for so long.
    pub hello_timeout_us: u64,
    /// Local address of connections to members.
    pub bind: Option<IpAddr>,
    /// Nothing has come on a connection for so long, though answers are awaited: it is asked for a sign of life.
    pub ping_when_awaiting_us: u64,
    /// ... though none are; 0: never.
    pub ping_when_idle_us: u64,
    /// Without a sign for so long it is closed.
    pub ping_timeout_us: u64,
}

/// A class as the door needs it; the module's view stands in `EdgeSettings::router`.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    pub name: String,
    /// HTTP paths that begin so are of this class; the longest prefix counts.
    pub path_prefix: Option<String>,
    /// How long a client waits that does not say; the most that one may say.
    pub deadline_us: u64,
    /// Copies of it are served as ever where purges cannot be proven to be known (`etcd.purge_within_ms`).
    pub purge_exempt: bool,
}

/// All of a dispatcher's settings.
#[derive(Clone, Debug)]
pub struct DispatcherSettings {
    pub name: String,
    pub router: RouterSettings,
    pub zones: Vec<String>,
    pub classes: Vec<ClassSettings>,
    pub listen: ListenSettings,
    pub tls: Option<TlsSettings>,
    pub etcd: Option<EtcdSettings>,
    pub upstream: UpstreamSettings,
    /// Time kept back from the client's deadline for the answer's way to it.
    pub answer_slack_us: u64,
    /// Segments of an HTTP path that name an object's group for purges.
    pub group_segments: usize,
    pub state_file: Option<PathBuf>,
    pub endpoints: Vec<EndpointSpec>,
    /// Requests that may be open at once.
    pub max_requests: usize,
    /// Bytes of bodies that may be held, read from one side and not yet taken by the other, before new requests are refused.
    pub buffer_bytes: u64,
}

const MINUTE: f64 = 60_000.0;

pub(crate) fn read(r: &mut Reader) -> Option<DispatcherSettings> {
    let name = r.value("dispatcher", "name", "dispatcher".to_owned(), "a name");
    let zone_name = r.required(
        "dispatcher",
        "zone",
        String::new(),
        "the zone that it serves",
    );
    let me: Option<u32> = r
        .text("dispatcher", "number")
        .and_then(|text| match text.parse() {
            Ok(n) => Some(n),
            Err(_) => {
                r.report(
                    "dispatcher",
                    "number",
                    &format!("{text:?} is not a whole number"),
                );
                None
            }
        });
    let routers = r.number("dispatcher", "count", 1, 1, 100_000);
    if me.is_some_and(|me| me >= routers) {
        r.report(
            "dispatcher",
            "number",
            "numbers count from 0 and lie below count",
        );
    }
    let state_file = r
        .text("dispatcher", "state_file")
        .filter(|s| !s.is_empty())
        .map(PathBuf::from);
    let answer_slack_us = r.ms("dispatcher", "answer_slack_ms", 20.0, 0.0, 10_000.0);
    let max_requests = r.number("dispatcher", "max_requests", 20_000, 1, 10_000_000);
    let buffer_bytes = r.number("dispatcher", "buffer_mb", 512, 1, 1_000_000_u64) * 1024 * 1024;

    let mut zones = Vec::new();
    let mut counts = Vec::new();
    for zone in r.named("zone") {
        counts.push(Zone {
            routers: r.number(&format!("zone {zone}"), "dispatchers", 0, 0, 100_000),
        });
        zones.push(zone);
    }
    if zones.is_empty() && !zone_name.is_empty() {
        zones.push(zone_name.clone());
        counts.push(Zone { routers });
    }
    let zone = zones
        .iter()
        .position(|z| *z == zone_name)
        .unwrap_or_else(|| {
            if !zone_name.is_empty() {
                r.report(
                    "dispatcher",
                    "zone",
                    &format!("{zone_name:?} is none of the [zone …] sections"),
                );
            }
            0
        });

    let mut classes: Vec<ClassSettings> = Vec::new();
    let mut router_classes = Vec::new();
    for name in r.named("class") {
        let (spec, class) = class(r, name);
        let taken =
            |c: &&ClassSettings| c.path_prefix.is_some() && c.path_prefix == spec.path_prefix;
        if let Some(twin) = classes.iter().find(taken).map(|c| c.name.clone()) {
            let section = format!("class {}", spec.name);
            r.report(
                &section,
                "path_prefix",
                &format!("class {twin} has the same"),
            );
        }
        classes.push(spec);
        router_classes.push(class);
    }
    if classes.is_empty() {
        r.report("class NAME", "", "no class: at least one section is needed");
    }

    let listen = listen(r);
    let tls = tls(r, &listen);
    let etcd = etcd(r);
    let upstream = UpstreamSettings {
        endpoints_have_ids: false,
        connect_timeout_us: r.ms("upstream", "connect_timeout_ms", 250.0, 1.0, MINUTE),
        max_streams: r.number("upstream", "max_streams", 1024, 1, 1_000_000),
        idle_timeout_us: r.ms("upstream", "idle_ms", MINUTE, 100.0, 60.0 * MINUTE),
        hello_timeout_us: r.ms("upstream", "hello_timeout_ms", 100.0, 0.0, 10_000.0),
        bind: optional(r, "upstream", "bind", "an IP address"),
        ping_when_awaiting_us: r.ms("upstream", "quiet_ping_ms", 2_000.0, 10.0, MINUTE),
        ping_when_idle_us: r.ms("upstream", "idle_ping_ms", 15_000.0, 0.0, 60.0 * MINUTE),
        ping_timeout_us: r.ms("upstream", "ping_timeout_ms", 1_000.0, 10.0, MINUTE),
    };
    let members = members::read(r, &zones);
    let router = RouterSettings {
        zone,
        zones: counts,
        routers,
        router_index: me,
        classes: router_classes,
        parent_kind: Some(Role::Parent.kind()),
        origin_kind: Some(Role::Origin.kind()),
        weights: r.choice(
            "fleet",
            "weights",
            Weights::Nominal,
            &[
                ("none", Weights::None),
                ("nominal", Weights::Nominal),
                ("rough", Weights::Rough),
                ("live", Weights::Live),
            ],
        ),
        cache_status_detail: r.choice(
            "fleet",
            "notes",
            CacheStatusDetail::All,
            &[
                ("all", CacheStatusDetail::All),
                ("hit", CacheStatusDetail::HitOnly),
                ("none", CacheStatusDetail::None),
            ],
        ),
        siblings: r.choice(
            "fleet",
            "siblings",
            Siblings::OwnZone,
            &[
                ("none", Siblings::None),
                ("zone", Siblings::OwnZone),
                ("any", Siblings::Any),
            ],
        ),
        direct_forwarding: r.flag("fleet", "straight", true),
        coalesces_fills: r.flag("fleet", "joins", true),
        may_cancel: true,
        retry_after: r.flag("fleet", "retry_after", true),
        max_retry_after: r.ms("fleet", "max_retry_after_ms", 1000.0, 0.0, 10.0 * MINUTE),
        max_attempts: r.number("fleet", "max_attempts", 6, 1, 100),
        stream_kb_per_s: r.number("fleet", "stream_kb_per_s", 6000.0, 1.0, 1e9),
        cache_slow_start: cold(r, "cold cache"),
        parent_slow_start: cold(r, "cold parent"),
        purge_horizon: r.ms("fleet", "purge_done_ms", 6000.0, 0.0, 60.0 * MINUTE),
    };
    let group_segments = r.number("http", "group_segments", 2, 1, 16);
    Some(DispatcherSettings {
        name,
        router,
        zones,
        classes,
        listen,
        tls,
        etcd,
        upstream,
        answer_slack_us,
        group_segments,
        state_file,
        endpoints: members,
        max_requests,
        buffer_bytes,
    })
}

fn optional<T: std::str::FromStr>(
    r: &mut Reader,
    section: &str,
    key: &str,
    what: &str,
) -> Option<T> {
    let text = r.text(section, key).filter(|t| !t.is_empty())?;
    match text.parse() {
        Ok(value) => Some(value),
        Err(_) => {
            r.report(section, key, &format!("{text:?} is not {what}"));
            None
        }
    }
}

fn listen(r: &mut Reader) -> ListenSettings {
    let mut address = |key: &str| {
        optional(
            r,
            "listen",
            key,
            "an address and port, such as 127.0.0.1:8080",
        )
    };
    let (http, framed) = (address("http"), address("framed"));
    let (https, framed_tls) = (address("https"), address("framed_tls"));
    let (control, metrics) = (address("control"), address("metrics"));
    if [http, framed, https, framed_tls]
        .iter()
        .all(Option::is_none)
    {
        r.report(
            "listen",
            "",
            "neither http, framed, https nor framed_tls: no client could come",
        );
    }
    let max_connections = r.number("listen", "max_connections", 10_000, 1, 10_000_000);
    let soft = (max_connections - max_connections / 10).max(1);
    let soft_connections = r.number("listen", "soft_connections", soft, 1, 10_000_000);
    if soft_connections > max_connections {
        r.report("listen", "soft_connections", "more than max_connections");
    }
    let address_connections = r.number(
        "listen",
        "address_connections",
        max_connections,
        1,
        10_000_000,
    );
    let networks = r
        .named("network")
        .into_iter()
        .filter_map(|name| network(r, name, max_connections))
        .collect();
    ListenSettings {
        http,
        framed,
        https,
        framed_tls,
        control,
        metrics,
        max_connections,
        soft_connections,
        address_connections,
        max_streams: r.number("listen", "max_streams", 256, 1, 100_000),
        idle_timeout_us: r.ms("listen", "idle_ms", MINUTE, 10.0, 60.0 * MINUTE),
        head_timeout_us: r.ms("listen", "head_timeout_ms", 5_000.0, 10.0, 10.0 * MINUTE),
        drain_timeout_us: r.ms("listen", "drain_ms", 10_000.0, 0.0, 10.0 * MINUTE),
        min_client_bytes_per_s: (r.number("listen", "least_pace_kb_per_s", 1.0, 0.0, 1e6) * 1024.0)
            as u64,
        pace_window_us: r.ms("listen", "pace_window_ms", 15_000.0, 100.0, 10.0 * MINUTE),
        client_lease_us: r.ms("listen", "client_lease_ms", 400.0, 20.0, MINUTE),
        network_quotas: networks,
    }
}

fn etcd(r: &mut Reader) -> Option<EtcdSettings> {
    let endpoints = r.text("etcd", "endpoints").unwrap_or_default();
    let endpoints: Vec<String> = endpoints
        .split(',')
        .map(|e| e.trim().to_owned())
        .filter(|e| !e.is_empty())
        .collect();
    if let Some(bad) = endpoints
        .iter()
        .find(|e| !e.starts_with("http://") && !e.starts_with("https://"))
    {
        r.report(
            "etcd",
            "endpoints",
            &format!("{bad:?} is not http://ADDRESS:PORT or https://ADDRESS:PORT"),
        );
    }
    let prefix = r.value(
        "etcd",
        "prefix",
        "/pointspindle".to_owned(),
        "what keys begin with",
    );
    if prefix.ends_with('/') || prefix.is_empty() {
        r.report(
            "etcd",
            "prefix",
            "keys begin with it and /v1/: it is not empty and ends with no /",
        );
    }
    let mut file = |key: &str| {
        r.text("etcd", key)
            .filter(|t| !t.is_empty())
            .map(PathBuf::from)
    };
    let (authority, certificate, key) = (file("authority"), file("certificate"), file("key"));
    let password = file("password_file");
    if certificate.is_some() != key.is_some() {
        r.report(
            "etcd",
            if key.is_none() { "key" } else { "certificate" },
            "missing: both or none",
        );
    }
    let user = r.text("etcd", "user").filter(|u| !u.is_empty());
    if user.is_some() != password.is_some() {
        let missing = if user.is_none() {
            "user"
        } else {
            "password_file"
        };
        r.report("etcd", missing, "missing: both or none");
    }
    let lease_s = r.number("etcd", "lease_s", 5, 2, 600);
    let patience_us = r.ms("etcd", "timeout_ms", 1_000.0, 10.0, MINUTE);
    let start_wait_us = r.ms("etcd", "start_wait_ms", 2_000.0, 0.0, MINUTE);
    let purge_within_us = r.ms("etcd", "purge_within_ms", 0.0, 0.0, MINUTE);
    if (1..300_000).contains(&purge_within_us) {
        r.report(
            "etcd",
            "purge_within_ms",
            "0 for no promise, or at least 300",
        );
    }
    if endpoints.is_empty() {
        if r.has("etcd") {
            r.report(
                "etcd",
                "endpoints",
                "missing, such as http://127.0.0.1:2379",
            );
        }
        return None;
    }
    let (identity, user) = (certificate.zip(key), user.zip(password));
    Some(EtcdSettings {
        endpoints,
        prefix,
        authority,
        identity,
        user,
        lease_s,
        call_timeout_us: patience_us,
        start_wait_us,
        purge_within_us,
    })
}

fn tls(r: &mut Reader, listen: &ListenSettings) -> Option<TlsSettings> {
    let mut file = |key: &str| {
        r.text("tls", key)
            .filter(|t| !t.is_empty())
            .map(PathBuf::from)
    };
    let (certificate, key, client_authority) =
        (file("certificate"), file("key"), file("client_authority"));
    let wanted = [("https", listen.https), ("framed_tls", listen.framed_tls)];
    let door = wanted.iter().find(|(_, at)| at.is_some());
    match (certificate, key, door) {
        (Some(certificate), Some(key), _) => Some(TlsSettings {
            certificate,
            key,
            client_authority,
        }),
        (None, None, None) if client_authority.is_none() => None,
        (None, None, Some((door, _))) => {
            r.report("listen", door, "needs certificate and key in [tls]");
            None
        }
        (certificate, _, _) => {
            r.report(
                "tls",
                if certificate.is_none() {
                    "certificate"
                } else {
                    "key"
                },
                "missing (a PEM file)",
            );
            None
        }
    }
}

fn network(r: &mut Reader, name: String, most: usize) -> Option<NetworkQuota> {
    let section = format!("network {name}");
    let connections = r.number(&section, "connections", most, 1, 10_000_000);
    let text = r.required(
        &section,
        "prefix",
        String::new(),
        "addresses, such as 10.20.0.0/16",
    );
    let read = || {
        let (address, bits) = text.split_once('/')?;
        let (address, bits): (IpAddr, u8) =
            (address.trim().parse().ok()?, bits.trim().parse().ok()?);
        (bits <= if address.is_ipv4() { 32 } else { 128 }).then_some((address, bits))
    };
    let found = read();
    if found.is_none() && !text.is_empty() {
        r.report(
            &section,
            "prefix",
            &format!("{text:?} is no address with its leading bits, such as 10.20.0.0/16"),
        );
    }
    let (address, bits) = found?;
    Some(NetworkQuota {
        name,
        address,
        bits,
        connections,
    })
}

fn class(r: &mut Reader, name: String) -> (ClassSettings, RequestClass) {
    let section = format!("class {name}");
    let path_prefix = r.text(&section, "path_prefix").filter(|p| !p.is_empty());
    if path_prefix.as_ref().is_some_and(|p| !p.starts_with('/')) {
        r.report(&section, "path_prefix", "a path begins with /");
    }
    let deadline_us = r.ms(&section, "deadline_ms", 2_500.0, 10.0, 60.0 * MINUTE);
    let aim = r.ms(&section, "aim_ms", 300.0, 1.0, 60.0 * MINUTE);
    if aim > deadline_us {
        r.report(&section, "aim_ms", "later than deadline_ms");
    }
    let group = r.choice(
        &section,
        "key_group",
        KeyScope::All,
        &[
            ("all", KeyScope::All),
            ("zone", KeyScope::Zone),
            ("cell", KeyScope::Cell),
        ],
    );
    let window = r.ms(&section, "key_window_ms", 2_000.0, 1.0, 60.0 * MINUTE);
    let repeat = r.choice(
        &section,
        "repeat",
        Idempotency::Idempotent,
        &[
            ("safe", Idempotency::Idempotent),
            (
                "keyed",
                Idempotency::WithKey {
                    scope: group,
                    window,
                },
            ),
            ("unsafe", Idempotency::NotIdempotent),
        ],
    );
    let uncacheable = r.flag(&section, "uncacheable", false);
    if uncacheable && path_prefix.is_some() {
        // HTTP at the door is GET and HEAD, which say that they change nothing.
        r.report(
            &section,
            "path_prefix",
            "uncacheable classes come by the framed protocol only",
        );
    }
    if !uncacheable && repeat != Idempotency::Idempotent {
        r.report(
            &section,
            "repeat",
            "what may be kept is safe to repeat; set uncacheable = yes",
        );
    }
    let class = RequestClass {
        latency_objective: aim,
        objective_stretch: r.number(&section, "aim_stretch", 2.0, 0.0, 1000.0),
        priority_weight: r.number(&section, "worth", 1.0, 0.0, 1e9),
        idempotency: repeat,
        uncacheable,
        fresh_for: r.ms(&section, "fresh_ms", 0.0, 0.0, 1e9),
        stale_if_error: r.ms(&section, "grace_ms", 0.0, 0.0, 1e9),
    };
    if class.stale_if_error > 0 && class.fresh_for == 0 {
        r.report(
            &section,
            "grace_ms",
            "without fresh_ms a copy never grows old",
        );
    }
    let purge_exempt = r.flag(&section, "purge_exempt", false);
    (
        ClassSettings {
            name,
            path_prefix,
            deadline_us,
            purge_exempt,
        },
        class,
    )
}

pub(crate) fn cold(r: &mut Reader, section: &str) -> SlowStartRule {
    SlowStartRule {
        initial_share: r.number(section, "start_share", 0.2, 0.0, 1.0),
        ramp: r.ms(section, "warm_within_ms", 20_000.0, 0.0, 60.0 * MINUTE),
        overload_factor: r.number(section, "multiple", 2.0, 0.1, 1000.0),
        overload_window: r.ms(section, "window_ms", 1_000.0, 1.0, 10.0 * MINUTE),
    }
}
