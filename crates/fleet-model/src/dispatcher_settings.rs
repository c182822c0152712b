//! The settings file of a dispatcher of the day.
use pointspindle::Micros;
use pointspindle_scenario::{Idempotency, Scenario};
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;

/// Of the day's keys in etcd.
pub const ETCD_PREFIX: &str = "/day";

/// Where one listens: port 0 at first, the same ports again after a restart.
#[derive(Clone, Copy, Debug)]
pub struct ListenAddresses {
    pub http: SocketAddr,
    pub framed: SocketAddr,
    pub control: SocketAddr,
    pub metrics: SocketAddr,
}

fn ms(us: Micros) -> f64 {
    us as f64 / 1e3
}

/// `etcd`: an endpoint from which lists and purges come, beside the control door.
pub fn dispatcher_ini(
    s: &Scenario,
    dispatcher: usize,
    doors: &ListenAddresses,
    bind: &str,
    state: &Path,
    etcd: Option<&str>,
) -> String {
    let branch = s.branch_of_dispatcher(dispatcher);
    let zones = s.zones();
    let mut t = String::new();
    let _ =
        write!(
        t,
        "[dispatcher]\nname = d{dispatcher}\nzone = {}\nnumber = {}\ncount = {}\nstate_file = {}\n\
         [listen]\nhttp = {}\nframed = {}\ncontrol = {}\nmetrics = {}\nmax_streams = 4096\n\
         [upstream]\nbind = {bind}\n[http]\ngroup_segments = 2\n",
        zones[branch],
        if s.dispatchers.believes_alone { 0 } else { dispatcher },
        if s.dispatchers.believes_alone { 1 } else { s.dispatcher_count() },
        state.display(),
        doors.http,
        doors.framed,
        doors.control,
        doors.metrics,
    );
    if let Some(endpoint) = etcd {
        let _ = write!(
            t,
            "[etcd]\nendpoints = {endpoint}\nprefix = {ETCD_PREFIX}\n"
        );
    }
    let yes = |b: bool| if b { "yes" } else { "no" };
    let _ = write!(
        t,
        "[fleet]\nsiblings = {}\nnotes = {}\nstraight = {}\njoins = {}\nmax_attempts = {}\n\
         stream_kb_per_s = {}\npurge_done_ms = {}\n",
        s.dispatchers.siblings,
        s.dispatchers.cache_status_notes,
        yes(s.dispatchers.bypasses_caches),
        yes(s.dispatchers.coalesces_fills),
        s.dispatchers.max_attempts,
        s.network.bytes_per_s / 1024.0,
        ms(s.limits.rules.purge_deadline),
    );
    for (name, kind) in [("cache", &s.fleet.cache), ("parent", &s.fleet.parent)] {
        let c = kind.spec.warm_up;
        let _ = write!(
            t,
            "[cold {name}]\nstart_share = {}\nwarm_within_ms = {}\nmultiple = {}\nwindow_ms = {}\n",
            c.initial_share,
            ms(c.duration),
            c.overload_factor,
            ms(c.overload_window),
        );
    }
    for (n, zone) in zones.iter().enumerate() {
        let each = if s.dispatchers.believes_alone {
            1
        } else {
            s.fleet.dispatchers_per_branch
        };
        let count = if n < s.fleet.branches { each } else { 0 };
        let _ = writeln!(t, "[zone {zone}]\ndispatchers = {count}");
    }
    for c in &s.workload.classes {
        let _ = write!(
            t,
            "[class {}]\ndeadline_ms = {}\naim_ms = {}\naim_stretch = {}\nworth = {}\nfresh_ms = {}\ngrace_ms = {}\n",
            c.name,
            ms(c.deadline),
            ms(c.latency_objective),
            c.latency_objective_stretch,
            c.priority_weight,
            ms(c.freshness_lifetime),
            ms(c.stale_if_error),
        );
        let _ = match c.idempotency {
            Idempotency::Idempotent => writeln!(t, "path_prefix = /{}/", c.name),
            Idempotency::Keyed => write!(
                t,
                "repeat = keyed\nkey_group = all\nkey_window_ms = {}\nuncacheable = yes\n",
                ms(s.dispatchers.idempotency_window)
            ),
            Idempotency::NotIdempotent => writeln!(t, "repeat = unsafe\nuncacheable = yes"),
        };
    }
    t
}
