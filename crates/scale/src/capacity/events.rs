//! The rows of the capacity page by event.
use super::roles::{CONTROL, STORE};
use super::row::{measured, not_measured, Row};

const UNTIL_CURRENT: &str = "until every view is current";
/// Budget of start to ready, milliseconds.
const READY_MS: f64 = 10_000.0;

/// Something that happens to the whole fleet at once.
pub(super) struct Event {
    pub(super) name: &'static str,
    pub(super) description: &'static str,
    pub(super) rows: Vec<Row>,
}

pub(super) fn events() -> Vec<Event> {
    vec![
        all_start(),
        restart(),
        purge_burst(),
        store_outage(),
        compaction(),
        streams_broken(),
        Event {
            name: "A rack, a zone, regions apart, a control machine lost",
            description: "-",
            rows: vec![not_measured(
                "all of it",
                "`lab fleet` plays a site's loss with clients",
            )],
        },
    ]
}

fn milliseconds(what: &'static str, figure: &'static str) -> Row {
    measured(what, figure, "ms", None, CONTROL)
}

fn ready(what: &'static str, figure: &'static str) -> Row {
    measured(what, figure, "ms", Some(READY_MS), CONTROL)
}

fn bytes_to_each(figure: &'static str) -> Row {
    measured("bytes to each", figure, "KB", None, CONTROL)
}

fn all_start() -> Event {
    Event {
        name: "All dispatchers start at once",
        description: "each reads the whole view and registers; \
                      each registration is told to all: N^2 lines. \
                      Nobody paces them but the store. \
                      Nothing is refused by it; cold parts wait for the counts.",
        rows: vec![
            milliseconds(UNTIL_CURRENT, "start/whole again"),
            ready("start to ready, nine in ten", "start/ready p90"),
            bytes_to_each("start/dispatcher bytes of the phase"),
            measured(
                "store, processor",
                "start/store cores",
                "cores",
                None,
                STORE,
            ),
        ],
    }
}

fn restart() -> Event {
    Event {
        name: "Fifty restart (a process of the rig)",
        description: "the leases end, all hear of each leave and each return.",
        rows: vec![ready("start to ready, longest", "restart/ready longest")],
    }
}

fn purge_burst() -> Event {
    Event {
        name: "A storm of purges",
        description: "one write each; all hear of each.",
        rows: vec![
            milliseconds("in force, p99", "storm/purge in force p99"),
            bytes_to_each("storm/dispatcher bytes of the phase"),
            measured(
                "dispatcher, processor",
                "storm/dispatcher cores",
                "cores",
                None,
                CONTROL,
            ),
        ],
    }
}

fn store_outage() -> Event {
    Event {
        name: "The control store away and back",
        description: "every view is stale after half a second; \
                      lists stay, held copies are held back where the promise is on; \
                      on return the watches go on from where they were.",
        rows: vec![
            milliseconds(UNTIL_CURRENT, "store away/whole again"),
            bytes_to_each("store away/dispatcher bytes of the phase"),
        ],
    }
}

fn compaction() -> Event {
    Event {
        name: "... and its history compacted meanwhile",
        description: "every view is read whole again, \
                      and everything counts as purged as of then.",
        rows: vec![
            milliseconds(UNTIL_CURRENT, "compacted/whole again"),
            bytes_to_each("compacted/dispatcher bytes of the phase"),
        ],
    }
}

fn streams_broken() -> Event {
    Event {
        name: "All streams break at once",
        description: "each asks again after 5 to 15 ms, from where it was.",
        rows: vec![milliseconds(UNTIL_CURRENT, "streams broken/whole again")],
    }
}
