//! Defines the rows of the capacity page for each role.
use super::row::{measured, not_measured, Row, Source};
use crate::Target;

pub(super) const CONTROL_CODE: &str = "`etcd/watcher/`, `dispatcher/net`; `cli/tests/scale.rs`";
pub(super) const STORE_CODE: &str = "emulated, `etcd-emulator`; `cli/tests/scale.rs`";
const WRITER_CODE: &str = "`etcd/writer.rs`";
const WATCHER_CODE: &str = "`etcd/watcher/`";
const HOST_CODE: &str = "`cache-host/net`";

/// A role of processes in the fleet, or the fleet's promises, with its rows.
pub(super) struct Role {
    pub(super) name: &'static str,
    pub(super) rows: Vec<Row>,
}

pub(super) fn roles(target: &Target) -> Vec<Role> {
    vec![
        Role {
            name: "Dispatcher, control only (hollow)",
            rows: dispatcher(target),
        },
        Role {
            name: "Control store (one emulated process without disk or quorum; \
                   assumed budget: one core per machine)",
            rows: control_store(target),
        },
        Role {
            name: "Edge cache hosts, control only (all together)",
            rows: cache_hosts(),
        },
        Role {
            name: "Parent, origin gateway",
            rows: vec![not_measured(
                "figures of a cache host; fills and connections as functions of N",
                "`cache-host`, `docs/design/sums.md`",
            )],
        },
        Role {
            name: "Client library, operator's command",
            rows: vec![not_measured(
                "connections and attempts as functions of N; bytes per command",
                "`client`, `cli/commands/etcd_access.rs`",
            )],
        },
        Role {
            name: "Promises",
            rows: promises(target),
        },
    ]
}

fn dispatcher(target: &Target) -> Vec<Row> {
    let cores =
        |label, figure| measured(label, figure, "cores", Some(target.max_cores), CONTROL_CODE);
    let bytes = |label, figure| {
        measured(
            label,
            figure,
            "KB/s",
            Some(target.max_kb_per_s),
            CONTROL_CODE,
        )
    };
    vec![
        cores("processor, at rest", "rest/dispatcher cores"),
        cores(
            "processor, at the target's purges",
            "purges/dispatcher cores",
        ),
        cores(
            "processor, at ten times the target's purges",
            "purges x10/dispatcher cores",
        ),
        measured(
            "memory",
            "purges x10/dispatcher memory",
            "MB",
            Some(target.max_memory_mb),
            CONTROL_CODE,
        ),
        bytes("bytes received, at rest", "rest/dispatcher bytes in"),
        bytes(
            "bytes received, at the target's purges",
            "purges/dispatcher bytes in",
        ),
        bytes(
            "bytes received, at ten times the target's purges",
            "purges x10/dispatcher bytes in",
        ),
        bytes("bytes sent, at rest", "rest/dispatcher bytes out"),
        measured(
            "connections to cache hosts",
            "rest/dispatcher connections to hosts",
            "",
            None,
            "`dispatcher/net/connection_pool/`",
        ),
        not_measured(
            "bytes of hellos, leases and probes",
            "`transport`, `cache-host/lease.rs`",
        ),
        not_measured(
            "processor per request and per endpoint record; \
             memory per endpoint, purge, connection and open request",
            "`docs/results.md` for the processor per request",
        ),
    ]
}

fn control_store(target: &Target) -> Vec<Row> {
    let budget = Some(target.control_machines as f64);
    let cores = |label, figure| measured(label, figure, "cores", budget, STORE_CODE);
    let bytes = |label, figure| measured(label, figure, "KB/s", None, STORE_CODE);
    let messages = |label, figure, code| measured(label, figure, "1/s", None, code);
    vec![
        cores("processor, at rest", "rest/store cores"),
        cores("processor, at the target's purges", "purges/store cores"),
        cores(
            "processor, at ten times the target's purges",
            "purges x10/store cores",
        ),
        measured("memory", "purges x10/store memory", "MB", None, STORE_CODE),
        bytes("bytes sent, at rest", "rest/store bytes out"),
        bytes(
            "bytes sent, at the target's purges",
            "purges/store bytes out",
        ),
        messages(
            "lease messages, at rest",
            "rest/lease kept messages",
            WRITER_CODE,
        ),
        messages(
            "registration messages, at rest",
            "rest/registration messages",
            WRITER_CODE,
        ),
        messages(
            "watch progress messages, at rest",
            "rest/progress messages",
            WATCHER_CODE,
        ),
        messages(
            "messages of purge mark reads, at rest",
            "rest/read messages",
            WATCHER_CODE,
        ),
        not_measured("four machines: quorum, disk, loss of a machine", "-"),
    ]
}

fn cache_hosts() -> Vec<Row> {
    vec![
        measured(
            "processor, at rest",
            "rest/host cores",
            "cores",
            None,
            HOST_CODE,
        ),
        measured(
            "memory, without cached copies",
            "rest/host memory",
            "MB",
            None,
            HOST_CODE,
        ),
        not_measured(
            "index bytes per copy at 1, 4 and 16 million copies; start from the log",
            "`store/index.rs`",
        ),
    ]
}

fn promises(target: &Target) -> Vec<Row> {
    let purge = |label, figure| {
        measured(
            label,
            figure,
            "ms",
            Some(target.purge_promise_ms),
            CONTROL_CODE,
        )
    };
    vec![
        purge("purge in force, p50", "purges/purge in force p50"),
        purge("purge in force, p99", "purges/purge in force p99"),
        purge("purge in force, longest", "purges/purge in force longest"),
        purge(
            "purge in force, longest, at ten times the rate",
            "purges x10/purge in force longest",
        ),
        purge(
            "purge in force, longest, in a burst of purges",
            "storm/purge in force longest",
        ),
        measured(
            "endpoint list change in force, longest",
            "changes/change in force longest",
            "ms",
            Some(target.change_promise_ms),
            CONTROL_CODE,
        ),
        Row {
            label: "purge in force everywhere, even at processes that cannot be reached",
            source: Source::Guaranteed(
                "within `purge_within_ms` of its acknowledgement, \
                 because each process withholds its cached copies when purges are not confirmed",
            ),
            evidence: "`dispatcher/core/purge_lease.rs`, `etcd/watcher/`; \
                         `etcd/tests/promise.rs`, `cli/tests/purge_promise.rs`",
        },
        not_measured(
            "configuration change in force: \
             **not supported: a change needs a new file and a restart**",
            "-",
        ),
    ]
}
