//! Derives the named figures from the measurements of a step.
use crate::results::{Lag, Phase, Step};
use pointspindle_etcd_emulator::traffic::MessageCounts;

const BYTES_PER_KB: f64 = 1024.0;

/// A measured figure of a phase.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// Name of the figure: `phase/metric`.
    pub name: String,
    /// Unit of the figure; empty for counts.
    pub unit: &'static str,
    /// Value of the figure.
    pub value: f64,
}

/// Returns all figures of a step.
pub fn figures(step: &Step) -> Vec<Figure> {
    let mut figures = Vec::new();
    for phase in &step.phases {
        let mut collector = Collector {
            phase,
            dispatchers: step.dispatchers as f64,
            figures: &mut figures,
        };
        collector.add_all();
    }
    add_ready_times(&mut figures, "start", step.ready_ms);
    add_ready_times(&mut figures, "restart", step.restart_ready_ms);
    figures
}

fn add_ready_times(figures: &mut Vec<Figure>, phase: &str, [p50, p90, longest]: [f64; 3]) {
    for (metric, value) in [("p50", p50), ("p90", p90), ("longest", longest)] {
        figures.push(Figure {
            name: format!("{phase}/ready {metric}"),
            unit: "ms",
            value,
        });
    }
}

/// Collects the figures of one phase.
struct Collector<'a> {
    phase: &'a Phase,
    dispatchers: f64,
    figures: &'a mut Vec<Figure>,
}

impl Collector<'_> {
    fn add(&mut self, metric: &str, unit: &'static str, value: f64) {
        self.figures.push(Figure {
            name: format!("{}/{metric}", self.phase.name),
            unit,
            value,
        });
    }

    fn add_all(&mut self) {
        self.add_store();
        self.add_dispatchers();
        self.add("host cores", "cores", self.phase.hosts.cores);
        self.add("host memory", "MB", self.phase.hosts.memory_mb);
        for (kind, counts) in &self.phase.traffic.kinds {
            self.add_messages(kind, counts);
        }
        self.add_lag("purge", self.phase.purges.as_ref());
        self.add_lag("change", self.phase.changes.as_ref());
        if let Some(ms) = self.phase.current_after_ms {
            self.add("whole again", "ms", ms);
        }
    }

    fn add_store(&mut self) {
        let phase = self.phase;
        let connections = phase.store.descriptors as f64;
        self.add("store cores", "cores", phase.store.cores);
        self.add("store memory", "MB", phase.store.memory_mb);
        self.add("store connections", "", connections);
        let bytes_out = self.kb_per_second(phase.traffic.bytes_out);
        self.add("store bytes out", "KB/s", bytes_out);
        let bytes_in = self.kb_per_second(phase.traffic.bytes_in);
        self.add("store bytes in", "KB/s", bytes_in);
    }

    /// Adds the figures of a dispatcher. Its traffic is derived from the control store's: the bytes that the store
    /// sends are received by the dispatchers, and the other way round.
    fn add_dispatchers(&mut self) {
        let phase = self.phase;
        let n = self.dispatchers;
        self.add("dispatcher cores", "cores", phase.dispatchers.cores / n);
        self.add("dispatcher memory", "MB", phase.dispatchers.memory_mb / n);
        let received = phase.traffic.bytes_out as f64;
        let sent = phase.traffic.bytes_in as f64;
        let seconds = phase.seconds;
        self.add(
            "dispatcher bytes in",
            "KB/s",
            received / seconds / n / BYTES_PER_KB,
        );
        self.add(
            "dispatcher bytes out",
            "KB/s",
            sent / seconds / n / BYTES_PER_KB,
        );
        self.add(
            "dispatcher bytes of the phase",
            "KB",
            received / n / BYTES_PER_KB,
        );
        let connections = phase.state.connections as f64;
        self.add("dispatcher connections to hosts", "", connections);
    }

    fn add_messages(&mut self, kind: &str, counts: &MessageCounts) {
        let messages = (counts.messages_in + counts.messages_out) as f64;
        let rate = messages / self.phase.seconds;
        self.add(&format!("{kind} messages"), "1/s", rate);
        let bytes = self.kb_per_second(counts.bytes_in + counts.bytes_out);
        self.add(&format!("{kind} bytes"), "KB/s", bytes);
    }

    fn add_lag(&mut self, metric: &str, lag: Option<&Lag>) {
        let Some(lag) = lag else { return };
        self.add(&format!("{metric} in force p50"), "ms", lag.p50_ms);
        self.add(&format!("{metric} in force p99"), "ms", lag.p99_ms);
        self.add(&format!("{metric} in force longest"), "ms", lag.longest_ms);
    }

    fn kb_per_second(&self, bytes: u64) -> f64 {
        bytes as f64 / self.phase.seconds / BYTES_PER_KB
    }
}
