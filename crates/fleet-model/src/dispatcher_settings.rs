//! The settings file of a dispatcher of the day.
use pointspindle_scenario::{Idempotency, Scenario};
use pointspindle::Micros;
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
        if s.told_alone { 0 } else { dispatcher },
        if s.told_alone { 1 } else { s.dispatcher_count() },
        state.display(),
        doors.http,
        doors.framed,
        doors.control,
        doors.metrics,
    );
    if let Some(endpoint) = etcd {
        let _ = write!(t, "[etcd]\nendpoints = {endpoint}\nprefix = {ETCD_PREFIX}\n");
    }
    let yes = |b: bool| if b { "yes" } else { "no" };
    let _ = write!(
        t,
        "[fleet]\nsiblings = {}\nnotes = {}\nstraight = {}\njoins = {}\nmax_attempts = {}\n\
         stream_kb_per_s = {}\npurge_done_ms = {}\n",
        s.siblings,
        s.notes,
        yes(s.straight),
        yes(s.joins),
        s.max_attempts,
        s.flow / 1024.0,
        ms(s.rules.purge_deadline),
    );
    for (name, kind) in [("cache", &s.cache), ("parent", &s.parent)] {
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
        let each = if s.told_alone { 1 } else { s.dispatchers };
        let count = if n < s.branches { each } else { 0 };
        let _ = writeln!(t, "[zone {zone}]\ndispatchers = {count}");
    }
    for c in &s.classes {
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
                ms(s.key_window)
            ),
            Idempotency::NotIdempotent => writeln!(t, "repeat = unsafe\nuncacheable = yes"),
        };
    }
    t
}
