//! Metrics of a running dispatcher, in the OpenMetrics text format.
use super::request_outcome::RequestOutcome;
use pointspindle_config::{ClassSettings, DispatcherSettings};
use prometheus_client::encoding::{text, EncodeLabelSet};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::{Metric, Registry, Unit};
use std::time::Duration;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    class: String,
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassLabel {
    class: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AttemptLabel {
    outcome: &'static str,
}

/// A latency histogram for each class.
type LatencyFamily = Family<ClassLabel, Histogram, fn() -> Histogram>;

/// Metrics of one class, looked up once so that requests need no label lookups.
#[derive(Debug)]
struct ClassMetrics {
    /// Indexed by [`RequestOutcome`].
    outcomes: [Counter; RequestOutcome::ALL.len()],
    first_byte: Histogram,
    last_byte: Histogram,
}

/// Metrics of client and endpoint connections.
#[derive(Debug)]
pub(crate) struct ConnectionMetrics {
    pub clients: Gauge,
    pub endpoints: Gauge,
    pub rejected: Counter,
    pub lost_clients: Counter,
    pub dead_endpoints: Counter,
    pub tls_failed: Counter,
}

/// Metrics of the source of endpoint lists and purges.
#[derive(Debug)]
pub(crate) struct ControlSourceMetrics {
    pub current: Gauge,
    pub gaps: Counter,
    pub rejected_keys: Counter,
    pub registered_dispatchers: Gauge,
}

/// Metrics of waits for the core's lock.
#[derive(Debug)]
pub(crate) struct CoreLockMetrics {
    pub waits: Counter,
    pub wait_us: Counter,
}

/// All metrics of a dispatcher. Fields are updated where the event occurs.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    classes: Vec<ClassMetrics>,
    attempts: Family<AttemptLabel, Counter>,
    pub connection_counts: ConnectionMetrics,
    pub control_source: ControlSourceMetrics,
    pub core_lock: CoreLockMetrics,
    pub open_requests: Gauge,
    pub attempts_not_begun: Counter,
    pub attempts_held_back: Counter,
    pub purges_confirmed: Gauge,
    pub requests_over_budget: Counter,
    pub incomplete_requests_rejected: Counter,
    pub slow_clients: Counter,
    pub buffered_bytes: Gauge,
    pub known_calls: Gauge,
    pub resumed_responses: Counter,
    pub endpoint_list_version: Gauge,
    pub purge_lag: Histogram,
}

/// Registers metrics under the dispatcher's prefix; a scrape shows them in the order of registration.
struct Registration(Registry);

impl Registration {
    fn add<M: Metric + Clone>(&mut self, name: &str, help: &str, metric: M) -> M {
        self.0.register(name, help, metric.clone());
        metric
    }

    fn counter(&mut self, name: &str, help: &str) -> Counter {
        self.add(name, help, Counter::default())
    }

    fn gauge(&mut self, name: &str, help: &str) -> Gauge {
        self.add(name, help, Gauge::default())
    }

    fn seconds<M: Metric + Clone>(&mut self, name: &str, help: &str, metric: M) -> M {
        self.0
            .register_with_unit(name, help, Unit::Seconds, metric.clone());
        metric
    }

    fn latency(&mut self, name: &str, help: &str) -> LatencyFamily {
        let family = Family::new_with_constructor(latency_histogram as fn() -> Histogram);
        self.seconds(name, help, family)
    }
}

/// Creates a histogram with buckets from 0.25 ms to about 8 s; each bound is twice the previous one.
fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.000_25, 2.0, 16))
}

/// Creates a histogram with buckets from 10 us to about 2.6 s; each bound is four times the previous one.
fn purge_lag_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.000_01, 4.0, 10))
}

const ATTEMPTS_NOT_BEGUN_HELP: &str =
    "Attempts not sent because client, deadline, endpoint or fill source no longer permitted it at the first byte";
const ATTEMPTS_HELD_BACK_HELP: &str =
    "Attempts that could use no older cached copy because purges were not confirmed to be in force";
const PURGES_CONFIRMED_HELP: &str =
    "Whether purges are confirmed to be in force (1) or not (0); -1 if no purge delay is promised";
const REQUESTS_OVER_BUDGET_HELP: &str = "Requests refused because the request budget was exhausted";
const INCOMPLETE_REJECTED_HELP: &str =
    "Incomplete requests rejected because their memory limit was exceeded";
const SLOW_CLIENTS_HELP: &str = "Responses aborted because the client read too slowly";
const BUFFERED_HELP: &str = "Bytes of bodies buffered by connections, sampled periodically";
const LOCK_WAITS_HELP: &str = "Number of waits for the lock of the core";
const LOCK_WAIT_US_HELP: &str = "Total time of waits for the lock of the core, in microseconds";
const DEAD_CONNECTIONS_HELP: &str =
    "Connections to endpoints closed because the endpoint sent no keep-alive reply";
const LOST_CLIENTS_HELP: &str =
    "Client connections closed because the client did not renew its lease while it waited";
const KNOWN_CALLS_HELP: &str = "Client calls that are running or remembered";
const TLS_FAILED_HELP: &str = "Failed TLS handshakes";
const SOURCE_CURRENT_HELP: &str =
    "Whether endpoint lists and purges from the control source are current (1) or not (0)";
const SOURCE_GAPS_HELP: &str = "Number of gaps in which purges may have been missed";
const SOURCE_REJECTED_KEYS_HELP: &str = "Keys of the control source that were rejected as invalid";
const PURGE_LAG_HELP: &str = "Time from the receipt of a purge frame until the purge is in force";

impl Metrics {
    /// Creates all metrics with the value 0, registered in the order of this function.
    #[rustfmt::skip] // One metric a line, as a table.
    pub fn new(settings: &DispatcherSettings) -> Self {
        let mut register = Registration(Registry::with_prefix("pointspindle"));
        let requests = register.add("requests", "Requests by class and final outcome", Family::default());
        let attempts = register.add("attempts", "Attempts by outcome", Family::default());
        let first_byte = register.latency("first_byte", "Time from the start of a request to its response head");
        let last_byte = register.latency("last_byte", "Time from the start of a request to the end of its response");
        let class_metrics = |class| ClassMetrics::new(class, &requests, &first_byte, &last_byte);
        let classes = settings.classes.iter().map(class_metrics).collect();
        let open_requests = register.gauge("open_requests", "Requests without a final response");
        let connections = register.gauge("connections", "Connections to all listeners");
        let attempts_not_begun = register.counter("not_begun", ATTEMPTS_NOT_BEGUN_HELP);
        let attempts_held_back = register.counter("held_back", ATTEMPTS_HELD_BACK_HELP);
        let purges_confirmed = register.gauge("purges_proven", PURGES_CONFIRMED_HELP);
        let requests_over_budget = register.counter("no_room", REQUESTS_OVER_BUDGET_HELP);
        let incomplete_requests_rejected = register.counter("incomplete_rejected", INCOMPLETE_REJECTED_HELP);
        let slow_clients = register.counter("slow_clients", SLOW_CLIENTS_HELP);
        let buffered_bytes = register.gauge("buffered_bytes", BUFFERED_HELP);
        let core_lock_waits = register.counter("core_lock_waits", LOCK_WAITS_HELP);
        let core_lock_wait_us = register.counter("core_lock_wait_us", LOCK_WAIT_US_HELP);
        let dead_endpoint_connections = register.counter("dead_member_connections", DEAD_CONNECTIONS_HELP);
        let lost_clients = register.counter("lost_clients", LOST_CLIENTS_HELP);
        let known_calls = register.gauge("known_calls", KNOWN_CALLS_HELP);
        let tls_failed = register.counter("tls_failed", TLS_FAILED_HELP);
        let source_current = register.gauge("source_current", SOURCE_CURRENT_HELP);
        let source_gaps = register.counter("source_gaps", SOURCE_GAPS_HELP);
        let source_rejected_keys = register.counter("source_bad", SOURCE_REJECTED_KEYS_HELP);
        let registered_dispatchers = register.gauge("peers", "Dispatchers that are registered");
        let resumed_responses = register.counter("resumed", "Responses resumed from another endpoint");
        let rejected_connections = register.counter("turned_away", "Connections rejected because of a connection limit");
        let endpoint_connections = register.gauge("member_connections", "Connections to endpoints");
        let endpoint_list_version = register.gauge("list_version", "Version of the endpoint list in force");
        let purge_lag = register.seconds("purge_lag", PURGE_LAG_HELP, purge_lag_histogram());
        Self {
            registry: register.0,
            classes,
            attempts,
            connection_counts: ConnectionMetrics {
                clients: connections,
                endpoints: endpoint_connections,
                rejected: rejected_connections,
                lost_clients,
                dead_endpoints: dead_endpoint_connections,
                tls_failed,
            },
            control_source: ControlSourceMetrics {
                current: source_current,
                gaps: source_gaps,
                rejected_keys: source_rejected_keys,
                registered_dispatchers,
            },
            core_lock: CoreLockMetrics {
                waits: core_lock_waits,
                wait_us: core_lock_wait_us,
            },
            open_requests,
            attempts_not_begun,
            attempts_held_back,
            purges_confirmed,
            requests_over_budget,
            incomplete_requests_rejected,
            slow_clients,
            buffered_bytes,
            known_calls,
            resumed_responses,
            endpoint_list_version,
            purge_lag,
        }
    }

    /// Records the final outcome and the duration of a request.
    pub fn request_ended(&self, class: usize, outcome: RequestOutcome, duration: Duration) {
        let Some(class) = self.classes.get(class) else {
            return;
        };
        class.last_byte.observe(duration.as_secs_f64());
        class.outcomes[outcome as usize].inc();
    }

    /// Records that the response head is about to be sent to the client.
    pub fn first_byte(&self, class: usize, duration: Duration) {
        if let Some(class) = self.classes.get(class) {
            class.first_byte.observe(duration.as_secs_f64());
        }
    }

    /// Records that `count` attempts have ended with this outcome.
    pub fn attempt_ended(&self, outcome: &'static str, count: u64) {
        self.attempts
            .get_or_create(&AttemptLabel { outcome })
            .inc_by(count);
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn text(&self) -> String {
        let mut out = String::new();
        let _ = text::encode(&mut out, &self.registry);
        out
    }
}

impl ClassMetrics {
    fn new(
        class: &ClassSettings,
        requests: &Family<RequestLabels, Counter>,
        first_byte: &LatencyFamily,
        last_byte: &LatencyFamily,
    ) -> Self {
        let request_labels = |outcome: RequestOutcome| RequestLabels {
            class: class.name.clone(),
            outcome: outcome.as_str(),
        };
        let label = ClassLabel {
            class: class.name.clone(),
        };
        Self {
            outcomes: RequestOutcome::ALL
                .map(|outcome| requests.get_or_create(&request_labels(outcome)).clone()),
            first_byte: first_byte.get_or_create(&label).clone(),
            last_byte: last_byte.get_or_create(&label).clone(),
        }
    }
}
