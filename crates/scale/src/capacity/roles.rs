//! The rows of the capacity page by role.
use super::row::{measured, not_measured, Row, Source};
use crate::Target;

pub(super) const CONTROL: &str = "`etcd/watcher/`, `dispatcher/net`; `cli/tests/scale.rs`";
pub(super) const STORE: &str = "emulated, `etcd-emulator`; `cli/tests/scale.rs`";
const WRITER: &str = "`etcd/writer.rs`";
const WATCHER: &str = "`etcd/watcher/`";
const HOST: &str = "`cache-host/net`";

/// A kind of process of the fleet, or its promises.
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
                   budget assumed: a core a machine)",
            rows: control_store(target),
        },
        Role {
            name: "Edge cache hosts, control only (all together)",
            rows: cache_hosts(),
        },
        Role {
            name: "Parent, origin gateway",
            rows: vec![not_measured(
                "as a cache host; fills and connections by N",
                "`cache-host`, `docs/design/sums.md`",
            )],
        },
        Role {
            name: "Client library, operator's command",
            rows: vec![not_measured(
                "connections and tries by N; a command's bytes",
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
    let cores = |what, figure| measured(what, figure, "cores", Some(target.max_cores), CONTROL);
    let bytes = |what, figure| measured(what, figure, "KB/s", Some(target.max_kb_per_s), CONTROL);
    vec![
        cores("processor, at rest", "rest/dispatcher cores"),
        cores(
            "processor, at the target's purges",
            "purges/dispatcher cores",
        ),
        cores(
            "processor, at ten times those",
            "purges x10/dispatcher cores",
        ),
        measured(
            "memory",
            "purges x10/dispatcher memory",
            "MB",
            Some(target.max_memory_mb),
            CONTROL,
        ),
        bytes("bytes heard, at rest", "rest/dispatcher bytes in"),
        bytes(
            "bytes heard, at the target's purges",
            "purges/dispatcher bytes in",
        ),
        bytes(
            "bytes heard, at ten times those",
            "purges x10/dispatcher bytes in",
        ),
        bytes("bytes said, at rest", "rest/dispatcher bytes out"),
        measured(
            "connections to cache hosts",
            "rest/dispatcher connections to hosts",
            "",
            None,
            "`dispatcher/net/connection_pool/`",
        ),
        not_measured(
            "bytes by hellos, leases and probes",
            "`transport`, `cache-host/lease.rs`",
        ),
        not_measured(
            "processor a request, a list line; \
             bytes a member, a purge, a connection, an open request",
            "`docs/results.md` has the request's",
        ),
    ]
}

fn control_store(target: &Target) -> Vec<Row> {
    let budget = Some(target.control_machines as f64);
    let cores = |what, figure| measured(what, figure, "cores", budget, STORE);
    let bytes = |what, figure| measured(what, figure, "KB/s", None, STORE);
    let messages = |what, figure, by| measured(what, figure, "1/s", None, by);
    vec![
        cores("processor, at rest", "rest/store cores"),
        cores("processor, at the target's purges", "purges/store cores"),
        cores("processor, at ten times those", "purges x10/store cores"),
        measured("memory", "purges x10/store memory", "MB", None, STORE),
        bytes("bytes out, at rest", "rest/store bytes out"),
        bytes(
            "bytes out, at the target's purges",
            "purges/store bytes out",
        ),
        messages(
            "messages about leases, at rest",
            "rest/lease kept messages",
            WRITER,
        ),
        messages(
            "messages about registrations, at rest",
            "rest/registration messages",
            WRITER,
        ),
        messages(
            "messages about progress, at rest",
            "rest/progress messages",
            WATCHER,
        ),
        messages(
            "messages about the purges' mark, at rest",
            "rest/read messages",
            WATCHER,
        ),
        not_measured("four machines: quorum, disk, a machine lost", "-"),
    ]
}

fn cache_hosts() -> Vec<Row> {
    vec![
        measured("processor, at rest", "rest/host cores", "cores", None, HOST),
        measured("memory, no copies", "rest/host memory", "MB", None, HOST),
        not_measured(
            "index bytes a copy at 1, 4, 16 million; start from the log",
            "`store/index.rs`",
        ),
    ]
}

fn promises(target: &Target) -> Vec<Row> {
    let purge = |what, figure| measured(what, figure, "ms", Some(target.purge_promise_ms), CONTROL);
    vec![
        purge("purge in force, p50", "purges/purge in force p50"),
        purge("purge in force, p99", "purges/purge in force p99"),
        purge("purge in force, longest", "purges/purge in force longest"),
        purge(
            "purge in force, longest, at ten times the rate",
            "purges x10/purge in force longest",
        ),
        purge(
            "purge in force, longest, in a storm",
            "storm/purge in force longest",
        ),
        measured(
            "change of the list in force, longest",
            "changes/change in force longest",
            "ms",
            Some(target.change_promise_ms),
            CONTROL,
        ),
        Row {
            what: "purge in force everywhere, also where nobody can be told",
            source: Source::Guaranteed(
                "within `purge_within_ms` of its acknowledgement, \
                 by each process's own holding back",
            ),
            carried_by: "`dispatcher/core/purge_lease.rs`, `etcd/watcher/`; \
                         `etcd/tests/promise.rs`, `cli/tests/purge_promise.rs`",
        },
        not_measured(
            "change of configuration in force: \
             **missing: no way to the fleet but a file and a restart**",
            "-",
        ),
    ]
}
