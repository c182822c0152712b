//! Figures of a running dispatcher, scraped as text.
use super::exchange::RequestOutcome;
use super::FrontendContext;
use pointspindle_config::{ClassSettings, DispatcherSettings};
use pointspindle_protocol::http::HttpResponse;
use pointspindle_transport::Socket;
use prometheus_client::encoding::{text, EncodeLabelSet};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::{Registry, Unit};
use std::time::Duration;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassEnd {
    class: String,
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassOnly {
    class: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AttemptEndLabel {
    outcome: &'static str,
}

/// A class's figures, looked up once: a request must not pay for labels.
#[derive(Debug)]
struct ByClass {
    /// By [`Fate`].
    ends: [Counter; RequestOutcome::ALL.len()],
    first: Histogram,
    last: Histogram,
}

#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    by_class: Vec<ByClass>,
    attempts: Family<AttemptEndLabel, Counter>,
    pub open: Gauge,
    pub connections: Gauge,
    pub turned_away: Counter,
    pub members_connected: Gauge,
    pub list: Gauge,
    pub purge_lag: Histogram,
    pub no_room: Counter,
    pub not_begun: Counter,
    pub held_back: Counter,
    pub purges_proven: Gauge,
    pub slow_clients: Counter,
    pub buffered: Gauge,
    pub lock_waits: Counter,
    pub lock_wait_us: Counter,
    pub dead_connections: Counter,
    pub lost_clients: Counter,
    pub tls_failed: Counter,
    pub resumed: Counter,
    pub source_current: Gauge,
    pub source_gaps: Counter,
    pub source_bad: Counter,
    pub peers: Gauge,
    pub known_calls: Gauge,
}

/// 0.25 ms to some 8 s, doubling.
fn seconds() -> Histogram {
    Histogram::new(exponential_buckets(0.000_25, 2.0, 16))
}

impl Metrics {
    pub fn new(settings: &DispatcherSettings) -> Self {
        let mut all = Registry::with_prefix("pointspindle");
        let (requests, attempts) = (Family::<ClassEnd, Counter>::default(), Family::default());
        let first = Family::<ClassOnly, _, _>::new_with_constructor(seconds as fn() -> Histogram);
        let last = Family::<ClassOnly, _, _>::new_with_constructor(seconds as fn() -> Histogram);
        let (open, connections) = (Gauge::default(), Gauge::default());
        let turned_away = Counter::default();
        let (members_connected, list): (Gauge, Gauge) = (Gauge::default(), Gauge::default());
        let purge_lag = Histogram::new(exponential_buckets(0.000_01, 4.0, 10));
        all.register(
            "requests",
            "Requests by class and final outcome",
            requests.clone(),
        );
        all.register("attempts", "Attempts by outcome", attempts.clone());
        let s = Unit::Seconds;
        all.register_with_unit(
            "first_byte",
            "From the request to its answer's head",
            s.clone(),
            first.clone(),
        );
        all.register_with_unit(
            "last_byte",
            "From the request to its final answer",
            s.clone(),
            last.clone(),
        );
        all.register(
            "open_requests",
            "Requests without a final answer",
            open.clone(),
        );
        all.register(
            "connections",
            "Connections at all doors",
            connections.clone(),
        );
        let (no_room, slow_clients, buffered) =
            (Counter::default(), Counter::default(), Gauge::default());
        let (not_begun, held_back) = (Counter::default(), Counter::default());
        let purges_proven = Gauge::default();
        let (lock_waits, lock_wait_us, dead_connections) =
            (Counter::default(), Counter::default(), Counter::default());
        let help = "Attempts held back right before their first byte: client, time, member or source gone meanwhile";
        all.register("not_begun", help, not_begun.clone());
        let help = "Attempts that used no older copy, since purges could not be proven to be known";
        all.register("held_back", help, held_back.clone());
        let help = "Purges are proven to be known (1) or not (0); -1: that is not promised";
        all.register("purges_proven", help, purges_proven.clone());
        all.register(
            "no_room",
            "Requests refused because as much is under way as may be",
            no_room.clone(),
        );
        all.register(
            "slow_clients",
            "Answers given up because the client took too little",
            slow_clients.clone(),
        );
        all.register(
            "buffered_bytes",
            "Bytes of bodies read and not yet taken, as last looked at",
            buffered.clone(),
        );
        all.register(
            "core_lock_waits",
            "Times that somebody waited for the core",
            lock_waits.clone(),
        );
        all.register(
            "core_lock_wait_us",
            "Time that was waited for the core, microseconds",
            lock_wait_us.clone(),
        );
        let dead = "Connections to members closed because they gave no sign of life";
        all.register("dead_member_connections", dead, dead_connections.clone());
        let (lost_clients, known_calls) = (Counter::default(), Gauge::default());
        let lost =
            "Connections of clients closed because they gave no sign of life while they waited";
        all.register("lost_clients", lost, lost_clients.clone());
        all.register(
            "known_calls",
            "Calls of clients that run or are remembered",
            known_calls.clone(),
        );
        let tls_failed = Counter::default();
        all.register(
            "tls_failed",
            "TLS handshakes that came to nothing",
            tls_failed.clone(),
        );
        let (source_current, peers): (Gauge, Gauge) = (Gauge::default(), Gauge::default());
        let (source_gaps, source_bad) = (Counter::default(), Counter::default());
        all.register(
            "source_current",
            "1: lists and purges are as new as they should be",
            source_current.clone(),
        );
        all.register(
            "source_gaps",
            "Times that purges may have been missed",
            source_gaps.clone(),
        );
        all.register(
            "source_bad",
            "Keys of the source that could not be used",
            source_bad.clone(),
        );
        all.register("peers", "Dispatchers that are registered", peers.clone());
        let resumed = Counter::default();
        all.register(
            "resumed",
            "Answers that went on from another member",
            resumed.clone(),
        );
        let turned = "Connections turned away for want of a place";
        all.register("turned_away", turned, turned_away.clone());
        all.register(
            "member_connections",
            "Connections to members",
            members_connected.clone(),
        );
        all.register(
            "list_version",
            "Number of the member list in force",
            list.clone(),
        );
        all.register_with_unit(
            "purge_lag",
            "From a purge's frame to its being in force",
            s,
            purge_lag.clone(),
        );
        let by_class = |c: &ClassSettings| {
            let class = c.name.clone();
            let end = |fate: RequestOutcome| ClassEnd {
                class: class.clone(),
                outcome: fate.as_str(),
            };
            let only = ClassOnly {
                class: class.clone(),
            };
            ByClass {
                ends: RequestOutcome::ALL.map(|fate| requests.get_or_create(&end(fate)).clone()),
                first: first.get_or_create(&only).clone(),
                last: last.get_or_create(&only).clone(),
            }
        };
        Self {
            by_class: settings.classes.iter().map(by_class).collect(),
            registry: all,
            attempts,
            open,
            connections,
            turned_away,
            members_connected,
            list,
            purge_lag,
            no_room,
            not_begun,
            held_back,
            purges_proven,
            slow_clients,
            buffered,
            lock_waits,
            lock_wait_us,
            dead_connections,
            lost_clients,
            tls_failed,
            resumed,
            source_current,
            source_gaps,
            source_bad,
            peers,
            known_calls,
        }
    }

    pub fn request_ended(&self, class: usize, fate: RequestOutcome, took: Duration) {
        let Some(class) = self.by_class.get(class) else {
            return;
        };
        class.last.observe(took.as_secs_f64());
        class.ends[fate as usize].inc();
    }

    pub fn first_byte(&self, class: usize, took: Duration) {
        if let Some(class) = self.by_class.get(class) {
            class.first.observe(took.as_secs_f64());
        }
    }

    pub fn attempt_ended(&self, outcome: &'static str, count: u64) {
        self.attempts
            .get_or_create(&AttemptEndLabel { outcome })
            .inc_by(count);
    }

    pub fn text(&self) -> String {
        let mut out = String::new();
        let _ = text::encode(&mut out, &self.registry);
        out
    }
}

/// One scrape a connection; whatever is asked for, the answer is the text.
pub(crate) async fn serve(door: FrontendContext, line: Socket) {
    let (read, write) = line.split();
    let mut asked = bytes::BytesMut::with_capacity(2048);
    let read = tokio::time::timeout(Duration::from_secs(2), read.read_buf(&mut asked)).await;
    if !matches!(read, Ok(Ok(n)) if n > 0) {
        return;
    }
    let text = door.hub.metrics.text();
    let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8".to_owned();
    let fields = vec![("content-type", kind)];
    let mut out = bytes::BytesMut::new();
    HttpResponse {
        status: 200,
        length: Some(text.len() as u64),
        close: true,
        fields,
    }
    .write(&mut out);
    out.extend_from_slice(text.as_bytes());
    let _ = tokio::time::timeout(Duration::from_secs(2), write.write_all(&out)).await;
    write.shutdown();
}
